"""Limits and policies shared by all fan-outs of an instance."""

from dataclasses import dataclass, field
from random import Random

from savorypond.model import Counters
from savorypond.protocols import ExtraAttemptBudget, HedgePolicy, ReplicaChooser

FINISH_MARGIN = 0.003  # seconds before the deadline at which the answer is sent
MIN_ATTEMPT_TIME = 0.001  # seconds that must remain to start an attempt
MIN_REPIN_TIME = 0.015  # seconds that must remain to start a second run
RETRY_DELAY = 0.002  # seconds before a backend server is retried; doubles
MAX_RETRY_DELAY = 0.05  # seconds, before jitter
LATENCY_MAX_ATTEMPTS = 3  # per service and run if the query prefers latency
COVERAGE_MAX_ATTEMPTS = 8  # per service and run if the query prefers coverage
LATENCY_MAX_WAITS = 2  # waits for a replica or budget if the query prefers latency


@dataclass(frozen=True, slots=True, kw_only=True)
class FanoutSettings:
    """The limits of one query's fan-out.

    :param finish_margin: seconds before the deadline at which the answer is sent.
    :param min_attempt_time: seconds that must remain to start an attempt.
    :param min_repin_time: seconds that must remain to start a second run.
    :param retry_delay: seconds before a replica is retried; doubles each time.
    :param max_retry_delay: upper bound of the retry delay in seconds, before jitter.
    :param latency_max_attempts: attempts per service and run of a query that
        prefers latency.
    :param coverage_max_attempts: attempts per service and run of a query that
        prefers coverage.
    :param latency_max_waits: waits for a replica or for budget of a query that
        prefers latency.
    """

    finish_margin: float = FINISH_MARGIN
    min_attempt_time: float = MIN_ATTEMPT_TIME
    min_repin_time: float = MIN_REPIN_TIME
    retry_delay: float = RETRY_DELAY
    max_retry_delay: float = MAX_RETRY_DELAY
    latency_max_attempts: int = LATENCY_MAX_ATTEMPTS
    coverage_max_attempts: int = COVERAGE_MAX_ATTEMPTS
    latency_max_waits: int = LATENCY_MAX_WAITS


@dataclass(frozen=True, slots=True, kw_only=True)
class FanoutPolicies:
    """The policies shared by all fan-outs of an instance.

    :param random: source of the jitter, which scales retry delays by 0.5 to 1.5.
    """

    chooser: ReplicaChooser
    budget: ExtraAttemptBudget
    hedging: HedgePolicy
    counters: Counters
    random: Random
    settings: FanoutSettings = field(default_factory=FanoutSettings)
