"""A gateway instance and the wiring of its components."""

from contextlib import AsyncExitStack
from random import SystemRandom
from time import time, time_ns
from typing import Any, Self

from curio import TaskGroup, sleep

from savorypond.clock import SystemClock
from savorypond.controllers.membership import MembershipController
from savorypond.gateway.answer_timing import AnswerTiming
from savorypond.gateway.attempts import AttemptRunner
from savorypond.gateway.connection_pool import ConnectionPools
from savorypond.gateway.crash_isolation import CrashIsolation
from savorypond.gateway.crash_reports import CrashReports
from savorypond.gateway.delegation import MAX_DIRECT_SHARDS, DelegationPolicy
from savorypond.gateway.delegation_client import DelegationClient
from savorypond.gateway.fleet_shares import FleetShares
from savorypond.gateway.handler import GatewayHandler
from savorypond.gateway.headers import HeaderNames
from savorypond.gateway.peers import (
    PEER_SERVICE,
    PeerClient,
    PeerHandler,
    SeedList,
)
from savorypond.gateway.published_feed import PublishedFeed
from savorypond.gateway.published_state import PublishedSource
from savorypond.gateway.rate_control import RateControl
from savorypond.gateway.rate_share_sync import RateShareSync
from savorypond.gateway.reader_selection import ReaderSelection
from savorypond.gateway.retry_budget import ServiceRetryBudget
from savorypond.gateway.route_latency import RouteLatencies
from savorypond.gateway.run_types import RunDependencies
from savorypond.gateway.running_requests import RunningRequests
from savorypond.gateway.server_load import ServerLoadTracker
from savorypond.gateway.server_notices import ServerNotices
from savorypond.gateway.servers import RegisteredServer, ServerRegistry
from savorypond.gateway.settings import GatewaySettings
from savorypond.gateway.shutdown import ShutdownPlan
from savorypond.gateway.status import GatewayStatus
from savorypond.http.channel import HttpLimits
from savorypond.http.messages import HttpRequest, HttpResponse, text_response
from savorypond.http.response_memory import ResponseMemory
from savorypond.http.server import HttpServer, PerPeerLimiter
from savorypond.logs import log_event
from savorypond.membership.pause import HEARTBEAT_INTERVAL, Paused, PauseDetector
from savorypond.metrics import Metrics
from savorypond.model import Address, Instance
from savorypond.operator_api import OperatorApi

FLEET = "gateway"  # name of the fleet in the membership protocol
# Callers come later, so instances first find out which of them read the store.
FIRST_START_SETTLE_TIME = 2.0  # seconds
PEER_CONNECTIONS = 64  # to each other instance
PEER_HEADER_BYTES = 64 * 1024  # the headers of a caller and a few added ones
DEFAULT_CONNECTIONS = 8  # to each server whose service states no limit
MAINTENANCE_INTERVAL = 0.5  # seconds between checks for expired connections
CALLER_DESCRIPTOR_SHARE = 0.5  # of the file descriptors, for each caller IP address
SHUTDOWN_POLL_INTERVAL = 0.02  # seconds between checks whether a shutdown may proceed


