"""The actions that the state machine of a call returns, and the events it takes."""

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
    """Send a harmless request on the acquired connection to see if it is alive."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Write:
    """Send the call on the acquired connection, now.

    :param time_left: seconds that the backend server has for the call.
    """

    time_left: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ReleaseConnection:
    """Return the acquired connection to its pool."""

    outcome: ConnectionOutcome


@dataclass(frozen=True, slots=True, kw_only=True)
class Answered:
    """The call ran; ``result`` is returned to the caller."""

    result: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Finish:
    """The call has ended."""

    outcome: Answered | Refusal


Action = Acquire | Probe | Write | ReleaseConnection | Finish


@dataclass(frozen=True, slots=True, kw_only=True)
class Acquired:
    """A connection to ``server`` was acquired.

    :param verified: whether it answered a request recently.
    """

    server: str
    verified: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class NotAcquired:
    """No connection is available.

    :param server: the backend server that failed, or "" if none is left.
    :param retry_after: seconds until a connection may be available, or None.
    """

    server: str
    retry_after: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Probed:
    """The probe was answered, or it failed and so did the connection."""

    alive: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """The backend server returned a complete answer."""

    result: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportedNotRun:
    """The backend server reported that it did not run the call."""

    retry_after: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionLost:
    """The acquired connection broke or its answer was invalid."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Tick:
    """Time has passed; sent at the deadline at the latest."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerGone:
    """The caller closed its connection and will not read the answer."""


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
