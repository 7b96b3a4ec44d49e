"""Which member updates ride on the next datagram."""

from collections import deque
from math import ceil, log2

from savorypond.memberwire import MemberUpdate, update_size

SENDS_PER_LOG = 2  # sends of one update per doubling of the fleet


def send_limit(fleet_size: int) -> int:
    """Return how often one update is sent on by one instance.

    A multiple of log n reaches all with high probability (Das et al., 2002).
    """
    return SENDS_PER_LOG * ceil(log2(fleet_size + 1))


class Dissemination:
    """Updates waiting to be spread; new ones go first, each a few times."""

    def __init__(self) -> None:
        self._queue: deque[str] = deque()
        self._pending: dict[str, tuple[MemberUpdate, int]] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, update: MemberUpdate) -> None:
        """Spread ``update`` in place of an older one about the same member."""
        if update.name not in self._pending:
            self._queue.appendleft(update.name)
        self._pending[update.name] = (update, 0)

    def take(
        self, *, first: tuple[MemberUpdate, ...], room: int, fleet_size: int
    ) -> tuple[MemberUpdate, ...]:
        """Return ``first`` and waiting updates, as many as fit into ``room`` bytes."""
        taken: dict[str, MemberUpdate] = {}
        for update in first:
            room -= update_size(update)
            if room < 0:
                return tuple(taken.values())
            taken[update.name] = update
        limit = send_limit(fleet_size)
        for _ in range(len(self._queue)):
            update, sent = self._pending[self._queue[0]]
            if update.name not in taken:
                room -= update_size(update)
            if room < 0:
                break
            taken[update.name] = update
            self._count(update, sent + 1, limit)
        return tuple(taken.values())

    def _count(self, update: MemberUpdate, sent: int, limit: int) -> None:
        self._queue.popleft()
        if sent >= limit:
            del self._pending[update.name]
            return
        self._pending[update.name] = (update, sent)
        self._queue.append(update.name)
