"""The routing configuration: which requests go to which services, and how."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from savorypond.gateway.ranked_merge import RECORD_BYTES
from savorypond.http.channel import HttpLimits
from savorypond.http.response_parser import MAX_BODY_BYTES

# A shard may return many more records than are used, in any order.
_MIN_PART_BYTES = 64 * 1024
_RECORDS_PER_RESULT = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class WeightedService:
    """One of the services among which the requests of a route are split."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """How the requests of one host and path prefix are handled.

    :param idempotent: whether a request may run more than once.
    :param time_limit: seconds after which every request must have been answered.
    :param goal: target latency in seconds; later answers are worth less to callers.
    :param max_attempts: backend servers that one request may be sent to; for a
        route with shards, the servers of each shard.
    :param priority: rank; a lower number goes first.
    :param split: services of a route without shards.
    :param shards: services that each hold one shard; all are queried.
    :param top: number of records in a merged answer.
    :param least_share: share of the shards that an answer must cover, from 0 to 1.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    time_limit: float
    goal: float
    max_attempts: int = 1
    priority: int = 0
    split: tuple[WeightedService, ...] = ()
    shards: tuple[str, ...] = ()
    top: int = 0
    least_share: float = 0.0

    @property
    def max_response_bytes(self) -> int:
        """Maximum size of the body of one server's response."""
        if not self.shards:
            return MAX_BODY_BYTES
        return max(_MIN_PART_BYTES, self.top * RECORD_BYTES * _RECORDS_PER_RESULT)


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutedService:
    """A service to which routes refer.

    :param max_connections: connections that each of its servers accepts from all
        instances together, or 0 if unknown.
    """

    name: str
    health_path: str = ""
    max_connections: int = 0


@dataclass(frozen=True, kw_only=True)
class RouteTable:
    """One version of the routing configuration.

    :param limits: limits on the requests of callers.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[RoutedService, ...] = ()
    limits: HttpLimits = field(default_factory=HttpLimits)
    _by_host: Mapping[str, tuple[Route, ...]] = field(init=False, repr=False)
    _max_connections: Mapping[str, int] = field(init=False, repr=False)
    _max_fanouts: Mapping[str, int] = field(init=False, repr=False)

    def __post_init__(self) -> None:
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        longest_first = {
            host: tuple(sorted(routes, key=lambda r: -len(r.prefix)))
            for host, routes in by_host.items()
        }
        object.__setattr__(self, "_by_host", longest_first)
        max_fanouts: dict[str, int] = {}
        for route in self.routes:
            for service in route.shards:
                max_fanouts[service] = max(
                    max_fanouts.get(service, 0), len(route.shards)
                )
        object.__setattr__(self, "_max_fanouts", max_fanouts)
        connections = {s.name: s.max_connections for s in self.services}
        object.__setattr__(self, "_max_connections", connections)

    def match(self, *, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``, or None.

        :param host: the Host header; its port is ignored.
        """
        name = host.lower()
        routes = self._by_host.get(name)
        if routes is None:
            routes = self._by_host.get(name.partition(":")[0], ())
        for route in routes:
            if path.startswith(route.prefix):
                return route
        return None

    def max_connections(self, service: str) -> int:
        """Return the connections each server of ``service`` accepts, 0 if unknown."""
        return self._max_connections.get(service, 0)

    def max_fanout(self, service: str) -> int:
        """Return the largest number of shards in a route that uses ``service``."""
        return self._max_fanouts.get(service, 0)
