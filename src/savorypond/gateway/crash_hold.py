"""Holds back further attempts of a query while servers may be crashing under it.

Guards the other servers of a query's shards from a request that crashes servers. After
the first crash no further attempt is sent until a server answers the query, which
clears it, or the time is over in which it is isolated if it is at fault.
"""

from math import inf

HOLD_TIME = 0.08  # seconds; most servers of a query answer in less


class CrashHold:
    """Whether one query's further attempts are held back."""

    def __init__(self) -> None:
        self._until = -inf
        self._cleared = False

    @property
    def until(self) -> float:
        """Monotonic seconds until which attempts are held back, if they are."""
        return self._until

    def record_crash(self, now: float) -> None:
        """Record that a server crashed while it had the query."""
        if self._until == -inf:
            self._until = now + HOLD_TIME

    def record_answer(self) -> None:
        """Record that a server has answered the query."""
        self._cleared = True

    def holds(self, now: float) -> bool:
        """Return whether further attempts are held back."""
        return not self._cleared and now < self._until
