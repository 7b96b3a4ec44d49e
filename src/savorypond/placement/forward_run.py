"""Runs the forwarding of one query to the owners of its services."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from typing import Any, Protocol

from absl.logging import exception as log_exception
from curio import CancelledError, Queue, TaskTimeout, spawn

from savorypond.clock import Clock
from savorypond.exceptions import RequestRefused, WireError
from savorypond.model import (
    Answer,
    Counters,
    Instance,
    Pin,
    Query,
    Service,
    ShardPartial,
)
from savorypond.peers.link import LinkError, PeerLinks
from savorypond.peers.link_messages import ForwardAnswer, ForwardQuery
from savorypond.placement.forwarding import (
    CancelSubquery,
    FinishForwarding,
    ForwardAction,
    Forwarding,
    SendSubquery,
    Subquery,
    owner_key,
)
from savorypond.protocols import ExtraAttemptBudget, HedgePolicy, Placement, Route
from savorypond.queries.layouts import asked_shards
from savorypond.queries.merge import build_answer
from savorypond.queries.query_run import QueryDependencies, QueryRun
from savorypond.reasons import CancelReason, DropReason
from savorypond.timeouts import timeout_after

RETURN_TIME = 0.004  # seconds to return an owner's answer, in addition to the link time
MERGE_TIME = 0.001  # seconds to merge and send the complete answer

_Event = Callable[[Forwarding, float], list[ForwardAction]]


class OwnerMonitor(Protocol):
    """Tracks the answers and failures of owners."""

    def owner_answered(self, *, owner: Instance, seconds: float) -> None:
        """Record one answer of ``owner`` and its latency in seconds."""

    def owner_lost(self, *, owner: Instance) -> None:
        """Record one request to ``owner`` that got no answer."""

    def owner_answered_partially(self, *, owner: Instance) -> None:
        """Record that ``owner`` sent a part of its answer."""

    def should_avoid(self, *, owner: Instance) -> bool:
        """Tell whether to use the backup because ``owner`` does not respond."""

    def owner_holds(self, *, services: Sequence[Service], pins: Sequence[Pin]) -> None:
        """Record which snapshots the backend servers of ``services`` hold."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardDependencies:
    """The objects shared by all forwarded queries of an instance.

    :param link_time: one-way seconds to a peer in another data centre.
    """

    local: QueryDependencies
    placement: Placement
    links: PeerLinks
    owner_monitor: OwnerMonitor
    hedging: HedgePolicy
    budget: ExtraAttemptBudget
    counters: Counters
    clock: Clock
    data_centre: str
    link_time: float


@dataclass(frozen=True, slots=True, kw_only=True)
class _LocalRun:
    """A subquery that this instance runs itself."""

    subquery: Subquery
    run: QueryRun


