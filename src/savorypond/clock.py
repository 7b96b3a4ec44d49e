"""The clock that decisions are given in place of the system's."""

from time import CLOCK_BOOTTIME, clock_gettime
from typing import Protocol


class Clock(Protocol):
    """Tells monotonic seconds."""

    def now(self) -> float:
        """Return monotonic seconds."""


class SystemClock:
    """The clock of this instance, which also counts the time it was suspended."""

    def now(self) -> float:
        """Return monotonic seconds."""
        return clock_gettime(CLOCK_BOOTTIME)


class VirtualClock:
    """A clock that only moves when it is told to."""

    def __init__(self, *, start: float = 0.0) -> None:
        self._now = start

    def now(self) -> float:
        """Return the virtual seconds."""
        return self._now

    def advance(self, seconds: float) -> float:
        """Move on by ``seconds``, which must not be negative; return now."""
        if seconds < 0:
            raise ValueError(f"a clock cannot go back by {-seconds} s")
        self._now += seconds
        return self._now
