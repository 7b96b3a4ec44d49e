"""Runs one routed request: starts its attempts and waits for the verdict."""

from collections.abc import Collection
from dataclasses import dataclass
from typing import Any

from curio import CancelledError, Queue, TaskTimeout, ignore_after, spawn, timeout_after

from savorypond.clock import Clock
from savorypond.gateway.attempts import (
    AttemptOutcome,
    AttemptResult,
    AttemptRunner,
    ForwardedRequest,
)
from savorypond.gateway.budget import ExtraBudget
from savorypond.gateway.delegation import Group
from savorypond.gateway.gatherplan import (
    GatherPlan,
    GroupSend,
    PlanLimits,
    Send,
    Verdict,
)
from savorypond.gateway.handover import GroupResult, Handover
from savorypond.gateway.headers import HeaderNames
from savorypond.gateway.rankedmerge import Part
from savorypond.gateway.routes import Route
from savorypond.gateway.serverload import ServerLoads
from savorypond.gateway.servers import RegisteredServer, ServerRegistry
from savorypond.gateway.usualtimes import UsualTimes
from savorypond.http.messages import HttpResponse
from savorypond.model import Counters

END_MARGIN = 0.010  # seconds
# An attempt that lost keeps its connection if it ends within this time.
LINGER_TIME = 0.2  # seconds


class RegisteredChooser:
    """Chooses among the registered servers by their load."""

    def __init__(
        self, *, registry: ServerRegistry, loads: ServerLoads, usual: float
    ) -> None:
        self._registry = registry
        self._loads = loads
        self._usual = usual

    def choose(
        self, service: str, *, exclude: Collection[str], now: float
    ) -> RegisteredServer | None:
        """Return a server of ``service`` that is not in ``exclude``, or None."""
        return self._loads.choose(
            self._registry.servers(service),
            exclude=exclude,
            usual=self._usual,
            now=now,
        )

    def count(self, service: str) -> int:
        """Return how many servers ``service`` has."""
        return len(self._registry.servers(service))

    def is_far(self, server: RegisteredServer) -> bool:
        """Return whether ``server`` is in another data centre."""
        return self._loads.is_far(server)


@dataclass(frozen=True, slots=True, kw_only=True)
class RunResult:
    """How a request ended.

    :param parts: usable answers.
    :param answered: numbers of the shards that they are of.
    :param response: the last usable response of a backend server.
    :param missing: services without a usable answer.
    :param last_failure: the newest attempt that did not yield a usable answer.
    :param may_run: whether a server may have run the request.
    :param reached: whether anything was sent to a server.
    """

    verdict: Verdict
    parts: tuple[Part, ...]
    answered: tuple[int, ...]
    response: HttpResponse | None
    missing: tuple[str, ...]
    last_failure: AttemptResult | None
    may_run: bool
    reached: bool
    hedges: int
    retries: int
    denied: int
    handed_over: int
    problems: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class RunTools:
    """What every request of an instance uses."""

    names: HeaderNames
    registry: ServerRegistry
    loads: ServerLoads
    runner: AttemptRunner
    handover: Handover
    budget: ExtraBudget
    times: UsualTimes
    clock: Clock
    counters: Counters


@dataclass(frozen=True, slots=True, kw_only=True)
class RunSpec:
    """What one request asks for.

    :param version: of the configuration that the route is of.
    :param services: the services asked, one for each shard.
    :param answer_at: monotonic seconds from which an answer need not hold every
        shard.
    :param least_share: share of the services that an answer must hold.
    :param may_hand_over: whether other instances may gather some of the shards.
    """

    route: Route
    version: int
    services: tuple[str, ...]
    request: ForwardedRequest
    answer_at: float
    least_share: float
    may_hand_over: bool


