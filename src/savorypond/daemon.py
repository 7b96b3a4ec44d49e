"""The entry daemon: creates the parts of an entry instance and connects them."""

from contextlib import AsyncExitStack
from random import SystemRandom
from time import time, time_ns
from typing import Any, Self

from curio import TaskGroup, sleep

from savorypond.balancing.drain_detector import DrainDetector
from savorypond.calls.api import CallApi
from savorypond.clock import SystemClock
from savorypond.config.platform_client import HttpConfigService, HttpInstanceList
from savorypond.controllers.active import ActiveServices
from savorypond.controllers.backend_servers import BackendServers
from savorypond.controllers.calls import CallController
from savorypond.controllers.config import ConfigController
from savorypond.controllers.config_propagation import (
    ConfigMismatchQueue,
    ConfigPropagator,
)
from savorypond.controllers.drain import DrainController
from savorypond.controllers.health import HealthInterval, HealthPoller
from savorypond.controllers.holdings import Holdings
from savorypond.controllers.membership import MembershipController
from savorypond.controllers.owner_stats import OwnerStats
from savorypond.controllers.pools import ConnectionPools
from savorypond.http.server import HttpLimits, HttpServer
from savorypond.logs import log_event
from savorypond.membership.pause import HEARTBEAT_INTERVAL, Paused, PauseDetector
from savorypond.metrics import Metrics
from savorypond.operator_api import OperatorApi
from savorypond.peers.api import PeerApi
from savorypond.peers.control import ControlClient, ControlServer
from savorypond.peers.directory import PeerDirectory
from savorypond.peers.link import PeerLinks, PeerServer
from savorypond.peers.link_delay import link_delay
from savorypond.placement.forward_run import ForwardDependencies
from savorypond.queries.caller_api import MAX_TIME_LIMIT_MS, CallerApi, is_query
from savorypond.queries.fanout_policies import FanoutPolicies, FanoutSettings
from savorypond.queries.query_run import QueryDependencies
from savorypond.queries.shard_calls import ShardCaller
from savorypond.settings import Settings
from savorypond.status_page import StatusPage
from savorypond.timeouts import ignore_after
from savorypond.wiring import caller_limits, make_chain, make_placement

LINK_TIME = 0.003  # seconds that a link to another data centre is expected to add
_INSTANCE_LIST_TIMEOUT = 2.0  # seconds that a start waits for the instance list
MAX_REQUEST_TIME = MAX_TIME_LIMIT_MS / 1000.0  # seconds
_CLOSE_TIMEOUT = 0.5  # seconds for callers to close their connections after a stop
_HAND_OVER_TIMEOUT = 1.0  # seconds


