"""Numbers in the order in which they end, by whole seconds."""


class ExpiryBuckets:
    """Finds what has ended without looking at what has not.

    Pruning by expiry order is that of Mazzucco, "Virtual queues from scratch,
    part 3: ticket flow and liveness protocol", with a bucket for each second in
    place of a sorted set.
    """

    def __init__(self) -> None:
        self._buckets: dict[int, set[int]] = {}

    def add(self, number: int, *, ends_at: float) -> None:
        """Let ``number`` end within a second after ``ends_at``."""
        self._buckets.setdefault(_second(ends_at), set()).add(number)

    def discard(self, number: int, *, ends_at: float) -> None:
        """Forget ``number``, which was added with the same ``ends_at``."""
        bucket = self._buckets.get(_second(ends_at), set())
        bucket.discard(number)

    def take_ended(self, now: float) -> list[int]:
        """Return the numbers that ended, and forget them."""
        ended = [second for second in self._buckets if second <= now]
        return [n for second in ended for n in self._buckets.pop(second)]


def _second(ends_at: float) -> int:
    return int(ends_at) + 1
