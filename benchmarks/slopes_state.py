"""Measures the memory that an instance uses for each active service."""

from collections.abc import Callable
from dataclasses import replace
from gc import collect
from random import Random
from time import process_time
from tracemalloc import get_traced_memory, start, stop

from curio import run

from benchmarks.bench_config import make_services, make_store
from benchmarks.bench_members import DATA_CENTRES, make_update
from savorypond.balancing.balancer import ReplicaStatsRegistry
from savorypond.balancing.budget import RetryBudget
from savorypond.balancing.drain_detector import DrainDetector
from savorypond.balancing.latency import LatencyTracker
from savorypond.balancing.limiter import ServerLimiter
from savorypond.balancing.outlier import OutlierDetector
from savorypond.balancing.pool import ConnectionPool, PoolLimits
from savorypond.clock import SystemClock
from savorypond.config.entries import encode_entry
from savorypond.controllers.active import ActiveServices
from savorypond.controllers.backend_servers import BackendServers
from savorypond.controllers.pools import ConnectionPools
from savorypond.model import Bundle, Counters, Instance, Pin, Service
from savorypond.placement.policies import OwnerPlacement
from savorypond.queries.snapshots import SnapshotRegistry

ACTIVE_SIZES = (20, 200, 2000)  # services
SWEEP_SIZES = (1_000, 10_000, 43_500)  # services
FLEET = 4200
NEWEST, OLDER = Pin(snapshot=2, layout=1), Pin(snapshot=1, layout=1)


def held_bytes(make: Callable[[], object]) -> int:
    """Return the bytes held by the object that ``make`` returns."""
    collect()
    start()
    kept = make()
    collect()
    held, _ = get_traced_memory()
    stop()
    del kept
    return held


class FleetView:
    """A view of a fleet whose first instance is the local one."""

    def __init__(self, *, size: int = FLEET, prefix: str = "dc") -> None:
        listed = (make_update(n, 1).to_instance() for n in range(size))
        self._live = tuple(
            replace(one, data_centre=one.data_centre.replace("dc", prefix))
            for one in listed
        )
        self.version = 1

    @property
    def local_instance(self) -> Instance:
        return self._live[0]

    @property
    def fleet_size(self) -> int:
        return len(self._live)

    def live(self) -> tuple[Instance, ...]:
        return self._live


class StaticConfig:
    """A configuration that does not change."""

    def __init__(self, *, bundle: Bundle) -> None:
        self.bundle = bundle


class ActiveSetup:
    """The active services of one instance of a large fleet."""

    def __init__(self, *, bundle: Bundle, view: FleetView) -> None:
        self.bundle = bundle
        clock, counters, rng = SystemClock(), Counters(), Random(1)
        placement = OwnerPlacement(view=view)
        self.servers = BackendServers(
            data_centre="data-centre-00",
            clock=clock,
            rng=rng,
            counters=counters,
            link_time=0.003,
            drain_detector=DrainDetector(),
        )
        self.pools = ConnectionPools(
            source_host="", share=placement, clock=clock, rng=rng, counters=counters
        )
        self.active = ActiveServices(
            config=StaticConfig(bundle=bundle),
            view=view,
            placement=placement,
            servers=self.servers,
            pools=self.pools,
            clock=clock,
        )


def _activated(services: dict[str, Service], view: FleetView) -> ActiveSetup:
    bundle = Bundle(revision=1, services=services)
    parts = ActiveSetup(bundle=bundle, view=view)
    run(parts.active.activate, list(services.values()))
    return parts


def _snapshot_registry(services: dict[str, Service], count: int) -> SnapshotRegistry:
    registry = SnapshotRegistry()
    for number, service in enumerate(services.values()):
        for server in service.backend_servers:
            for pin in (OLDER, NEWEST)[:count]:
                registry.record_answer(
                    index=service.index,
                    server=server.name,
                    pin=pin,
                    shards=[service.name],
                    now=float(number),
                )
    return registry


