"""A token bucket whose rate may change."""

BURST_TIME = 2.0  # seconds of the rate that may be saved up, besides one token


class TokenBucket:
    """Limits the rate of requests; starts with one token.

    Taking a token that is not there leaves a debt, so that the mean rate holds.
    """

    __slots__ = ("_refilled_at", "_tokens")

    def __init__(self, *, now: float) -> None:
        self._tokens = 1.0
        self._refilled_at = now

    def refill(self, rate: float, now: float) -> None:
        """Add the tokens since the last call.

        :param rate: tokens a second.
        """
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._tokens = min(self._tokens + rate * elapsed, 1.0 + BURST_TIME * rate)

    @property
    def available(self) -> bool:
        """Whether a token is left."""
        return self._tokens >= 1.0

    def take(self) -> None:
        """Take one token."""
        self._tokens -= 1.0

    def give_back(self) -> None:
        """Return the token of a request that was not sent."""
        self._tokens += 1.0
