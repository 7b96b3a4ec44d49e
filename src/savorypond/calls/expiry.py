"""Expiry of ticket numbers, in buckets of one second."""


class ExpiryBuckets:
    """Finds expired ticket numbers without a scan of the others.

    Pruning by expiry order follows Mazzucco, "Virtual queues from scratch, part 3:
    ticket flow and liveness protocol", with a bucket for each second instead of a
    sorted set.
    """

    def __init__(self) -> None:
        self._buckets: dict[int, set[int]] = {}

    def add(self, number: int, *, expires_at: float) -> None:
        """Add ``number``, which expires within a second after ``expires_at``."""
        self._buckets.setdefault(_second(expires_at), set()).add(number)

    def discard(self, number: int, *, expires_at: float) -> None:
        """Remove ``number``, which was added with the same ``expires_at``."""
        bucket = self._buckets.get(_second(expires_at), set())
        bucket.discard(number)

    def pop_expired(self, now: float) -> list[int]:
        """Remove and return the numbers that have expired."""
        expired = [second for second in self._buckets if second <= now]
        return [n for second in expired for n in self._buckets.pop(second)]


def _second(expires_at: float) -> int:
    return int(expires_at) + 1
