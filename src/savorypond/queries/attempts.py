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
    def missing(self) -> MissingReason:
        """The reason that shards are missing with where this was the last."""
        return MissingReason(self.value)

    @property
    def retry(self) -> RetryReason:
        """The reason that a retry after this is counted under."""
        return RetryReason(self.value)


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptFailure:
    """One attempt's end without an answer.

    :param not_run: true only where the work surely did not run: no byte of the
        request left, or the backend server said so.
    :param retry_after: seconds the backend server asked to be left alone, or None.
    :param held: what the backend server holds, after SNAPSHOT_NOT_HELD.
    """

    kind: FailureKind
    not_run: bool = False
    retry_after: float | None = None
    held: tuple[Holding, ...] = ()

    @property
    def adds_load(self) -> bool:
        """Whether a retry after this adds load, and so is charged to the budget.

        It does where the attempt may have run, and where the backend server shed
        it. It does not where nothing ran and nobody was overloaded: the retry is
        then the first work that the service gets.
        """
        if self.kind in (FailureKind.SNAPSHOT_NOT_HELD, FailureKind.OVERLOADED):
            return False
        return self.kind is FailureKind.SHED or not self.not_run


@dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """One request to one replica of a service for some of its shards.

    :param number: counts from 1 within a query, over all its runs.
    """

    number: int
    service: Service
    server: BackendServer
    shards: frozenset[str]
    pin: Pin
    purpose: Purpose


@dataclass(frozen=True, slots=True, kw_only=True)
class SendAttempt:
    """Queue ``attempt`` for a slot and send it once it has one.

    :param deadline: monotonic seconds after which its answer is of no use.
    """

    attempt: Attempt
    deadline: float


@dataclass(frozen=True, slots=True, kw_only=True)
class CancelAttempt:
    """Take ``attempt`` out of its slot queue or cancel it where it runs."""

    attempt: Attempt
    reason: CancelReason


@dataclass(frozen=True, slots=True, kw_only=True)
class RejectAnswer:
    """Count the answer to ``attempt`` as a failure of its backend server."""

    attempt: Attempt
    drops: tuple[Drop, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Repin:
    """Choose a pin anew and call ``Fanout.restart`` with it, or with None."""

    refused: Pin


@dataclass(frozen=True, slots=True, kw_only=True)
class Finish:
    """Send ``answer`` to the caller; nothing follows."""

    answer: Answer


Action = SendAttempt | CancelAttempt | RejectAnswer | Repin | Finish
