"""The entry daemon: wires controllers, filters and interfaces, once."""

from contextlib import AsyncExitStack
from random import SystemRandom
from time import time, time_ns
from typing import Any, Self

from curio import TaskGroup, ignore_after, sleep

from savorypond.admission import Admission, AdmissionConfig
from savorypond.bundle import decode_bundle
from savorypond.callapi import CallApi
from savorypond.callerapi import CallerApi
from savorypond.clock import SystemClock
from savorypond.controllers.backend_servers import BackendServers
from savorypond.controllers.calls import Calls
from savorypond.controllers.drain import DrainController
from savorypond.controllers.health import HealthInterval, HealthPoller
from savorypond.controllers.membership import MembershipController
from savorypond.controllers.owners import Owners
from savorypond.controllers.pools import ConnectionPools
from savorypond.controllers.shares import ShareController
from savorypond.fanoutpolicies import FanoutPolicies, FanoutSettings
from savorypond.filters.admission import AdmissionFilter
from savorypond.filters.chain import Chain
from savorypond.filters.coverage import CoverageFilter
from savorypond.filters.deadline import DeadlineFilter
from savorypond.filters.fanout import FanoutStep
from savorypond.filters.metrics import MetricsFilter
from savorypond.filters.services import ServiceFilter
from savorypond.filters.snapshot import SnapshotFilter
from savorypond.forwardrun import ForwardTools
from savorypond.httpserver import HttpLimits, HttpServer
from savorypond.leaving import ServerDrain
from savorypond.linkdelay import link_delay
from savorypond.logs import log_event
from savorypond.metrics import Metrics
from savorypond.model import Bundle, Instance
from savorypond.operatorapi import OperatorApi
from savorypond.pause import HEARTBEAT_INTERVAL
from savorypond.peerapi import PeerApi
from savorypond.peerlink import PeerLinks, PeerServer
from savorypond.placement import (
    DirectPlacement,
    FleetView,
    OwnerPlacement,
    SlotSharing,
    StaticShares,
)
from savorypond.platformclient import (
    HttpConfigService,
    HttpInstanceList,
    PlatformError,
)
from savorypond.queryrun import QueryTools
from savorypond.settings import PlacementMode, Settings
from savorypond.shardcalls import ShardCaller
from savorypond.statuspage import StatusPage

LINK_TIME = 0.003  # seconds that another data centre is expected to add
_BUNDLE_KEY = "bundle"
_WATCH_TIME = 30.0  # seconds
_HAND_OVER_TIME = 1.0  # seconds


