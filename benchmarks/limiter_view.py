"""A view of healthy backend servers for the benchmarks."""

from savorypond.balancing.limiter import DEFAULT_LIMITER, LimiterConfig, ServerLimiter
from savorypond.model import (
    Address,
    BackendServer,
    Pin,
    Preference,
    Priority,
    ServerLimits,
    Service,
    ServiceKind,
)

CONNECTIONS = 25


class LimiterView:
    """A view of healthy backend servers whose load their limiters report."""

    def __init__(self, *, limiters: dict[str, ServerLimiter]) -> None:
        self._limiters = limiters

    def leaving(self, *, server: str) -> bool:
        return False

    def ejected(self, *, server: str, now: float) -> bool:
        return False

    def weight(self, *, server: str, now: float) -> float:
        return 1.0

    def holds(self, *, server: str, pin: Pin) -> bool | None:
        return True

    def overloaded(self, *, server: str, now: float) -> bool:
        return self._limiters[server].overloaded(now=now)

    def expected_wait(self, *, server: str, now: float) -> float:
        return self._limiters[server].expected_wait(now=now)


def make_service(name: str, *, replicas: int, slots: int) -> Service:
    """Return a service whose replicas are in the local data centre."""
    servers = tuple(
        BackendServer(
            name=f"{name}-{replica}",
            address=Address(host="127.0.0.1", port=1),
            data_centre="split",
        )
        for replica in range(replicas)
    )
    return Service(
        name=name,
        kind=ServiceKind.SEARCH,
        index="boats",
        layouts=(),
        backend_servers=servers,
        limits=ServerLimits(slots=slots, connections=CONNECTIONS, connect_time=0.006),
        priority=Priority.INTERACTIVE,
        prefer=Preference.LATENCY,
        time_limit=0.2,
        least_coverage=0.0,
    )


def make_limiters(
    service: Service, *, config: LimiterConfig = DEFAULT_LIMITER
) -> dict[str, ServerLimiter]:
    """Return one limiter for each backend server of ``service``."""
    slots = service.limits.slots
    return {
        server.name: ServerLimiter(slots=slots, connections=CONNECTIONS, config=config)
        for server in service.backend_servers
    }
