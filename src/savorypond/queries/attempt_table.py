"""The attempts of one run that are queued or running, and its timers."""

from heapq import heappop, heappush

from savorypond.model import BackendServer, Counters, Pin
from savorypond.protocols import Purpose
from savorypond.queries.attempts import Action, Attempt, CancelAttempt
from savorypond.queries.service_runs import RunningAttempt, ServiceRun
from savorypond.reasons import CancelReason

RETRY_TIMER = 0  # in place of an attempt's number: the timer of a waiting retry


class AttemptTable:
    """Numbers attempts and knows the service that each open one belongs to.

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
        """The number that the next attempt gets."""
        return self._next_number

    @property
    def in_flight(self) -> int:
        """How many attempts are queued or running."""
        return len(self._runs)

    def open(
        self,
        *,
        run: ServiceRun,
        server: BackendServer,
        purpose: Purpose,
        extra: bool,
    ) -> Attempt:
        """Add an attempt at ``server`` for all that ``run`` has not covered.

        :param extra: whether it was taken out of the budget.
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

    def run_of(self, attempt: Attempt) -> ServiceRun | None:
        """Return the service that ``attempt`` is open for, or None."""
        return self._runs.get(attempt.number)

    def end(self, attempt: Attempt, *, answered: bool) -> ServiceRun | None:
        """Remove ``attempt``; return its service, or None if it was not open."""
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
    """The times at which waiting retries start and slow attempts are hedged."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, ServiceRun, int]] = []
        self._pushed = 0

    def push(self, *, at: float, run: ServiceRun, number: int = RETRY_TIMER) -> None:
        """Set a timer for the attempt ``number``, or for the retry of ``run``."""
        self._pushed += 1
        heappush(self._heap, (at, self._pushed, run, number))

    def next_at(self) -> float | None:
        """Return the monotonic seconds of the first timer of use, or None."""
        while self._heap and not _is_wanted(*self._heap[0][2:]):
            heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now: float) -> tuple[ServiceRun, int] | None:
        """Take the next timer of use that is due, or return None."""
        at = self.next_at()
        if at is None or at > now:
            return None
        _, _, run, number = heappop(self._heap)
        return run, number


def _is_wanted(run: ServiceRun, number: int) -> bool:
    if number == RETRY_TIMER:
        return run.waiting
    return number in run.running and not run.hedged
