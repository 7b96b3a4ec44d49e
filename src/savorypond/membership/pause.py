"""Detection of pauses of this process, during which its peers kept running."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

HEARTBEAT_INTERVAL = 0.25  # seconds
PAUSE_LIMIT = 2.0  # seconds between heartbeats beyond which it is a pause


@dataclass(frozen=True, slots=True, kw_only=True)
class Paused:
    """A pause of the process that has just ended; times in monotonic seconds.

    :param since: time of the last heartbeat before it.
    :param now: time at which it was detected.
    """

    since: float
    now: float

    @property
    def gap(self) -> float:
        """Seconds from the last heartbeat until the detection."""
        return self.now - self.since


class PauseListener(Protocol):
    """Reacts to a pause before any further decision is made."""

    def resumed(self, paused: Paused) -> None:
        """Invalidate the state from before ``paused``."""


class PauseDetector:
    """Compares the time between heartbeats with a limit.

    A task of the process calls :meth:`observe` every ``HEARTBEAT_INTERVAL``
    seconds. Code that is about to do something irreversible calls it as well,
    because after a pause the heartbeat may be the last task to be scheduled. When
    the call returns, all listeners have been called, in their order.

    The clock must include the time for which an instance is suspended, as
    ``CLOCK_BOOTTIME`` of Linux does and ``CLOCK_MONOTONIC`` does not. An event loop
    that blocks for longer than the limit deliberately counts as paused, since its
    peers see the same silence.

    :param limit: longest time in seconds between heartbeats that is not a pause;
        shorter than the time after which peers take over an instance's work.
    """

    def __init__(
        self,
        *,
        now: float,
        listeners: Sequence[PauseListener],
        limit: float = PAUSE_LIMIT,
    ) -> None:
        self._last_heartbeat_at = now
        self._listeners = tuple(listeners)
        self._limit = limit
        self._pauses = 0

    @property
    def pauses(self) -> int:
        """Number of pauses detected so far."""
        return self._pauses

    def observe(self, now: float) -> Paused | None:
        """Record a heartbeat; return the pause that precedes it, if any."""
        since = self._last_heartbeat_at
        self._last_heartbeat_at = max(now, since)
        if now - since <= self._limit:
            return None
        paused = Paused(since=since, now=now)
        self._pauses += 1
        for listener in self._listeners:
            listener.resumed(paused)
        return paused
