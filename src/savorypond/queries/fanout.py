"""State machine of one query's fan-out: at most two runs and one result."""

from collections.abc import Sequence

from savorypond.model import Answer, Pin, Query, Service
from savorypond.queries.attempts import (
    Action,
    Attempt,
    AttemptFailure,
    Finish,
    Repin,
)
from savorypond.queries.fanout_policies import FanoutPolicies
from savorypond.queries.fanout_run import FanoutRun
from savorypond.queries.partials import ServerAnswer
from savorypond.reasons import CancelReason, MissingReason, RepinReason

MAX_PIN_REQUESTS = 2  # per query; a query restarts at most once


class Fanout:
    """Decides what one query sends, what it cancels and when it finishes.

    Call ``start`` once, the event methods as events occur, and ``tick`` at
    ``next_timer``. Each call returns the actions to take. Exactly one ``Finish``
    is returned, at the latest by the first call after the deadline minus the
    finish margin; later calls return no actions. A clock that goes backwards is
    treated as stopped.

    :param pin: the snapshot and layout of the first run.
    :param services: the services to query, all of one index.
    :param unavailable: shards of which no usable replica is known to hold the
        snapshot.
    """

    def __init__(
        self,
        *,
        query: Query,
        pin: Pin,
        services: Sequence[Service],
        policies: FanoutPolicies,
        unavailable: frozenset[str] = frozenset(),
    ) -> None:
        self._query = query
        self._services = services
        self._policies = policies
        self._counters = policies.counters
        self._settings = policies.settings
        self._finish_at = query.deadline - self._settings.finish_margin
        self._run = self._new_run(pin, 1, unavailable)
        self._first_answer: Answer | None = None
        self._now = float("-inf")
        self._started_at = 0.0
        self._pin_requests_left = MAX_PIN_REQUESTS
        self._awaiting_pin = False
        self._finished = False

    @property
    def pin(self) -> Pin:
        """The pin of the current run."""
        return self._run.pin

    @property
    def finished(self) -> bool:
        """Whether the query has ended."""
        return self._finished

    @property
    def in_flight(self) -> int:
        """Number of attempts that are queued or running."""
        return self._run.in_flight

    def answer_so_far(self) -> Answer:
        """Return the answer as it would be if the query ended now."""
        return self._run.build_answer()

    def next_timer(self) -> float | None:
        """Return the monotonic time of the next ``tick``, or None once finished."""
        if self._finished:
            return None
        timer = self._run.next_timer()
        return self._finish_at if timer is None else min(timer, self._finish_at)

    def start(self, now: float) -> list[Action]:
        """Send the first attempt to each service."""
        self._advance(now)
        self._started_at = self._now
        return self._with_outcome(self._run.start(self._now))

    def dispatched(self, attempt: Attempt, now: float) -> list[Action]:
        """Record that ``attempt`` got a slot and was written."""
        self._advance(now)
        self._run.dispatched(attempt, self._now)
        return self._with_outcome([])

    def answered(
        self, attempt: Attempt, answer: ServerAnswer, now: float
    ) -> list[Action]:
        """Accept the usable partials of the answer to ``attempt``."""
        self._advance(now)
        return self._with_outcome(self._run.answered(attempt, answer, self._now))

    def failed(
        self, attempt: Attempt, failure: AttemptFailure, now: float
    ) -> list[Action]:
        """Record that ``attempt`` ended without an answer; retry if useful.

        An answer that cannot be decoded is a failure of kind INVALID_ANSWER.
        """
        self._advance(now)
        return self._with_outcome(self._run.failed(attempt, failure, self._now))

    def tick(self, now: float) -> list[Action]:
        """Start the hedges and retries that are due, or finish."""
        self._advance(now)
        return self._with_outcome(self._run.tick(self._now))

    def restart(self, pin: Pin | None, now: float) -> list[Action]:
        """Complete a ``Repin``: rerun the query on ``pin``, or continue if None.

        Partials of the two runs are never mixed. The answer is that of the
        second run unless the first run has a higher coverage.
        """
        self._advance(now)
        if not self._awaiting_pin or self._finished:
            return []
        self._awaiting_pin = False
        if pin is None or pin == self._run.pin:
            self._counters.add("repins", RepinReason.NO_BETTER_PIN)
            self._run.keep_pin()
            return self._with_outcome([])
        self._counters.add("repins", RepinReason.RESTARTED)
        actions = self._run.cancel_all(CancelReason.REPINNED)
        self._run.give_up(MissingReason.SNAPSHOT_NOT_HELD)
        self._first_answer = self._run.build_answer()
        self._pin_requests_left = 0
        self._run = self._new_run(pin, self._run.next_number, frozenset())
        return self._with_outcome(actions + self._run.start(self._now))

    def caller_gone(self, now: float) -> list[Action]:
        """Stop without an answer because the caller no longer waits for it."""
        self._advance(now)
        if self._finished:
            return []
        self._finished = True
        actions = self._run.cancel_all(CancelReason.CALLER_GONE)
        self._run.give_up(MissingReason.TIMED_OUT)
        return actions

    def _new_run(
        self, pin: Pin, first_number: int, unavailable: frozenset[str]
    ) -> FanoutRun:
        return FanoutRun(
            query=self._query,
            pin=pin,
            services=self._services,
            policies=self._policies,
            finish_at=self._finish_at,
            first_number=first_number,
            unavailable=unavailable,
        )

    def _advance(self, now: float) -> None:
        self._now = max(self._now, now)

    def _with_outcome(self, actions: list[Action]) -> list[Action]:
        """Append a ``Repin`` or ``Finish`` to ``actions`` if one is due."""
        if self._finished:
            return actions
        if self._now >= self._finish_at:
            return actions + self._finish()
        if self._run.needs_pin and not self._awaiting_pin and self._pin_requests_left:
            actions.extend(self._request_pin())
        if self._run.is_settled and not self._awaiting_pin:
            return actions + self._finish()
        return actions

    def _request_pin(self) -> list[Action]:
        """Request another pin if a complete second run can still end in time."""
        self._pin_requests_left -= 1
        elapsed = self._now - self._started_at
        needed = max(elapsed, self._settings.min_repin_time)
        if self._now + needed > self._finish_at:
            self._counters.add("repins", RepinReason.NO_TIME)
            self._run.keep_pin()
            return []
        self._awaiting_pin = True
        return [Repin(refused=self._run.pin)]

    def _finish(self) -> list[Action]:
        self._finished = True
        answer = self._run.build_answer()
        first = self._first_answer
        if first is not None and first.coverage.share > answer.coverage.share:
            self._counters.add("repins", RepinReason.FIRST_RUN_KEPT)
            answer = first
        for shard in answer.coverage.missing:
            self._counters.add("fanout_missing", shard.reason)
        actions = self._run.cancel_all(CancelReason.DEADLINE)
        return [*actions, Finish(answer=answer)]
