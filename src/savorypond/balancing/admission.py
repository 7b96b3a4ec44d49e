"""Admission control: refuse requests that this instance cannot answer in time."""

from dataclasses import dataclass
from enum import StrEnum

from savorypond.balancing.limiter import Refused
from savorypond.balancing.service_time import ServiceTime
from savorypond.model import Priority
from savorypond.reasons import RefusalReason

MIN_RETRY_AFTER = 0.01  # seconds
MIN_USE_TO_GROW = 0.5  # share of the limit in use below which it does not grow


class RequestOutcome(StrEnum):
    """How an admitted request ended."""

    ANSWERED = "answered"
    OVERLOADED = "overloaded"
    FAILED = "failed"


@dataclass(frozen=True, slots=True, kw_only=True)
class Admitted:
    """The request is in flight; :meth:`Admission.finish` must be called."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionConfig:
    """Bounds and AIMD parameters of the limit on requests in flight.

    :param initial: limit at the start.
    :param min_limit: lower bound of the limit.
    :param max_limit: upper bound of the limit.
    :param reserved: share of the limit, by priority class, that is reserved for
        the class.
    :param decrease: factor applied to the limit after an overloaded request.
    :param increase: requests that the limit grows by in one round trip.
    """

    initial: int = 64
    min_limit: int = 4
    max_limit: int = 1024
    reserved: tuple[float, float, float] = (0.3, 0.1, 0.05)
    decrease: float = 0.9
    increase: float = 2.0


ADMITTED = Admitted()
DEFAULT_ADMISSION = AdmissionConfig()


class Admission:
    """Bound the requests in flight by an adaptive limit.

    The limit shrinks when admitted requests fail for lack of capacity and grows
    with answers while it is in use (AIMD). Each priority class has a reserved
    share, so that none starves, and may use any room outside the reserves of the
    other classes.
    """

    def __init__(self, *, config: AdmissionConfig = DEFAULT_ADMISSION) -> None:
        self._config = config
        self._limit = float(config.initial)
        self._in_flight = [0 for _ in Priority]
        self._times = ServiceTime()
        self._decreased_at = float("-inf")

    @property
    def in_flight(self) -> int:
        """Number of admitted requests that have not finished."""
        return sum(self._in_flight)

    @property
    def limit(self) -> int:
        """Number of requests that may be in flight now."""
        return int(self._limit)

    def offer(
        self, *, priority: Priority, deadline: float, now: float
    ) -> Admitted | Refused:
        """Admit a request, or refuse it before any work is done.

        :param deadline: monotonic seconds by which the answer must be sent.
        """
        time_left = deadline - now
        if time_left <= 0.0 or (self.in_flight and time_left < self._times.mean / 2):
            return Refused(reason=RefusalReason.TIME_TOO_SHORT, retry_after=None)
        if not self._has_room(priority):
            return Refused(
                reason=RefusalReason.OVERLOADED,
                retry_after=max(MIN_RETRY_AFTER, self._times.mean),
            )
        self._in_flight[priority] += 1
        return ADMITTED

    def finish(
        self,
        *,
        priority: Priority,
        now: float,
        elapsed: float,
        outcome: RequestOutcome,
    ) -> None:
        """Record the end of an admitted request.

        :param elapsed: seconds since it was admitted.
        """
        if not self._in_flight[priority]:
            raise ValueError(f"no {priority.name} request is in flight")
        if outcome is RequestOutcome.ANSWERED:
            self._grow()
            self._times.record(elapsed)
        elif outcome is RequestOutcome.OVERLOADED:
            self._shrink(now, elapsed)
        self._in_flight[priority] -= 1

    def _has_room(self, priority: Priority) -> bool:
        total = self.in_flight
        if total >= self.limit:
            return False
        if self._in_flight[priority] < self._reserve(priority):
            return True
        reserved = sum(self._unused_reserve(p) for p in Priority if p is not priority)
        return total + reserved < self.limit

    def _reserve(self, priority: Priority) -> int:
        return max(1, int(self._limit * self._config.reserved[priority]))

    def _unused_reserve(self, priority: Priority) -> int:
        return max(0, self._reserve(priority) - self._in_flight[priority])

    def _grow(self) -> None:
        if self.in_flight < self._limit * MIN_USE_TO_GROW:
            return
        increased = self._limit + self._config.increase / self._limit
        self._limit = min(increased, float(self._config.max_limit))

    def _shrink(self, now: float, elapsed: float) -> None:
        # Requests admitted before the last decrease give no new information.
        if now - elapsed < self._decreased_at:
            return
        self._decreased_at = now
        decreased = self._limit * self._config.decrease
        self._limit = max(decreased, float(self._config.min_limit))
