"""A gateway instance: wires its parts once."""

from contextlib import AsyncExitStack
from dataclasses import dataclass
from random import SystemRandom
from time import time_ns
from typing import Any, Self

from curio import TaskGroup, sleep

from savorypond.clock import SystemClock
from savorypond.controllers.membership import MembershipController
from savorypond.gateway.attempts import AttemptRunner
from savorypond.gateway.budget import ExtraBudget, ExtraBudgetConfig
from savorypond.gateway.delegation import SPREAD_ABOVE, Delegation
from savorypond.gateway.feed import PublishedFeed
from savorypond.gateway.handler import GatewayHandler
from savorypond.gateway.handover import Handover
from savorypond.gateway.headers import HeaderNames
from savorypond.gateway.peers import (
    PEER_SERVICE,
    PeerClient,
    PeerHandler,
    SeedList,
)
from savorypond.gateway.published_state import PublishedSource
from savorypond.gateway.relay import Relay
from savorypond.gateway.requestrun import RunTools
from savorypond.gateway.serverload import ServerLoads
from savorypond.gateway.serverpool import ServerPools
from savorypond.gateway.servers import RegisteredServer, ServerRegistry
from savorypond.gateway.settings import GatewaySettings
from savorypond.gateway.stop import StopPlan
from savorypond.gateway.usualtimes import UsualTimes
from savorypond.http.channel import HttpLimits
from savorypond.http.messages import HttpRequest, HttpResponse, text_response
from savorypond.http.server import HttpServer, PerPeerLimiter
from savorypond.logs import log_event
from savorypond.membership.pause import HEARTBEAT_INTERVAL, Paused, PauseDetector
from savorypond.metrics import Metrics
from savorypond.model import Address, Instance
from savorypond.operatorapi import OperatorApi

FLEET = "gateway"  # name by which instances know their peers
# A fleet that has just started does not know all of its members yet.
LEAST_INSTANCES = 6
ASSUMED_INSTANCES = 100  # until peers are known
PEER_CONNECTIONS = 64  # to each other instance
PEER_HEADER_BYTES = 64 * 1024  # a caller's headers and a few of our own
CONNECTION_SHARE = 0.9  # of a server's connections; restarts overlap a little
# A few keepers share the servers of a query that is dealt out.
KEEPER_CONNECTIONS = 2  # at least, to each of these servers
DEFAULT_CONNECTIONS = 8  # to each server whose service states no limit
TRIM_INTERVAL = 0.5  # seconds between two looks for idle connections
DESCRIPTOR_SHARE = 0.5  # of the descriptors, for callers
STOP_STEP = 0.02  # seconds between two looks at what a stop waits for


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewayStatus:
    """What a gateway instance believes.

    :param version: of the configuration, or None where none is known.
    :param read_age: seconds since what is published was last read.
    :param servers: registered backend servers.
    :param in_flight: requests without an answer.
    """

    name: str
    data_centre: str
    ready: bool
    version: int | None
    read_age: float
    servers: int
    in_flight: int


