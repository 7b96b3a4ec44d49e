"""The known members and their states as this instance sees them."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from savorypond.membership.wire import MemberUpdate
from savorypond.model import Address, Instance, InstanceState

UNKNOWN_INCARNATION = 0  # of a peer known only from the platform's list
USABLE = frozenset({InstanceState.LIVE, InstanceState.SUSPECT})


@dataclass(slots=True, kw_only=True)
class Member:
    """One peer; times in monotonic seconds.

    :param changed_at: when its state last changed.
    :param heard_at: when a datagram that it sent itself last arrived.
    :param suspect_until: when a suspect is declared dead.
    :param failed_probes: failed probes by this instance since the suspicion began.
    :param listed: whether the platform's current list contains it.
    :param listed_leaving: whether the platform's current list has it as leaving.
    :param leaving_incarnation: incarnation that the platform's list marked as
        leaving, or -1.
    """

    update: MemberUpdate
    instance: Instance
    changed_at: float
    heard_at: float = float("-inf")
    suspect_until: float = 0.0
    failed_probes: int = 0
    listed: bool = False
    listed_leaving: bool = False
    leaving_incarnation: int = -1

    @property
    def name(self) -> str:
        """The name of the instance."""
        return self.update.name

    @property
    def data_centre(self) -> str:
        """The data centre of the instance."""
        return self.update.data_centre

    @property
    def address(self) -> Address:
        """The address on which it receives datagrams."""
        return self.instance.peer_address

    @property
    def state(self) -> InstanceState:
        """The state, which is leaving also if only the platform's list says so."""
        if self.update.state in USABLE and not self.usable:
            return InstanceState.LEAVING
        return self.update.state

    @property
    def usable(self) -> bool:
        """Whether it may own work: not dead, and leaving according to no source."""
        return (
            self.update.state in USABLE
            and self.leaving_incarnation < self.update.incarnation
        )

    def silent_for(self, now: float) -> float | None:
        """Return the seconds since its last datagram, or None if there was none."""
        return now - self.heard_at if self.heard_at > float("-inf") else None


class MemberTable:
    """Peers by name; of several updates about a peer, the highest precedence wins."""

    def __init__(self) -> None:
        self._members: dict[str, Member] = {}
        self._by_data_centre: dict[str, list[Member]] = {}
        self._suspects: dict[str, Member] = {}
        self._departed: dict[str, Member] = {}
        self._version = 0

    @property
    def version(self) -> int:
        """A number that increases whenever a usable peer is added, changed or lost."""
        return self._version

    @property
    def suspects(self) -> tuple[Member, ...]:
        """The peers under suspicion."""
        return tuple(self._suspects.values())

    @property
    def departed(self) -> tuple[Member, ...]:
        """The peers that are dead or leaving and not yet forgotten."""
        return tuple(self._departed.values())

    @property
    def non_leaving_count(self) -> int:
        """Number of known peers that have not announced that they are leaving."""
        states = [member.update.state for member in self._departed.values()]
        return len(self._members) - states.count(InstanceState.LEAVING)

    @property
    def unconfirmed_dead_count(self) -> int:
        """Number of dead peers that are known only from the platform's list."""
        return sum(
            member.update.state is InstanceState.DEAD
            and member.update.incarnation == UNKNOWN_INCARNATION
            for member in self._departed.values()
        )

    def __len__(self) -> int:
        return len(self._members)

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members.values())

    def get(self, name: str) -> Member | None:
        """Return the peer called ``name``, or None."""
        return self._members.get(name)

    def in_data_centre(self, data_centre: str) -> Sequence[Member]:
        """Return the peers in ``data_centre``, in any state."""
        return self._by_data_centre.get(data_centre, ())

    def merge(self, update: MemberUpdate, *, now: float) -> Member | None:
        """Apply ``update`` if it has precedence; return the peer, else None."""
        member = self._members.get(update.name)
        if member is None:
            return self._add(update, now=now)
        if update.precedence <= member.update.precedence:
            return None
        before = _routing_key(member)
        if update.data_centre != member.data_centre:
            self._by_data_centre[member.data_centre].remove(member)
            self._by_data_centre.setdefault(update.data_centre, []).append(member)
        if member.leaving_incarnation == 0:  # marked before its first update
            member.leaving_incarnation = update.incarnation
        member.update = update
        member.instance = update.to_instance()
        member.changed_at = now
        self._index_by_state(member)
        if before != _routing_key(member):
            self._version += 1
        return member

    def mark_listed(self, member: Member, *, leaving: bool) -> None:
        """Record that the platform's list contains ``member``.

        The list lags, so a leaving mark takes effect only when it first appears,
        and only for the incarnation known at that time.
        """
        member.listed = True
        newly_leaving = leaving and not member.listed_leaving
        member.listed_leaving = leaving
        if not newly_leaving:
            return
        if member.usable:
            self._version += 1
        member.leaving_incarnation = member.update.incarnation

    def forget(self, member: Member) -> None:
        """Remove ``member``."""
        if member.usable:
            self._version += 1
        del self._members[member.name]
        self._by_data_centre[member.data_centre].remove(member)
        self._suspects.pop(member.name, None)
        self._departed.pop(member.name, None)

    def _add(self, update: MemberUpdate, *, now: float) -> Member:
        member = Member(update=update, instance=update.to_instance(), changed_at=now)
        self._members[update.name] = member
        self._by_data_centre.setdefault(update.data_centre, []).append(member)
        self._index_by_state(member)
        if member.usable:
            self._version += 1
        return member

    def _index_by_state(self, member: Member) -> None:
        state = member.update.state
        self._suspects.pop(member.name, None)
        self._departed.pop(member.name, None)
        if state is InstanceState.SUSPECT:
            self._suspects[member.name] = member
        elif state is not InstanceState.LIVE:
            self._departed[member.name] = member


def _routing_key(member: Member) -> tuple[bool, int, Address, str]:
    """Return the values that a route to ``member`` depends on."""
    update = member.update
    return (member.usable, update.incarnation, member.address, update.data_centre)
