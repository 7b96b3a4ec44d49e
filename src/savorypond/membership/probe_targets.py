"""Selection of the peers to probe: usable, suspect and dead ones."""

from collections.abc import Set
from random import Random

from savorypond.membership.member_table import Member, MemberTable
from savorypond.model import InstanceState

SAMPLE_DRAWS_PER_PEER = 6  # draws per requested peer; a sample may stay short
MAX_SKIPPED_PEERS = 64  # unusable peers to skip before a probe is omitted


def with_jitter(delay: float, rng: Random) -> float:
    """Return a random time between half of ``delay`` and ``delay``."""
    return delay * rng.uniform(0.5, 1.0)


class ProbeTargets:
    """Cycles through the usable peers in shuffled order.

    Das et al., 2002, section 4.3 describes the scheme. Every other probe goes to
    the local data centre, so that its members are probed often however large the
    fleet is; the rest go to all other data centres.

    :param dead_probe_delay: initial seconds between probes of dead peers; it
        doubles up to ``dead_probe_delay_max`` until one is usable again.
    """

    def __init__(
        self,
        *,
        table: MemberTable,
        data_centre: str,
        rng: Random,
        dead_probe_delay: float,
        dead_probe_delay_max: float,
    ) -> None:
        self._table = table
        self._data_centre = data_centre
        self._rng = rng
        self._min_dead_probe_delay = dead_probe_delay
        self._dead_probe_delay_max = dead_probe_delay_max
        self._dead_probe_delay = dead_probe_delay
        self._next_dead_probe_at = float("-inf")
        self._local = _ShuffledCycle(rng=rng)
        self._remote = _ShuffledCycle(rng=rng)
        self._remote_next = False

    def add_member(self, member: Member) -> None:
        """Insert a new peer at a random position of the current cycle."""
        is_local = member.data_centre == self._data_centre
        (self._local if is_local else self._remote).insert(member.name)

    def remove_member(self, member: Member) -> None:
        """Remove a peer."""
        self._local.remove(member.name)
        self._remote.remove(member.name)

    def next(self, *, exclude: Set[str]) -> list[Member]:
        """Return the next peer to probe, outside the data centres ``exclude``."""
        self._remote_next = not self._remote_next
        first, second = self._local, self._remote
        if self._remote_next:
            first, second = second, first
        return self._draw(first, exclude) or self._draw(second, exclude)

    def random_suspect(self) -> list[Member]:
        """Return one suspect, whose probe lets it refute the suspicion."""
        suspects = self._table.suspects
        return [self._rng.choice(suspects)] if suspects else []

    def random_in(self, data_centre: str) -> list[Member]:
        """Return one usable peer in ``data_centre``."""
        members = [m for m in self._table.in_data_centre(data_centre) if m.usable]
        return [self._rng.choice(members)] if members else []

    def next_dead(self, now: float) -> list[Member]:
        """Return a dead peer that the platform still lists, if one is due."""
        if now < self._next_dead_probe_at:
            return []
        dead = [member for member in self._table.departed if _may_probe_dead(member)]
        if not dead:
            return []
        self._next_dead_probe_at = now + with_jitter(self._dead_probe_delay, self._rng)
        self._dead_probe_delay = min(
            2 * self._dead_probe_delay, self._dead_probe_delay_max
        )
        return [self._rng.choice(dead)]

    def reset_dead_probe_delay(self, now: float) -> None:
        """Probe dead peers soon: one is back, so a partition may have healed."""
        self._next_dead_probe_at = now
        self._dead_probe_delay = self._min_dead_probe_delay

    def sample(self, count: int, *, exclude: str = "") -> list[Member]:
        """Return up to ``count`` random usable peers, half of them local."""
        found: dict[str, Member] = {}
        for turn in range(count * SAMPLE_DRAWS_PER_PEER):
            if len(found) == count:
                break
            first, second = self._local, self._remote
            if turn % 2:
                first, second = second, first
            name = first.random() or second.random()
            member = self._table.get(name)
            if member is not None and member.usable and name != exclude:
                found[name] = member
        return list(found.values())

    def _draw(self, names: "_ShuffledCycle", exclude: Set[str]) -> list[Member]:
        for _ in range(min(len(names), MAX_SKIPPED_PEERS)):
            member = self._table.get(names.next())
            if member is None or not member.usable:
                continue
            if member.data_centre not in exclude:
                return [member]
        return []


class _ShuffledCycle:
    """Names in an order that is shuffled anew for each cycle."""

    def __init__(self, *, rng: Random) -> None:
        self._rng = rng
        self._names: list[str] = []
        self._next = 0

    def __len__(self) -> int:
        return len(self._names)

    def insert(self, name: str) -> None:
        names = self._names
        names.append(name)
        position = self._rng.randrange(self._next, len(names))
        names[position], names[-1] = names[-1], names[position]

    def remove(self, name: str) -> None:
        if name not in self._names:
            return
        position = self._names.index(name)
        del self._names[position]
        if position < self._next:
            self._next -= 1

    def next(self) -> str:
        if self._next >= len(self._names):
            self._next = 0
            self._rng.shuffle(self._names)
        self._next += 1
        return self._names[self._next - 1]

    def random(self) -> str:
        return self._rng.choice(self._names) if self._names else ""


def _may_probe_dead(member: Member) -> bool:
    return member.listed and member.update.state is InstanceState.DEAD
