"""Keep one backend server within its slots, its connections and its time."""

from bisect import bisect_left, insort
from collections.abc import Hashable
from dataclasses import dataclass
from enum import StrEnum
from math import floor

from savorypond.model import Priority
from savorypond.reasons import RefusalReason
from savorypond.servicetime import ServiceTime

WaiterId = Hashable

MIN_HOLD = 0.001  # seconds without a grant after a shed in the smallest window
MAX_HOLD_DOUBLINGS = 16


class Outcome(StrEnum):
    """How an attempt that held a slot ended."""

    SUCCESS = "success"
    SHED = "shed"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True, kw_only=True)
class Granted:
    """The waiter holds a slot and must be released."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Queued:
    """The waiter stands in the queue.

    :param wait: seconds it is expected to stand there.
    """

    wait: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """The waiter was not taken.

    :param retry_after: seconds until a repeat may be taken, or None where a
        repeat with as little time left cannot.
    """

    reason: RefusalReason
    retry_after: float | None


@dataclass(frozen=True, slots=True, kw_only=True)
class GateChange:
    """The waiters that left the queue during one call.

    :param granted: hold a slot now and must be released.
    :param expired: can no longer be answered in time and must not run.
    """

    granted: tuple[WaiterId, ...] = ()
    expired: tuple[WaiterId, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class GateConfig:
    """How a gate queues and backs off.

    :param queue_limit: waiters that each priority class may have.
    :param passed_over: grants in a row, by priority class, that may go to other
        classes while this one waits.
    :param decrease: factor on the window after a shed.
    :param increase: slots that the window grows by in one round trip.
    :param max_hold: seconds without a grant at most after sheds in a row.
    """

    queue_limit: int = 64
    passed_over: tuple[int, int, int] = (0, 3, 19)
    decrease: float = 0.5
    increase: float = 0.25
    max_hold: float = 0.25


GRANTED = Granted()
NO_CHANGE = GateChange()
DEFAULT_GATE = GateConfig()

_Key = tuple[float, int, WaiterId]


class _ClassQueue:
    """The waiters of one priority class, earliest deadline first."""

    __slots__ = ("keys", "passed_over", "skipped")

    def __init__(self, *, passed_over: int) -> None:
        self.keys: list[_Key] = []
        self.passed_over = passed_over
        self.skipped = 0


class ServerGate:
    """Hand out the slots and connections of one backend server.

    Requests in flight never exceed ``slots`` times ``share``, nor a window that
    halves on sheds and grows by successes (AIMD; Chiu and Jain, 1989), as other
    instances may use the same slots. Who finds no slot waits in a bounded queue
    by priority class, then by deadline. A lower class is passed over a bounded
    number of times in a row.
    """

    __slots__ = (
        "_class_of",
        "_classes",
        "_config",
        "_connection_limit",
        "_connections",
        "_decreased_at",
        "_hold_until",
        "_in_flight",
        "_sequence",
        "_sheds_in_row",
        "_slot_limit",
        "_times",
        "_window",
    )

    def __init__(
        self,
        *,
        slots: int,
        connections: int,
        share: float = 1.0,
        config: GateConfig = DEFAULT_GATE,
    ) -> None:
        self._config = config
        self._slot_limit = _share_of(slots, share)
        self._connection_limit = _share_of(connections, share)
        self._window = float(self._slot_limit)
        self._in_flight = 0
        self._connections = 0
        self._classes = [_ClassQueue(passed_over=n) for n in config.passed_over]
        self._class_of: dict[WaiterId, tuple[Priority, _Key]] = {}
        self._sequence = 0
        self._times = ServiceTime()
        self._decreased_at = float("-inf")
        self._hold_until = float("-inf")
        self._sheds_in_row = 0

    @property
    def in_flight(self) -> int:
        """Requests that hold a slot."""
        return self._in_flight

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return len(self._class_of)

    @property
    def connections(self) -> int:
        """Connections counted as open."""
        return self._connections

    @property
    def window(self) -> int:
        """Requests that may hold a slot now."""
        return max(1, min(self._slot_limit, floor(self._window)))

    @property
    def service_time(self) -> float:
        """Seconds that a request typically holds a slot; 0.0 before the first."""
        return self._times.mean

    def expected_wait(self, *, now: float) -> float:
        """Return the seconds an interactive request would wait for a slot."""
        if self._has_room(now):
            return 0.0
        ahead = len(self._classes[0].keys) + len(self._classes[1].keys)
        return self._wait_behind(ahead, now)

    def overloaded(self, *, now: float) -> bool:
        """Return whether a request would have to wait for a slot."""
        return bool(self._class_of) or not self._has_room(now)

    def set_limits(
        self, *, slots: int, connections: int, now: float, share: float = 1.0
    ) -> GateChange:
        """Put new limits into force; what is in flight or open is left alone.

        :param share: share of both limits that this instance may use; at least
            one slot and one connection remain.
        """
        before = self._slot_limit
        self._slot_limit = _share_of(slots, share)
        self._connection_limit = _share_of(connections, share)
        if self._window >= before:
            self._window = float(self._slot_limit)
        self._window = min(self._window, float(self._slot_limit))
        return self.advance(now=now)

    def connect(self) -> bool:
        """Count one more open connection, or return False at the limit."""
        if self._connections >= self._connection_limit:
            return False
        self._connections += 1
        return True

    def disconnect(self) -> None:
        """Count one connection less, once it is closed."""
        if not self._connections:
            raise ValueError("no connection is open")
        self._connections -= 1

    def offer(
        self, *, waiter: WaiterId, priority: Priority, deadline: float, now: float
    ) -> Granted | Queued | Refused:
        """Take a slot, a place in the queue, or neither.

        :param deadline: monotonic seconds at which the answer must be there.
        :raises ValueError: ``waiter`` is in the queue already.
        """
        left = deadline - now
        if left <= 0.0:
            return Refused(reason=RefusalReason.TIME_TOO_SHORT, retry_after=None)
        if self._has_room(now) and not self._class_of:
            return self._grant_at_once(left)
        if waiter in self._class_of:
            raise ValueError(f"waiter {waiter!r} is in the queue already")
        return self._enqueue(waiter, priority, deadline, now)

    def release(
        self, *, now: float, service_time: float, outcome: Outcome
    ) -> GateChange:
        """Give a slot back and grant it to the next waiter.

        :param service_time: seconds for which the slot was held.
        """
        if not self._in_flight:
            raise ValueError("no slot is held")
        self._in_flight -= 1
        if outcome is Outcome.SHED:
            self._back_off(now, service_time)
        else:
            self._learn(service_time, outcome)
        if not self._class_of:
            return NO_CHANGE
        return self.advance(now=now)

    def cancel(self, *, waiter: WaiterId) -> bool:
        """Take ``waiter`` out of the queue.

        Return False where it does not wait: it then holds a slot, which must be
        released, or has ended.
        """
        found = self._class_of.pop(waiter, None)
        if found is None:
            return False
        priority, key = found
        queue = self._classes[priority]
        del queue.keys[bisect_left(queue.keys, key)]
        if not queue.keys:
            queue.skipped = 0
        return True

    def advance(self, *, now: float) -> GateChange:
        """Grant free slots and drop the waiters whose time no longer suffices."""
        if not self._class_of:
            return NO_CHANGE
        expired: list[WaiterId] = []
        for queue in self._classes:
            self._expire_heads(queue, now, expired)
        granted: list[WaiterId] = []
        while self._class_of and self._has_room(now):
            granted.append(self._grant_next())
            # The rest may be out of time only now that a request is in flight.
            for queue in self._classes:
                self._expire_heads(queue, now, expired)
        if not granted and not expired:
            return NO_CHANGE
        return GateChange(granted=tuple(granted), expired=tuple(expired))

    def next_event(self) -> float | None:
        """Return when :meth:`advance` is due if nothing else happens before.

        It is None while the queue is empty.
        """
        heads = [queue.keys[0][0] for queue in self._classes if queue.keys]
        if not heads:
            return None
        due = min(heads) - (self._times.typical if self._in_flight else 0.0)
        if self._in_flight < self.window:
            due = min(due, self._hold_until)
        return due

    def _has_room(self, now: float) -> bool:
        return self._in_flight < self.window and now >= self._hold_until

    def _grant_at_once(self, left: float) -> Granted | Refused:
        # An idle server is always tried: otherwise nothing would ever correct a
        # typical time that has come to exceed every time limit.
        if self._in_flight and left < self._times.typical:
            return Refused(reason=RefusalReason.TIME_TOO_SHORT, retry_after=None)
        self._in_flight += 1
        return GRANTED

    def _enqueue(
        self, waiter: WaiterId, priority: Priority, deadline: float, now: float
    ) -> Queued | Refused:
        queue = self._classes[priority]
        self._sequence += 1
        key = (deadline, self._sequence, waiter)
        wait = self._wait_behind(self._ahead(queue, priority, key), now)
        if wait + self._times.typical > deadline - now:
            return self._refuse(wait)
        if len(queue.keys) >= self._config.queue_limit:
            return self._refuse(wait)
        insort(queue.keys, key)
        self._class_of[waiter] = (priority, key)
        return Queued(wait=wait)

    def _refuse(self, wait: float) -> Refused:
        retry_after = max(wait, self._times.mean, MIN_HOLD)
        return Refused(reason=RefusalReason.OVERLOADED, retry_after=retry_after)

    def _ahead(self, queue: _ClassQueue, priority: Priority, key: _Key) -> int:
        """Return how many grants go to others before ``key`` has its turn."""
        rank = bisect_left(queue.keys, key)
        higher = sum(len(other.keys) for other in self._classes[:priority])
        return rank + min(higher, (rank + 1) * queue.passed_over)

    def _wait_behind(self, ahead: int, now: float) -> float:
        wait = (ahead + 1) * self._times.mean / self.window
        return max(wait, self._hold_until - now)

    def _grant_next(self) -> WaiterId:
        queue = self._next_class()
        _, _, waiter = queue.keys.pop(0)
        del self._class_of[waiter]
        for other in self._classes:
            other.skipped = other.skipped + 1 if other.keys else 0
        queue.skipped = 0
        self._in_flight += 1
        return waiter

    def _next_class(self) -> _ClassQueue:
        """Return the lowest class that is due its turn, else the highest."""
        highest = None
        for queue in reversed(self._classes):
            if not queue.keys:
                continue
            if queue.skipped >= queue.passed_over:
                return queue
            highest = queue
        assert highest is not None
        return highest

    def _expire_heads(
        self, queue: _ClassQueue, now: float, expired: list[WaiterId]
    ) -> None:
        needed = self._times.typical if self._in_flight else 0.0
        while queue.keys and queue.keys[0][0] - needed <= now:
            _, _, waiter = queue.keys.pop(0)
            del self._class_of[waiter]
            expired.append(waiter)
        if not queue.keys:
            queue.skipped = 0

    def _learn(self, service_time: float, outcome: Outcome) -> None:
        self._times.record(service_time)
        if outcome is not Outcome.SUCCESS:
            return
        self._sheds_in_row = 0
        if self._window < self._slot_limit:
            grown = self._window + self._config.increase / self._window
            self._window = min(grown, float(self._slot_limit))

    def _back_off(self, now: float, service_time: float) -> None:
        """Shrink the window; at its smallest, hold grants back for a while.

        Requests that were in flight at the last decrease say nothing new.
        """
        if now - service_time < self._decreased_at:
            return
        self._decreased_at = now
        if self._window > 1.0:
            self._window = max(1.0, self._window * self._config.decrease)
            return
        hold = max(MIN_HOLD, self._times.mean) * 2**self._sheds_in_row
        self._hold_until = now + min(hold, self._config.max_hold)
        self._sheds_in_row = min(self._sheds_in_row + 1, MAX_HOLD_DOUBLINGS)


def _share_of(limit: int, share: float) -> int:
    return max(1, floor(limit * share))
