"""Queues of the member updates to piggyback on datagrams."""

from collections import deque
from math import ceil, log2

from savorypond.membership.wire import MemberUpdate, update_size
from savorypond.model import InstanceState

SENDS_PER_DOUBLING = 2  # sends of one update per doubling of the fleet
# Sends to other data centres of an update that only says that a member is in use. All
# instances of a data centre send it, and those of the other one spread it there.
REMOTE_SENDS = 2


def send_limit(fleet_size: int) -> int:
    """Return how often one instance sends the same update.

    A multiple of log n reaches all with high probability (Das et al., 2002).
    """
    return SENDS_PER_DOUBLING * ceil(log2(fleet_size + 1))


class Dissemination:
    """Updates to disseminate, each a limited number of times, new ones first.

    Updates that take an instance out of use, and refutations of these, precede all
    others. Otherwise the updates of a fleet that starts at once would delay them.
    """

    def __init__(self) -> None:
        self._urgent = _SendQueue()
        self._ordinary = _SendQueue()
        self._ordinary_remote = _SendQueue()

    def __len__(self) -> int:
        return len(self._urgent) + len(self._ordinary)

    def add(self, update: MemberUpdate) -> None:
        """Queue ``update``, replacing an older one about the same member."""
        for queue in (self._urgent, self._ordinary, self._ordinary_remote):
            queue.discard(update.name)
        if update.refutation > 0 or update.state is not InstanceState.LIVE:
            self._urgent.add(update)
        else:
            self._ordinary.add(update)
            self._ordinary_remote.add(update)

    def take(
        self,
        *,
        first: tuple[MemberUpdate, ...],
        free_bytes: int,
        fleet_size: int,
        remote: bool = False,
    ) -> tuple[MemberUpdate, ...]:
        """Return ``first`` and queued updates, as many as fit in ``free_bytes``.

        :param remote: whether the recipient is in another data centre.
        """
        taken: dict[str, MemberUpdate] = {}
        for update in first:
            size = update_size(update)
            if size <= free_bytes:
                taken[update.name] = update
                free_bytes -= size
        limit = send_limit(fleet_size)
        free_bytes = self._urgent.take(taken, free_bytes, limit)
        if remote:
            self._ordinary_remote.take(taken, free_bytes, REMOTE_SENDS)
        else:
            self._ordinary.take(taken, free_bytes, limit)
        return tuple(taken.values())


class _SendQueue:
    """Updates ordered by how often they were sent, newest first if unsent."""

    def __init__(self) -> None:
        self._pending: dict[str, MemberUpdate] = {}
        self._by_send_count: list[deque[MemberUpdate]] = [deque()]

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, update: MemberUpdate) -> None:
        self._pending[update.name] = update
        self._by_send_count[0].appendleft(update)

    def discard(self, name: str) -> None:
        """Drop the update about ``name``; ``take`` removes its queue entry later."""
        self._pending.pop(name, None)

    def take(self, taken: dict[str, MemberUpdate], free_bytes: int, limit: int) -> int:
        """Add what fits to ``taken``; return the number of bytes still free."""
        sent: list[tuple[MemberUpdate, int]] = []
        for send_count, updates in enumerate(self._by_send_count):
            while updates:
                update = updates[0]
                if self._pending.get(update.name) is not update:
                    updates.popleft()
                    continue
                size = 0 if update.name in taken else update_size(update)
                if size > free_bytes:
                    break
                free_bytes -= size
                taken[update.name] = update
                sent.append((updates.popleft(), send_count + 1))
        for update, send_count in sent:
            self._requeue(update, send_count, limit)
        return free_bytes

    def _requeue(self, update: MemberUpdate, send_count: int, limit: int) -> None:
        if send_count >= limit:
            del self._pending[update.name]
            return
        while len(self._by_send_count) <= send_count:
            self._by_send_count.append(deque())
        self._by_send_count[send_count].append(update)
