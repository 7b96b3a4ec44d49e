"""What every fan-out of an instance shares: its limits and its policies."""

from dataclasses import dataclass, field
from random import Random

from savorypond.model import Counters
from savorypond.protocols import ExtraWorkBudget, HedgePolicy, ReplicaChooser

FINISH_MARGIN = 0.003  # seconds before the deadline at which an answer leaves
LEAST_ATTEMPT_TIME = 0.001  # seconds below which no attempt is worth starting
LEAST_REPIN_TIME = 0.015  # seconds below which no second run is worth starting
RETRY_DELAY = 0.002  # seconds before a backend server is asked again; doubles
LONGEST_RETRY_DELAY = 0.05  # seconds
LATENCY_ATTEMPTS = 3  # attempts per service and run where latency goes first
COVERAGE_ATTEMPTS = 8  # attempts per service and run where coverage goes first
LATENCY_WAITS = 2  # waits for a replica or budget where latency goes first


@dataclass(frozen=True, slots=True, kw_only=True)
class FanoutSettings:
    """The limits of one query's fan-out.

    :param finish_margin: seconds before the deadline at which the answer leaves.
    :param least_attempt_time: seconds below which no attempt starts.
    :param least_repin_time: seconds below which no second run starts.
    :param retry_delay: seconds before a replica is asked again; doubles each time.
    :param latency_attempts: attempts per service and run, latency first.
    :param coverage_attempts: attempts per service and run, coverage first.
    :param latency_waits: waits for a replica or for budget, latency first.
    """

    finish_margin: float = FINISH_MARGIN
    least_attempt_time: float = LEAST_ATTEMPT_TIME
    least_repin_time: float = LEAST_REPIN_TIME
    retry_delay: float = RETRY_DELAY
    longest_retry_delay: float = LONGEST_RETRY_DELAY
    latency_attempts: int = LATENCY_ATTEMPTS
    coverage_attempts: int = COVERAGE_ATTEMPTS
    latency_waits: int = LATENCY_WAITS


@dataclass(frozen=True, slots=True, kw_only=True)
class FanoutPolicies:
    """The behaviour that every fan-out of an instance shares.

    :param random: spreads the delays of retries.
    """

    chooser: ReplicaChooser
    budget: ExtraWorkBudget
    hedging: HedgePolicy
    counters: Counters
    random: Random
    settings: FanoutSettings = field(default_factory=FanoutSettings)
