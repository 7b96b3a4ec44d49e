"""Lookup of peers by name."""

from savorypond.membership.membership import Membership
from savorypond.model import Address, Instance


class PeerDirectory:
    """Looks up the members of the fleet, in any state."""

    def __init__(self, *, membership: Membership) -> None:
        self._membership = membership

    def find(self, name: str) -> Instance | None:
        """Return the peer called ``name``, or None."""
        for member in self._membership.members:
            if member.name == name:
                return member.instance
        return None

    def find_address(self, name: str) -> Address | None:
        """Return the peer address of the instance called ``name``, or None."""
        peer = self.find(name)
        return peer.peer_address if peer is not None else None
