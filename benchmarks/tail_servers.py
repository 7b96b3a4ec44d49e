"""The state of backend servers that the fan-outs of a benchmark share."""

from collections.abc import Iterable
from random import Random

from savorypond.balancing.balancer import (
    ChoiceRule,
    LinkLatencies,
    ReplicaStatsRegistry,
    make_chooser,
)
from savorypond.balancing.budget import RetryBudget
from savorypond.balancing.latency import LatencyConfig, LatencyTracker, PercentileHedge
from savorypond.balancing.limiter import ServerLimiter
from savorypond.balancing.outlier import Ejection, OutlierDetector
from savorypond.clock import VirtualClock
from savorypond.model import Counters, Holding, Pin, Service
from savorypond.queries.snapshots import PinChoice, SnapshotRegistry


class ServerState:
    """Limiters, statistics, ejections and snapshots of all backend servers."""

    def __init__(
        self,
        *,
        services: Iterable[Service],
        clock: VirtualClock,
        random: Random,
        counters: Counters,
        percentile: float | None,
    ) -> None:
        self._clock = clock
        self._counters = counters
        self._services = tuple(services)
        self._service_of = {
            server.name: service
            for service in self._services
            for server in service.backend_servers
        }
        self._snapshots = SnapshotRegistry()
        self._outliers = OutlierDetector()
        config = LatencyConfig()
        if percentile is not None:
            config = LatencyConfig(percentile=percentile)
        self._latencies = LatencyTracker(config=config)
        self.registry = ReplicaStatsRegistry()
        self.budget = RetryBudget()
        self.hedging = PercentileHedge(tracker=self._latencies)
        self.limiters = {
            name: ServerLimiter(
                slots=service.limits.slots, connections=service.limits.connections
            )
            for name, service in self._service_of.items()
        }
        for service in self._services:
            names = [server.name for server in service.backend_servers]
            self._outliers.set_usable(
                service=service.name, servers=names, now=clock.now()
            )
        self.chooser = make_chooser(
            rule=ChoiceRule.LEAST_EXPECTED_FINISH,
            rng=random,
            links=LinkLatencies(local="here"),
            view=self,
            registry=self.registry,
        )

    def pin(self) -> PinChoice | None:
        """Choose a pin for a query to all services."""
        return self._snapshots.pin(
            services=self._services,
            now=self._clock.now(),
            usable=self._service_of.__contains__,
        )

    def mark_cold(self, *, server: str) -> None:
        """Start the slow start of ``server``."""
        self._outliers.mark_cold(server=server, now=self._clock.now())

    def record_report(self, *, server: str, held: Holding) -> None:
        """Record a health report that lists one snapshot."""
        self._snapshots.record_report(
            index=self._service_of[server].index,
            server=server,
            held=(held,),
            now=self._clock.now(),
        )

    def record_answer(self, *, server: str, pin: Pin, shards: Iterable[str]) -> None:
        """Record the snapshot of an answer."""
        self._snapshots.record_answer(
            index=self._service_of[server].index,
            server=server,
            pin=pin,
            shards=shards,
            now=self._clock.now(),
        )

    def record_success(self, *, server: str, seconds: float) -> None:
        """Record the latency of a usable answer."""
        now = self._clock.now()
        name = self._service_of[server].name
        self._latencies.record(service=name, seconds=seconds, now=now)
        self._count(
            self._outliers.record_success(server=server, latency=seconds, now=now)
        )

    def record_cancelled(self, *, server: str, seconds: float) -> None:
        """Record that an attempt was cancelled after ``seconds``."""
        now = self._clock.now()
        self._count(
            self._outliers.record_cancelled(server=server, age=seconds, now=now)
        )

    def record_failure(self, *, server: str) -> None:
        """Record that an attempt at ``server`` failed."""
        now = self._clock.now()
        self._count(self._outliers.record_failure(server=server, now=now))

    def leaving(self, *, server: str) -> bool:
        """Return whether ``server`` must get no new work."""
        return False

    def ejected(self, *, server: str, now: float) -> bool:
        """Return whether ``server`` is ejected as an outlier."""
        return self._outliers.ejected(server=server, now=now)

    def overloaded(self, *, server: str, now: float) -> bool:
        """Return whether work for ``server`` would have to wait for a slot."""
        return self.limiters[server].overloaded(now=now)

    def expected_wait(self, *, server: str, now: float) -> float:
        """Return the seconds that new work would wait for a slot."""
        return self.limiters[server].expected_wait(now=now)

    def weight(self, *, server: str, now: float) -> float:
        """Return the share of its usual work that ``server`` should get."""
        return self._outliers.weight(server=server, now=now)

    def holds(self, *, server: str, pin: Pin) -> bool | None:
        """Return whether ``server`` holds ``pin``, or None where unknown."""
        return self._snapshots.holds(
            index=self._service_of[server].index,
            server=server,
            pin=pin,
            now=self._clock.now(),
        )

    def _count(self, ejection: Ejection | None) -> None:
        if ejection is not None:
            self._counters.add("ejections", ejection.reason)


class UninformedView:
    """A view that reports every backend server as healthy and idle."""

    def leaving(self, *, server: str) -> bool:
        return False

    def ejected(self, *, server: str, now: float) -> bool:
        return False

    def overloaded(self, *, server: str, now: float) -> bool:
        return False

    def expected_wait(self, *, server: str, now: float) -> float:
        return 0.0

    def weight(self, *, server: str, now: float) -> float:
        return 1.0

    def holds(self, *, server: str, pin: Pin) -> bool | None:
        return None


class NoBudget:
    """Grants every extra attempt."""

    def record_first(self, *, server: str, now: float) -> None:
        pass

    def try_spend(self, *, server: str, now: float) -> bool:
        return True


class NoHedging:
    """Never hedges."""

    def delay(self, *, service: str) -> float | None:
        return None
