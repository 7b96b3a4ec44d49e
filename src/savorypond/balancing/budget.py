"""Retry budgets that bound the hedges and retries to each backend server."""

from dataclasses import dataclass

EARNED_WINDOW = 1.0  # seconds for which traffic that has ended offsets the floor


@dataclass(frozen=True, slots=True, kw_only=True)
class BudgetConfig:
    """How many extra attempts, hedges and retries, a backend server may get.

    :param share: extra attempts for each first attempt.
    :param floor: extra attempts a second if the share yields fewer.
    :param burst: capacity of the bucket in extra attempts; a new server starts
        with a full one.
    """

    share: float = 0.05
    floor: float = 0.2
    burst: float = 3.0


DEFAULT_BUDGET = BudgetConfig()


class _Bucket:
    """The token bucket of one backend server."""

    __slots__ = ("earned", "tokens", "updated")

    def __init__(self, *, tokens: float, now: float) -> None:
        self.tokens = tokens
        self.earned = 0.0
        self.updated = now


class RetryBudget:
    """A token bucket for each backend server, refilled by its first attempts.

    In any span of time a server gets at most ``burst`` extra attempts, plus
    ``share`` of the first attempts, plus ``floor`` a second. Under steady traffic
    only the larger of the last two counts.
    """

    def __init__(self, *, config: BudgetConfig = DEFAULT_BUDGET) -> None:
        self._config = config
        self._buckets: dict[str, _Bucket] = {}

    def record_first(self, *, server: str, now: float) -> None:
        """Record a first attempt at ``server``."""
        bucket = self._bucket(server, now)
        share = self._config.share
        bucket.tokens = min(bucket.tokens + share, self._config.burst)
        bucket.earned = min(bucket.earned + share, self._config.floor * EARNED_WINDOW)

    def try_spend(self, *, server: str, now: float) -> bool:
        """Take a token for an extra attempt at ``server``; return False if none."""
        bucket = self._bucket(server, now)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def refund(self, *, server: str, now: float) -> None:
        """Return the token of an extra attempt that was never sent."""
        bucket = self._bucket(server, now)
        bucket.tokens = min(bucket.tokens + 1.0, self._config.burst)

    def available(self, *, server: str, now: float) -> float:
        """Return the number of tokens of ``server``."""
        return self._bucket(server, now).tokens

    def forget(self, *, server: str) -> None:
        """Drop the bucket of a removed backend server."""
        self._buckets.pop(server, None)

    def _bucket(self, server: str, now: float) -> _Bucket:
        """Return the bucket, refilled by the floor up to ``now``.

        Tokens that first attempts have earned are deducted from the floor.
        """
        bucket = self._buckets.get(server)
        if bucket is None:
            bucket = _Bucket(tokens=self._config.burst, now=now)
            self._buckets[server] = bucket
            return bucket
        if now <= bucket.updated:
            return bucket
        floor_tokens = (now - bucket.updated) * self._config.floor
        bucket.updated = now
        refill = max(0.0, floor_tokens - bucket.earned)
        bucket.earned = max(0.0, bucket.earned - floor_tokens)
        bucket.tokens = min(bucket.tokens + refill, self._config.burst)
        return bucket
