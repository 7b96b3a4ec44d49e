"""Data classes that the other packages share."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

from savorypond.reasons import MissingReason

KEY_SPACE = 65536  # the keys of an index are hashed into [0, KEY_SPACE)


class ServiceKind(StrEnum):
    """The kind of requests that a service handles."""

    SEARCH = "search"
    CALLS = "calls"


class Preference(StrEnum):
    """What a service or a query prefers when it cannot have both."""

    LATENCY = "latency"
    COVERAGE = "coverage"


class Priority(IntEnum):
    """Priority class of a request; lower numbers go first."""

    URGENT = 0
    INTERACTIVE = 1
    BACKGROUND = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class Address:
    """The IP address and port on which a process listens."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardRange:
    """A shard and its half-open range of keys, [low, high)."""

    shard: str
    low: int
    high: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardLayout:
    """The shards that a service holds under one numbered layout of its index."""

    number: int
    shards: tuple[ShardRange, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class BackendServer:
    """A backend server, which holds a replica of every shard of its service."""

    name: str
    address: Address
    data_centre: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerLimits:
    """The concurrency limits of one backend server.

    :param slots: requests that it runs concurrently.
    :param connections: open connections that it accepts, over all instances.
    :param connect_time: seconds that opening a connection takes.
    """

    slots: int
    connections: int
    connect_time: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A search or call service as described by its file.

    :param index: name of the index; empty for a service of kind CALLS.
    :param time_limit: default time limit of a request in seconds.
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
    """All services in force, under a revision that only increases."""

    revision: int
    services: Mapping[str, Service]

    def index_services(self, index: str) -> tuple[Service, ...]:
        """Return the search services of ``index``, sorted by name."""
        found = [s for s in self.services.values() if s.index == index]
        return tuple(sorted(found, key=lambda s: s.name))


@dataclass(frozen=True, slots=True, kw_only=True)
class Holding:
    """A snapshot that a backend server holds, with its layout and shards."""

    snapshot: int
    layout: int
    shards: frozenset[str]


@dataclass(frozen=True, slots=True, kw_only=True)
class Pin:
    """The snapshot and layout that a query is pinned to."""

    snapshot: int
    layout: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardPartial:
    """The results of one shard, taken from one snapshot."""

    shard: str
    results: tuple[object, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class MissingShard:
    """A shard that an answer does not cover, and why."""

    shard: str
    reason: MissingReason


@dataclass(frozen=True, slots=True, kw_only=True)
class Coverage:
    """The shards that a query asked for, and those that the answer covers."""

    asked: frozenset[str]
    covered: frozenset[str]
    missing: tuple[MissingShard, ...] = ()

    @property
    def share(self) -> float:
        """Share of the asked shards that are covered, from 0.0 to 1.0."""
        return len(self.covered) / len(self.asked) if self.asked else 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Query:
    """A validated query of a caller.

    :param services: names of the services to ask; empty for all of the index.
    :param body: the query itself, passed to the backend servers as it is.
    :param deadline: monotonic seconds by which the answer must be sent.
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
    """The answer to a query: results from one snapshot, and their coverage."""

    request_id: str
    snapshot: int
    layout: int
    partials: tuple[ShardPartial, ...]
    coverage: Coverage


class InstanceState(StrEnum):
    """The state of an instance as its peers see it."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(frozen=True, slots=True, kw_only=True)
class Instance:
    """An entry instance as its peers see it.

    :param incarnation: increases when the instance restarts or resumes after a
        pause.
    """

    name: str
    data_centre: str
    peer_address: Address
    incarnation: int
    state: InstanceState = InstanceState.LIVE


@dataclass(slots=True, kw_only=True)
class Counters:
    """Event counters by name and reason."""

    counts: dict[tuple[str, str], int] = field(default_factory=dict)

    def add(self, name: str, reason: str, amount: int = 1) -> None:
        """Add ``amount`` to the counter of ``name`` and ``reason``."""
        key = (name, reason)
        self.counts[key] = self.counts.get(key, 0) + amount

    def value(self, name: str, reason: str) -> int:
        """Return the count of ``name`` and ``reason``."""
        return self.counts.get((name, reason), 0)
