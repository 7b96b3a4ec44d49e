"""The entry daemon: wires controllers, filters and interfaces, once."""

from contextlib import AsyncExitStack
from random import SystemRandom
from time import time, time_ns
from typing import Any, Self

from curio import TaskGroup, ignore_after, sleep

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
from savorypond.operatorapi import OperatorApi
from savorypond.peers.api import PeerApi
from savorypond.peers.control import ControlClient, ControlServer
from savorypond.peers.directory import PeerDirectory
from savorypond.peers.link import PeerLinks, PeerServer
from savorypond.peers.link_delay import link_delay
from savorypond.placement.forward_run import ForwardDependencies
from savorypond.queries.caller_api import MAX_TIME_LIMIT_MS, CallerApi
from savorypond.queries.fanout_policies import FanoutPolicies, FanoutSettings
from savorypond.queries.query_run import QueryDependencies
from savorypond.queries.shard_calls import ShardCaller
from savorypond.settings import Settings
from savorypond.statuspage import StatusPage
from savorypond.wiring import caller_limits, make_chain, make_placement

LINK_TIME = 0.003  # seconds that another data centre is expected to add
_LIST_WAIT = 2.0  # seconds that a start waits for the platform's list
LONGEST_REQUEST = MAX_TIME_LIMIT_MS / 1000.0  # seconds
_HAND_OVER_TIME = 1.0  # seconds


class Daemon:
    """One entry instance.

    Entering the context starts it; leaving it ends it at once. ``drain`` stops
    it without cutting a request.
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
        self._leaving = DrainDetector()
        self._servers = BackendServers(
            data_centre=settings.data_centre,
            clock=self._clock,
            rng=self._rng,
            counters=self._counters,
            link_time=LINK_TIME,
            drain_detector=self._leaving,
        )
        self._inbox = ConfigMismatchQueue()

    @property
    def config(self) -> ConfigController:
        """The configuration in force."""
        return self._config

    @property
    def metrics(self) -> Metrics:
        """What this instance counts and measures."""
        return self._metrics

    @property
    def status_page(self) -> StatusPage:
        """What this instance believes."""
        return self._page

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
        """Stop as planned: cut nothing, and hand the work of this instance on."""
        await self._drain.stop()

    def resumed(self, paused: Paused) -> None:
        """Distrust what was believed before a pause of this process."""
        self._counters.add("pauses", "noticed")
        self._calls.resumed(paused)
        self._pools.mark_all_suspect()
        self._drain.resumed(paused)
        log_event("woke", gap=round(paused.gap, 3))

    async def _start(self) -> None:
        await self._start_membership()
        await self._start_config()
        await self._start_backend_servers()
        await self._start_queries()
        self._build_calls()
        self._feed = ConfigPropagator(
            mismatches=self._inbox,
            membership=self._membership,
            config=self._config,
            active=self._active,
            holdings=self._holdings,
        )
        await self._start_interfaces()
        await self._enter(self._feed)
        await self._tasks.spawn(self._beat)

    async def _stop(self) -> None:
        await self._tasks.cancel_remaining()
        await self._stack.aclose()

    async def _enter(self, owned: Any) -> None:
        await self._stack.enter_async_context(owned)

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
                on_server=self._note_listed_server,
            ),
            clock=self._clock,
            rng=self._rng,
            counters=self._counters,
            on_config_mismatch=self._inbox.put,
        )
        await self._enter(self._membership)
        view = self._membership.membership
        self._directory = PeerDirectory(membership=view)
        self._placement = make_placement(settings.placement, view)

    async def _start_config(self) -> None:
        # A start must hear from its peers: they may know more than the service.
        await self._membership.wait_for_list(seconds=_LIST_WAIT)
        settings = self._settings
        control = ControlClient(fleet=settings.fleet, find=self._directory.find_address)
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
            drain_detector=self._leaving,
            clock=self._clock,
            rng=self._rng,
            counters=self._counters,
            interval=HealthInterval(),
            owns=self._active.owns,
        )
        for owned in (self._pools, self._active, self._health):
            await self._enter(owned)

    async def _start_queries(self) -> None:
        settings = self._settings
        self._caller = ShardCaller(
            servers=self._servers,
            connections=self._pools,
            clock=self._clock,
            counters=self._counters,
        )
        self._links = PeerLinks(fleet=settings.fleet, source_host=self._source_host)
        self._holdings = Holdings(
            active=self._active,
            servers=self._servers,
            health=self._health,
            placement=self._placement,
            links=self._links,
            clock=self._clock,
        )
        for owned in (self._caller, self._links, self._holdings):
            await self._enter(owned)
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
            caller=self._caller,
            clock=self._clock,
            policies=policies,
        )

    def _build_calls(self) -> None:
        settings = self._settings
        self._pause = PauseDetector(now=self._clock.now(), listeners=(self,))
        self._calls = CallController(
            instance=settings.name,
            fleet=settings.fleet,
            active=self._active,
            servers=self._servers,
            leaving=self._leaving,
            connections=self._pools,
            clock=self._clock,
            wall_clock=time,
            rng=self._rng,
            counters=self._counters,
            pause=self._pause,
        )
        self._call_api = CallApi(
            instance=settings.name,
            calls=self._calls,
            config=self._config,
            fleet=settings.fleet,
            peers=self._directory,
            links=self._links,
            clock=self._clock,
            metrics=self._metrics,
        )
        self._drain = DrainController(
            longest_deadline=max(settings.drain_time, LONGEST_REQUEST),
            announce=self._membership.leave,
            hand_over=self._hand_over,
            clock=self._clock,
            counters=self._counters,
        )

    async def _start_interfaces(self) -> None:
        settings = self._settings
        self._page = StatusPage(
            settings=settings,
            config=self._config,
            membership=self._membership,
            placement=self._placement,
            servers=self._servers,
            pools=self._pools,
            drain=self._drain,
            leaving=self._leaving,
            prepared=lambda: self._feed.prepared,
            clock=self._clock,
        )
        operators = OperatorApi(
            metrics=self._metrics,
            status=self._page.status,
            not_ready=self._page.not_ready,
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
        await self._enter(
            HttpServer(
                address=settings.caller_address,
                handler=self._drain.guard(self._make_caller_api().handle),
                limits=caller_limits(settings),
                on_refusal=lambda reason: self._counters.add("refusals", reason),
            )
        )

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
        owners = OwnerStats(
            holdings=self._holdings, clock=self._clock, metrics=self._metrics
        )
        dependencies = ForwardDependencies(
            local=self._query_dependencies,
            placement=self._placement,
            links=self._links,
            owner_monitor=owners,
            hedging=owners.hedging,
            budget=owners.budget,
            counters=self._counters,
            clock=self._clock,
            data_centre=settings.data_centre,
            link_time=LINK_TIME,
            margin=settings.deadline_margin,
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

    def _note_listed_server(self, name: str, leaving: bool) -> None:
        self._leaving.record_listing(server=name, leaving=leaving)
        standing = self._leaving.is_leaving(name)
        self._servers.set_leaving(server=name, leaving=standing)

    async def _beat(self) -> None:
        while True:
            await sleep(HEARTBEAT_INTERVAL)
            self._pause.observe(self._clock.now())

    def _link_delay(self, peer: str) -> float:
        between = self._settings.emulated_link_delay
        return link_delay(self._source_host, peer, delay=between) if between else 0.0

    async def _hand_over(self) -> None:
        await ignore_after(_HAND_OVER_TIME, self._caller.drain)
