"""Throttling of the sweeps over all services in force."""

MAX_SHARE = 1 / 400  # of the time, spent on sweeps


class SweepThrottle:
    """Spaces sweeps so that they take a bounded share of the time.

    A large fleet changes every few seconds, and a sweep over every service after
    each change would cost more the larger the fleet is. One sweep covers all
    changes that come during a pause.
    """

    def __init__(self) -> None:
        self._pending = False
        self._next_at = float("-inf")

    def changed(self) -> None:
        """Record a change that requires a sweep."""
        self._pending = True

    def is_due(self, now: float) -> bool:
        """Return whether a sweep is required and the pause has passed."""
        return self._pending and now >= self._next_at

    def started(self) -> None:
        """Record the start of a sweep; later changes require another one."""
        self._pending = False

    def ended(self, *, started: float, now: float) -> None:
        """Record the end of the sweep that began at ``started``."""
        self._next_at = now + (now - started) / MAX_SHARE
