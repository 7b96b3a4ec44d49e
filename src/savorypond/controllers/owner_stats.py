"""What this instance knows about the owners it forwards work to."""

from collections.abc import Sequence

from savorypond.balancing.budget import BudgetConfig, RetryBudget
from savorypond.balancing.latency import LatencyTracker, PercentileHedge
from savorypond.clock import Clock
from savorypond.controllers.holdings import Holdings
from savorypond.metrics import Metrics
from savorypond.model import Instance, Pin, Service
from savorypond.placement.forwarding import owner_key
from savorypond.placement.owner_breaker import OwnerCircuitBreaker

_HEDGE_SHARE = 0.05  # extra requests for each first one
_HEDGE_FLOOR = 0.2  # extra requests a second where the share yields fewer
_LEAST_HEDGE_DELAY = 0.01  # seconds


class OwnerStats:
    """Latencies of owners, the budget for hedging them, and what they report."""

    def __init__(self, *, holdings: Holdings, clock: Clock, metrics: Metrics) -> None:
        self._holdings = holdings
        self._clock = clock
        self._metrics = metrics
        self._latencies = LatencyTracker()
        self._breaker = OwnerCircuitBreaker()
        self._hedging = PercentileHedge(
            tracker=self._latencies, min_delay=_LEAST_HEDGE_DELAY
        )
        self._budget = RetryBudget(
            config=BudgetConfig(share=_HEDGE_SHARE, floor=_HEDGE_FLOOR)
        )

    @property
    def hedging(self) -> PercentileHedge:
        """Tells when to ask a backup besides a slow owner."""
        return self._hedging

    @property
    def budget(self) -> RetryBudget:
        """Limits hedges of owners."""
        return self._budget

    def owner_answered(self, *, owner: Instance, seconds: float) -> None:
        """Count one answer of ``owner`` and its latency in seconds."""
        self._breaker.record_answer(owner.name)
        self._latencies.record(
            service=owner_key(owner), seconds=seconds, now=self._clock.now()
        )
        self._metrics.latency("owner").record(seconds)

    def owner_lost(self, *, owner: Instance) -> None:
        """Count one request to ``owner`` that got no answer."""
        self._breaker.record_loss(owner.name, self._clock.now())
        self._metrics.counters.add("owners_lost", owner.data_centre)

    def owner_answered_partially(self, *, owner: Instance) -> None:
        """Note that ``owner`` sent a part of its answer."""
        self._breaker.record_answer(owner.name)

    def should_avoid(self, *, owner: Instance) -> bool:
        """Tell whether ``owner`` has fallen silent, so that its backup is asked."""
        return self._breaker.should_avoid(owner.name, self._clock.now())

    def owner_holds(self, *, services: Sequence[Service], pins: Sequence[Pin]) -> None:
        """Note which snapshots ``services`` can be answered from."""
        self._holdings.heard(services, pins)
