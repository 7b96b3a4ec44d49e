"""A queue by priority class and deadline in which no class starves."""

from bisect import bisect_left, insort
from collections.abc import Hashable, Sequence
from typing import NamedTuple

from savorypond.model import Priority

WaiterId = Hashable


class _Waiter(NamedTuple):
    """One waiter; the sequence number keeps equal deadlines in order."""

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

    def forget_if_empty(self) -> None:
        if not self.waiters:
            self.skipped = 0


class WaitQueue:
    """Waiters of all priority classes.

    The highest class goes first, and within a class the earliest deadline. A
    lower class whose waiters were passed over a set number of times in a row
    has the next turn; where two are due at once, the lower one goes first. So
    while a class waits, at most ``max_skips`` turns in a row, and one more
    for each lower class, go to others.

    :param max_skips: turns in a row, by class, that may go to other classes.
        Below the highest class each must be at least the number of the other
        classes: else two lower classes could take turns and shut out a higher.
    :raises ValueError: an entry of ``max_skips`` is too small.
    """

    __slots__ = ("_classes", "_places", "_sequence")

    def __init__(self, *, max_skips: Sequence[int]) -> None:
        others = len(max_skips) - 1
        if any(turns < others for turns in max_skips[1:]):
            raise ValueError(f"lower classes must be passed over {others} times")
        self._classes = [_ClassQueue(max_skips=turns) for turns in max_skips]
        self._places: dict[WaiterId, tuple[_ClassQueue, _Waiter]] = {}
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._places)

    def __contains__(self, name: object) -> bool:
        return name in self._places

    def class_size(self, priority: Priority) -> int:
        """Return how many waiters ``priority`` has."""
        return len(self._classes[priority].waiters)

    def earliest_deadline(self) -> float | None:
        """Return the earliest deadline of all waiters, or None without any."""
        heads = [q.waiters[0].deadline for q in self._classes if q.waiters]
        return min(heads) if heads else None

    def turns_before(self, *, priority: Priority, deadline: float) -> int:
        """Return how many turns a new waiter would wait for its own."""
        queue = self._classes[priority]
        rank = bisect_left(queue.waiters, (deadline, self._sequence + 1))
        higher = sum(len(other.waiters) for other in self._classes[:priority])
        return rank + min(higher, (rank + 1) * queue.max_skips)

    def add(self, *, name: WaiterId, priority: Priority, deadline: float) -> None:
        """Add a waiter.

        :raises ValueError: ``name`` waits already.
        """
        if name in self._places:
            raise ValueError(f"waiter {name!r} is in the queue already")
        self._sequence += 1
        waiter = _Waiter(deadline, self._sequence, name)
        queue = self._classes[priority]
        insort(queue.waiters, waiter)
        self._places[name] = (queue, waiter)

    def remove(self, name: WaiterId) -> bool:
        """Take ``name`` out; return whether it was waiting."""
        place = self._places.pop(name, None)
        if place is None:
            return False
        queue, waiter = place
        del queue.waiters[bisect_left(queue.waiters, waiter)]
        queue.forget_if_empty()
        return True

    def pop(self) -> WaiterId:
        """Take out the waiter whose turn it is.

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
        """Take out all waiters that have no more than ``needed`` seconds left."""
        popped: list[WaiterId] = []
        for queue in self._classes:
            while queue.waiters and queue.waiters[0].deadline - needed <= now:
                waiter = queue.waiters.pop(0)
                del self._places[waiter.name]
                popped.append(waiter.name)
            queue.forget_if_empty()
        return popped

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
