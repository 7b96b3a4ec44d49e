"""Handles the requests of callers according to the current routes."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from math import isfinite
from random import Random

from curio import CancelledError, sleep

from savorypond.clock import Clock
from savorypond.exceptions import RequestRefused
from savorypond.gateway.answer_timing import AnswerTiming, partial_answer_delay
from savorypond.gateway.attempts import ForwardedRequest, forward_headers
from savorypond.gateway.crash_isolation import Admission, request_fingerprint
from savorypond.gateway.delegation_client import (
    GroupRequest,
    decode_follow_up,
    decode_group_request,
    group_response,
)
from savorypond.gateway.failures import failure_to_pass_on, refusal_of
from savorypond.gateway.headers import HeaderNames
from savorypond.gateway.plan_types import Verdict
from savorypond.gateway.published_feed import PublishedFeed
from savorypond.gateway.request_run import RequestRun
from savorypond.gateway.responses import (
    merged_response,
    proxied_response,
    refusal_response,
    retry_delay,
)
from savorypond.gateway.routes import Route, RouteTable
from savorypond.gateway.run_types import RunDependencies, RunResult, RunSpec
from savorypond.gateway.running_requests import RunningRequests
from savorypond.gateway.transit_delay import CLOSE_WAIT, LATE_AFTER, TransitDelays
from savorypond.gateway.unfinished_groups import (
    GroupKey,
    UnfinishedGroup,
    UnfinishedGroups,
)
from savorypond.gateway.weighted_split import WeightedSplit
from savorypond.http.messages import Header, HttpRequest, HttpResponse
from savorypond.logs import log_event
from savorypond.metrics import Metrics
from savorypond.reasons import Execution, RefusalReason

_MILLISECONDS = 1000.0  # per second
_GONE = 410


class GatewayHandler:
    """Finds the route of each request, runs the request and returns its response.

    :param cpu_capacity: processor time available to this instance, relative to one
        full processor.
    """

    def __init__(
        self,
        *,
        names: HeaderNames,
        feed: PublishedFeed,
        dependencies: RunDependencies,
        clock: Clock,
        random: Random,
        metrics: Metrics,
        cpu_capacity: float,
        timing: AnswerTiming,
        running: RunningRequests,
    ) -> None:
        self._timing = timing
        self._running = running
        self._names = names
        self._cpu_capacity = cpu_capacity
        self._feed = feed
        self._dependencies = dependencies
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._split = WeightedSplit(random=random)
        self._unfinished_groups = UnfinishedGroups()
        self._transit_delays = TransitDelays()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to ``request``."""
        received = self._clock.now() - request.unread_time
        request_id = request.header(self._names.request_id) or ""
        time_left = None
        try:
            table, route = self._find_route(request, request_id)
            time_left = self._time_left(request, route)
            deadline = received + time_left
            self._running.check_time(
                route,
                deadline=deadline,
                mean_latency=self._dependencies.latencies.mean(
                    route=route.name, goal=route.goal
                ),
                now=self._clock.now(),
            )
            forwarded = self._to_forwarded(
                request, request_id, route, self._running.answer_deadline(deadline)
            )
            return await self._serve(
                table, route, forwarded, received, network_delay=request.network_delay
            )
        except RequestRefused as refusal:
            self._record_refusal(request, request_id, refusal, received)
            retry_after = retry_delay(refusal, time_left, self._random)
            return refusal_response(
                refusal, request_id=request_id, retry_after=retry_after
            )

    async def handle_delegated(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a request that a peer delegated."""
        received = self._clock.now() - request.unread_time
        group_request = decode_group_request(request)
        await self._await_close_behind(request.peer, group_request, received)
        await self._feed.notice_version(group_request.version, peer=request.peer)
        leaving = self._dependencies.notices.leaving
        leaving.learn(group_request.leaving, self._clock.now())
        spec = RunSpec(
            route=group_request.route,
            version=group_request.version,
            services=group_request.route.shards,
            request=ForwardedRequest(
                method=group_request.method,
                path=group_request.path,
                headers=group_request.headers,
                body=group_request.body,
                request_id=group_request.request_id,
                caller_deadline=self._running.answer_deadline(
                    received + group_request.left
                ),
                repeatable=group_request.route.idempotent,
                route=group_request.route.name,
                is_part=True,
                max_response_bytes=group_request.route.max_response_bytes,
                fingerprint=request_fingerprint(
                    method=group_request.method,
                    host=_find_host(group_request.headers),
                    path=group_request.path,
                    body=group_request.body,
                ),
            ),
            partial_after=received
            + max(0.0, group_request.within - self._timing.merge_delay),
            least_share=0.0,
            may_delegate=False,
            admitted=group_request.admitted,
        )
        if self._dependencies.isolation.is_isolated(
            spec.request.fingerprint, self._clock.now()
        ):
            raise _isolated_refusal()
        run = RequestRun(dependencies=self._dependencies, spec=spec)
        async with self._track(run, spec, received):
            result = await run.run(resumable=True)
        key = GroupKey(
            peer=request.peer,
            request_id=group_request.request_id,
            number=group_request.number,
        )
        group = UnfinishedGroup(run=run, spec=spec, received=received)
        return await self._answer_group(key, group, result)

    async def _await_close_behind(
        self, peer: str, group_request: GroupRequest, received: float
    ) -> None:
        """Let the close arrive that may follow a message that was delayed.

        This task is cancelled if the peer has closed the connection.
        """
        if group_request.sent_at is None:
            return
        delay = self._transit_delays.record(
            peer, sent_at=group_request.sent_at, received_at=received
        )
        if delay < LATE_AFTER:
            return
        self._metrics.counters.add("gateway_handovers", "delayed")
        log_event(
            "delegation-delayed",
            request=group_request.request_id,
            peer=peer,
            ms=round(delay * _MILLISECONDS, 1),
        )
        await sleep(CLOSE_WAIT)

    async def handle_follow_up(self, request: HttpRequest) -> HttpResponse:
        """Return the next answers of a group that a peer delegated."""
        follow_up = decode_follow_up(request)
        key = GroupKey(
            peer=request.peer,
            request_id=follow_up.request_id,
            number=follow_up.number,
        )
        group = self._unfinished_groups.take(key)
        if group is None:
            return HttpResponse(status=_GONE)
        async with self._track(group.run, group.spec, group.received):
            result = await group.run.resume()
        return await self._answer_group(key, group, result)

    @asynccontextmanager
    async def _track(
        self, run: RequestRun, spec: RunSpec, received: float
    ) -> AsyncIterator[None]:
        """Track a run in the context; log it if its client leaves meanwhile."""
        async with self._running.track(run):
            try:
                yield
            except CancelledError:
                log_event(
                    "client-left",
                    request=spec.request.request_id,
                    route=spec.route.name,
                    abandoned=run.in_flight,
                    ms=self._ms_since(received),
                )
                raise

    async def _answer_group(
        self, key: GroupKey, group: UnfinishedGroup, result: RunResult
    ) -> HttpResponse:
        spec = group.spec
        if result.pending:
            await self._unfinished_groups.keep(key, group)
        if result.verdict is Verdict.UNSERVABLE and result.rate_limited:
            # The instance that delegated the group must not ask its shards instead.
            response = self._merge(spec, result)
        else:
            response = self._build_response(spec, result)
        self._record_answer(spec, result, response, group.received)
        return group_response(
            response,
            answered=result.answered,
            pending=result.pending,
            shares=self._shares(spec),
            rate_limited=result.rate_limited,
            may_have_run=result.may_run or bool(result.parts),
            leaving=self._dependencies.notices.leaving.of_services(spec.services),
        )

    def _shares(self, spec: RunSpec) -> dict[int, float]:
        """Return the share of requests that shards have room for, where not all."""
        now = self._clock.now()
        admission = self._dependencies.rates.admission
        shares = {
            index: admission.share(service, priority=spec.route.priority, now=now)
            for index, service in enumerate(spec.services)
        }
        return {index: share for index, share in shares.items() if share < 1.0}

    def _find_route(
        self, request: HttpRequest, request_id: str
    ) -> tuple[RouteTable, Route]:
        table = self._feed.table
        if table is None:
            raise RequestRefused(
                reason=RefusalReason.NOT_READY,
                detail="no configuration has been loaded yet",
                retry_after=1.0,
            )
        path = request.path.partition("?")[0]
        route = table.match(host=request.header("host") or "", path=path)
        if route is None:
            raise RequestRefused(
                reason=RefusalReason.NOT_FOUND,
                detail=f"configuration version {table.version} has no route for {path}",
            )
        if not request_id:
            raise RequestRefused(
                reason=RefusalReason.MALFORMED,
                detail=f"header {self._names.request_id} is missing",
            )
        return table, route

    def _time_left(self, request: HttpRequest, route: Route) -> float:
        """Return the seconds until the request must have its final answer."""
        text = request.header(self._names.time_left)
        if text is None:
            return route.time_limit
        try:
            time_left = float(text) / _MILLISECONDS
        except ValueError as error:
            raise RequestRefused(
                reason=RefusalReason.MALFORMED,
                detail=f"header {self._names.time_left} is not a number: {text!r}",
            ) from error
        if not isfinite(time_left):
            raise RequestRefused(
                reason=RefusalReason.MALFORMED,
                detail=f"header {self._names.time_left} is not finite: {text!r}",
            )
        if time_left <= request.unread_time:
            raise RequestRefused(
                reason=RefusalReason.TIME_TOO_SHORT,
                detail="the caller's deadline has passed",
            )
        return min(time_left, route.time_limit) if route.time_limit else time_left

    def _to_forwarded(
        self,
        request: HttpRequest,
        request_id: str,
        route: Route,
        caller_deadline: float,
    ) -> ForwardedRequest:
        return ForwardedRequest(
            method=request.method,
            path=request.path,
            headers=forward_headers(request, self._names),
            body=request.body,
            request_id=request_id,
            caller_deadline=caller_deadline,
            repeatable=route.idempotent,
            route=route.name,
            is_part=bool(route.shards),
            max_response_bytes=route.max_response_bytes,
            fingerprint=request_fingerprint(
                method=request.method,
                host=request.header("host") or "",
                path=request.path,
                body=request.body,
            ),
        )

    async def _serve(
        self,
        table: RouteTable,
        route: Route,
        request: ForwardedRequest,
        received: float,
        *,
        network_delay: float,
    ) -> HttpResponse:
        spec = RunSpec(
            route=route,
            version=table.version,
            services=route.shards or (self._split.choose(route),),
            request=request,
            partial_after=received
            + partial_answer_delay(
                goal=route.goal,
                network_delay=network_delay,
                cpu_capacity=self._cpu_capacity,
                merge_delay=self._timing.merge_delay,
            ),
            least_share=route.least_share if route.shards else 1.0,
            may_delegate=bool(route.shards),
        )
        admission = self._dependencies.isolation.admit(
            request.fingerprint, self._clock.now()
        )
        if admission is Admission.TRIAL:
            spec = await self._try_one_server(spec, received)
        elif admission is Admission.ISOLATED:
            raise _isolated_refusal()
        result = await self._run(spec, received)
        response = self._build_response(spec, result)
        self._record_answer(spec, result, response, received)
        return response

    async def _run(self, spec: RunSpec, received: float) -> RunResult:
        run = RequestRun(dependencies=self._dependencies, spec=spec)
        async with self._track(run, spec, received):
            return await run.run()

    async def _try_one_server(self, spec: RunSpec, received: float) -> RunSpec:
        """Try whether servers still crash; return what else may be sent.

        A request to many shards goes to one of them first.

        :raises RequestRefused: the server did not answer.
        """
        self._metrics.counters.add("gateway_isolations", "tried")
        log_event("isolated-request-tried", request=spec.request.request_id)
        route = replace(spec.route, max_attempts=1)
        if not route.shards:
            return replace(spec, route=route)
        services = (self._random.choice(spec.services),)
        trial = replace(
            spec, route=route, services=services, least_share=1.0, may_delegate=False
        )
        await self._run(trial, received)
        if not self._dependencies.isolation.is_cleared(spec.request.fingerprint):
            raise _isolated_refusal()
        return replace(spec, route=route)

    def _build_response(self, spec: RunSpec, result: RunResult) -> HttpResponse:
        if result.verdict is Verdict.ANSWER:
            if spec.route.shards:
                return self._merge(spec, result)
            assert result.response is not None
            return proxied_response(result.response)
        failure = failure_to_pass_on(result, names=self._names)
        if failure is not None and not spec.route.shards:
            return proxied_response(failure)
        log_event("given-up", **self._log_fields(spec, result), verdict=result.verdict)
        raise refusal_of(result, spec.services)

    def _merge(self, spec: RunSpec, result: RunResult) -> HttpResponse:
        return merged_response(
            result.parts,
            top=spec.route.top,
            shard_count=len(spec.services),
            names=self._names,
        )

    def _record_refusal(
        self,
        request: HttpRequest,
        request_id: str,
        refusal: RequestRefused,
        received: float,
    ) -> None:
        self._metrics.counters.add("refusals", refusal.reason)
        log_event(
            "refused",
            request=request_id,
            path=request.path,
            reason=refusal.reason,
            detail=refusal.detail,
            execution=refusal.execution,
            ms=self._ms_since(received),
        )

    def _record_answer(
        self,
        spec: RunSpec,
        result: RunResult,
        response: HttpResponse,
        received: float,
    ) -> None:
        now = self._clock.now()
        if result.cut_off:
            self._timing.record_merge(due=spec.partial_after, now=now)
        self._metrics.latency("gateway_answer").record(now - received)
        late = now - received > spec.route.goal
        outcome = "late" if late else ("partial" if result.missing else "full")
        self._metrics.counters.add("gateway_answers", outcome)
        log_event(
            "answered",
            **self._log_fields(spec, result),
            status=response.status,
            outcome=outcome,
            ms=self._ms_since(received),
        )

    def _log_fields(self, spec: RunSpec, result: RunResult) -> dict[str, object]:
        """Return the log fields that describe how a request ended."""
        age = self._feed.age(self._clock.now())
        return {
            "request": spec.request.request_id,
            "route": spec.route.name,
            "version": spec.version,
            "missing": result.missing,
            "hedges": result.hedges,
            "retries": result.retries,
            "denied": result.denied,
            "handed_over": result.delegated,
            "problems": result.problems[:4],
            "registrations_age_ms": round(age * _MILLISECONDS),
        }

    def _ms_since(self, start: float) -> float:
        return round((self._clock.now() - start) * _MILLISECONDS, 1)


def _isolated_refusal() -> RequestRefused:
    return RequestRefused(
        reason=RefusalReason.ISOLATED,
        detail="servers crashed under requests like this one",
        execution=Execution.UNKNOWN,
    )


def _find_host(headers: tuple[Header, ...]) -> str:
    return next((header.value for header in headers if header.name == "host"), "")
