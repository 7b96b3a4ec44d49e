"""Data classes shared by decision modules, filters and controllers."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

from savorypond.reasons import MissingReason

KEY_SPACE = 65536  # keys of an index are hashed into [0, KEY_SPACE)


class ServiceKind(StrEnum):
    """What the backend servers of a service do."""

    SEARCH = "search"
    CALLS = "calls"


class Preference(StrEnum):
    """Which measure a service or a query puts first."""

    LATENCY = "latency"
    COVERAGE = "coverage"


class Priority(IntEnum):
    """Priority class of a request; a lower number goes first."""

    URGENT = 0
    INTERACTIVE = 1
    BACKGROUND = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class Address:
    """Where a process listens: an IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardRange:
    """One shard and the half-open range of keys [low, high) it holds."""

    shard: str
    low: int
    high: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardLayout:
    """The shards that one service holds under one numbered layout of its index."""

    number: int
    shards: tuple[ShardRange, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class BackendServer:
    """One searcher: a replica of every shard of its service."""

    name: str
    address: Address
    data_centre: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerLimits:
    """What one backend server takes at once.

    :param slots: requests it runs side by side.
    :param connections: open connections it accepts, over all instances.
    :param connect_time: seconds that opening a connection takes.
    """

    slots: int
    connections: int
    connect_time: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """One search or call service as its file describes it.

    :param index: name of the index, empty for a service of kind CALLS.
    :param time_limit: seconds a request has where its caller names none.
    :param least_coverage: share of shards below which a query is refused.
    """

    name: str
    kind: ServiceKind
    index: str
    layouts: tuple[ShardLayout, ...]
    backend_servers: tuple[BackendServer, ...]
    limits: ServerLimits
    priority: Priority
    prefer: Preference
    time_limit: float
    least_coverage: float

    def layout(self, number: int) -> ShardLayout | None:
        """Return the shards held under layout ``number``, or None."""
        for layout in self.layouts:
            if layout.number == number:
                return layout
        return None


@dataclass(frozen=True, slots=True, kw_only=True)
class Bundle:
    """All services in force, under one revision that only rises."""

    revision: int
    services: Mapping[str, Service]

    def index_services(self, index: str) -> tuple[Service, ...]:
        """Return the search services of ``index``, by name."""
        found = [s for s in self.services.values() if s.index == index]
        return tuple(sorted(found, key=lambda s: s.name))


@dataclass(frozen=True, slots=True, kw_only=True)
class Holding:
    """One snapshot that a backend server holds, and the layout it was cut in."""

    snapshot: int
    layout: int
    shards: frozenset[str]


@dataclass(frozen=True, slots=True, kw_only=True)
class Pin:
    """The snapshot and layout that one answer comes from."""

    snapshot: int
    layout: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardPartial:
    """The results of one shard, taken from one snapshot."""

    shard: str
    results: tuple[object, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class MissingShard:
    """One shard that an answer does not cover, and why."""

    shard: str
    reason: MissingReason


@dataclass(frozen=True, slots=True, kw_only=True)
class Coverage:
    """Which shards an answer was asked for and which it holds."""

    asked: frozenset[str]
    covered: frozenset[str]
    missing: tuple[MissingShard, ...] = ()

    @property
    def share(self) -> float:
        """Share of the asked shards that are covered, from 0.0 to 1.0."""
        return len(self.covered) / len(self.asked) if self.asked else 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Query:
    """A checked query of a caller.

    :param services: names asked for; empty for all services of the index.
    :param body: the query itself, passed on to backend servers unread.
    :param deadline: monotonic seconds at which the answer must have left.
    """

    request_id: str
    index: str
    services: tuple[str, ...]
    body: object
    deadline: float
    prefer: Preference
    priority: Priority
    least_coverage: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """One answer: the results of one snapshot and what they cover."""

    request_id: str
    snapshot: int
    layout: int
    partials: tuple[ShardPartial, ...]
    coverage: Coverage


class InstanceState(StrEnum):
    """What an instance is known or believed to be."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(frozen=True, slots=True, kw_only=True)
class Instance:
    """One entry instance as its peers know it.

    :param incarnation: rises when the instance restarts or wakes from a pause.
    """

    name: str
    data_centre: str
    peer_address: Address
    incarnation: int
    state: InstanceState = InstanceState.LIVE


@dataclass(slots=True, kw_only=True)
class Counters:
    """Event counts by name and reason, read by the metrics page."""

    counts: dict[tuple[str, str], int] = field(default_factory=dict)

    def add(self, name: str, reason: str, amount: int = 1) -> None:
        """Add ``amount`` to the counter ``name`` under ``reason``."""
        key = (name, reason)
        self.counts[key] = self.counts.get(key, 0) + amount

    def value(self, name: str, reason: str) -> int:
        """Return the count of ``name`` under ``reason``."""
        return self.counts.get((name, reason), 0)
