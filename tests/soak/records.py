"""What callers and backend servers saw, as the judge reads it.

All times are monotonic seconds of the soak's own process.
"""

from dataclasses import dataclass, field
from enum import StrEnum

LONG_MARK = "&long"  # in the path of a request that takes its server long


class Kind(StrEnum):
    """What may be done with a request."""

    GATHER = "gather"
    SAFE = "safe"
    ONCE = "once"


@dataclass(slots=True, kw_only=True)
class RunRecord:
    """One request as it arrived at a backend server.

    :param ran: whether the server began to work on it.
    :param status: of the server's answer, 0 while there is none.
    :param gone: the server's caller closed the connection before the answer.
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
    gone: bool = False


@dataclass(slots=True, kw_only=True)
class AttemptRecord:
    """One request as a caller sent it.

    :param boot: instance and number of its start.
    :param ended: when the answer or the end of the connection came, 0 before.
    :param left: when the caller closed the connection early, or 0.
    :param status: 0 where the connection ended without a whole answer.
    """

    request_id: str
    kind: Kind
    method: str
    path: str
    body: bytes
    instance: str
    boot: str
    sent: float
    ended: float = 0.0
    left: float = 0.0
    status: int = 0
    signature: str = ""
    parts: tuple[str, ...] = ()
    missing: int = 0
    answer: bytes = b""


@dataclass(frozen=True, slots=True, kw_only=True)
class Version:
    """One published configuration.

    :param shards: services of the gathering route.
    :param once: service of the route whose requests must not run twice.
    :param published: when the store held it.
    """

    number: int
    shards: tuple[str, ...]
    safe: str
    once: str
    published: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Leaving:
    """A backend server that began to leave."""

    server: str
    at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Trouble:
    """A span in which something was done to an instance, or to all for ""."""

    instance: str
    kind: str
    began: float
    ended: float


@dataclass(slots=True, kw_only=True)
class Records:
    """Everything that one soak saw.

    :param exits: instances that ended by themselves, and how.
    :param stops: planned stops: boot, when it was asked to stop.
    """

    runs: list[RunRecord] = field(default_factory=list)
    attempts: list[AttemptRecord] = field(default_factory=list)
    versions: list[Version] = field(default_factory=list)
    leavings: list[Leaving] = field(default_factory=list)
    troubles: list[Trouble] = field(default_factory=list)
    exits: list[str] = field(default_factory=list)
    stops: dict[str, float] = field(default_factory=dict)
    probes_failed: int = 0
    probes: int = 0
