"""The events and actions of one query's fan-out."""

from dataclasses import dataclass
from enum import StrEnum

from savorypond.model import Answer, BackendServer, Holding, Pin, Service
from savorypond.protocols import Purpose
from savorypond.queries.partials import Drop
from savorypond.reasons import CancelReason, MissingReason, RetryReason


class FailureKind(StrEnum):
    """How an attempt failed."""

    SHED = "shed"
    CONNECTION_FAILED = "connection-failed"
    SNAPSHOT_NOT_HELD = "snapshot-not-held"
    INVALID_ANSWER = "invalid-answer"
    TIMED_OUT = "timed-out"
    OVERLOADED = "overloaded"
    OWNER_UNREACHABLE = "owner-unreachable"

    @property
    def missing_reason(self) -> MissingReason:
        """The reason reported for shards whose last attempt failed this way."""
        return MissingReason(self.value)

    @property
    def retry_reason(self) -> RetryReason:
        """The reason under which a retry after this failure is counted."""
        return RetryReason(self.value)


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptFailure:
    """The end of an attempt without an answer.

    :param not_run: whether the request is known not to have run: none of its
        bytes were sent, or the backend server said so.
    :param retry_after: seconds to wait before a retry, or None if not known.
    :param held: the snapshots that the server holds, after SNAPSHOT_NOT_HELD.
    """

    kind: FailureKind
    not_run: bool = False
    retry_after: float | None = None
    held: tuple[Holding, ...] = ()

    @property
    def adds_load(self) -> bool:
        """Whether a retry adds load and is therefore charged to the budget.

        A retry adds load if the failed attempt may have run or was shed by the
        backend server. Otherwise nothing ran and no server was overloaded, so
        the retry is the first work that the service receives.
        """
        if self.kind in (FailureKind.SNAPSHOT_NOT_HELD, FailureKind.OVERLOADED):
            return False
        return self.kind is FailureKind.SHED or not self.not_run


@dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """One request to one replica of a service for some of its shards.

    :param number: counts from 1 within a query, across its runs.
    """

    number: int
    service: Service
    server: BackendServer
    shards: frozenset[str]
    pin: Pin
    purpose: Purpose


@dataclass(frozen=True, slots=True, kw_only=True)
class SendAttempt:
    """Queue ``attempt`` for a slot and send it once a slot is free.

    :param deadline: monotonic seconds after which the answer is not needed.
    """

    attempt: Attempt
    deadline: float


@dataclass(frozen=True, slots=True, kw_only=True)
class CancelAttempt:
    """Remove ``attempt`` from the slot queue or cancel it at the backend server."""

    attempt: Attempt
    reason: CancelReason


@dataclass(frozen=True, slots=True, kw_only=True)
class RejectAnswer:
    """Count the answer to ``attempt`` as a failure of its backend server."""

    attempt: Attempt
    drops: tuple[Drop, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Repin:
    """Choose another pin and pass it, or None, to ``Fanout.restart``."""

    refused: Pin


@dataclass(frozen=True, slots=True, kw_only=True)
class Finish:
    """End the fan-out with ``answer``; no action follows."""

    answer: Answer


Action = SendAttempt | CancelAttempt | RejectAnswer | Repin | Finish
