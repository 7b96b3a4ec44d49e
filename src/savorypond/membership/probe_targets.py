"""Whom to probe next: peers near and far in turn, suspects, and the dead."""

from collections.abc import Set
from random import Random

from savorypond.membership.member_table import Member, MemberTable
from savorypond.model import InstanceState

SAMPLE_TRIES = 6  # draws per wanted peer before a sample is left short
SKIPS = 64  # unusable peers passed over before a probe is left out


def with_jitter(delay: float, rng: Random) -> float:
    """Return a time between half of ``delay`` and all of it."""
    return delay * rng.uniform(0.5, 1.0)


class ProbeTargets:
    """Shuffled rounds over the usable peers (Das et al., 2002, section 4.3).

    Every other probe goes to the own data centre, so that its members are
    watched closely however large the fleet is; the rest go to all others.

    :param revive_delay: seconds from one probe of a dead peer to the next,
        at first; it doubles up to ``revive_delay_max`` while none answers.
    """

    def __init__(
        self,
        *,
        table: MemberTable,
        data_centre: str,
        rng: Random,
        revive_delay: float,
        revive_delay_max: float,
    ) -> None:
        self._table = table
        self._data_centre = data_centre
        self._rng = rng
        self._first_revive_delay = revive_delay
        self._revive_delay_max = revive_delay_max
        self._revive_delay = revive_delay
        self._revive_at = float("-inf")
        self._near = _Round(rng=rng)
        self._far = _Round(rng=rng)
        self._far_next = False

    def introduce(self, member: Member) -> None:
        """Put a new peer at a chance place into the running round."""
        near = member.data_centre == self._data_centre
        (self._near if near else self._far).insert(member.name)

    def remove(self, member: Member) -> None:
        """Take out a peer that has been forgotten."""
        self._near.remove(member.name)
        self._far.remove(member.name)

    def next(self, *, without: Set[str]) -> list[Member]:
        """Return the next peer to probe, outside the data centres ``without``."""
        self._far_next = not self._far_next
        first, second = self._near, self._far
        if self._far_next:
            first, second = second, first
        return self._draw(first, without) or self._draw(second, without)

    def suspect(self) -> list[Member]:
        """Return one peer under suspicion, so that it can deny that."""
        suspects = self._table.suspects
        return [self._rng.choice(suspects)] if suspects else []

    def any_in(self, data_centre: str) -> list[Member]:
        """Return one usable peer in ``data_centre``."""
        members = [m for m in self._table.in_data_centre(data_centre) if m.usable]
        return [self._rng.choice(members)] if members else []

    def revival(self, now: float) -> list[Member]:
        """Return a dead peer that the platform still lists, ever more seldom."""
        if now < self._revive_at:
            return []
        dead = [member for member in self._table.gone if _may_revive(member)]
        if not dead:
            return []
        self._revive_at = now + with_jitter(self._revive_delay, self._rng)
        self._revive_delay = min(2 * self._revive_delay, self._revive_delay_max)
        return [self._rng.choice(dead)]

    def hurry_revival(self, now: float) -> None:
        """Look for more that are back, since one is: a partition may have healed."""
        self._revive_at = now
        self._revive_delay = self._first_revive_delay

    def sample(self, count: int, *, without: str = "") -> list[Member]:
        """Return up to ``count`` usable peers at random, half of them near."""
        found: dict[str, Member] = {}
        for turn in range(count * SAMPLE_TRIES):
            if len(found) == count:
                break
            first, second = self._near, self._far
            if turn % 2:
                first, second = second, first
            name = first.any() or second.any()
            member = self._table.get(name)
            if member is not None and member.usable and name != without:
                found[name] = member
        return list(found.values())

    def _draw(self, names: "_Round", without: Set[str]) -> list[Member]:
        for _ in range(min(len(names), SKIPS)):
            member = self._table.get(names.next())
            if member is None or not member.usable:
                continue
            if member.data_centre not in without:
                return [member]
        return []


class _Round:
    """Names in shuffled order, gone through again and again."""

    def __init__(self, *, rng: Random) -> None:
        self._rng = rng
        self._names: list[str] = []
        self._next = 0

    def __len__(self) -> int:
        return len(self._names)

    def insert(self, name: str) -> None:
        names = self._names
        names.append(name)
        place = self._rng.randrange(self._next, len(names))
        names[place], names[-1] = names[-1], names[place]

    def remove(self, name: str) -> None:
        if name not in self._names:
            return
        place = self._names.index(name)
        del self._names[place]
        if place < self._next:
            self._next -= 1

    def next(self) -> str:
        if self._next >= len(self._names):
            self._next = 0
            self._rng.shuffle(self._names)
        self._next += 1
        return self._names[self._next - 1]

    def any(self) -> str:
        return self._rng.choice(self._names) if self._names else ""


def _may_revive(member: Member) -> bool:
    return member.listed and member.update.state is InstanceState.DEAD
