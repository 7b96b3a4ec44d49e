"""The entry daemon: wires controllers, filters and interfaces, once."""

from contextlib import AsyncExitStack
from random import Random
from typing import Any, Self

from curio import sleep, spawn

from savorypond.admission import Admission, AdmissionConfig
from savorypond.bundle import decode_bundle
from savorypond.callerapi import CallerApi
from savorypond.clock import SystemClock
from savorypond.controllers.backend_servers import BackendServers
from savorypond.controllers.health import HealthInterval, HealthPoller
from savorypond.controllers.pools import ConnectionPools
from savorypond.fanoutpolicies import FanoutPolicies, FanoutSettings
from savorypond.filters.admission import AdmissionFilter
from savorypond.filters.chain import Chain
from savorypond.filters.coverage import CoverageFilter
from savorypond.filters.deadline import DeadlineFilter
from savorypond.filters.fanout import FanoutStep
from savorypond.filters.metrics import MetricsFilter
from savorypond.filters.services import ServiceFilter
from savorypond.filters.snapshot import SnapshotFilter
from savorypond.httpserver import HttpLimits, HttpServer
from savorypond.leaving import ServerDrain
from savorypond.metrics import Metrics
from savorypond.model import BackendServer, Bundle, Service
from savorypond.operatorapi import OperatorApi, ServerStatus, Status
from savorypond.platformclient import HttpConfigService, PlatformError
from savorypond.queryrun import QueryTools
from savorypond.settings import Settings
from savorypond.shardcalls import ShardCaller

LINK_TIME = 0.003  # seconds that another data centre is expected to add
_BUNDLE_KEY = "bundle"
_WATCH_TIME = 30.0  # seconds


class EvenShare:
    """Splits connections evenly over a fleet of a known size."""

    def __init__(self, *, instances: int) -> None:
        self._instances = instances

    def connections(self, *, service: Service, server: BackendServer) -> int:
        """Return the cap on connections to ``server``."""
        return max(1, service.limits.connections // (2 * self._instances))


class Daemon:
    """One entry instance."""

    def __init__(self, *, settings: Settings) -> None:
        self._settings = settings
        self._clock = SystemClock()
        self._rng = Random()
        self._metrics = Metrics()
        self._bundle: Bundle | None = None
        self._stack = AsyncExitStack()
        self._tasks: list[Any] = []
        counters = self._metrics.counters
        self._servers = BackendServers(
            data_centre=settings.data_centre,
            clock=self._clock,
            rng=self._rng,
            counters=counters,
            link_time=LINK_TIME,
        )
        self._pools = ConnectionPools(
            source_host=settings.caller_address.host,
            share=EvenShare(instances=3),
            clock=self._clock,
            rng=self._rng,
            counters=counters,
        )
        self._drain = ServerDrain()
        self._health = HealthPoller(
            servers=self._servers,
            pools=self._pools,
            drain=self._drain,
            clock=self._clock,
            rng=self._rng,
            counters=counters,
            interval=HealthInterval(),
        )
        self._caller = ShardCaller(
            servers=self._servers,
            connections=self._pools,
            clock=self._clock,
            counters=counters,
        )
        self._config_service = HttpConfigService(
            address=settings.config_service, source_host=settings.caller_address.host
        )
        self._api = CallerApi(
            instance=settings.name,
            chain=self._build_chain(),
            config=self,
            clock=self._clock,
        )
        self._caller_server = HttpServer(
            address=settings.caller_address,
            handler=self._api.handle,
            limits=_http_limits(settings),
            on_refusal=lambda reason: counters.add("refusals", reason),
        )
        self._operator_server = HttpServer(
            address=settings.operator_address,
            handler=OperatorApi(
                metrics=self._metrics,
                status=self._status,
                not_ready=self._not_ready,
            ).handle,
            limits=HttpLimits(),
        )

    @property
    def bundle(self) -> Bundle | None:
        """The highest accepted bundle, or None before the first."""
        return self._bundle

    async def __aenter__(self) -> Self:
        await self._stack.enter_async_context(self._pools)
        await self._stack.enter_async_context(self._caller)
        await self._stack.enter_async_context(self._health)
        await self._stack.enter_async_context(self._operator_server)
        await self._stack.enter_async_context(self._caller_server)
        self._tasks.append(await spawn(self._watch_config))
        return self

    async def __aexit__(self, *reason: object) -> None:
        for task in self._tasks:
            await task.cancel()
        await self._stack.aclose()

    async def drain(self) -> None:
        """Answer what is in flight and take nothing new."""
        await self._caller_server.drain(seconds=self._settings.drain_time)

    def _build_chain(self) -> Chain:
        settings = self._settings
        admission = Admission(config=AdmissionConfig(most=settings.requests.in_flight))
        policies = FanoutPolicies(
            chooser=self._servers.chooser,
            budget=self._servers.budget,
            hedging=self._servers.hedging,
            counters=self._metrics.counters,
            random=self._rng,
            settings=FanoutSettings(finish_margin=settings.deadline_margin),
        )
        tools = QueryTools(
            servers=self._servers,
            caller=self._caller,
            clock=self._clock,
            policies=policies,
        )
        return Chain(
            filters=(
                MetricsFilter(metrics=self._metrics, clock=self._clock),
                DeadlineFilter(clock=self._clock, margin=settings.deadline_margin),
                AdmissionFilter(admission=admission, clock=self._clock),
                ServiceFilter(config=self),
                SnapshotFilter(pins=self._servers),
                CoverageFilter(),
            ),
            last=FanoutStep(tools=tools),
        )

    async def _watch_config(self) -> None:
        after = 0
        while True:
            try:
                stored = await self._config_service.watch(
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

    def _not_ready(self) -> str:
        return "no configuration" if self._bundle is None else ""

    def _status(self) -> Status:
        settings = self._settings
        now = self._clock.now()
        return Status(
            name=settings.name,
            fleet=settings.fleet,
            data_centre=settings.data_centre,
            incarnation=0,
            ready=not self._not_ready(),
            draining=False,
            revision=self._bundle.revision if self._bundle else 0,
            digest="",
            peers=(),
            servers=tuple(
                ServerStatus(
                    name=name,
                    service=known.service.name,
                    owner=settings.name,
                    leaving=self._servers.leaving(server=name),
                    ejected=self._servers.ejected(server=name, now=now),
                    in_flight=known.gate.decision.in_flight,
                    waiting=known.gate.decision.waiting,
                    connections=known.gate.decision.connections,
                    expected_wait=known.gate.decision.expected_wait(now=now),
                )
                for name, known in sorted(self._servers.known.items())
            ),
        )


def _http_limits(settings: Settings) -> HttpLimits:
    requests = settings.requests
    return HttpLimits(
        header_bytes=requests.header_bytes,
        body_bytes=requests.body_bytes,
        receive_time=requests.receive_time,
        connections_per_peer=requests.connections_per_caller,
    )
