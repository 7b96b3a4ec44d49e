"""Hedging of services that do not have enough latency samples yet."""

from savorypond.protocols import HedgePolicy

FALLBACK_DELAY = 0.03  # seconds


class FallbackHedge:
    """Hedge after a fixed delay while another policy has none.

    Without it, one silent connection would delay every query of a newly started
    instance until the deadline.

    :param hedging: the policy to follow once it returns a delay.
    :param seconds: the delay until then.
    """

    def __init__(
        self, *, hedging: HedgePolicy, seconds: float = FALLBACK_DELAY
    ) -> None:
        self._hedging = hedging
        self._seconds = seconds

    def delay(self, *, service: str) -> float | None:
        """Return the hedge delay in seconds after dispatch."""
        delay = self._hedging.delay(service=service)
        return self._seconds if delay is None else delay
