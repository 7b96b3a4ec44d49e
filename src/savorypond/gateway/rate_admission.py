"""Decides which requests are admitted while their servers lack room for all.

Answers the load of a query over many shards whose servers have rate limits. If each
shard dropped requests on its own, most queries would lose too many shards to be
answered. All instances therefore rank a request by the same hash of its id and drop
those of the highest ranks: a query gets all of its shards, or is refused before
anything was sent.
"""

from collections.abc import Sequence
from math import ceil

from xxhash import xxh64_intdigest

VALID_TIME = 2.0  # seconds for which a share is used
MIN_SHARE = 0.02  # bounds the weight of an admitted request in estimates of demand
# Tokens are whole and come at intervals, so not every request admitted finds one.
OVERADMISSION = 1.5
_ROUNDING_ERROR = 1e-9  # shards
_HASHES = float(2**64)


def admission_rank(request_id: str) -> float:
    """Return the rank of a request, from 0 to 1; lower ranks are admitted first."""
    return xxh64_intdigest(request_id.encode()) / _HASHES


class RateAdmission:
    """The share of the requests that each service has room for."""

    def __init__(self) -> None:
        self._shares: dict[tuple[str, int], tuple[float, float]] = {}

    def record(self, service: str, *, priority: int, share: float, now: float) -> None:
        """Record that ``service`` has room for a share of the requests."""
        key = (service, priority)
        if share >= 1.0:
            self._shares.pop(key, None)
        else:
            self._shares[key] = (max(share, MIN_SHARE), now + VALID_TIME)

    def share(self, service: str, *, priority: int, now: float) -> float:
        """Return the share of the requests that ``service`` has room for."""
        known = self._shares.get((service, priority))
        return known[0] if known is not None and now < known[1] else 1.0

    def request_share(
        self,
        services: Sequence[str],
        *,
        priority: int,
        least_share: float,
        now: float,
    ) -> float:
        """Return the share of the requests for which enough services have room.

        :param least_share: share of ``services`` that an answer must cover.
        """
        needed = ceil(least_share * len(services) - _ROUNDING_ERROR)
        if not self._shares or needed <= 0:
            return 1.0
        shares = sorted(
            (self.share(service, priority=priority, now=now) for service in services),
            reverse=True,
        )
        return shares[needed - 1]

    def expire(self, now: float) -> None:
        """Forget the shares that are no longer valid."""
        for key, (_, until) in list(self._shares.items()):
            if now >= until:
                del self._shares[key]
