"""Records of what callers and backend servers observed, read by the checker.

All times are monotonic seconds of the soak's own process.
"""

from dataclasses import dataclass, field
from enum import StrEnum

LONG_SUFFIX = "&long"  # ends the path of a request with a long service time


class RequestKind(StrEnum):
    """How a request is routed, and whether it may be repeated.

    ``GATHER`` requests are merged from several services and may be repeated like
    ``SAFE`` ones; ``ONCE`` requests must not run twice.
    """

    GATHER = "gather"
    SAFE = "safe"
    ONCE = "once"


@dataclass(slots=True, kw_only=True)
class RunRecord:
    """One request as it arrived at a backend server.

    :param ran: whether the server began to process it.
    :param status: status of the server's answer, 0 while there is none.
    :param disconnected: whether the connection was closed before the answer.
    :param born: start of the server's incarnation.
    :param leaving: whether the answer said that the server is leaving.
    :param pause: seconds for which the answer asked for no requests, 0 if it did not
        or may have been lost.
    """

    request_id: str
    server: str
    service: str
    method: str
    path: str
    body: bytes
    instance: str
    arrived: float
    ended: float = 0.0
    ran: bool = False
    status: int = 0
    signature: str = ""
    answer: bytes = b""
    disconnected: bool = False
    born: int = 1
    leaving: bool = False
    pause: float = 0.0


@dataclass(slots=True, kw_only=True)
class AttemptRecord:
    """One request as a caller sent it.

    :param boot: name of the instance and number of its start.
    :param ended: when the answer or the end of the connection arrived, 0 before.
    :param abandoned_at: when the caller closed the connection early, or 0.
    :param status: 0 if the connection ended without a complete answer.
    """

    request_id: str
    kind: RequestKind
    method: str
    path: str
    body: bytes
    instance: str
    boot: str
    sent: float
    ended: float = 0.0
    abandoned_at: float = 0.0
    status: int = 0
    signature: str = ""
    parts: tuple[str, ...] = ()
    missing: int = 0
    answer: bytes = b""


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigVersion:
    """One published configuration.

    :param shards: services of the gathering route.
    :param once: service of the route whose requests must not run twice.
    :param published: when it was written to the store.
    """

    number: int
    shards: tuple[str, ...]
    safe: str
    once: str
    published: float


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainStart:
    """The time at which a backend server began to drain."""

    server: str
    at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class RateLimitPeriod:
    """A span in which a backend server announced a rate limit.

    :param rate: requests a second from all instances together.
    """

    server: str
    rate: float
    began: float
    ended: float


@dataclass(frozen=True, slots=True, kw_only=True)
class FaultWindow:
    """A span in which a fault affected an instance, or every instance for ""."""

    instance: str
    kind: str
    began: float
    ended: float


@dataclass(slots=True, kw_only=True)
class Records:
    """Everything that one soak observed.

    :param exits: one line for each unexpected exit of an instance.
    :param stops: the time at which a boot was sent its planned stop, by boot.
    """

    runs: list[RunRecord] = field(default_factory=list)
    attempts: list[AttemptRecord] = field(default_factory=list)
    versions: list[ConfigVersion] = field(default_factory=list)
    drain_starts: list[DrainStart] = field(default_factory=list)
    rate_limits: list[RateLimitPeriod] = field(default_factory=list)
    fault_windows: list[FaultWindow] = field(default_factory=list)
    exits: list[str] = field(default_factory=list)
    stops: dict[str, float] = field(default_factory=dict)
    probes_failed: int = 0
    probes: int = 0
