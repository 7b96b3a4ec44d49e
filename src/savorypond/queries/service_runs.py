"""What a fan-out knows about each service that it asks."""

from dataclasses import dataclass, field

from savorypond.model import Service
from savorypond.queries.attempts import Attempt, AttemptFailure, FailureKind
from savorypond.reasons import MissingReason


@dataclass(slots=True, kw_only=True)
class RunningAttempt:
    """An attempt that was sent and has not ended.

    :param extra: whether it was taken out of the budget.
    :param dispatched: whether it has its slot and was written.
    """

    attempt: Attempt
    extra: bool
    dispatched: bool = False


@dataclass(slots=True, kw_only=True)
class ServiceRun:
    """The state of one service in one run of a query.

    :param uncovered: its asked shards that no accepted partial covers yet.
    :param tried: names of replicas not to choose at the next attempt.
    :param refused: names of replicas that do not hold the pinned snapshot.
    :param waiting: whether a retry waits for its time.
    :param charged: whether a retry is taken out of the budget.
    :param settled: whether nothing more can come for this service.
    :param failure: how the last failed attempt failed.
    :param reason: why shards are missing if nothing more comes.
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
        """Whether every replica said that it does not hold the snapshot."""
        return len(self.refused) >= len(self.service.backend_servers)

    @property
    def excluded(self) -> frozenset[str]:
        """Names of the replicas that the next attempt must not go to."""
        return frozenset(self.tried | self.refused)

    def note_failure(self, attempt: Attempt, failure: AttemptFailure) -> None:
        """Keep what the failure of ``attempt`` means for the next one."""
        self.failure = failure.kind
        self.reason = failure.kind.missing
        self.charged = self.charged or failure.adds_load
        if failure.kind is FailureKind.SNAPSHOT_NOT_HELD:
            self.refused.add(attempt.server.name)

    def missing_reason(self) -> MissingReason:
        """Return why the uncovered shards are missing if the query ends now."""
        if not self.running:
            return self.reason
        if any(each.dispatched for each in self.running.values()):
            return MissingReason.TIMED_OUT
        return MissingReason.OVERLOADED
