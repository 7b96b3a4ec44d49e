"""One run of a query's fan-out on one pin: attempts, hedges and retries.

Hedging after a high percentile follows Dean and Barroso, "The Tail at Scale"
(Communications of the ACM 56(2), 2013). Charging hedges and retries to a budget
that grows with first attempts follows Beyer et al., "Site Reliability
Engineering" (O'Reilly, 2016), chapters 21 and 22.
"""

from collections.abc import Sequence

from savorypond.model import (
    Answer,
    BackendServer,
    Pin,
    Preference,
    Query,
    Service,
    ShardPartial,
)
from savorypond.protocols import Purpose
from savorypond.queries.attempt_table import RETRY_TIMER, AttemptTable, RunTimers
from savorypond.queries.attempts import (
    Action,
    Attempt,
    AttemptFailure,
    FailureKind,
    RejectAnswer,
    SendAttempt,
)
from savorypond.queries.fanout_policies import FanoutPolicies
from savorypond.queries.layouts import asked_shards
from savorypond.queries.merge import build_answer
from savorypond.queries.partials import CheckedAnswer, ServerAnswer, check_answer
from savorypond.queries.service_runs import ServiceRun
from savorypond.reasons import (
    CancelReason,
    DenialReason,
    DropReason,
    HedgeReason,
    MissingReason,
)


