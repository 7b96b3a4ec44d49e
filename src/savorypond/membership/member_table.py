"""The members that an instance has heard of, and what it believes about each."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from savorypond.membership.wire import MemberUpdate
from savorypond.model import Address, Instance, InstanceState

USABLE = frozenset({InstanceState.LIVE, InstanceState.SUSPECT})


@dataclass(slots=True, kw_only=True)
class Member:
    """One peer; times in monotonic seconds.

    :param changed_at: when its state last changed.
    :param heard_at: when a datagram of its own last arrived.
    :param suspect_until: when a suspicion becomes death.
    :param vain_probes: of this instance's own, since the suspicion began.
    :param listed: whether the platform's list names it at present.
    :param listed_leaving: whether that list calls it leaving at present.
    :param left: incarnation that the platform's list has called leaving, or -1.
    """

    update: MemberUpdate
    instance: Instance
    changed_at: float
    heard_at: float = float("-inf")
    suspect_until: float = 0.0
    vain_probes: int = 0
    listed: bool = False
    listed_leaving: bool = False
    left: int = -1

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
        """Where it listens for datagrams."""
        return self.instance.peer_address

    @property
    def state(self) -> InstanceState:
        """What it is believed to be, the platform's word on leaving included."""
        if self.update.state in USABLE and not self.usable:
            return InstanceState.LEAVING
        return self.update.state

    @property
    def usable(self) -> bool:
        """Whether it may own work: neither dead nor leaving by any sign."""
        return self.update.state in USABLE and self.left < self.update.incarnation

    def silent_for(self, now: float) -> float | None:
        """Return the seconds since its own last datagram, or None before one."""
        return now - self.heard_at if self.heard_at > float("-inf") else None


class MemberTable:
    """Peers by name, merged so that the update of highest precedence holds."""

    def __init__(self) -> None:
        self._members: dict[str, Member] = {}
        self._by_data_centre: dict[str, list[Member]] = {}
        self._suspects: dict[str, Member] = {}
        self._gone: dict[str, Member] = {}
        self._version = 0

    @property
    def version(self) -> int:
        """A number that rises whenever a usable peer appears, changes or goes."""
        return self._version

    @property
    def suspects(self) -> tuple[Member, ...]:
        """The peers under suspicion."""
        return tuple(self._suspects.values())

    @property
    def gone(self) -> tuple[Member, ...]:
        """The peers that are dead or leaving and not yet forgotten."""
        return tuple(self._gone.values())

    @property
    def staying(self) -> int:
        """How many peers are known and have not said that they leave."""
        states = [member.update.state for member in self._gone.values()]
        return len(self._members) - states.count(InstanceState.LEAVING)

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
        """Take ``update`` if it has precedence; return the peer if it changed."""
        member = self._members.get(update.name)
        if member is None:
            return self._add(update, now=now)
        if update.precedence <= member.update.precedence:
            return None
        before = _as_owner(member)
        if update.data_centre != member.data_centre:
            self._by_data_centre[member.data_centre].remove(member)
            self._by_data_centre.setdefault(update.data_centre, []).append(member)
        if member.left == 0:
            member.left = update.incarnation
        member.update = update
        member.instance = update.to_instance()
        member.changed_at = now
        self._file(member)
        if before != _as_owner(member):
            self._version += 1
        return member

    def mark_listed(self, member: Member, *, leaving: bool) -> None:
        """Note what the platform's list says of ``member``.

        The list lags: only when it turns to leaving does that hold, and only
        for the incarnation known then.
        """
        member.listed = True
        turned = leaving and not member.listed_leaving
        member.listed_leaving = leaving
        if not turned:
            return
        if member.usable:
            self._version += 1
        member.left = member.update.incarnation

    def forget(self, member: Member) -> None:
        """Drop ``member``."""
        if member.usable:
            self._version += 1
        del self._members[member.name]
        self._by_data_centre[member.data_centre].remove(member)
        self._suspects.pop(member.name, None)
        self._gone.pop(member.name, None)

    def _add(self, update: MemberUpdate, *, now: float) -> Member:
        member = Member(update=update, instance=update.to_instance(), changed_at=now)
        self._members[update.name] = member
        self._by_data_centre.setdefault(update.data_centre, []).append(member)
        self._file(member)
        if member.usable:
            self._version += 1
        return member

    def _file(self, member: Member) -> None:
        state = member.update.state
        self._suspects.pop(member.name, None)
        self._gone.pop(member.name, None)
        if state is InstanceState.SUSPECT:
            self._suspects[member.name] = member
        elif state is not InstanceState.LIVE:
            self._gone[member.name] = member


def _as_owner(member: Member) -> tuple[bool, int, Address, str]:
    """Return what a route to ``member`` depends on."""
    update = member.update
    return (member.usable, update.incarnation, member.address, update.data_centre)
