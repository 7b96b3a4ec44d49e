"""Sources of monotonic time: the system's clock, and a virtual one."""

from time import CLOCK_BOOTTIME, clock_gettime
from typing import Protocol


class Clock(Protocol):
    """A source of monotonic time."""

    def now(self) -> float:
        """Return monotonic seconds."""


class SystemClock:
    """The boot-time clock, which includes the time spent suspended."""

    def now(self) -> float:
        """Return monotonic seconds."""
        return clock_gettime(CLOCK_BOOTTIME)


class VirtualClock:
    """A clock that moves only by :meth:`advance`."""

    def __init__(self, *, start: float = 0.0) -> None:
        self._now = start

    def now(self) -> float:
        """Return the virtual seconds."""
        return self._now

    def advance(self, seconds: float) -> float:
        """Advance by ``seconds`` and return the new time.

        :raises ValueError: if ``seconds`` is negative.
        """
        if seconds < 0:
            raise ValueError(f"a clock cannot be set back by {-seconds} s")
        self._now += seconds
        return self._now