class Gateway:
    """One gateway instance.

    Entering the context starts it; ``stop`` lets it finish what it took, and
    leaving the context ends it.

    :param names: the header names of callers and backend servers.
    :param source: who is asked for what is published.
    :param ready_path: where the platform asks whether callers may be sent here.
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        names: HeaderNames,
        source: PublishedSource,
        ready_path: str,
    ) -> None:
        self._settings = settings
        self._ready_path = ready_path
        self._clock = SystemClock()
        random = SystemRandom()
        self._metrics = Metrics()
        counters = self._metrics.counters
        self._registry = ServerRegistry()
        self._membership = MembershipController(
            name=settings.host,
            data_centre=settings.data_centre,
            address=settings.peer_address,
            incarnation=time_ns(),
            fleet=FLEET,
            instance_list=SeedList(
                own=settings.host,
                seeds=settings.seeds,
                port=settings.peer_address.port,
            ),
            clock=self._clock,
            rng=random,
            counters=counters,
        )
        self._pools = ServerPools(
            source_host=settings.host,
            most=self._most_connections,
            clock=self._clock,
            counters=counters,
        )
        client = PeerClient(
            pools=self._pools,
            peers=self.peers,
            relay=Relay(own=settings.host, data_centre=settings.data_centre),
            random=random,
        )
        self._feed = PublishedFeed(
            source=source,
            registry=self._registry,
            clock=self._clock,
            random=random,
            counters=counters,
            peers=client,
        )
        self._loads = ServerLoads(data_centre=settings.data_centre, random=random)
        self._budget = ExtraBudget(config=_budget_config(settings, ASSUMED_INSTANCES))
        self._handover = Handover(
            names=names,
            data_centre=settings.data_centre,
            delegation=Delegation(
                own=settings.host,
                data_centre=settings.data_centre,
                registry=self._registry,
                random=random,
            ),
            client=client,
            peers=self.peers,
            clock=self._clock,
            counters=counters,
        )
        tools = RunTools(
            names=names,
            handover=self._handover,
            registry=self._registry,
            loads=self._loads,
            runner=AttemptRunner(
                names=names,
                pools=self._pools,
                loads=self._loads,
                clock=self._clock,
                counters=counters,
            ),
            budget=self._budget,
            times=UsualTimes(),
            clock=self._clock,
            counters=counters,
        )
        handler = GatewayHandler(
            names=names,
            feed=self._feed,
            tools=tools,
            clock=self._clock,
            random=random,
            metrics=self._metrics,
            cpu_capacity=settings.cpu_capacity,
        )
        self._peer_server = HttpServer(
            address=settings.peer_address,
            handler=PeerHandler(
                known=self._feed.known, delegated=handler.handle_delegated
            ).handle,
            limits=HttpLimits(header_bytes=PEER_HEADER_BYTES),
            limiter=PerPeerLimiter(max_connections=settings.max_descriptors),
            cancel_on_disconnect=True,
        )
        self._callers = HttpServer(
            address=settings.caller_address,
            handler=handler.handle,
            limits=self._caller_limits,
            on_refusal=lambda reason: counters.add("refusals", reason),
            limiter=PerPeerLimiter(
                max_connections=int(settings.max_descriptors * DESCRIPTOR_SHARE)
            ),
            cancel_on_disconnect=True,
        )
        self._ready = HttpServer(
            address=settings.ready_address,
            handler=self._answer_ready,
            limits=HttpLimits(),
        )
        self._stop_plan: StopPlan | None = None
        self._pause = PauseDetector(now=self._clock.now(), listeners=(self,))
        self._woke = False
        self._live: tuple[Instance, ...] = ()
        self._others: tuple[Instance, ...] = ()
        self._stack = AsyncExitStack()
        self._tasks = TaskGroup()

    @property
    def caller_address(self) -> Address:
        """Where callers connect."""
        return self._callers.address

    @property
    def ready_address(self) -> Address:
        """Where the platform asks whether callers may be sent here."""
        return self._ready.address

    @property
    def ready(self) -> bool:
        """Whether callers may be sent here."""
        return not self._not_ready()

    @property
    def version(self) -> int | None:
        """The version of the configuration in force, or None before the first."""
        return self._feed.table.version if self._feed.table is not None else None

    def servers(self, service: str) -> tuple[RegisteredServer, ...]:
        """Return the backend servers of ``service`` that may get requests."""
        return self._registry.servers(service)

    def peers(self) -> tuple[Instance, ...]:
        """Return the live instances other than this one."""
        live = self._membership.membership.live()
        if live is not self._live:
            own = self._settings.host
            self._live = live
            self._others = tuple(peer for peer in live if peer.name != own)
        return self._others

    async def __aenter__(self) -> Self:
        settings = self._settings
        operators = OperatorApi(
            metrics=self._metrics, status=self._status, not_ready=self._not_ready
        )
        parts: tuple[Any, ...] = (
            self._pools,
            self._membership,
            self._peer_server,
            self._feed,
            self._callers,
            self._ready,
            HttpServer(
                address=settings.operator_address,
                handler=operators.handle,
                limits=HttpLimits(),
            ),
        )
        try:
            for part in parts:
                await self._stack.enter_async_context(part)
            await self._tasks.spawn(self._beat)
            await self._tasks.spawn(self._trim)
        except BaseException:
            await self._end()
            raise
        return self

    async def __aexit__(self, *reason: object) -> None:
        await self._end()

    async def stop(self) -> None:
        """Take no new callers, and answer what was taken."""
        plan = StopPlan(
            began=self._clock.now(), termination_grace=self._settings.termination_grace
        )
        self._stop_plan = plan
        self._callers.disable_keep_alive()
        await self._membership.leave()
        while not plan.may_close(self._clock.now()):
            await sleep(STOP_STEP)
        left = plan.left(self._clock.now())
        whole = await self._callers.drain(seconds=left)
        left = plan.left(self._clock.now())
        await self._peer_server.drain(seconds=left)
        log_event("drained", whole=whole, in_flight=self._callers.in_flight)

    def configure(self, settings: GatewaySettings) -> None:
        """Use other bounds from now on; addresses change only by a restart."""
        self._settings = settings
        self._configure_budget()

    def resumed(self, paused: Paused) -> None:
        """Distrust what was believed before a pause of this process."""
        self._metrics.counters.add("pauses", "noticed")
        self._woke = True
        log_event("woke", gap=round(paused.gap, 3))

    async def _end(self) -> None:
        await self._tasks.cancel_remaining()
        await self._stack.aclose()

    async def _beat(self) -> None:
        while True:
            await sleep(HEARTBEAT_INTERVAL)
            self._pause.observe(self._clock.now())
            if self._woke:
                self._woke = False
                await self._membership.resumed(0.0)
                await self._pools.distrust()
                await self._feed.distrust()

    async def _trim(self) -> None:
        while True:
            await sleep(TRIM_INTERVAL)
            await self._pools.trim()
            self._configure_budget()
            self._loads.keep(self._registry.all(), self._clock.now())

    async def _answer_ready(self, request: HttpRequest) -> HttpResponse:
        if request.path.partition("?")[0] != self._ready_path:
            return text_response("not found", status=404)
        if self._stop_plan is not None:
            self._stop_plan.note_asked(self._clock.now())
        problem = self._not_ready()
        if problem:
            return text_response(problem, status=503)
        return text_response("ready")

    def _not_ready(self) -> str:
        if self._stop_plan is not None:
            return "stopping"
        if not self._feed.ready:
            return "no configuration and registrations are known yet"
        return ""

    def _status(self) -> GatewayStatus:
        return GatewayStatus(
            name=self._settings.name,
            data_centre=self._settings.data_centre,
            ready=self.ready,
            version=self.version,
            read_age=round(self._feed.age(self._clock.now()), 3),
            servers=self._registry.count,
            in_flight=self._callers.in_flight,
        )

    def _configure_budget(self) -> None:
        config = _budget_config(self._settings, self._instances())
        self._budget.configure(config)

    def _caller_limits(self) -> HttpLimits:
        table = self._feed.table
        return table.limits if table is not None else HttpLimits()

    def _instances(self) -> int:
        """Return how many instances share the limits of backend servers."""
        return max(LEAST_INSTANCES, self._membership.membership.fleet_size)

    def _most_connections(self, service: str) -> int:
        if service == PEER_SERVICE:
            return PEER_CONNECTIONS
        table = self._feed.table
        most = table.max_connections(service) if table is not None else 0
        if not most:
            return DEFAULT_CONNECTIONS
        share = int(most * CONNECTION_SHARE) // self._instances()
        dealt_out = table is not None and table.widest(service) > SPREAD_ABOVE
        return max(KEEPER_CONNECTIONS if dealt_out else 1, share)


def _budget_config(settings: GatewaySettings, instances: int) -> ExtraBudgetConfig:
    return ExtraBudgetConfig(
        ratio=settings.retry_ratio,
        slack=settings.retry_slack / instances,
        window=settings.retry_window,
    )
