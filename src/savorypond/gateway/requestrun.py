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
from savorypond.gateway.gatherplan import GatherPlan, PlanLimits, Send, Verdict
from savorypond.gateway.routes import Route
from savorypond.gateway.serverload import ServerLoads
from savorypond.gateway.servers import RegisteredServer, ServerRegistry
from savorypond.gateway.usualtimes import UsualTimes
from savorypond.model import Counters

# From an answer's last byte here to its arrival at the caller, and the start of
# the caller's own clock before the request arrived here.
GOAL_MARGIN = 0.010  # seconds
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


@dataclass(frozen=True, slots=True, kw_only=True)
class RunResult:
    """How a request ended.

    :param verdict: how it ended; an answer holds every usable response.
    :param responses: usable responses with the number of their shard.
    :param last_failure: the newest attempt that did not yield a usable answer.
    :param may_run: whether a server may have run the request.
    :param reached: whether anything was sent to a server.
    """

    verdict: Verdict
    responses: tuple[AttemptResult, ...]
    missing: tuple[str, ...]
    last_failure: AttemptResult | None
    may_run: bool
    reached: bool
    hedges: int
    retries: int
    denied: int
    problems: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class RunTools:
    """What every request of an instance uses."""

    registry: ServerRegistry
    loads: ServerLoads
    runner: AttemptRunner
    budget: ExtraBudget
    times: UsualTimes
    clock: Clock
    counters: Counters


class RequestRun:
    """One request and its attempts.

    :param services: the services asked, one for each shard.
    :param received: monotonic seconds at which the request arrived.
    """

    def __init__(
        self,
        *,
        tools: RunTools,
        route: Route,
        services: tuple[str, ...],
        request: ForwardedRequest,
        received: float,
    ) -> None:
        self._tools = tools
        self._route = route
        self._request = request
        self._usual = tools.times.usual(route=route.name, goal=route.goal)
        self._results: Queue = Queue()
        self._running: dict[int, Any] = {}
        self._responses: list[AttemptResult] = []
        self._last_failure: AttemptResult | None = None
        self._problems: list[str] = []
        self._may_run = False
        self._reached = False
        now = tools.clock.now()
        for service in services:
            tools.budget.note_request(service=service, now=now)
        self._plan = GatherPlan(
            services=services,
            limits=PlanLimits(
                repeatable=route.idempotent,
                max_attempts=route.max_attempts,
                least_share=route.least_share if route.shards else 1.0,
                answer_at=received + route.goal - GOAL_MARGIN,
                end_at=request.ends - END_MARGIN,
            ),
            hedge_delay=tools.times.hedge_delay(route=route.name, goal=route.goal),
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
            await self._leave(wait=0.0 if self._route.idempotent else LINGER_TIME)
            raise
        await self._leave(wait=LINGER_TIME)
        plan = self._plan
        return RunResult(
            verdict=verdict,
            responses=tuple(self._responses),
            missing=plan.missing(),
            last_failure=self._last_failure,
            may_run=self._may_run or bool(self._running),
            reached=self._reached or bool(self._running),
            hedges=plan.hedges,
            retries=plan.retries,
            denied=plan.denied,
            problems=tuple(self._problems),
        )

    async def _decide(self) -> Verdict:
        clock = self._tools.clock
        await self._start(self._plan.start(clock.now()))
        while True:
            now = clock.now()
            verdict = self._plan.verdict(now)
            if verdict is not None:
                return verdict
            await self._start(self._plan.tick(now))
            await self._wait(self._plan.next_wake() - clock.now())

    async def _wait(self, seconds: float) -> None:
        """Wait for a result or for ``seconds``, and take what there is."""
        try:
            async with timeout_after(max(0.0, seconds)):
                number, result = await self._results.get()
        except TaskTimeout:
            return
        await self._take(number, result)
        while not self._results.empty():
            number, result = await self._results.get()
            await self._take(number, result)

    async def _take(self, number: int, result: AttemptResult) -> None:
        self._running.pop(number, None)
        if result.outcome is AttemptOutcome.USABLE:
            if self._plan.part(number):
                self._responses.append(result)
            return
        self._last_failure = result
        self._may_run = self._may_run or result.may_have_run
        self._reached = self._reached or result.sent
        self._problems.append(f"{result.server.name}: {result.problem}")
        now = self._tools.clock.now()
        if result.outcome is AttemptOutcome.NOT_SENT:
            sends = self._plan.unsent(number, now)
        else:
            sends = self._plan.failed(number, now, may_have_run=result.may_have_run)
        await self._start(sends)

    async def _start(self, sends: list[Send]) -> None:
        for send in sends:
            task = await spawn(self._attempt, send, daemon=True)
            self._running[send.number] = task

    async def _attempt(self, send: Send) -> None:
        tools = self._tools
        began = tools.clock.now()
        result = await tools.runner.run(self._request, send.server, usual=self._usual)
        if result.outcome is AttemptOutcome.USABLE:
            now = tools.clock.now()
            tools.times.record(route=self._route.name, seconds=now - began, now=now)
        await self._results.put((send.number, result))

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
