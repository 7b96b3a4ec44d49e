"""What a running call asks for, and what it is told."""

from dataclasses import dataclass

from savorypond.balancing.pool import ConnectionOutcome
from savorypond.calls.tickets import Refusal


@dataclass(frozen=True, slots=True, kw_only=True)
class Acquire:
    """Get a connection to a backend server, preferably outside ``tried``.

    :param tried: names of the backend servers that failed this call.
    """

    tried: frozenset[str]


@dataclass(frozen=True, slots=True, kw_only=True)
class Probe:
    """Ask the backend server something harmless on the connection in hand."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Write:
    """Send the request on the connection in hand, now.

    :param time_left: seconds that the backend server has for it.
    """

    time_left: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ReleaseConnection:
    """Give the connection in hand back to its pool."""

    outcome: ConnectionOutcome


@dataclass(frozen=True, slots=True, kw_only=True)
class Answered:
    """The call ran; ``result`` goes to the caller."""

    result: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Finish:
    """The call is over."""

    outcome: Answered | Refusal


Action = Acquire | Probe | Write | ReleaseConnection | Finish


@dataclass(frozen=True, slots=True, kw_only=True)
class Acquired:
    """A connection to ``server`` is in hand.

    :param verified: whether it answered something a moment ago.
    """

    server: str
    verified: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class NotAcquired:
    """No connection could be had.

    :param server: the backend server that failed, or "" where none is left.
    :param retry_after: seconds until one may be had, or None.
    """

    server: str
    retry_after: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Probed:
    """The probe was answered, or failed with the connection."""

    alive: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """The backend server answered in full."""

    result: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportedNotRun:
    """The backend server answered that it did not run the work."""

    retry_after: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionLost:
    """The connection in hand broke or its answer made no sense."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Tick:
    """Time has passed; sent at the deadline at the latest."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerGone:
    """The caller closed its connection and will read no answer."""


Event = (
    Acquired
    | NotAcquired
    | Probed
    | Result
    | ReportedNotRun
    | ConnectionLost
    | Tick
    | CallerGone
)