class Gateway:
    """One gateway instance.

    Entering the context starts it. ``stop`` drains it, and leaving the context
    shuts it down.

    :param names: the header names of callers and backend servers.
    :param source: the source of the published state.
    :param ready_path: path of the platform's readiness probes.
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
                own_name=settings.host,
                seeds=settings.seeds,
                port=settings.peer_address.port,
            ),
            clock=self._clock,
            rng=random,
            counters=counters,
        )
        self._shares = FleetShares(
            membership=lambda: self._membership.membership, peers=self.peers
        )
        self._pools = ConnectionPools(
            source_host=settings.host,
            connection_limit=self._connection_limit,
            clock=self._clock,
            counters=counters,
        )
        client = PeerClient(
            pools=self._pools,
            peers=self.peers,
            reader_selection=ReaderSelection(
                own_name=settings.host, data_centre=settings.data_centre
            ),
            clock=self._clock,
            random=random,
        )
        self._feed = PublishedFeed(
            source=source,
            registry=self._registry,
            clock=self._clock,
            random=random,
            counters=counters,
            peers=client,
            settle_time=FIRST_START_SETTLE_TIME if settings.first_start else 0.0,
        )
        self._loads = ServerLoadTracker(data_centre=settings.data_centre, random=random)
        self._notices = ServerNotices(
            names=names, random=random, wall_time=time, counters=counters
        )
        self._rates = RateControl(random=random, counters=counters)
        self._rate_sync = RateShareSync(
            own_name=settings.host,
            data_centre=settings.data_centre,
            live=lambda: self._membership.membership.live(),
            rates=self._rates,
            client=client,
            registry=self._registry,
            instance_count=self._shares.instance_count,
            reachable_share=self._shares.reachable_share,
            clock=self._clock,
            random=random,
            counters=counters,
        )
        isolation = CrashIsolation(random=random)
        self._running_requests = RunningRequests()
        self._crashes = CrashReports(
            isolation=isolation,
            pools=self._pools,
            registry=self._registry,
            is_leaving=self._notices.leaving.includes,
            client=client,
            peers=self.peers,
            stop=self._running_requests.stop,
            clock=self._clock,
            random=random,
            counters=counters,
        )
        self._budget = ServiceRetryBudget(config=self._shares.initial_budget(settings))
        timing = AnswerTiming(
            data_centre=settings.data_centre, cpu_capacity=settings.cpu_capacity
        )
        self._delegation_client = DelegationClient(
            names=names,
            timing=timing,
            policy=DelegationPolicy(
                own_name=settings.host,
                data_centre=settings.data_centre,
                registry=self._registry,
                random=random,
            ),
            client=client,
            peers=self.peers,
            clock=self._clock,
            counters=counters,
        )
        self._response_memory = ResponseMemory(
            limit=settings.response_bytes, counters=counters
        )
        dependencies = RunDependencies(
            names=names,
            delegation_client=self._delegation_client,
            registry=self._registry,
            loads=self._loads,
            runner=AttemptRunner(
                names=names,
                pools=self._pools,
                loads=self._loads,
                rate_limits=self._rates.limits,
                notices=self._notices,
                memory=self._response_memory,
                crashes=self._crashes,
                clock=self._clock,
                counters=counters,
            ),
            budget=self._budget,
            latencies=RouteLatencies(),
            rates=self._rates,
            notices=self._notices,
            tokens=self._rate_sync,
            isolation=isolation,
            clock=self._clock,
            counters=counters,
        )
        handler = GatewayHandler(
            names=names,
            feed=self._feed,
            dependencies=dependencies,
            clock=self._clock,
            random=random,
            metrics=self._metrics,
            cpu_capacity=settings.cpu_capacity,
            timing=timing,
            running=self._running_requests,
        )
        self._peer_server = HttpServer(
            address=settings.peer_address,
            handler=PeerHandler(
                changes_since=self._feed.changes_since,
                handle_delegated=handler.handle_delegated,
                handle_follow_up=handler.handle_follow_up,
                handle_rate_claims=self._rate_sync.handle,
                handle_crashes=self._crashes.handle,
            ).handle,
            limits=HttpLimits(header_bytes=PEER_HEADER_BYTES),
            limiter=PerPeerLimiter(max_connections=settings.max_descriptors),
            cancel_on_disconnect=True,
        )
        self._caller_server = HttpServer(
            address=settings.caller_address,
            handler=handler.handle,
            limits=self._caller_http_limits,
            on_refusal=lambda reason: counters.add("refusals", reason),
            limiter=PerPeerLimiter(
                max_connections=int(settings.max_descriptors * CALLER_DESCRIPTOR_SHARE)
            ),
            cancel_on_disconnect=True,
        )
        self._readiness_server = HttpServer(
            address=settings.ready_address,
            handler=self._handle_readiness_probe,
            limits=HttpLimits(),
        )
        self._shutdown_plan: ShutdownPlan | None = None
        self._pause_detector = PauseDetector(now=self._clock.now(), listeners=(self,))
        self._resync_pending = False
        self._live: tuple[Instance, ...] = ()
        self._peers: tuple[Instance, ...] = ()
        self._stack = AsyncExitStack()
        self._tasks = TaskGroup()

    @property
    def caller_address(self) -> Address:
        """Address for callers."""
        return self._caller_server.address

    @property
    def peer_address(self) -> Address:
        """Address for other instances."""
        return self._peer_server.address

    @property
    def ready_address(self) -> Address:
        """Address for the platform's readiness probes."""
        return self._readiness_server.address

    @property
    def ready(self) -> bool:
        """Whether the instance accepts callers."""
        return not self._unready_reason()

    @property
    def version(self) -> int | None:
        """The version of the current configuration, or None before the first."""
        return self._feed.table.version if self._feed.table is not None else None

    @property
    def limited_servers(self) -> int:
        """Number of backend servers that have announced a rate limit."""
        return self._rates.limits.count

    def servers(self, service: str) -> tuple[RegisteredServer, ...]:
        """Return the backend servers of ``service`` that may get requests."""
        return self._registry.servers(service)

    def peers(self) -> tuple[Instance, ...]:
        """Return the live instances other than this one."""
        live = self._membership.membership.live()
        if live is not self._live:
            own_name = self._settings.host
            self._live = live
            self._peers = tuple(peer for peer in live if peer.name != own_name)
        return self._peers

    async def __aenter__(self) -> Self:
        settings = self._settings
        operator_api = OperatorApi(
            metrics=self._metrics,
            status=self._status,
            not_ready_reason=self._unready_reason,
        )
        components: tuple[Any, ...] = (
            self._pools,
            self._membership,
            self._peer_server,
            self._feed,
            self._rate_sync,
            self._caller_server,
            self._readiness_server,
            HttpServer(
                address=settings.operator_address,
                handler=operator_api.handle,
                limits=HttpLimits(),
            ),
        )
        try:
            for component in components:
                await self._stack.enter_async_context(component)
            await self._tasks.spawn(self._heartbeat)
            await self._tasks.spawn(self._maintain)
        except BaseException:
            await self._shut_down()
            raise
        return self

    async def __aexit__(self, *reason: object) -> None:
        await self._shut_down()

    async def stop(self) -> None:
        """Serve until the platform has noticed the shutdown, then drain."""
        plan = ShutdownPlan(
            started_at=self._clock.now(),
            termination_grace=self._settings.termination_grace,
        )
        self._shutdown_plan = plan
        self._caller_server.disable_keep_alive()
        await self._running_requests.begin_shutdown(plan)
        await self._membership.leave()
        while not plan.may_close(self._clock.now()):
            await sleep(SHUTDOWN_POLL_INTERVAL)
        for server in (self._caller_server, self._peer_server):
            await server.drain(seconds=plan.time_left(self._clock.now()))
        # Callers may have connected while the requests of peers ended.
        plan.refuse_all()
        fully_drained = await self._caller_server.drain(
            seconds=plan.time_left(self._clock.now())
        )
        log_event(
            "drained", whole=fully_drained, in_flight=self._caller_server.in_flight
        )

    def configure(self, settings: GatewaySettings) -> None:
        """Apply changed limits; changed addresses require a restart."""
        self._settings = settings
        self._configure_budget()

    def resumed(self, paused: Paused) -> None:
        """Schedule a resync, since a pause may leave stale connections and state."""
        self._metrics.counters.add("pauses", "noticed")
        self._resync_pending = True
        log_event("woke", gap=round(paused.gap, 3))

    async def _shut_down(self) -> None:
        await self._tasks.cancel_remaining()
        await self._stack.aclose()

    async def _heartbeat(self) -> None:
        while True:
            await sleep(HEARTBEAT_INTERVAL)
            self._pause_detector.observe(self._clock.now())
            if self._resync_pending:
                self._resync_pending = False
                await self._membership.resumed(0.0)
                await self._pools.close_idle()
                await self._feed.resync()

    async def _maintain(self) -> None:
        while True:
            # A server whose registration has lapsed may be gone right after the grace.
            await sleep(min(MAINTENANCE_INTERVAL, self._feed.expire_lapsed()))
            await self._pools.close_expired()
            self._configure_budget()
            now, registered = self._clock.now(), self._registry.all()
            self._loads.retain(registered, now)
            self._notices.retain(registered, now)

    async def _handle_readiness_probe(self, request: HttpRequest) -> HttpResponse:
        if request.path.partition("?")[0] != self._ready_path:
            return text_response("not found", status=404)
        if self._shutdown_plan is not None:
            self._shutdown_plan.record_probe(self._clock.now())
        problem = self._unready_reason()
        if problem:
            return text_response(problem, status=503)
        return text_response("ready")

    def _unready_reason(self) -> str:
        if self._shutdown_plan is not None:
            return "stopping"
        if not self._feed.ready:
            return "configuration and registrations have not been read yet"
        return ""

    def _status(self) -> GatewayStatus:
        return GatewayStatus(
            name=self._settings.name,
            data_centre=self._settings.data_centre,
            ready=self.ready,
            version=self.version,
            read_age=round(self._feed.age(self._clock.now()), 3),
            servers=self._registry.count,
            limited_servers=self.limited_servers,
            in_flight=self._caller_server.in_flight,
        )

    def _configure_budget(self) -> None:
        self._budget.configure(self._shares.budget(self._settings))

    def _caller_http_limits(self) -> HttpLimits:
        table = self._feed.table
        return table.limits if table is not None else HttpLimits()

    def _connection_limit(self, service: str) -> int:
        if service == PEER_SERVICE:
            return PEER_CONNECTIONS
        table = self._feed.table
        limit = table.max_connections(service) if table is not None else 0
        if not limit:
            return DEFAULT_CONNECTIONS
        is_chunked = table is not None and table.max_fanout(service) > MAX_DIRECT_SHARDS
        return self._shares.connections(limit, is_chunked=is_chunked)
