"""Statistics of the owners that this instance forwards work to."""

from collections.abc import Sequence

from savorypond.balancing.budget import BudgetConfig, RetryBudget
from savorypond.balancing.latency import LatencyTracker, PercentileHedge
from savorypond.clock import Clock
from savorypond.controllers.holdings import Holdings
from savorypond.metrics import Metrics
from savorypond.model import Instance, Pin, Service
from savorypond.placement.forwarding import owner_key
from savorypond.placement.owner_breaker import OwnerCircuitBreaker

_HEDGE_SHARE = 0.05  # hedges per first request
_MIN_HEDGE_RATE = 0.2  # hedges per second if the share yields fewer
_MIN_HEDGE_DELAY = 0.01  # seconds


class OwnerStats:
    """Latencies and failures of owners, and the budget for hedging them.

    Implements :class:`savorypond.placement.forward_run.OwnerMonitor`.
    """

    def __init__(self, *, holdings: Holdings, clock: Clock, metrics: Metrics) -> None:
        self._holdings = holdings
        self._clock = clock
        self._metrics = metrics
        self._latencies = LatencyTracker()
        self._breaker = OwnerCircuitBreaker()
        self._hedging = PercentileHedge(
            tracker=self._latencies, min_delay=_MIN_HEDGE_DELAY
        )
        self._budget = RetryBudget(
            config=BudgetConfig(share=_HEDGE_SHARE, floor=_MIN_HEDGE_RATE)
        )

    @property
    def hedging(self) -> PercentileHedge:
        """The policy that decides when to ask the backup of a slow owner as well."""
        return self._hedging

    @property
    def budget(self) -> RetryBudget:
        """The budget for hedges of owners."""
        return self._budget

    def owner_answered(self, *, owner: Instance, seconds: float) -> None:
        """Record an answer of ``owner`` and its latency in seconds."""
        self._breaker.record_answer(owner.name)
        self._latencies.record(
            service=owner_key(owner), seconds=seconds, now=self._clock.now()
        )
        self._metrics.latency("owner").record(seconds)

    def owner_lost(self, *, owner: Instance) -> None:
        """Record a request to ``owner`` that got no answer."""
        self._breaker.record_loss(owner.name, self._clock.now())
        self._metrics.counters.add("owners_lost", owner.data_centre)

    def owner_answered_partially(self, *, owner: Instance) -> None:
        """Record that ``owner`` sent a part of its answer."""
        self._breaker.record_answer(owner.name)

    def should_avoid(self, *, owner: Instance) -> bool:
        """Return whether ``owner`` does not respond, so that its backup is asked."""
        return self._breaker.should_avoid(owner.name, self._clock.now())

    def owner_holds(self, *, services: Sequence[Service], pins: Sequence[Pin]) -> None:
        """Record which snapshots ``services`` can be answered from."""
        self._holdings.record_pins(services, pins)