class FanoutRun:
    """Decides which attempts one run of a query makes.

    Hedges, and retries that add load, are charged to the budget. While the
    budget is exhausted, they wait as long as time remains.

    :param services: the services to query, all of one index.
    :param finish_at: monotonic seconds at which the run ends.
    :param first_number: the number of the first attempt.
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
        finish_at: float,
        first_number: int,
        unavailable: frozenset[str] = frozenset(),
    ) -> None:
        self._query = query
        self._pin = pin
        self._policies = policies
        self._settings = policies.settings
        self._counters = policies.counters
        self._finish_at = finish_at
        shards = asked_shards(services, pin.layout)
        self._asked = shards.asked
        self._runs = [
            ServiceRun(service=service, uncovered=set(names))
            for service, names in shards.by_service
        ]
        if unavailable:
            self._mark_unavailable(unavailable)
        self._unsettled = len(self._runs)
        self._attempts = AttemptTable(
            pin=pin, counters=policies.counters, first_number=first_number
        )
        self._timers = RunTimers()
        self._partials: list[ShardPartial] = []
        self._now = float("-inf")
        self._needs_pin = False

    @property
    def pin(self) -> Pin:
        """The snapshot and layout of all partials."""
        return self._pin

    @property
    def next_number(self) -> int:
        """The number of the next attempt."""
        return self._attempts.next_number

    @property
    def is_settled(self) -> bool:
        """Whether every service is covered or expects no further results."""
        return self._unsettled == 0

    @property
    def needs_pin(self) -> bool:
        """Whether a service has no replica left that may hold the snapshot."""
        return self._needs_pin

    def keep_pin(self) -> None:
        """Continue with this pin because no better one is available."""
        self._needs_pin = False

    @property
    def in_flight(self) -> int:
        """Number of attempts that are queued or running."""
        return self._attempts.in_flight

    def next_timer(self) -> float | None:
        """Return the monotonic time of the next hedge or retry, or None."""
        return self._timers.next_at()

    def start(self, now: float) -> list[Action]:
        """Send the first attempt to each service."""
        self._now = now
        if self._is_over():
            self._time_out()
            return []
        actions: list[Action] = []
        for run in self._runs:
            actions.extend(self._next_attempt(run))
        return actions

    def dispatched(self, attempt: Attempt, now: float) -> None:
        """Record that ``attempt`` got a slot and was written."""
        self._now = now
        run = self._attempts.find_run(attempt)
        if run is None:
            return
        running = run.running[attempt.number]
        running.dispatched = True
        if not running.extra:
            self._policies.budget.record_first(
                server=attempt.server.name, now=self._now
            )
        self._set_hedge_timer(run, attempt.number)

    def answered(
        self, attempt: Attempt, answer: ServerAnswer, now: float
    ) -> list[Action]:
        """Accept the usable partials of the answer to ``attempt``."""
        self._now = now
        run = self._attempts.end(attempt, answered=True)
        if run is None:
            self._drop_late(attempt)
            return []
        checked = check_answer(
            answer=answer,
            request_id=self._query.request_id,
            pin=self._pin,
            asked=attempt.shards,
        )
        actions: list[Action] = []
        if checked.drops:
            actions.append(RejectAnswer(attempt=attempt, drops=checked.drops))
        self._accept(run, checked)
        if run.uncovered:
            failure = AttemptFailure(kind=FailureKind.INVALID_ANSWER)
            return actions + self._after_failure(run, attempt, failure)
        self._settle(run)
        return actions + self._attempts.cancel(run, CancelReason.LOST_RACE)

    def failed(
        self, attempt: Attempt, failure: AttemptFailure, now: float
    ) -> list[Action]:
        """Record that ``attempt`` ended without an answer; retry if useful."""
        self._now = now
        run = self._attempts.end(attempt, answered=False)
        if run is None:
            return []
        if failure.kind is FailureKind.INVALID_ANSWER:
            self._counters.add("drops", DropReason.MALFORMED)
        return self._after_failure(run, attempt, failure)

    def tick(self, now: float) -> list[Action]:
        """Start the hedges and retries that are due."""
        self._now = now
        actions: list[Action] = []
        while not self._is_over():
            due = self._timers.pop_due(self._now)
            if due is None:
                break
            actions.extend(self._on_timer(*due))
        return actions

    def cancel_all(self, reason: CancelReason) -> list[Action]:
        """Cancel all queued and running attempts."""
        return self._attempts.cancel_all(reason)

    def give_up(self, reason: MissingReason) -> None:
        """Settle all open services with ``reason`` for their missing shards."""
        for run in self._runs:
            if not run.settled:
                run.reason = reason
                self._settle(run)

    def build_answer(self) -> Answer:
        """Build an answer from the partials accepted so far."""
        return build_answer(
            request_id=self._query.request_id,
            pin=self._pin,
            asked=self._asked,
            partials=self._partials,
            missing={
                shard: run.missing_reason()
                for run in self._runs
                for shard in run.uncovered
            },
        )

    def _is_over(self) -> bool:
        return self._now >= self._finish_at

    def _has_time_for(self, seconds: float) -> bool:
        return self._now + seconds <= self._finish_at

    def _drop_late(self, attempt: Attempt) -> None:
        again = self._attempts.was_answered(attempt)
        self._counters.add("drops", DropReason.DUPLICATE if again else DropReason.LATE)

    def _accept(self, run: ServiceRun, checked: CheckedAnswer) -> None:
        for drop in checked.drops:
            self._counters.add("drops", drop.reason)
        for partial in checked.accepted:
            if partial.shard in run.uncovered:
                run.uncovered.remove(partial.shard)
                self._partials.append(partial)
            else:
                self._counters.add("drops", DropReason.DUPLICATE)

    def _after_failure(
        self, run: ServiceRun, attempt: Attempt, failure: AttemptFailure
    ) -> list[Action]:
        run.record_failure(attempt, failure)
        if run.running or run.settled or self._is_over():
            return []
        return self._next_attempt(run, failure.retry_after or 0.0)

    def _next_attempt(self, run: ServiceRun, retry_after: float = 0.0) -> list[Action]:
        """Start the first attempt or a retry, schedule a retry, or give up."""
        if run.attempts >= self._max_attempts:
            return self._abandon(run, DenialReason.ATTEMPTS_SPENT)
        if not self._has_time_for(self._settings.min_attempt_time):
            if not run.attempts:
                run.reason = MissingReason.TIMED_OUT
            return self._abandon(run, DenialReason.NO_TIME)
        purpose = Purpose.RETRY if run.attempts else Purpose.FIRST
        server = self._choose(run, purpose)
        if server is None:
            return self._on_no_replica(run, retry_after)
        if run.charged and not self._try_spend(server):
            run.reason = MissingReason.BUDGET_SPENT
            return self._schedule_retry(run, 0.0, DenialReason.BUDGET_SPENT)
        if run.failure is not None:
            self._counters.add("retries", run.failure.retry_reason)
        return [self._send(run, server, purpose, extra=run.charged)]

    def _on_no_replica(self, run: ServiceRun, retry_after: float) -> list[Action]:
        if run.attempts:
            self._needs_pin = True
        if run.all_refused or (self._latency_first and not run.attempts):
            return self._abandon(run, DenialReason.NO_REPLICA)
        run.tried.clear()
        return self._schedule_retry(run, retry_after, DenialReason.NO_REPLICA)

    def _schedule_retry(
        self, run: ServiceRun, min_delay: float, denial: DenialReason
    ) -> list[Action]:
        """Schedule a retry with exponential backoff, within time and wait limits."""
        settings = self._settings
        if self._latency_first and run.waits >= settings.latency_max_waits:
            return self._abandon(run, denial)
        delay = min(settings.retry_delay * 2**run.waits, settings.max_retry_delay)
        delay = max(min_delay, delay * (0.5 + self._policies.random.random()))
        if not self._has_time_for(delay + settings.min_attempt_time):
            return self._abandon(run, denial)
        run.waits += 1
        run.waiting = True
        self._timers.push(at=self._now + delay, run=run)
        return []

    def _abandon(self, run: ServiceRun, denial: DenialReason) -> list[Action]:
        self._counters.add("denials", denial)
        self._settle(run)
        return []

    def _settle(self, run: ServiceRun) -> None:
        if not run.settled:
            run.settled = True
            run.waiting = False
            self._unsettled -= 1

    def _mark_unavailable(self, unavailable: frozenset[str]) -> None:
        for run in self._runs:
            if unavailable.issuperset(run.uncovered):
                run.reason = MissingReason.SNAPSHOT_NOT_HELD

    def _time_out(self) -> None:
        for run in self._runs:
            run.reason = MissingReason.TIMED_OUT

    def _on_timer(self, run: ServiceRun, number: int) -> list[Action]:
        if number != RETRY_TIMER:
            return self._hedge(run, number)
        run.waiting = False
        return self._next_attempt(run)

    def _hedge(self, run: ServiceRun, number: int) -> list[Action]:
        if run.attempts >= self._max_attempts:
            return self._deny_hedge(DenialReason.ATTEMPTS_SPENT)
        if not self._has_time_for(self._settings.min_attempt_time):
            return self._deny_hedge(DenialReason.NO_TIME)
        server = self._choose(run, Purpose.HEDGE)
        if server is None:
            self._set_hedge_timer(run, number)
            return self._deny_hedge(DenialReason.NO_REPLICA)
        if not self._try_spend(server):
            self._set_hedge_timer(run, number)
            return self._deny_hedge(DenialReason.BUDGET_SPENT)
        run.hedged = True
        self._counters.add("hedges", HedgeReason.SLOW_REPLICA)
        return [self._send(run, server, Purpose.HEDGE, extra=True)]

    def _deny_hedge(self, denial: DenialReason) -> list[Action]:
        self._counters.add("denials", denial)
        return []

    def _choose(self, run: ServiceRun, purpose: Purpose) -> BackendServer | None:
        return self._policies.chooser.choose(
            service=run.service,
            pin=self._pin,
            tried=run.excluded,
            now=self._now,
            purpose=purpose,
        )

    def _try_spend(self, server: BackendServer) -> bool:
        return self._policies.budget.try_spend(server=server.name, now=self._now)

    def _send(
        self,
        run: ServiceRun,
        server: BackendServer,
        purpose: Purpose,
        *,
        extra: bool,
    ) -> SendAttempt:
        attempt = self._attempts.open(
            run=run, server=server, purpose=purpose, extra=extra
        )
        return SendAttempt(attempt=attempt, deadline=self._finish_at)

    def _set_hedge_timer(self, run: ServiceRun, number: int) -> None:
        delay = self._policies.hedging.delay(service=run.service.name)
        if delay is not None and not run.hedged:
            at = self._now + max(delay, self._settings.retry_delay)
            self._timers.push(at=at, run=run, number=number)

    @property
    def _latency_first(self) -> bool:
        return self._query.prefer is Preference.LATENCY

    @property
    def _max_attempts(self) -> int:
        if self._latency_first:
            return self._settings.latency_max_attempts
        return self._settings.coverage_max_attempts