class ForwardRun:
    """Feeds events to the ``Forwarding`` of one query and carries out its actions."""

    def __init__(
        self,
        *,
        dependencies: ForwardDependencies,
        query: Query,
        pin: Pin,
        services: Sequence[Service],
    ) -> None:
        self._dependencies = dependencies
        self._query = query
        self._pin = pin
        self._events: Queue = Queue()
        self._answer: Answer | None = None
        self._tasks: dict[int, Any] = {}
        self._local: dict[int, _LocalRun] = {}
        routes = dependencies.placement.routes(
            services=services, now=dependencies.clock.now()
        )
        self._forwarding = Forwarding(
            query=query,
            pin=pin,
            routes=self._skip_unresponsive(routes),
            hedging=dependencies.hedging,
            budget=dependencies.budget,
            counters=dependencies.counters,
            finish_at=query.deadline - MERGE_TIME,
        )

    def _skip_unresponsive(self, routes: Sequence[Route]) -> list[Route]:
        owners = {r.owner.name: r.owner for r in routes if r.owner is not None}
        owner_monitor = self._dependencies.owner_monitor
        unresponsive = {
            name
            for name, owner in owners.items()
            if owner_monitor.should_avoid(owner=owner)
        }
        return [
            replace(route, owner=route.backup, backup=None)
            if route.owner is not None and route.owner.name in unresponsive
            else route
            for route in routes
        ]

    async def run(self) -> Answer:
        """Return the answer by the query's deadline."""
        try:
            return await self._drive()
        except CancelledError:
            await self._apply(self._forwarding.cancel())
            raise

    async def _drive(self) -> Answer:
        await self._apply(self._forwarding.start(self._now()))
        while self._answer is None:
            event = await self._next_event()
            await self._apply(event(self._forwarding, self._now()))
        return self._answer

    async def _next_event(self) -> _Event:
        if not self._events.empty():
            return await self._next_queued()
        wait = max(self._forwarding.next_timer() - self._now(), 0.0)
        try:
            async with timeout_after(wait):
                return await self._next_queued()
        except TaskTimeout:
            await self._finish_local()
        if not self._events.empty():
            return await self._next_queued()
        return Forwarding.tick

    async def _next_queued(self) -> _Event:
        event: _Event = await self._events.get()
        return event

    async def _finish_local(self) -> None:
        """Collect the answers of local subqueries before the answer is merged."""
        if self._now() < self._query.deadline - MERGE_TIME:
            return
        for number, local in list(self._local.items()):
            answer = await local.run.finish()
            if answer is not None:
                self._local.pop(number, None)
                await self._apply(
                    self._forwarding.answered(local.subquery, answer, self._now())
                )

    async def _apply(self, actions: list[ForwardAction]) -> None:
        for action in actions:
            if isinstance(action, SendSubquery):
                task = await spawn(self._run_subquery, action, daemon=True)
                self._tasks[action.subquery.number] = task
            elif isinstance(action, CancelSubquery):
                if action.reason is CancelReason.DEADLINE and action.subquery.owner:
                    self._dependencies.owner_monitor.owner_lost(
                        owner=action.subquery.owner
                    )
                task = self._tasks.pop(action.subquery.number, None)
                if task is not None:
                    await task.cancel(blocking=False)
            elif isinstance(action, FinishForwarding):
                self._answer = action.answer

    async def _run_subquery(self, action: SendSubquery) -> None:
        subquery = action.subquery
        try:
            if subquery.owner is None:
                answer = await self._run_locally(subquery)
            else:
                answer = await self._forward(subquery, subquery.owner, action.deadline)
        except CancelledError:
            raise
        except (LinkError, RequestRefused, WireError):
            await self._events.put(
                lambda forwarding, now: forwarding.failed(subquery, now)
            )
            return
        except Exception:
            log_exception("subquery to %s failed", owner_key(subquery.owner))
            await self._events.put(
                lambda forwarding, now: forwarding.failed(subquery, now)
            )
            return
        await self._events.put(
            lambda forwarding, now: forwarding.answered(subquery, answer, now)
        )

    async def _run_locally(self, subquery: Subquery) -> Answer:
        run = QueryRun(
            dependencies=self._dependencies.local,
            query=self._query,
            pin=self._pin,
            services=subquery.services,
        )
        self._local[subquery.number] = _LocalRun(subquery=subquery, run=run)
        try:
            return await run.run()
        finally:
            self._local.pop(subquery.number, None)

    async def _forward(
        self, subquery: Subquery, owner: Instance, deadline: float
    ) -> Answer:
        started = self._now()
        link_time = self._link_time(owner)
        # The owner deducts the finish margin itself, as this instance does.
        time_left = self._query.deadline - started - 2.0 * link_time - RETURN_TIME
        message = self._message(subquery, time_left)

        async def early(reply: ForwardAnswer) -> None:
            if self._drop_reason(reply) is None:
                self._dependencies.owner_monitor.owner_answered_partially(owner=owner)
                part = self._to_answer(subquery, owner, reply)
                await self._events.put(
                    lambda forwarding, now: forwarding.answered_partially(
                        subquery, part, now
                    )
                )

        try:
            reply = await self._dependencies.links.request(
                owner.peer_address,
                message,
                timeout=deadline - started,
                on_early_reply=early,
            )
        except LinkError:
            self._dependencies.owner_monitor.owner_lost(owner=owner)
            raise
        if not isinstance(reply, ForwardAnswer):
            raise WireError(sender=owner.name, problem=f"unexpected {type(reply)}")
        self._dependencies.owner_monitor.owner_answered(
            owner=owner, seconds=self._now() - started
        )
        self._report_holdings(subquery, reply)
        return self._to_answer(subquery, owner, reply)

    def _message(self, subquery: Subquery, time_left: float) -> ForwardQuery:
        query = self._query
        return ForwardQuery(
            request_id=query.request_id,
            index=subquery.services[0].index,
            services=tuple(service.name for service in subquery.services),
            snapshot=self._pin.snapshot,
            layout=self._pin.layout,
            body=query.body,
            time_left=time_left,
            prefer=query.prefer,
            priority=query.priority,
        )

    def _report_holdings(self, subquery: Subquery, reply: ForwardAnswer) -> None:
        pins = [Pin(snapshot=h.snapshot, layout=h.layout) for h in reply.held]
        if pins:
            self._dependencies.owner_monitor.owner_holds(
                services=subquery.services, pins=pins
            )

    def _to_answer(
        self, subquery: Subquery, owner: Instance, reply: ForwardAnswer
    ) -> Answer:
        reason = self._drop_reason(reply)
        if reason is not None:
            self._dependencies.counters.add("drops", reason)
            raise WireError(sender=owner.name, problem=f"answer is {reason.value}")
        return build_answer(
            request_id=self._query.request_id,
            pin=self._pin,
            asked=asked_shards(subquery.services, self._pin.layout).asked,
            partials=(
                ShardPartial(shard=partial.shard, results=partial.results)
                for partial in reply.partials
            ),
            missing={missing.shard: missing.reason for missing in reply.missing},
        )

    def _drop_reason(self, reply: ForwardAnswer) -> DropReason | None:
        if reply.request_id != self._query.request_id:
            return DropReason.WRONG_REQUEST
        if reply.snapshot != self._pin.snapshot:
            return DropReason.WRONG_SNAPSHOT
        if reply.layout != self._pin.layout:
            return DropReason.WRONG_LAYOUT
        return None

    def _link_time(self, owner: Instance) -> float:
        near = owner.data_centre == self._dependencies.data_centre
        return 0.0 if near else self._dependencies.link_time

    def _now(self) -> float:
        return self._dependencies.clock.now()


def forwarded_query(query: Query, *, instance: str, deadline: float) -> Query:
    """Return ``query`` as forwarded by ``instance``.

    The request id gets a suffix because another owner may send the same query to
    the same backend server, and cancellations identify requests by id.
    """
    return replace(
        query, request_id=f"{query.request_id}.{instance}", deadline=deadline
    )
