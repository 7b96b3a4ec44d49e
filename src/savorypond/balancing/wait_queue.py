"""Queue ordered by priority class and deadline, without starvation."""

from bisect import bisect_left, insort
from collections.abc import Hashable, Sequence
from typing import NamedTuple

from savorypond.model import Priority

WaiterId = Hashable


class _Waiter(NamedTuple):
    """One waiter; the sequence number keeps equal deadlines in FIFO order."""

    deadline: float
    sequence: int
    name: WaiterId


class _ClassQueue:
    """The waiters of one priority class, earliest deadline first."""

    __slots__ = ("max_skips", "skipped", "waiters")

    def __init__(self, *, max_skips: int) -> None:
        self.waiters: list[_Waiter] = []
        self.max_skips = max_skips
        self.skipped = 0

    def reset_if_empty(self) -> None:
        if not self.waiters:
            self.skipped = 0


class WaitQueue:
    """The waiters of all priority classes.

    The highest class goes first, and within a class the earliest deadline. A lower
    class that was skipped ``max_skips`` times in a row has the next turn; if two
    are due at once, the lower one goes first. So while a class waits, at most
    ``max_skips`` consecutive turns, and one more for each lower class, go to
    others.

    :param max_skips: consecutive turns, by class, that may go to other classes.
        Below the highest class, each must be at least the number of the other
        classes: otherwise two lower classes could alternate and starve a higher
        one.
    :raises ValueError: an entry of ``max_skips`` is too small.
    """

    __slots__ = ("_classes", "_places", "_sequence")

    def __init__(self, *, max_skips: Sequence[int]) -> None:
        others = len(max_skips) - 1
        if any(limit < others for limit in max_skips[1:]):
            raise ValueError(f"max_skips of lower classes must be at least {others}")
        self._classes = [_ClassQueue(max_skips=limit) for limit in max_skips]
        self._places: dict[WaiterId, tuple[_ClassQueue, _Waiter]] = {}
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._places)

    def __contains__(self, name: object) -> bool:
        return name in self._places

    def class_size(self, priority: Priority) -> int:
        """Return the number of waiters of ``priority``."""
        return len(self._classes[priority].waiters)

    def earliest_deadline(self) -> float | None:
        """Return the earliest deadline of all waiters, or None if empty."""
        heads = [q.waiters[0].deadline for q in self._classes if q.waiters]
        return min(heads) if heads else None

    def turns_before(self, *, priority: Priority, deadline: float) -> int:
        """Return the number of turns that would precede that of a new waiter."""
        queue = self._classes[priority]
        rank = bisect_left(queue.waiters, (deadline, self._sequence + 1))
        higher = sum(len(other.waiters) for other in self._classes[:priority])
        return rank + min(higher, (rank + 1) * queue.max_skips)

    def add(self, *, name: WaiterId, priority: Priority, deadline: float) -> None:
        """Add a waiter.

        :raises ValueError: ``name`` is already in the queue.
        """
        if name in self._places:
            raise ValueError(f"waiter {name!r} is already in the queue")
        self._sequence += 1
        waiter = _Waiter(deadline, self._sequence, name)
        queue = self._classes[priority]
        insort(queue.waiters, waiter)
        self._places[name] = (queue, waiter)

    def remove(self, name: WaiterId) -> bool:
        """Remove ``name``; return whether it was in the queue."""
        place = self._places.pop(name, None)
        if place is None:
            return False
        queue, waiter = place
        del queue.waiters[bisect_left(queue.waiters, waiter)]
        queue.reset_if_empty()
        return True

    def pop(self) -> WaiterId:
        """Remove and return the waiter whose turn it is.

        :raises IndexError: the queue is empty.
        """
        queue = self._next_class()
        waiter = queue.waiters.pop(0)
        del self._places[waiter.name]
        for other in self._classes:
            other.skipped = other.skipped + 1 if other.waiters else 0
        queue.skipped = 0
        return waiter.name

    def pop_expired(self, *, now: float, needed: float) -> list[WaiterId]:
        """Remove and return all waiters with at most ``needed`` seconds left."""
        expired: list[WaiterId] = []
        for queue in self._classes:
            while queue.waiters and queue.waiters[0].deadline - needed <= now:
                waiter = queue.waiters.pop(0)
                del self._places[waiter.name]
                expired.append(waiter.name)
            queue.reset_if_empty()
        return expired

    def _next_class(self) -> _ClassQueue:
        highest = None
        for queue in reversed(self._classes):
            if not queue.waiters:
                continue
            if queue.skipped >= queue.max_skips:
                return queue
            highest = queue
        if highest is None:
            raise IndexError("the queue is empty")
        return highest
