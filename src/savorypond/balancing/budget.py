"""One budget for each backend server, from which hedges and retries are paid."""

from dataclasses import dataclass

FLOOR_MEMORY = 1.0  # seconds for which traffic that has ended holds back the floor


@dataclass(frozen=True, slots=True, kw_only=True)
class BudgetConfig:
    """How many extra attempts a backend server may get.

    :param share: extra attempts for each first attempt.
    :param floor: extra attempts a second where the share yields fewer.
    :param burst: extra attempts that may be saved up; a new server starts
        with them.
    """

    share: float = 0.05
    floor: float = 0.2
    burst: float = 3.0


DEFAULT_BUDGET = BudgetConfig()


class _Bucket:
    """The tokens of one backend server."""

    __slots__ = ("earned", "tokens", "updated")

    def __init__(self, *, tokens: float, now: float) -> None:
        self.tokens = tokens
        self.earned = 0.0
        self.updated = now


class RetryBudget:
    """A token bucket for each backend server, filled by its first attempts.

    In any span of time a server gets at most ``burst`` extra attempts, plus
    ``share`` of the first attempts, plus ``floor`` a second; while traffic is
    steady only the larger of the last two counts.
    """

    def __init__(self, *, config: BudgetConfig = DEFAULT_BUDGET) -> None:
        self._config = config
        self._buckets: dict[str, _Bucket] = {}

    def record_first(self, *, server: str, now: float) -> None:
        """Count one first attempt at ``server``."""
        bucket = self._bucket(server, now)
        share = self._config.share
        bucket.tokens = min(bucket.tokens + share, self._config.burst)
        bucket.earned = min(bucket.earned + share, self._config.floor * FLOOR_MEMORY)

    def try_spend(self, *, server: str, now: float) -> bool:
        """Take one extra attempt at ``server`` out of the budget if it has one."""
        bucket = self._bucket(server, now)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def refund(self, *, server: str, now: float) -> None:
        """Give back an extra attempt that was paid for but never sent."""
        bucket = self._bucket(server, now)
        bucket.tokens = min(bucket.tokens + 1.0, self._config.burst)

    def available(self, *, server: str, now: float) -> float:
        """Return the extra attempts that ``server`` could get now."""
        return self._bucket(server, now).tokens

    def forget(self, *, server: str) -> None:
        """Drop what is kept about a backend server that is gone."""
        self._buckets.pop(server, None)

    def _bucket(self, server: str, now: float) -> _Bucket:
        """Return the bucket, filled up to ``now`` by the floor.

        What first attempts have earned is taken off the floor.
        """
        bucket = self._buckets.get(server)
        if bucket is None:
            bucket = _Bucket(tokens=self._config.burst, now=now)
            self._buckets[server] = bucket
            return bucket
        if now <= bucket.updated:
            return bucket
        due = (now - bucket.updated) * self._config.floor
        bucket.updated = now
        topped_up = max(0.0, due - bucket.earned)
        bucket.earned = max(0.0, bucket.earned - due)
        bucket.tokens = min(bucket.tokens + topped_up, self._config.burst)
        return bucket
