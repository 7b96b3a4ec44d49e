"""Open attempts and timers of one run of a fan-out."""

from heapq import heappop, heappush

from savorypond.model import BackendServer, Counters, Pin
from savorypond.protocols import Purpose
from savorypond.queries.attempts import Action, Attempt, CancelAttempt
from savorypond.queries.service_runs import RunningAttempt, ServiceRun
from savorypond.reasons import CancelReason

RETRY_TIMER = 0  # attempt number that marks the timer of a scheduled retry


class AttemptTable:
    """Assigns attempt numbers and maps each open attempt to its service.

    :param first_number: the number of the first attempt.
    """

    def __init__(self, *, pin: Pin, counters: Counters, first_number: int) -> None:
        self._pin = pin
        self._counters = counters
        self._next_number = first_number
        self._runs: dict[int, ServiceRun] = {}
        self._answered: set[int] = set()

    @property
    def next_number(self) -> int:
        """The number of the next attempt."""
        return self._next_number

    @property
    def in_flight(self) -> int:
        """Number of attempts that are queued or running."""
        return len(self._runs)

    def open(
        self,
        *,
        run: ServiceRun,
        server: BackendServer,
        purpose: Purpose,
        extra: bool,
    ) -> Attempt:
        """Add an attempt at ``server`` for the uncovered shards of ``run``.

        :param extra: whether the attempt was charged to the budget.
        """
        attempt = Attempt(
            number=self._next_number,
            service=run.service,
            server=server,
            shards=frozenset(run.uncovered),
            pin=self._pin,
            purpose=purpose,
        )
        self._next_number += 1
        run.attempts += 1
        run.tried.add(server.name)
        run.running[attempt.number] = RunningAttempt(attempt=attempt, extra=extra)
        self._runs[attempt.number] = run
        return attempt

    def find_run(self, attempt: Attempt) -> ServiceRun | None:
        """Return the service run of ``attempt``, or None if it is not open."""
        return self._runs.get(attempt.number)

    def end(self, attempt: Attempt, *, answered: bool) -> ServiceRun | None:
        """Remove ``attempt``; return its service run, or None if it was not open."""
        run = self._runs.pop(attempt.number, None)
        if run is not None:
            del run.running[attempt.number]
            if answered:
                self._answered.add(attempt.number)
        return run

    def was_answered(self, attempt: Attempt) -> bool:
        """Tell whether ``attempt`` ended with an answer."""
        return attempt.number in self._answered

    def cancel(self, run: ServiceRun, reason: CancelReason) -> list[Action]:
        """Remove and cancel the open attempts of ``run``."""
        actions: list[Action] = []
        for number, running in run.running.items():
            del self._runs[number]
            self._counters.add("cancels", reason)
            actions.append(CancelAttempt(attempt=running.attempt, reason=reason))
        run.running.clear()
        return actions

    def cancel_all(self, reason: CancelReason) -> list[Action]:
        """Remove and cancel every open attempt."""
        actions: list[Action] = []
        for run in {id(run): run for run in self._runs.values()}.values():
            actions.extend(self.cancel(run, reason))
        return actions


class RunTimers:
    """The times at which retries start and slow attempts are hedged."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, ServiceRun, int]] = []
        self._pushed = 0

    def push(self, *, at: float, run: ServiceRun, number: int = RETRY_TIMER) -> None:
        """Set a timer for hedging attempt ``number``, or for a retry of ``run``."""
        self._pushed += 1
        heappush(self._heap, (at, self._pushed, run, number))

    def next_at(self) -> float | None:
        """Return the monotonic time of the first active timer, or None."""
        while self._heap and not _is_active(*self._heap[0][2:]):
            heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now: float) -> tuple[ServiceRun, int] | None:
        """Remove and return the next active timer that is due, or None."""
        at = self.next_at()
        if at is None or at > now:
            return None
        _, _, run, number = heappop(self._heap)
        return run, number


def _is_active(run: ServiceRun, number: int) -> bool:
    if number == RETRY_TIMER:
        return run.waiting
    return number in run.running and not run.hedged
