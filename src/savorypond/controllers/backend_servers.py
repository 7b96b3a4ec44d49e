"""State of the backend servers that this instance sends work to."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from random import Random

from savorypond.balancing.balancer import (
    ChoiceRule,
    LinkLatencies,
    ReplicaStats,
    ReplicaStatsRegistry,
    make_chooser,
)
from savorypond.balancing.budget import RetryBudget
from savorypond.balancing.drain_detector import DrainDetector
from savorypond.balancing.hedging import FallbackHedge
from savorypond.balancing.latency import LatencyTracker, PercentileHedge
from savorypond.balancing.limiter import ServerLimiter
from savorypond.balancing.outlier import Ejection, OutlierDetector
from savorypond.clock import Clock
from savorypond.controllers.slots import SlotPool
from savorypond.http.messages import HttpResponse
from savorypond.model import (
    BackendServer,
    Counters,
    Holding,
    Pin,
    Service,
)
from savorypond.protocols import HedgePolicy, ReplicaChooser
from savorypond.queries.partials import is_draining
from savorypond.queries.snapshots import PinChoice, SnapshotRegistry


@dataclass(frozen=True, slots=True, kw_only=True)
class KnownServer:
    """A backend server of an active service, with that service and its slots."""

    server: BackendServer
    service: Service
    slot_pool: SlotPool


class BackendServers:
    """The backend servers of the active services.

    Holds the slots, statistics and snapshots of each. Implements
    :class:`savorypond.balancing.balancer.ServerView` for the choice of replicas.

    :param link_time: seconds that a link to another data centre adds to a round
        trip.
    """

    def __init__(
        self,
        *,
        data_centre: str,
        clock: Clock,
        rng: Random,
        counters: Counters,
        link_time: float,
        drain_detector: DrainDetector,
    ) -> None:
        self._clock = clock
        self._counters = counters
        self._known: dict[str, KnownServer] = {}
        self._drain_detector = drain_detector
        self._leaving: set[str] = set()
        self._replica_stats = ReplicaStatsRegistry()
        self._outliers = OutlierDetector()
        self._budget = RetryBudget()
        self._latencies = LatencyTracker()
        self._hedging = FallbackHedge(hedging=PercentileHedge(tracker=self._latencies))
        self._snapshots = SnapshotRegistry()
        self._usable_version = 0
        self._chooser = make_chooser(
            rule=ChoiceRule.LEAST_EXPECTED_FINISH,
            rng=rng,
            links=LinkLatencies(local=data_centre, default=link_time),
            view=self,
            registry=self._replica_stats,
        )

    @property
    def chooser(self) -> ReplicaChooser:
        """The chooser of replicas."""
        return self._chooser

    @property
    def budget(self) -> RetryBudget:
        """The budget for hedges and retries."""
        return self._budget

    @property
    def hedging(self) -> HedgePolicy:
        """The policy that decides when to hedge."""
        return self._hedging

    @property
    def known(self) -> Mapping[str, KnownServer]:
        """The backend servers of the active services, by name."""
        return self._known

    async def put(self, service: Service, *, previous: Service | None) -> None:
        """Add or update the backend servers of ``service``.

        :param previous: the service before this change, or None if it was not active.
        """
        wanted = {server.name for server in service.backend_servers}
        for server in previous.backend_servers if previous is not None else ():
            if server.name not in wanted:
                self._remove(server.name)
        for server in service.backend_servers:
            await self._put(server, service)
        self._update_usable(service)
        self._usable_version += 1

    def remove(self, service: Service) -> None:
        """Remove the backend servers of ``service``."""
        for server in service.backend_servers:
            if server.name in self._known:
                self._remove(server.name)
        self._usable_version += 1

    async def set_share(self, *, server: str, share: float) -> None:
        """Set the share of the slots of ``server`` that this instance may use."""
        known = self._known.get(server)
        if known is not None:
            await known.slot_pool.set_limits(limits=known.service.limits, share=share)

    def set_leaving(self, *, server: str, leaving: bool) -> None:
        """Set whether ``server`` is leaving and must get no new work."""
        if leaving == (server in self._leaving):
            return
        if leaving:
            self._leaving.add(server)
            self._counters.add("ejections", "leaving")
        else:
            self._leaving.discard(server)
        self._usable_version += 1
        known = self._known.get(server)
        if known is not None:
            self._update_usable(known.service)

    def record_response(self, *, server: str, response: HttpResponse) -> None:
        """Record what ``response`` says about whether ``server`` is leaving."""
        now = self._clock.now()
        if response.status == 503 and is_draining(response.body):
            self._drain_detector.record_drain_refusal(server=server, now=now)
        elif response.close:
            self._drain_detector.record_connection_close(server=server, now=now)
        else:
            return
        self.set_leaving(server=server, leaving=self._drain_detector.is_leaving(server))

    def mark_cold(self, *, server: str) -> None:
        """Begin the slow start of ``server``, which has just been started."""
        self._outliers.mark_cold(server=server, now=self._clock.now())

    def stats(self, server: str) -> ReplicaStats:
        """Return the statistics of the attempts at ``server``."""
        return self._replica_stats.get(server=server)

    def record_success(self, *, server: str, seconds: float) -> None:
        """Record a usable answer.

        :param seconds: latency since dispatch.
        """
        now = self._clock.now()
        known = self._known.get(server)
        if known is not None:
            self._latencies.record(service=known.service.name, seconds=seconds, now=now)
        self._count_ejection(
            self._outliers.record_success(server=server, latency=seconds, now=now)
        )

    def record_cancelled(self, *, server: str, seconds: float) -> None:
        """Record an attempt that ran for ``seconds`` before another one answered."""
        self._count_ejection(
            self._outliers.record_cancelled(
                server=server, age=seconds, now=self._clock.now()
            )
        )

    def record_failure(self, *, server: str) -> None:
        """Record an attempt that failed or whose answer was unusable."""
        now = self._clock.now()
        self._count_ejection(self._outliers.record_failure(server=server, now=now))

    def record_answer(
        self, *, service: Service, server: str, pin: Pin, shards: Iterable[str]
    ) -> None:
        """Record that ``server`` answered for ``shards`` from snapshot ``pin``."""
        self._snapshots.record_answer(
            index=service.index,
            server=server,
            pin=pin,
            shards=shards,
            now=self._clock.now(),
        )

    def record_refusal(
        self, *, service: Service, server: str, pin: Pin, held: Iterable[Holding]
    ) -> None:
        """Record that ``server`` does not hold ``pin``, and what it holds instead."""
        self._snapshots.record_refusal(
            index=service.index,
            server=server,
            pin=pin,
            held=held,
            now=self._clock.now(),
        )

    def record_report(
        self, *, service: Service, server: str, held: Iterable[Holding]
    ) -> None:
        """Record the snapshots that ``server`` is reported to hold."""
        self._snapshots.record_report(
            index=service.index, server=server, held=held, now=self._clock.now()
        )

    def pin(self, services: tuple[Service, ...]) -> PinChoice | None:
        """Return the snapshot for a query to ``services``, or None if none is known."""
        return self._snapshots.pin(
            services=services,
            now=self._clock.now(),
            usable=self._is_usable,
            usable_version=self._usable_version,
        )

    def complete_pins(self, services: Sequence[Service]) -> tuple[Pin, ...]:
        """Return the snapshots that are complete for all of ``services``."""
        return self._snapshots.complete_pins(
            services=services, now=self._clock.now(), usable=self._is_usable
        )

    def leaving(self, *, server: str) -> bool:
        """Return whether ``server`` must get no new work."""
        return server in self._leaving

    def ejected(self, *, server: str, now: float) -> bool:
        """Return whether ``server`` is ejected as an outlier."""
        return self._outliers.ejected(server=server, now=now)

    def overloaded(self, *, server: str, now: float) -> bool:
        """Return whether work for ``server`` would have to wait for a slot."""
        known = self._known.get(server)
        return known is not None and known.slot_pool.limiter.overloaded(now=now)

    def expected_wait(self, *, server: str, now: float) -> float:
        """Return the seconds that new work would wait for a slot."""
        known = self._known.get(server)
        return known.slot_pool.limiter.expected_wait(now=now) if known else 0.0

    def weight(self, *, server: str, now: float) -> float:
        """Return the share of its usual work that ``server`` should get."""
        return self._outliers.weight(server=server, now=now)

    def holds(self, *, server: str, pin: Pin) -> bool | None:
        """Return whether ``server`` holds ``pin``, or None if unknown."""
        known = self._known.get(server)
        if known is None:
            return None
        return self._snapshots.holds(
            index=known.service.index, server=server, pin=pin, now=self._clock.now()
        )

    def _is_usable(self, server: str) -> bool:
        return server not in self._leaving

    async def _put(self, server: BackendServer, service: Service) -> None:
        known = self._known.get(server.name)
        if known is not None and known.server == server:
            await known.slot_pool.set_limits(
                limits=service.limits, share=known.slot_pool.share
            )
            slot_pool = known.slot_pool
        else:
            slot_pool = self._new_slot_pool(service)
        self._known[server.name] = KnownServer(
            server=server, service=service, slot_pool=slot_pool
        )

    def _new_slot_pool(self, service: Service) -> SlotPool:
        limits = service.limits
        limiter = ServerLimiter(slots=limits.slots, connections=limits.connections)
        return SlotPool(limiter=limiter, clock=self._clock)

    def _remove(self, name: str) -> None:
        known = self._known.pop(name)
        self._leaving.discard(name)
        self._replica_stats.forget(server=name)
        self._budget.forget(server=name)
        self._snapshots.forget_server(index=known.service.index, server=name)

    def _update_usable(self, service: Service) -> None:
        names = [s.name for s in service.backend_servers if self._is_usable(s.name)]
        self._outliers.set_usable(
            service=service.name, servers=names, now=self._clock.now()
        )

    def _count_ejection(self, ejection: Ejection | None) -> None:
        if ejection is not None:
            self._counters.add("ejections", ejection.reason)