def _latencies(names: list[str]) -> LatencyTracker:
    tracker = LatencyTracker()
    for name in names:
        for number in range(100):
            tracker.record(service=name, seconds=0.005 + number * 1e-4, now=1.0)
    return tracker


def _budget(names: list[str]) -> RetryBudget:
    budget = RetryBudget()
    for name in names:
        budget.record_first(server=name, now=1.0)
    return budget


def _outliers(services: dict[str, Service]) -> OutlierDetector:
    detector = OutlierDetector()
    for service in services.values():
        names = [server.name for server in service.backend_servers]
        detector.set_usable(service=service.name, servers=names, now=0.0)
        for name in names:
            detector.record_success(server=name, latency=0.01, now=1.0)
    return detector


def _replica_stats(names: list[str]) -> ReplicaStatsRegistry:
    registry = ReplicaStatsRegistry()
    for name in names:
        stats = registry.get(server=name)
        stats.started(attempt=1, now=1.0)
        stats.finished(attempt=1, now=1.01, ok=True)
    return registry


def print_active() -> None:
    view, rng = FleetView(prefix="data-centre"), Random(1)
    print("\nMemory for each active service (bytes)")
    print(
        "services  active service  latencies  1 snapshot  2 snapshots"
        "  | a server: limiter  pool  budget  outlier  statistics"
    )
    for size in ACTIVE_SIZES:
        services = make_services(size)
        names = [s.name for v in services.values() for s in v.backend_servers]
        # Modules and caches that load once must not count for the first measurement.
        _activated(make_services(1), view)
        kinds: list[tuple[Callable[[], object], int]] = [
            (lambda s=services: _activated(s, view), size),
            (lambda s=services: _latencies(list(s)), size),
            (lambda s=services: _snapshot_registry(s, 1), size),
            (lambda s=services: _snapshot_registry(s, 2), size),
            (
                lambda n=names: [ServerLimiter(slots=2, connections=7) for _ in n],
                2 * size,
            ),
            (
                lambda n=names: [
                    ConnectionPool(limits=PoolLimits(cap=7), random=rng) for _ in n
                ],
                2 * size,
            ),
            (lambda n=names: _budget(n), 2 * size),
            (lambda s=services: _outliers(s), 2 * size),
            (lambda n=names: _replica_stats(n), 2 * size),
        ]
        figures = [held_bytes(make) / count for make, count in kinds]
        print(f"{size:8} " + " ".join(f"{figure:12.0f}" for figure in figures))


def print_sweep() -> None:
    print(f"\nActivation at {FLEET} instances in {DATA_CENTRES} data centres")
    print("services  owned  first sweep ms  later sweep ms  bytes a service")
    view = FleetView(prefix="data-centre")
    for size in SWEEP_SIZES:
        entries = [encode_entry(service) for service in make_services(size).values()]
        store = make_store(entries)
        assert store.bundle is not None
        parts = ActiveSetup(bundle=store.bundle, view=view)
        times = []
        for _ in range(2):
            started = process_time()
            owned = sweep(parts, view)
            times.append((process_time() - started) * 1e3)
        del parts

        def swept(bundle: Bundle = store.bundle) -> ActiveSetup:
            parts = ActiveSetup(bundle=bundle, view=view)
            sweep(parts, view)
            return parts

        held = held_bytes(swept) / size
        print(f"{size:8} {owned:6} {times[0]:14.1f} {times[1]:14.1f} {held:16.0f}")


def sweep(parts: ActiveSetup, view: FleetView) -> int:
    """Check all services as a sweep does, and return how many are owned."""
    local, owned = view.local_instance.data_centre, 0
    for service in parts.bundle.services.values():
        data_centres = [server.data_centre for server in service.backend_servers]
        owned += local in data_centres and parts.active.owns(service)
    return owned