class Daemon:
    """One entry instance.

    Entering the context starts it; leaving the context stops it at once. Call
    :meth:`drain` first to let requests in flight finish.
    """

    def __init__(self, *, settings: Settings) -> None:
        self._settings = settings
        self._clock = SystemClock()
        self._rng = SystemRandom()
        self._metrics = Metrics()
        self._counters = self._metrics.counters
        self._stack = AsyncExitStack()
        self._tasks = TaskGroup()
        self._source_host = settings.caller_address.host
        self._incarnation = time_ns()
        self._drain_detector = DrainDetector()
        self._servers = BackendServers(
            data_centre=settings.data_centre,
            clock=self._clock,
            rng=self._rng,
            counters=self._counters,
            link_time=LINK_TIME,
            drain_detector=self._drain_detector,
        )
        self._config_mismatches = ConfigMismatchQueue()

    @property
    def config(self) -> ConfigController:
        """The configuration in force."""
        return self._config

    @property
    def metrics(self) -> Metrics:
        """The counters, latencies and gauges of this instance."""
        return self._metrics

    @property
    def status_page(self) -> StatusPage:
        """The status page of this instance."""
        return self._status_page

    async def __aenter__(self) -> Self:
        try:
            await self._start()
        except BaseException:
            await self._stop()
            raise
        return self

    async def __aexit__(self, *reason: object) -> None:
        await self._stop()

    async def drain(self) -> None:
        """Stop gracefully: finish requests in flight, then hand over to the peers."""
        self._caller_server.disable_keep_alive()
        await self._drain_controller.stop()
        await self._caller_server.drain(seconds=_CLOSE_TIMEOUT)

    def resumed(self, paused: Paused) -> None:
        """Invalidate the state from before a pause of this process."""
        self._counters.add("pauses", "noticed")
        self._call_controller.resumed(paused)
        self._pools.mark_all_suspect()
        self._drain_controller.resumed(paused)
        log_event("woke", gap=round(paused.gap, 3))

    async def _start(self) -> None:
        await self._start_membership()
        await self._start_config()
        await self._start_backend_servers()
        await self._start_queries()
        self._create_calls()
        self._config_propagator = ConfigPropagator(
            mismatches=self._config_mismatches,
            membership=self._membership,
            config=self._config,
            active=self._active,
            holdings=self._holdings,
        )
        await self._start_interfaces()
        await self._enter(self._config_propagator)
        await self._tasks.spawn(self._run_heartbeat)

    async def _stop(self) -> None:
        await self._tasks.cancel_remaining()
        await self._stack.aclose()

    async def _enter(self, context: Any) -> None:
        await self._stack.enter_async_context(context)

    async def _start_membership(self) -> None:
        settings = self._settings
        self._membership = MembershipController(
            name=settings.name,
            data_centre=settings.data_centre,
            address=settings.peer_address,
            incarnation=self._incarnation,
            fleet=settings.fleet,
            instance_list=HttpInstanceList(
                address=settings.instance_list,
                source_host=self._source_host,
                on_server=self._record_listed_server,
            ),
            clock=self._clock,
            rng=self._rng,
            counters=self._counters,
            on_config_mismatch=self._config_mismatches.put,
        )
        await self._enter(self._membership)
        view = self._membership.membership
        self._peer_directory = PeerDirectory(membership=view)
        self._placement = make_placement(settings.placement, view)

    async def _start_config(self) -> None:
        # Peers may hold a higher revision than the configuration service, so the
        # instance list is awaited before the configuration is first read.
        await self._membership.wait_for_list(seconds=_INSTANCE_LIST_TIMEOUT)
        settings = self._settings
        control = ControlClient(
            fleet=settings.fleet, find=self._peer_directory.find_address
        )
        await self._enter(control)
        self._config = ConfigController(
            view=self._membership.membership,
            service=HttpConfigService(
                address=settings.config_service, source_host=self._source_host
            ),
            peers=control,
            fleet=settings.fleet,
            watchers=settings.watchers_per_data_centre,
            clock=self._clock,
            random=self._rng,
            counters=self._counters,
        )
        await self._enter(
            ControlServer(
                address=settings.peer_address,
                fleet=settings.fleet,
                answer=self._config.answer,
            )
        )
        await self._enter(self._config)

    async def _start_backend_servers(self) -> None:
        self._pools = ConnectionPools(
            source_host=self._source_host,
            share=self._placement,
            clock=self._clock,
            rng=self._rng,
            counters=self._counters,
            response_bytes=self._settings.response_bytes,
        )
        self._active = ActiveServices(
            config=self._config,
            view=self._membership.membership,
            placement=self._placement,
            servers=self._servers,
            pools=self._pools,
            clock=self._clock,
        )
        self._health = HealthPoller(
            servers=self._servers,
            pools=self._pools,
            drain_detector=self._drain_detector,
            clock=self._clock,
            rng=self._rng,
            counters=self._counters,
            interval=HealthInterval(),
            owns=self._active.owns,
        )
        for context in (self._pools, self._active, self._health):
            await self._enter(context)

    async def _start_queries(self) -> None:
        settings = self._settings
        self._shard_caller = ShardCaller(
            servers=self._servers,
            connections=self._pools,
            clock=self._clock,
            counters=self._counters,
        )
        self._peer_links = PeerLinks(
            fleet=settings.fleet, source_host=self._source_host
        )
        self._holdings = Holdings(
            active=self._active,
            servers=self._servers,
            health=self._health,
            placement=self._placement,
            links=self._peer_links,
            clock=self._clock,
        )
        for context in (self._shard_caller, self._peer_links, self._holdings):
            await self._enter(context)
        policies = FanoutPolicies(
            chooser=self._servers.chooser,
            budget=self._servers.budget,
            hedging=self._servers.hedging,
            counters=self._counters,
            random=self._rng,
            settings=FanoutSettings(finish_margin=settings.deadline_margin),
        )
        self._query_dependencies = QueryDependencies(
            active=self._active,
            servers=self._servers,
            caller=self._shard_caller,
            clock=self._clock,
            policies=policies,
        )

    def _create_calls(self) -> None:
        settings = self._settings
        self._pause_detector = PauseDetector(now=self._clock.now(), listeners=(self,))
        self._call_controller = CallController(
            instance=settings.name,
            fleet=settings.fleet,
            active=self._active,
            servers=self._servers,
            leaving=self._drain_detector,
            connections=self._pools,
            clock=self._clock,
            wall_clock=time,
            rng=self._rng,
            counters=self._counters,
            pause=self._pause_detector,
        )
        self._call_api = CallApi(
            instance=settings.name,
            calls=self._call_controller,
            config=self._config,
            fleet=settings.fleet,
            peers=self._peer_directory,
            links=self._peer_links,
            clock=self._clock,
            metrics=self._metrics,
        )
        self._drain_controller = DrainController(
            longest_deadline=max(settings.drain_time, MAX_REQUEST_TIME),
            announce=self._membership.leave,
            hand_over=self._hand_over,
            clock=self._clock,
            counters=self._counters,
        )

    async def _start_interfaces(self) -> None:
        settings = self._settings
        self._status_page = StatusPage(
            settings=settings,
            config=self._config,
            membership=self._membership,
            placement=self._placement,
            servers=self._servers,
            pools=self._pools,
            drain=self._drain_controller,
            drain_detector=self._drain_detector,
            prepared=lambda: self._config_propagator.prepared,
            clock=self._clock,
        )
        operators = OperatorApi(
            metrics=self._metrics,
            status=self._status_page.status,
            not_ready_reason=self._status_page.not_ready_reason,
        )
        await self._enter(
            PeerServer(
                address=settings.peer_address,
                fleet=settings.fleet,
                handler=self._make_peer_api().handle,
                delay=self._link_delay,
            )
        )
        await self._enter(
            HttpServer(
                address=settings.operator_address,
                handler=operators.handle,
                limits=HttpLimits(),
            )
        )
        self._caller_server = HttpServer(
            address=settings.caller_address,
            handler=self._drain_controller.guard(self._make_caller_api().handle),
            limits=caller_limits(settings),
            on_refusal=lambda reason: self._counters.add("refusals", reason),
            cancel_on_disconnect=is_query,
        )
        await self._enter(self._caller_server)

    def _make_peer_api(self) -> PeerApi:
        return PeerApi(
            instance=self._settings.name,
            calls=self._call_api,
            config=self._config,
            holdings=self._holdings,
            servers=self._servers,
            dependencies=self._query_dependencies,
            clock=self._clock,
        )

    def _make_caller_api(self) -> CallerApi:
        settings = self._settings
        owner_stats = OwnerStats(
            holdings=self._holdings, clock=self._clock, metrics=self._metrics
        )
        dependencies = ForwardDependencies(
            local=self._query_dependencies,
            placement=self._placement,
            links=self._peer_links,
            owner_monitor=owner_stats,
            hedging=owner_stats.hedging,
            budget=owner_stats.budget,
            counters=self._counters,
            clock=self._clock,
            data_centre=settings.data_centre,
            link_time=LINK_TIME,
        )
        chain = make_chain(
            settings=settings,
            config=self._config,
            pins=self._holdings,
            dependencies=dependencies,
            metrics=self._metrics,
            clock=self._clock,
        )
        return CallerApi(
            instance=settings.name,
            incarnation=self._incarnation,
            chain=chain,
            calls=self._call_api,
            config=self._config,
            clock=self._clock,
            counters=self._counters,
        )

    def _record_listed_server(self, name: str, leaving: bool) -> None:
        self._drain_detector.record_listing(server=name, leaving=leaving)
        is_leaving = self._drain_detector.is_leaving(name)
        self._servers.set_leaving(server=name, leaving=is_leaving)

    async def _run_heartbeat(self) -> None:
        while True:
            await sleep(HEARTBEAT_INTERVAL)
            self._pause_detector.observe(self._clock.now())

    def _link_delay(self, peer: str) -> float:
        delay = self._settings.emulated_link_delay
        return link_delay(self._source_host, peer, delay=delay) if delay else 0.0

    async def _hand_over(self) -> None:
        async with ignore_after(_HAND_OVER_TIMEOUT):
            await self._shard_caller.drain()
