"""Decides how one query reaches the owners of its services.

The work of a service goes to its owner, from there to the backup owner, and in
the end to the backend servers directly. A slow owner is hedged as a slow
replica is (Dean and Barroso, "The Tail at Scale", 2013).
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
from savorypond.protocols import ExtraWorkBudget, HedgePolicy, Route
from savorypond.queries.layouts import asked_shards
from savorypond.queries.merge import merge_answers
from savorypond.reasons import (
    CancelReason,
    HedgeReason,
    MissingReason,
    RetryReason,
)

LEAST_ASK_TIME = 0.005  # seconds below which no other owner is asked
_DIRECT = ""  # stands for this instance among those asked
_WORTH_ANOTHER = frozenset(
    {
        MissingReason.CONNECTION_FAILED,
        MissingReason.NO_BACKEND_SERVER,
        MissingReason.OWNER_UNREACHABLE,
    }
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Subquery:
    """One request for the answers of some services.

    :param owner: the instance asked, or None for this one.
    """

    number: int
    owner: Instance | None
    services: tuple[Service, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class SendSubquery:
    """Send ``ask``; its answer is of no use after ``deadline``."""

    subquery: Subquery
    deadline: float


@dataclass(frozen=True, slots=True, kw_only=True)
class CancelSubquery:
    """Nobody waits for the answer to ``ask`` any longer."""

    subquery: Subquery
    reason: CancelReason


@dataclass(frozen=True, slots=True, kw_only=True)
class FinishForwarding:
    """Return ``answer``; nothing follows."""

    answer: Answer


ForwardAction = SendSubquery | CancelSubquery | FinishForwarding


@dataclass(slots=True, kw_only=True)
class _ServiceState:
    """How far one service has come.

    :param steps: whom to ask next, this instance last.
    :param running: numbers of the asks that include the service.
    """

    service: Service
    steps: list[Instance | None]
    running: set[int] = field(default_factory=set)
    done: bool = False


class Forwarding:
    """One query's way over owners; each event returns what to do.

    An owner gets one request for all its services. Where it fails or is slow,
    they go on to their backups, again in one request for each backup.

    :param finish_at: monotonic seconds at which the answer is composed from
        what has come.
    """

    def __init__(
        self,
        *,
        query: Query,
        pin: Pin,
        routes: Sequence[Route],
        hedging: HedgePolicy,
        budget: ExtraWorkBudget,
        counters: Counters,
        finish_at: float,
    ) -> None:
        self._query = query
        self._pin = pin
        self._hedging = hedging
        self._budget = budget
        self._counters = counters
        self._finish_at = finish_at
        self._states = {route.service.name: _first_state(route) for route in routes}
        services = [route.service for route in routes]
        self._asked = asked_shards(services, pin.layout).asked
        self._asks: dict[int, Subquery] = {}
        self._hedges: dict[int, float] = {}
        self._answers: list[Answer] = []
        self._unsettled = len(self._states)
        self._numbers = 0
        self._finished = False

    @property
    def finished(self) -> bool:
        """Whether the query is over."""
        return self._finished

    def next_timer(self) -> float:
        """Return the monotonic seconds at which to tick."""
        return min([self._finish_at, *self._hedges.values()])

    def start(self, now: float) -> list[ForwardAction]:
        """Ask every owner."""
        return self._close(self._ask_next(list(self._states.values()), now))

    def answered(
        self, subquery: Subquery, answer: Answer, now: float
    ) -> list[ForwardAction]:
        """Take the answer to ``ask``, which may be late or partial."""
        if not self._forget(subquery) or self._finished:
            return []
        self._answers.append(answer)
        missing = {m.shard: m.reason for m in answer.coverage.missing}
        again = []
        for state in self._open_states(subquery):
            if self._wants_another(state, missing, now):
                again.append(state)
            else:
                self._settle(state)
        actions = self._cancel_useless(subquery)
        if again:
            self._counters.add("retries", RetryReason.OWNER_UNREACHABLE)
            actions += self._ask_next(again, now)
        return self._close(actions)

    def answered_partly(
        self, subquery: Subquery, answer: Answer, now: float
    ) -> list[ForwardAction]:
        """Take a part of the answer to ``ask``; the rest may follow."""
        if subquery.number not in self._asks or self._finished:
            return []
        covered = answer.coverage.covered
        # Why the rest is missing is not known before the last answer.
        coverage = Coverage(asked=covered, covered=covered)
        self._answers.append(replace(answer, coverage=coverage))
        for state in self._open_states(subquery):
            if covered >= self._shards(state):
                self._settle(state)
        return self._close(self._cancel_useless(subquery))

    def lost(self, subquery: Subquery, now: float) -> list[ForwardAction]:
        """Note that no answer to ``ask`` will come."""
        if not self._forget(subquery) or self._finished:
            return []
        alone = [state for state in self._open_states(subquery) if not state.running]
        if not alone:
            return self._close([])
        self._counters.add("retries", RetryReason.OWNER_UNREACHABLE)
        return self._close(self._ask_next(alone, now))

    def tick(self, now: float) -> list[ForwardAction]:
        """Hedge slow owners, or finish."""
        late: list[_ServiceState] = []
        for number, due in list(self._hedges.items()):
            if due <= now:
                del self._hedges[number]
                late += self._to_hedge(self._asks[number], now)
        actions = self._ask_next(late, now)
        return self._close(actions, over=now >= self._finish_at)

    def cancel(self) -> list[ForwardAction]:
        """Stop without an answer, since nobody waits for it."""
        self._finished = True
        return self._cancel_running(CancelReason.CALLER_GONE)

    def _open_states(self, subquery: Subquery) -> list[_ServiceState]:
        states = [self._states[service.name] for service in subquery.services]
        return [state for state in states if not state.done]

    def _forget(self, subquery: Subquery) -> bool:
        known = self._asks.pop(subquery.number, None)
        self._hedges.pop(subquery.number, None)
        for service in subquery.services:
            self._states[service.name].running.discard(subquery.number)
        return known is not None

    def _wants_another(
        self, state: _ServiceState, missing: dict[str, MissingReason], now: float
    ) -> bool:
        if state.running or not state.steps:
            return False
        if self._query.prefer is not Preference.COVERAGE:
            return False
        if self._finish_at - now < LEAST_ASK_TIME:
            return False
        shards = self._shards(state)
        return any(missing.get(shard) in _WORTH_ANOTHER for shard in shards)

    def _shards(self, state: _ServiceState) -> frozenset[str]:
        layout = state.service.layout(self._pin.layout)
        return frozenset([shard.shard for shard in layout.shards] if layout else [])

    def _ask_next(self, states: list[_ServiceState], now: float) -> list[ForwardAction]:
        """Ask whom each service goes to next, one request for each."""
        batches: dict[str, _Batch] = {}
        for state in states:
            if not state.steps or now >= self._finish_at:
                self._settle(state)
                continue
            owner = state.steps.pop(0)
            key = owner_key(owner)
            batches.setdefault(key, _Batch(owner=owner)).states.append(state)
        return [self._send(batch, now) for batch in batches.values()]

    def _send(self, batch: "_Batch", now: float) -> ForwardAction:
        self._numbers += 1
        services = tuple(state.service for state in batch.states)
        subquery = Subquery(number=self._numbers, owner=batch.owner, services=services)
        self._asks[subquery.number] = subquery
        for state in batch.states:
            state.running.add(subquery.number)
        if batch.owner is not None:
            key = owner_key(batch.owner)
            self._budget.record_first(server=key, now=now)
            delay = self._hedging.delay(service=key)
            if delay is not None:
                self._hedges[subquery.number] = now + delay
        return SendSubquery(subquery=subquery, deadline=self._finish_at)

    def _to_hedge(self, subquery: Subquery, now: float) -> list[_ServiceState]:
        """Return what to ask another instance for, paid for out of the budget."""
        states = [state for state in self._open_states(subquery) if state.steps]
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

    def _cancel_useless(self, answered: Subquery) -> list[ForwardAction]:
        """Cancel the asks that wait only for services that ``answered`` settled."""
        # Only asks that share a service with the answered one can have lost.
        numbers = {
            number
            for service in answered.services
            for number in self._states[service.name].running
        }
        rivals = [self._asks[number] for number in sorted(numbers)]
        useless = [subquery for subquery in rivals if not self._open_states(subquery)]
        for subquery in useless:
            self._forget(subquery)
            self._counters.add("cancels", CancelReason.LOST_RACE)
        return [
            CancelSubquery(subquery=subquery, reason=CancelReason.LOST_RACE)
            for subquery in useless
        ]

    def _close(
        self, actions: list[ForwardAction], *, over: bool = False
    ) -> list[ForwardAction]:
        # Only a tick ends for want of time: what has come by then but waits to be
        # told must not be lost to what is told first.
        if self._finished:
            return actions
        if not over and self._unsettled:
            return actions
        self._finished = True
        unexplained = MissingReason.OWNER_UNREACHABLE
        if self._asks:
            unexplained = MissingReason.TIMED_OUT
        actions += self._cancel_running(CancelReason.DEADLINE)
        return [*actions, FinishForwarding(answer=self._merge(unexplained))]

    def _cancel_running(self, reason: CancelReason) -> list[ForwardAction]:
        running = list(self._asks.values())
        for subquery in running:
            self._forget(subquery)
            self._counters.add("cancels", reason)
        return [
            CancelSubquery(subquery=subquery, reason=reason) for subquery in running
        ]

    def _merge(self, unexplained: MissingReason) -> Answer:
        return merge_answers(
            request_id=self._query.request_id,
            pin=self._pin,
            answers=self._answers,
            asked=self._asked,
            unexplained=unexplained,
        )


@dataclass(slots=True, kw_only=True)
class _Batch:
    """The services that one instance is asked for."""

    owner: Instance | None
    states: list[_ServiceState] = field(default_factory=list)


def owner_key(owner: Instance | None) -> str:
    """Return the name under which hedging and budgets know an owner."""
    return f"owner {owner.name}" if owner is not None else _DIRECT


def _first_state(route: Route) -> _ServiceState:
    steps: list[Instance | None] = [
        one for one in (route.owner, route.backup) if one is not None
    ]
    return _ServiceState(service=route.service, steps=[*steps, None])
