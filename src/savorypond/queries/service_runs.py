"""State that a fan-out keeps for each service."""

from dataclasses import dataclass, field

from savorypond.model import Service
from savorypond.queries.attempts import Attempt, AttemptFailure, FailureKind
from savorypond.reasons import MissingReason


@dataclass(slots=True, kw_only=True)
class RunningAttempt:
    """An attempt that is queued or running.

    :param extra: whether it was charged to the budget.
    :param dispatched: whether it has a slot and was written.
    """

    attempt: Attempt
    extra: bool
    dispatched: bool = False


@dataclass(slots=True, kw_only=True)
class ServiceRun:
    """The state of one service in one run of a query.

    :param uncovered: requested shards without an accepted partial so far.
    :param tried: names of replicas that the next attempt skips.
    :param refused: names of replicas that do not hold the pinned snapshot.
    :param waits: number of retries that were delayed.
    :param waiting: whether a delayed retry is scheduled.
    :param charged: whether retries are charged to the budget.
    :param settled: whether no further results are expected.
    :param failure: kind of the last failure.
    :param reason: why uncovered shards are missing if no further results arrive.
    """

    service: Service
    uncovered: set[str]
    running: dict[int, RunningAttempt] = field(default_factory=dict)
    tried: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)
    attempts: int = 0
    waits: int = 0
    waiting: bool = False
    hedged: bool = False
    charged: bool = False
    settled: bool = False
    failure: FailureKind | None = None
    reason: MissingReason = MissingReason.NO_BACKEND_SERVER

    @property
    def all_refused(self) -> bool:
        """Whether every replica reported that it lacks the snapshot."""
        return len(self.refused) >= len(self.service.backend_servers)

    @property
    def excluded(self) -> frozenset[str]:
        """Names of the replicas that the next attempt must not use."""
        return frozenset(self.tried | self.refused)

    def record_failure(self, attempt: Attempt, failure: AttemptFailure) -> None:
        """Update the state that later attempts depend on after a failure."""
        self.failure = failure.kind
        self.reason = failure.kind.missing_reason
        self.charged = self.charged or failure.adds_load
        if failure.kind is FailureKind.SNAPSHOT_NOT_HELD:
            self.refused.add(attempt.server.name)

    def missing_reason(self) -> MissingReason:
        """Return why uncovered shards are missing if the query ends now."""
        if not self.running:
            return self.reason
        if any(item.dispatched for item in self.running.values()):
            return MissingReason.TIMED_OUT
        return MissingReason.OVERLOADED
