"""Concurrency limiter: the slots and connections of one backend server."""

from dataclasses import dataclass
from enum import StrEnum
from math import floor

from savorypond.balancing.service_time import ServiceTime
from savorypond.balancing.wait_queue import WaiterId, WaitQueue
from savorypond.model import Priority
from savorypond.reasons import RefusalReason

MIN_HOLD = 0.001  # seconds without a grant after a shed in the smallest window
MAX_HOLD_DOUBLINGS = 16


class SlotOutcome(StrEnum):
    """How an attempt that held a slot ended."""

    SUCCESS = "success"
    SHED = "shed"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True, kw_only=True)
class Granted:
    """The waiter holds a slot, which must be released."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Queued:
    """The waiter is in the queue.

    :param wait: expected seconds in the queue.
    """

    wait: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """The waiter was refused.

    :param retry_after: seconds until a retry may be accepted, or None if a retry
        with as little time left cannot be.
    """

    reason: RefusalReason
    retry_after: float | None


@dataclass(frozen=True, slots=True, kw_only=True)
class QueueChange:
    """The waiters that left the queue during one call.

    :param granted: waiters that now hold a slot, which must be released.
    :param expired: waiters that can no longer be answered in time and must not
        run.
    """

    granted: tuple[WaiterId, ...] = ()
    expired: tuple[WaiterId, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class LimiterConfig:
    """How a limiter queues and backs off.

    :param queue_limit: waiters that each priority class may have.
    :param max_skips: consecutive grants, by priority class, that may go to other
        classes while this one waits.
    :param decrease: factor applied to the window after a shed.
    :param increase: slots that the window grows by in one round trip.
    :param max_hold: longest time without a grant after consecutive sheds, in
        seconds.
    """

    queue_limit: int = 64
    max_skips: tuple[int, int, int] = (0, 3, 19)
    decrease: float = 0.5
    increase: float = 0.25
    max_hold: float = 0.25


GRANTED = Granted()
NO_CHANGE = QueueChange()
DEFAULT_LIMITER = LimiterConfig()


class ServerLimiter:
    """Grants the slots and connections of one backend server.

    Requests in flight never exceed ``slots`` times ``share``, nor a window that
    halves on sheds and grows with successes (AIMD; Chiu and Jain, 1989), because
    other instances may use the same slots. A request that finds no slot waits in a
    bounded :class:`WaitQueue`, or is refused at once if the expected wait leaves
    too little time for an answer.
    """

    __slots__ = (
        "_config",
        "_connection_limit",
        "_connections",
        "_decreased_at",
        "_hold_until",
        "_in_flight",
        "_queue",
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
        config: LimiterConfig = DEFAULT_LIMITER,
    ) -> None:
        self._config = config
        self._slot_limit = _share_of(slots, share)
        self._connection_limit = _share_of(connections, share)
        self._window = float(self._slot_limit)
        self._in_flight = 0
        self._connections = 0
        self._queue = WaitQueue(max_skips=config.max_skips)
        self._times = ServiceTime()
        self._decreased_at = float("-inf")
        self._hold_until = float("-inf")
        self._sheds_in_row = 0

    @property
    def in_flight(self) -> int:
        """Number of requests that hold a slot."""
        return self._in_flight

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return len(self._queue)

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return self._connections

    @property
    def window(self) -> int:
        """Number of requests that may hold a slot now."""
        return max(1, min(self._slot_limit, floor(self._window)))

    @property
    def service_time(self) -> float:
        """Mean seconds that a request holds a slot; 0.0 before the first one."""
        return self._times.mean

    def expected_wait(self, *, now: float) -> float:
        """Return the seconds that a request would wait behind the whole queue."""
        if not self._queue and self._has_room(now):
            return 0.0
        return self._wait_behind(len(self._queue), now)

    def overloaded(self, *, now: float) -> bool:
        """Return whether a request would have to wait for a slot."""
        return bool(self._queue) or not self._has_room(now)

    def set_limits(
        self, *, slots: int, connections: int, now: float, share: float = 1.0
    ) -> QueueChange:
        """Apply new limits; requests in flight and open connections are kept.

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
        """Count a connection as open, or return False at the limit."""
        if self._connections >= self._connection_limit:
            return False
        self._connections += 1
        return True

    def disconnect(self) -> None:
        """Count a connection as closed."""
        if not self._connections:
            raise ValueError("no connection is open")
        self._connections -= 1

    def offer(
        self, *, waiter: WaiterId, priority: Priority, deadline: float, now: float
    ) -> Granted | Queued | Refused:
        """Grant a slot, add ``waiter`` to the queue, or refuse it.

        :param deadline: monotonic seconds by which the answer must arrive.
        :raises ValueError: ``waiter`` is already in the queue.
        """
        time_left = deadline - now
        if time_left <= 0.0:
            return Refused(reason=RefusalReason.TIME_TOO_SHORT, retry_after=None)
        if not self._queue and self._has_room(now):
            return self._grant_at_once(time_left)
        wait = self._wait_behind(
            self._queue.turns_before(priority=priority, deadline=deadline), now
        )
        if wait + self._times.mean > time_left or self._is_full(priority):
            return self._refuse(wait)
        self._queue.add(name=waiter, priority=priority, deadline=deadline)
        return Queued(wait=wait)

    def release(
        self, *, now: float, service_time: float, outcome: SlotOutcome
    ) -> QueueChange:
        """Release a slot and grant it to the next waiter.

        :param service_time: seconds for which the slot was held.
        """
        if not self._in_flight:
            raise ValueError("no slot is held")
        self._in_flight -= 1
        if outcome is SlotOutcome.SHED:
            self._back_off(now, service_time)
        else:
            self._record_completion(service_time, outcome)
        return self.advance(now=now)

    def cancel(self, *, waiter: WaiterId) -> bool:
        """Remove ``waiter`` from the queue.

        Return False if it is not in the queue: it then holds a slot, which must be
        released, or has ended.
        """
        return self._queue.remove(waiter)

    def advance(self, *, now: float) -> QueueChange:
        """Grant free slots and expire the waiters with too little time left."""
        if not self._queue:
            return NO_CHANGE
        expired = self._queue.pop_expired(now=now, needed=self._min_time)
        granted: list[WaiterId] = []
        while self._queue and self._has_room(now):
            granted.append(self._queue.pop())
            self._in_flight += 1
            # With a request in flight, the others need more time left.
            expired += self._queue.pop_expired(now=now, needed=self._min_time)
        if not granted and not expired:
            return NO_CHANGE
        return QueueChange(granted=tuple(granted), expired=tuple(expired))

    def next_event(self) -> float | None:
        """Return when :meth:`advance` is due if nothing else happens before.

        Return None while the queue is empty.
        """
        earliest = self._queue.earliest_deadline()
        if earliest is None:
            return None
        due = earliest - self._min_time
        if self._in_flight < self.window:
            due = min(due, self._hold_until)
        return due

    @property
    def _min_time(self) -> float:
        """Seconds that a request must have left to be sent.

        An idle server is always tried: otherwise nothing would correct a mean that
        exceeds every time limit.
        """
        return self._times.mean if self._in_flight else 0.0

    def _has_room(self, now: float) -> bool:
        return self._in_flight < self.window and now >= self._hold_until

    def _is_full(self, priority: Priority) -> bool:
        return self._queue.class_size(priority) >= self._config.queue_limit

    def _grant_at_once(self, time_left: float) -> Granted | Refused:
        if time_left < self._min_time:
            return Refused(reason=RefusalReason.TIME_TOO_SHORT, retry_after=None)
        self._in_flight += 1
        return GRANTED

    def _refuse(self, wait: float) -> Refused:
        retry_after = max(wait, self._times.mean, MIN_HOLD)
        return Refused(reason=RefusalReason.OVERLOADED, retry_after=retry_after)

    def _wait_behind(self, ahead: int, now: float) -> float:
        wait = (ahead + 1) * self._times.mean / self.window
        return max(wait, self._hold_until - now)

    def _record_completion(self, service_time: float, outcome: SlotOutcome) -> None:
        if outcome is not SlotOutcome.SUCCESS:
            # A fast failure does not show how long an answer takes.
            if service_time > self._times.mean:
                self._times.record(service_time)
            return
        self._times.record(service_time)
        self._sheds_in_row = 0
        if self._window < self._slot_limit:
            increased = self._window + self._config.increase / self._window
            self._window = min(increased, float(self._slot_limit))

    def _back_off(self, now: float, service_time: float) -> None:
        """Shrink the window, or delay grants if it is already at its smallest.

        Requests that were in flight at the last decrease give no new information.
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
