"""Decides how one query is forwarded to the owners of its services.

The work of a service is sent to its owner first, then to the backup owner, and
finally to the backend servers directly. A slow owner is hedged like a slow
replica (Dean and Barroso, "The Tail at Scale", 2013).
"""

from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from savorypond.model import (
    Answer,
    Counters,
    Coverage,
    Instance,
    Pin,
    Preference,
    Query,
    Service,
)
from savorypond.protocols import ExtraAttemptBudget, HedgePolicy, Route
from savorypond.queries.layouts import asked_shards
from savorypond.queries.merge import merge_answers
from savorypond.reasons import (
    CancelReason,
    HedgeReason,
    MissingReason,
    RetryReason,
)

MIN_SUBQUERY_TIME = (
    0.005  # seconds that must remain to send a subquery to another owner
)
_DIRECT = ""  # key of this instance
_RETRIABLE_REASONS = frozenset(
    {
        MissingReason.CONNECTION_FAILED,
        MissingReason.NO_BACKEND_SERVER,
        MissingReason.OWNER_UNREACHABLE,
    }
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Subquery:
    """The part of a query that one instance runs for a subset of its services.

    :param owner: the instance that runs it, or None for this instance.
    """

    number: int
    owner: Instance | None
    services: tuple[Service, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class SendSubquery:
    """Send ``subquery``.

    :param deadline: monotonic seconds after which the answer is not needed.
    """

    subquery: Subquery
    deadline: float


@dataclass(frozen=True, slots=True, kw_only=True)
class CancelSubquery:
    """Cancel ``subquery`` because its answer is no longer needed."""

    subquery: Subquery
    reason: CancelReason


@dataclass(frozen=True, slots=True, kw_only=True)
class FinishForwarding:
    """End the forwarding with ``answer``; no action follows."""

    answer: Answer


ForwardAction = SendSubquery | CancelSubquery | FinishForwarding


@dataclass(slots=True, kw_only=True)
class _ServiceState:
    """The progress of one service.

    :param targets: the instances to try next, with None for this instance last.
    :param running: numbers of the running subqueries that include the service.
    """

    service: Service
    targets: list[Instance | None]
    running: set[int] = field(default_factory=set)
    done: bool = False


class Forwarding:
    """Forwards one query to owners; each event method returns the actions to take.

    Each owner gets one subquery for all its services. If it fails or is slow,
    the services are sent to their backups, again in one subquery per backup.

    :param finish_at: monotonic seconds at which the answer is merged from the
        results received by then.
    """

    def __init__(
        self,
        *,
        query: Query,
        pin: Pin,
        routes: Sequence[Route],
        hedging: HedgePolicy,
        budget: ExtraAttemptBudget,
        counters: Counters,
        finish_at: float,
    ) -> None:
        self._query = query
        self._pin = pin
        self._hedging = hedging
        self._budget = budget
        self._counters = counters
        self._finish_at = finish_at
        self._states = {route.service.name: _initial_state(route) for route in routes}
        services = [route.service for route in routes]
        self._asked = asked_shards(services, pin.layout).asked
        self._subqueries: dict[int, Subquery] = {}
        self._hedges: dict[int, float] = {}
        self._answers: list[Answer] = []
        self._unsettled = len(self._states)
        self._last_number = 0
        self._finished = False

    @property
    def finished(self) -> bool:
        """Whether the query has ended."""
        return self._finished

    def next_timer(self) -> float:
        """Return the monotonic time of the next ``tick``."""
        return min([self._finish_at, *self._hedges.values()])

    def start(self, now: float) -> list[ForwardAction]:
        """Send the first subquery to each owner."""
        return self._finish_if_done(self._send_next(list(self._states.values()), now))

    def answered(
        self, subquery: Subquery, answer: Answer, now: float
    ) -> list[ForwardAction]:
        """Handle the answer to ``subquery``, which may be late or partial."""
        if not self._remove(subquery) or self._finished:
            return []
        self._answers.append(answer)
        missing = {m.shard: m.reason for m in answer.coverage.missing}
        retried = []
        for state in self._open_states(subquery):
            if self._should_retry(state, missing, now):
                retried.append(state)
            else:
                self._settle(state)
        actions = self._cancel_superseded(subquery)
        if retried:
            self._counters.add("retries", RetryReason.OWNER_UNREACHABLE)
            actions += self._send_next(retried, now)
        return self._finish_if_done(actions)

    def answered_partially(
        self, subquery: Subquery, answer: Answer, now: float
    ) -> list[ForwardAction]:
        """Handle a part of the answer to ``subquery``; the rest may follow."""
        if subquery.number not in self._subqueries or self._finished:
            return []
        covered = answer.coverage.covered
        # The reasons for the missing shards only come with the final answer.
        coverage = Coverage(asked=covered, covered=covered)
        self._answers.append(replace(answer, coverage=coverage))
        for state in self._open_states(subquery):
            if covered >= self._shards(state):
                self._settle(state)
        return self._finish_if_done(self._cancel_superseded(subquery))

    def failed(self, subquery: Subquery, now: float) -> list[ForwardAction]:
        """Record that ``subquery`` ended without an answer."""
        if not self._remove(subquery) or self._finished:
            return []
        unanswered = [
            state for state in self._open_states(subquery) if not state.running
        ]
        if not unanswered:
            return self._finish_if_done([])
        self._counters.add("retries", RetryReason.OWNER_UNREACHABLE)
        return self._finish_if_done(self._send_next(unanswered, now))

    def tick(self, now: float) -> list[ForwardAction]:
        """Hedge slow owners, or finish if the time is over."""
        slow: list[_ServiceState] = []
        for number, due in list(self._hedges.items()):
            if due <= now:
                del self._hedges[number]
                slow += self._states_to_hedge(self._subqueries[number], now)
        actions = self._send_next(slow, now)
        return self._finish_if_done(actions, expired=now >= self._finish_at)

    def cancel(self) -> list[ForwardAction]:
        """Stop without an answer because the caller no longer waits for it."""
        self._finished = True
        return self._cancel_running(CancelReason.CALLER_GONE)

    def _open_states(self, subquery: Subquery) -> list[_ServiceState]:
        states = [self._states[service.name] for service in subquery.services]
        return [state for state in states if not state.done]

    def _remove(self, subquery: Subquery) -> bool:
        known = self._subqueries.pop(subquery.number, None)
        self._hedges.pop(subquery.number, None)
        for service in subquery.services:
            self._states[service.name].running.discard(subquery.number)
        return known is not None

    def _should_retry(
        self, state: _ServiceState, missing: dict[str, MissingReason], now: float
    ) -> bool:
        if state.running or not state.targets:
            return False
        if self._query.prefer is not Preference.COVERAGE:
            return False
        if self._finish_at - now < MIN_SUBQUERY_TIME:
            return False
        shards = self._shards(state)
        return any(missing.get(shard) in _RETRIABLE_REASONS for shard in shards)

    def _shards(self, state: _ServiceState) -> frozenset[str]:
        layout = state.service.layout(self._pin.layout)
        return frozenset([shard.shard for shard in layout.shards] if layout else [])

    def _send_next(
        self, states: list[_ServiceState], now: float
    ) -> list[ForwardAction]:
        """Send each service to its next target, in one subquery per target."""
        batches: dict[str, _Batch] = {}
        for state in states:
            if not state.targets or now >= self._finish_at:
                self._settle(state)
                continue
            owner = state.targets.pop(0)
            key = owner_key(owner)
            batches.setdefault(key, _Batch(owner=owner)).states.append(state)
        return [self._send(batch, now) for batch in batches.values()]

    def _send(self, batch: "_Batch", now: float) -> ForwardAction:
        self._last_number += 1
        services = tuple(state.service for state in batch.states)
        subquery = Subquery(
            number=self._last_number, owner=batch.owner, services=services
        )
        self._subqueries[subquery.number] = subquery
        for state in batch.states:
            state.running.add(subquery.number)
        if batch.owner is not None:
            key = owner_key(batch.owner)
            self._budget.record_first(server=key, now=now)
            delay = self._hedging.delay(service=key)
            if delay is not None:
                self._hedges[subquery.number] = now + delay
        return SendSubquery(subquery=subquery, deadline=self._finish_at)

    def _states_to_hedge(self, subquery: Subquery, now: float) -> list[_ServiceState]:
        """Return the services to hedge, if the budget allows it."""
        states = [state for state in self._open_states(subquery) if state.targets]
        if not states or subquery.owner is None:
            return []
        if not self._budget.try_spend(server=owner_key(subquery.owner), now=now):
            return []
        self._counters.add("hedges", HedgeReason.SLOW_OWNER)
        return states

    def _settle(self, state: _ServiceState) -> None:
        if not state.done:
            state.done = True
            self._unsettled -= 1

    def _cancel_superseded(self, answered: Subquery) -> list[ForwardAction]:
        """Cancel the subqueries that have no open services after ``answered``."""
        # Only subqueries that share a service with it can be superseded.
        numbers = {
            number
            for service in answered.services
            for number in self._states[service.name].running
        }
        candidates = [self._subqueries[number] for number in sorted(numbers)]
        superseded = [
            subquery for subquery in candidates if not self._open_states(subquery)
        ]
        for subquery in superseded:
            self._remove(subquery)
            self._counters.add("cancels", CancelReason.LOST_RACE)
        return [
            CancelSubquery(subquery=subquery, reason=CancelReason.LOST_RACE)
            for subquery in superseded
        ]

    def _finish_if_done(
        self, actions: list[ForwardAction], *, expired: bool = False
    ) -> list[ForwardAction]:
        # Only a tick ends the query on time-out, so that answers which arrived in
        # time but are still queued are not lost when the first one is handled.
        if self._finished:
            return actions
        if not expired and self._unsettled:
            return actions
        self._finished = True
        default_reason = MissingReason.OWNER_UNREACHABLE
        if self._subqueries:
            default_reason = MissingReason.TIMED_OUT
        actions += self._cancel_running(CancelReason.DEADLINE)
        return [*actions, FinishForwarding(answer=self._merge(default_reason))]

    def _cancel_running(self, reason: CancelReason) -> list[ForwardAction]:
        running = list(self._subqueries.values())
        for subquery in running:
            self._remove(subquery)
            self._counters.add("cancels", reason)
        return [
            CancelSubquery(subquery=subquery, reason=reason) for subquery in running
        ]

    def _merge(self, default_reason: MissingReason) -> Answer:
        return merge_answers(
            request_id=self._query.request_id,
            pin=self._pin,
            answers=self._answers,
            asked=self._asked,
            default_reason=default_reason,
        )


@dataclass(slots=True, kw_only=True)
class _Batch:
    """The services to send to one instance."""

    owner: Instance | None
    states: list[_ServiceState] = field(default_factory=list)


def owner_key(owner: Instance | None) -> str:
    """Return the key of ``owner`` in hedging statistics and budgets."""
    return f"owner {owner.name}" if owner is not None else _DIRECT


def _initial_state(route: Route) -> _ServiceState:
    targets: list[Instance | None] = [
        instance for instance in (route.owner, route.backup) if instance is not None
    ]
    return _ServiceState(service=route.service, targets=[*targets, None])