class Daemon:
    """One entry instance."""

    def __init__(self, *, settings: Settings) -> None:
        self._settings = settings
        self._clock = SystemClock()
        self._rng = SystemRandom()
        self._metrics = Metrics()
        self._bundle: Bundle | None = None
        self._stack = AsyncExitStack()
        self._tasks = TaskGroup()
        self._source_host = settings.caller_address.host
        self._incarnation = time_ns()

    @property
    def bundle(self) -> Bundle | None:
        """The highest accepted bundle, or None before the first."""
        return self._bundle

    async def __aenter__(self) -> Self:
        await self._start_membership()
        self._build_servers()
        await self._enter(self._pools)
        self._build_queries()
        await self._enter(self._caller)
        await self._enter(self._links)
        self._build_calls()
        await self._enter(self._shares)
        await self._enter(self._health)
        await self._start_interfaces()
        await self._tasks.spawn(self._watch_config)
        await self._tasks.spawn(self._beat)
        return self

    async def __aexit__(self, *reason: object) -> None:
        await self._tasks.cancel_remaining()
        await self._stack.aclose()

    async def drain(self) -> None:
        """Stop as planned: cut nothing, and hand the work of this instance on."""
        await self._drain.stop()

    def find(self, name: str) -> Instance | None:
        """Return the peer called ``name``, or None where it is not known."""
        for member in self._membership.membership.members:
            if member.name == name:
                return member.instance
        return None

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
                address=settings.instance_list, source_host=self._source_host
            ),
            clock=self._clock,
            rng=self._rng,
            counters=self._metrics.counters,
        )
        await self._enter(self._membership)
        self._placement = _make_placement(
            settings.placement, self._membership.membership
        )

    def _build_servers(self) -> None:
        counters = self._metrics.counters
        self._servers = BackendServers(
            data_centre=self._settings.data_centre,
            clock=self._clock,
            rng=self._rng,
            counters=counters,
            link_time=LINK_TIME,
        )
        self._pools = ConnectionPools(
            source_host=self._source_host,
            share=self._placement,
            clock=self._clock,
            rng=self._rng,
            counters=counters,
        )
        self._leaving = ServerDrain()
        self._health = HealthPoller(
            servers=self._servers,
            pools=self._pools,
            drain=self._leaving,
            clock=self._clock,
            rng=self._rng,
            counters=counters,
            interval=HealthInterval(),
        )
        self._shares = ShareController(
            view=self._membership.membership,
            placement=self._placement,
            servers=self._servers,
            pools=self._pools,
        )
        self._owners = Owners(
            servers=self._servers, clock=self._clock, metrics=self._metrics
        )

    def _build_queries(self) -> None:
        settings = self._settings
        counters = self._metrics.counters
        self._caller = ShardCaller(
            servers=self._servers,
            connections=self._pools,
            clock=self._clock,
            counters=counters,
        )
        policies = FanoutPolicies(
            chooser=self._servers.chooser,
            budget=self._servers.budget,
            hedging=self._servers.hedging,
            counters=counters,
            random=self._rng,
            settings=FanoutSettings(finish_margin=settings.deadline_margin),
        )
        self._query_tools = QueryTools(
            servers=self._servers,
            caller=self._caller,
            clock=self._clock,
            policies=policies,
        )
        self._links = PeerLinks(fleet=settings.fleet, source_host=self._source_host)
        self._forward_tools = ForwardTools(
            local=self._query_tools,
            placement=self._placement,
            links=self._links,
            reports=self._owners,
            hedging=self._owners.hedging,
            budget=self._owners.budget,
            counters=counters,
            clock=self._clock,
            data_centre=settings.data_centre,
            link_time=LINK_TIME,
            margin=settings.deadline_margin,
        )

    def _build_calls(self) -> None:
        settings = self._settings
        self._calls = Calls(
            instance=settings.name,
            fleet=settings.fleet,
            servers=self._servers,
            leaving=self._leaving,
            connections=self._pools,
            clock=self._clock,
            wall=time,
            rng=self._rng,
            counters=self._metrics.counters,
        )
        self._call_api = CallApi(
            instance=settings.name,
            calls=self._calls,
            config=self,
            peers=self,
            links=self._links,
            clock=self._clock,
            metrics=self._metrics,
        )
        self._drain = DrainController(
            longest_deadline=settings.drain_time,
            announce=self._membership.leave,
            hand_over=self._hand_over,
            clock=self._clock,
            counters=self._metrics.counters,
        )

    async def _start_interfaces(self) -> None:
        settings = self._settings
        counters = self._metrics.counters
        peer_api = PeerApi(
            instance=settings.name,
            calls=self._call_api,
            config=self,
            servers=self._servers,
            tools=self._query_tools,
            clock=self._clock,
        )
        caller_api = CallerApi(
            instance=settings.name,
            incarnation=self._incarnation,
            chain=self._build_chain(),
            calls=self._call_api,
            config=self,
            clock=self._clock,
        )
        page = StatusPage(
            settings=settings,
            config=self,
            membership=self._membership,
            placement=self._placement,
            servers=self._servers,
            pools=self._pools,
            drain=self._drain,
            clock=self._clock,
        )
        operator_api = OperatorApi(
            metrics=self._metrics, status=page.status, not_ready=page.not_ready
        )
        await self._enter(
            PeerServer(
                address=settings.peer_address,
                fleet=settings.fleet,
                handler=peer_api.handle,
                delay=self._link_delay,
            )
        )
        await self._enter(
            HttpServer(
                address=settings.operator_address,
                handler=operator_api.handle,
                limits=HttpLimits(),
            )
        )
        await self._enter(
            HttpServer(
                address=settings.caller_address,
                handler=self._drain.guard(caller_api.handle),
                limits=_http_limits(settings),
                on_refusal=lambda reason: counters.add("refusals", reason),
            )
        )

    def _build_chain(self) -> Chain:
        settings = self._settings
        counters = self._metrics.counters
        admission = Admission(config=AdmissionConfig(most=settings.requests.in_flight))
        return Chain(
            filters=(
                MetricsFilter(metrics=self._metrics, clock=self._clock),
                DeadlineFilter(clock=self._clock, margin=settings.deadline_margin),
                AdmissionFilter(admission=admission, clock=self._clock),
                ServiceFilter(config=self),
                SnapshotFilter(pins=self._servers),
                CoverageFilter(),
            ),
            last=FanoutStep(
                tools=self._forward_tools,
                pins=self._servers,
                clock=self._clock,
                counters=counters,
            ),
        )

    async def _watch_config(self) -> None:
        service = HttpConfigService(
            address=self._settings.config_service, source_host=self._source_host
        )
        after = 0
        while True:
            try:
                stored = await service.watch(
                    _BUNDLE_KEY, after=after, seconds=_WATCH_TIME
                )
            except PlatformError:
                await sleep(1.0)
                continue
            if stored is not None:
                after = stored.revision
                await self._take(decode_bundle(bytes(stored.value)))

    async def _take(self, bundle: Bundle) -> None:
        self._bundle = bundle
        self._servers.apply(bundle)
        await self._pools.apply(bundle)
        await self._shares.apply(bundle.services.values())
        log_event("config-in-force", revision=bundle.revision)

    async def _beat(self) -> None:
        while True:
            await sleep(HEARTBEAT_INTERVAL)
            paused = self._calls.pause.observe(self._clock.now())
            if paused is not None:
                log_event("woke", gap=round(paused.gap, 3))
                self._metrics.counters.add("pauses", "noticed")
                self._pools.distrust()

    def _link_delay(self, peer: str) -> float:
        between = self._settings.emulated_link_delay
        return link_delay(self._source_host, peer, between=between) if between else 0.0

    async def _hand_over(self) -> None:
        async with ignore_after(_HAND_OVER_TIME):
            await self._caller.drain()


def _make_placement(mode: PlacementMode, view: FleetView) -> SlotSharing:
    if mode is PlacementMode.DIRECT:
        return DirectPlacement(view=view)
    if mode is PlacementMode.STATIC:
        return StaticShares(view=view)
    return OwnerPlacement(view=view)


def _http_limits(settings: Settings) -> HttpLimits:
    requests = settings.requests
    return HttpLimits(
        header_bytes=requests.header_bytes,
        body_bytes=requests.body_bytes,
        receive_time=requests.receive_time,
        connections_per_peer=requests.connections_per_caller,
    )
