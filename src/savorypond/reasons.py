"""Enumerated reasons that occur in answers, metrics and logs."""

from enum import StrEnum


class Execution(StrEnum):
    """Whether a refused request may have run."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RefusalReason(StrEnum):
    """Why a caller's request was refused."""

    MALFORMED = "malformed"
    UNSUPPORTED_VERSION = "unsupported-version"
    TOO_LARGE = "too-large"
    TOO_SLOW = "too-slow"
    NOT_FOUND = "not-found"
    METHOD_NOT_ALLOWED = "method-not-allowed"
    TOO_MANY_CONNECTIONS = "too-many-connections"
    UNKNOWN_INDEX = "unknown-index"
    UNKNOWN_SERVICE = "unknown-service"
    MIXED_INDEXES = "mixed-indexes"
    NOT_READY = "not-ready"
    DRAINING = "draining"
    OVERLOADED = "overloaded"
    TIME_TOO_SHORT = "time-too-short"
    TIMED_OUT = "timed-out"
    NO_SNAPSHOT = "no-snapshot"
    COVERAGE_TOO_LOW = "coverage-too-low"
    NO_BACKEND_SERVER = "no-backend-server"
    CONNECTION_LOST = "connection-lost"
    SHED = "shed"
    RATE_LIMITED = "rate-limited"
    TICKET_UNKNOWN = "ticket-unknown"
    TICKET_SPENT = "ticket-spent"
    TICKET_EXPIRED = "ticket-expired"
    TICKET_FOREIGN = "ticket-foreign"
    INSTANCE_GONE = "instance-gone"
    INTERNAL = "internal"
    TICKET_VOID = "ticket-void"
    TICKET_UNRESOLVED = "ticket-unresolved"
    TICKET_IN_PROGRESS = "ticket-in-progress"
    SERVER_LEAVING = "server-leaving"
    CALLER_GONE = "caller-gone"
    ISOLATED = "isolated"


class MissingReason(StrEnum):
    """Why a shard is not covered by an answer."""

    TIMED_OUT = "timed-out"
    NO_BACKEND_SERVER = "no-backend-server"
    SNAPSHOT_NOT_HELD = "snapshot-not-held"
    SHED = "shed"
    CONNECTION_FAILED = "connection-failed"
    INVALID_ANSWER = "invalid-answer"
    BUDGET_SPENT = "budget-spent"
    OVERLOADED = "overloaded"
    OWNER_UNREACHABLE = "owner-unreachable"


class RetryReason(StrEnum):
    """Why a shard call was retried at another replica."""

    SHED = "shed"
    CONNECTION_FAILED = "connection-failed"
    SNAPSHOT_NOT_HELD = "snapshot-not-held"
    INVALID_ANSWER = "invalid-answer"
    TIMED_OUT = "timed-out"
    OWNER_UNREACHABLE = "owner-unreachable"
    OVERLOADED = "overloaded"


class HedgeReason(StrEnum):
    """Why a hedge was started."""

    SLOW_REPLICA = "slow-replica"
    SLOW_OWNER = "slow-owner"
    SILENT_CONNECTION = "silent-connection"


class CancelReason(StrEnum):
    """Why a running attempt was cancelled."""

    LOST_RACE = "lost-race"
    DEADLINE = "deadline"
    CALLER_GONE = "caller-gone"
    REPINNED = "repinned"


class DropReason(StrEnum):
    """Why a received partial answer was dropped."""

    LATE = "late"
    DUPLICATE = "duplicate"
    WRONG_REQUEST = "wrong-request"
    WRONG_SNAPSHOT = "wrong-snapshot"
    WRONG_LAYOUT = "wrong-layout"
    WRONG_SHARD = "wrong-shard"
    TRUNCATED = "truncated"
    MALFORMED = "malformed"


class EjectionReason(StrEnum):
    """Why a backend server was ejected."""

    CONSECUTIVE_FAILURES = "consecutive-failures"
    SLOW = "slow"
    LEAVING = "leaving"
    UNREACHABLE = "unreachable"


class ConfigReason(StrEnum):
    """Why an offered configuration was not accepted."""

    INVALID = "invalid"
    STALE = "stale"
    CONFLICT = "conflict"
    SERVICE_DOWN = "service-down"


class DenialReason(StrEnum):
    """Why a hedge or retry was not started."""

    BUDGET_SPENT = "budget-spent"
    NO_REPLICA = "no-replica"
    NO_TIME = "no-time"
    ATTEMPTS_SPENT = "attempts-spent"


class RepinReason(StrEnum):
    """The outcome of a query whose pinned snapshot could not be completed."""

    RESTARTED = "restarted"
    NO_BETTER_PIN = "no-better-pin"
    NO_TIME = "no-time"
    FIRST_RUN_KEPT = "first-run-kept"


class DatagramReason(StrEnum):
    """The outcome of sending or receiving a datagram."""

    SENT = "sent"
    RECEIVED = "received"
    MALFORMED = "malformed"
    TOO_LONG = "too-long"
    OTHER_VERSION = "other-version"
    OTHER_FLEET = "other-fleet"
    SEND_FAILED = "send-failed"
    RECEIVE_FAILED = "receive-failed"


class InstanceListReason(StrEnum):
    """The outcome of reading the platform's list of instances."""

    READ = "read"
    TIMED_OUT = "timed-out"
    FAILED = "failed"