class RequestRun:
    """One request and its attempts."""

    def __init__(self, *, tools: RunTools, spec: RunSpec) -> None:
        self._tools = tools
        self._spec = spec
        route = spec.route
        self._usual = tools.times.usual(route=route.name, goal=route.goal)
        self._results: Queue = Queue()
        self._running: dict[int, Any] = {}
        self._parts: list[Part] = []
        self._answered: list[int] = []
        self._response: HttpResponse | None = None
        self._last_failure: AttemptResult | None = None
        self._problems: list[str] = []
        self._may_run = False
        self._reached = False
        self._handed_over = 0
        self._plan = GatherPlan(
            services=spec.services,
            limits=PlanLimits(
                repeatable=route.idempotent,
                max_attempts=route.max_attempts,
                least_share=spec.least_share,
                answer_at=spec.answer_at,
                end_at=spec.request.ends - END_MARGIN,
            ),
            hedge_delays=tools.times.hedge_delays(
                route=route.name,
                goal=route.goal,
                left=spec.answer_at - tools.clock.now(),
            ),
            chooser=RegisteredChooser(
                registry=tools.registry, loads=tools.loads, usual=self._usual
            ),
            extras=tools.budget,
        )

    async def run(self) -> RunResult:
        """Return how the request ended."""
        try:
            verdict = await self._decide()
        except CancelledError:
            idempotent = self._spec.route.idempotent
            await self._leave(wait=0.0 if idempotent else LINGER_TIME)
            raise
        await self._leave(wait=LINGER_TIME)
        plan = self._plan
        return RunResult(
            verdict=verdict,
            parts=tuple(self._parts),
            answered=tuple(self._answered),
            response=self._response,
            missing=plan.missing(),
            last_failure=self._last_failure,
            may_run=self._may_run or bool(self._running),
            reached=self._reached or bool(self._running),
            hedges=plan.hedges,
            retries=plan.retries,
            denied=plan.denied,
            handed_over=self._handed_over,
            problems=tuple(self._problems),
        )

    async def _decide(self) -> Verdict:
        clock = self._tools.clock
        await self._begin()
        while True:
            now = clock.now()
            verdict = self._plan.verdict(now)
            if verdict is not None:
                return verdict
            await self._start(self._plan.tick(now))
            await self._wait(self._plan.next_wake() - clock.now())

    async def _begin(self) -> None:
        spec = self._spec
        tools = self._tools
        now = tools.clock.now()
        groups: dict[int, tuple[Group, GroupSend]] = {}
        if spec.may_hand_over:
            for group in tools.handover.choose(spec.services):
                send = self._plan.hand_over(group.shards)
                groups[send.number] = (group, send)
        handed_over = {shard for group, _ in groups.values() for shard in group.shards}
        for shard, service in enumerate(spec.services):
            # The instance that gathers a shard counts the request for it.
            if shard not in handed_over:
                tools.budget.note_request(service=service, now=now)
        sends = self._plan.start(now)
        if self._plan.verdict(now) is not None:
            return
        self._handed_over = len(handed_over)
        for group, send in groups.values():
            task = await spawn(self._gather_far, group, send, daemon=True)
            self._running[send.number] = task
        await self._start(sends)

    async def _wait(self, seconds: float) -> None:
        """Wait for a result or for ``seconds``, and take what there is."""
        try:
            async with timeout_after(max(0.0, seconds)):
                send, result = await self._results.get()
        except TaskTimeout:
            return
        await self._take(send, result)
        while not self._results.empty():
            send, result = await self._results.get()
            await self._take(send, result)

    async def _take(self, send: Send | GroupSend, result: Any) -> None:
        self._running.pop(send.number, None)
        if isinstance(send, GroupSend):
            await self._take_group(send, result)
        else:
            await self._take_attempt(send, result)

    async def _take_group(self, send: GroupSend, result: GroupResult) -> None:
        if result.part is not None:
            self._plan.group_answered(send, result.answered)
            self._parts.append(result.part)
            self._answered.extend(result.answered)
            return
        self._may_run = self._may_run or result.may_have_run
        self._reached = self._reached or result.may_have_run
        self._problems.append(f"instance {result.peer}: {result.problem}")
        now = self._tools.clock.now()
        await self._start(
            self._plan.group_failed(send, now, may_have_run=result.may_have_run)
        )

    async def _take_attempt(self, send: Send, result: AttemptResult) -> None:
        if result.outcome is AttemptOutcome.USABLE:
            if self._plan.part(send.number):
                self._take_part(send, result)
            return
        self._last_failure = result
        self._may_run = self._may_run or result.may_have_run
        self._reached = self._reached or result.sent
        self._problems.append(f"{result.server.name}: {result.problem}")
        now = self._tools.clock.now()
        if not result.sent:
            sends = self._plan.unsent(send.number, now)
        else:
            sends = self._plan.failed(
                send.number, now, may_have_run=result.may_have_run
            )
        await self._start(sends)

    def _take_part(self, send: Send, result: AttemptResult) -> None:
        response = result.response
        assert response is not None
        self._response = response
        signature = response.header(self._tools.names.signature) or ""
        self._parts.append(Part(signatures=(signature,), body=response.body))
        self._answered.append(send.shard)

    async def _start(self, sends: list[Send]) -> None:
        for send in sends:
            task = await spawn(self._attempt, send, daemon=True)
            self._running[send.number] = task

    async def _attempt(self, send: Send) -> None:
        tools = self._tools
        began = tools.clock.now()
        result = await tools.runner.run(
            self._spec.request, send.server, usual=self._usual
        )
        if result.outcome is AttemptOutcome.USABLE:
            now = tools.clock.now()
            route = self._spec.route.name
            tools.times.record(route=route, seconds=now - began, now=now)
        await self._results.put((send, result))

    async def _gather_far(self, group: Group, send: GroupSend) -> None:
        result = await self._tools.handover.run(
            group,
            self._spec.request,
            route=self._spec.route,
            version=self._spec.version,
            answer_at=self._spec.answer_at,
            give_up=self._plan.can_fall_back(send),
        )
        await self._results.put((send, result))

    async def _leave(self, *, wait: float) -> None:
        """Give running attempts ``wait`` seconds to end, without waiting here."""
        for task in self._running.values():
            if wait:
                await spawn(_end_after, task, wait, daemon=True)
            else:
                await task.cancel(blocking=False)


async def _end_after(task: Any, seconds: float) -> None:
    await ignore_after(seconds, task.wait)
    await task.cancel(blocking=False)
