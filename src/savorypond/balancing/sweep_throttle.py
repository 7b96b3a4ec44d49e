"""How often a look at all services in force may be taken."""

LARGEST_SHARE = 1 / 400  # of the time, spent on looks at all services


class SweepThrottle:
    """Spaces looks so that they take a bounded share of the time.

    A large fleet changes every few seconds, and a look at every service after
    each change would cost more the larger it grows. Changes that come during
    a pause are followed by one look together.
    """

    def __init__(self) -> None:
        self._behind = False
        self._next_at = float("-inf")

    def changed(self) -> None:
        """Note that something has changed that a look must follow."""
        self._behind = True

    def is_due(self, now: float) -> bool:
        """Return whether a look is wanted and its time has come."""
        return self._behind and now >= self._next_at

    def started(self) -> None:
        """Note that a look begins; what changes from now on needs another."""
        self._behind = False

    def ended(self, *, started: float, now: float) -> None:
        """Note that the look that began at ``started`` is over."""
        self._next_at = now + (now - started) / LARGEST_SHARE
