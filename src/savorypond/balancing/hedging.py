"""Hedging while too little is known of a service's latencies."""

from savorypond.protocols import HedgePolicy

FALLBACK_DELAY = 0.03  # seconds


class FallbackHedge:
    """Hedge after a fixed delay where another policy has none yet.

    Without it, one silent connection holds up every query of an instance that
    has just started, until the deadline.

    :param hedging: the policy that is followed once it knows a delay.
    :param seconds: the delay until then.
    """

    def __init__(
        self, *, hedging: HedgePolicy, seconds: float = FALLBACK_DELAY
    ) -> None:
        self._hedging = hedging
        self._seconds = seconds

    def delay(self, *, service: str) -> float | None:
        """Return seconds after dispatch."""
        known = self._hedging.delay(service=service)
        return self._seconds if known is None else known
