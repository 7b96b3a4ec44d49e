"""Detects that this process slept while the rest of the fleet went on."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

HEARTBEAT_INTERVAL = 0.25  # seconds
PAUSE_LIMIT = 2.0  # seconds without a heartbeat


@dataclass(frozen=True, slots=True, kw_only=True)
class Paused:
    """The process did nothing for a while.

    :param since: seconds of the last sign that it ran.
    :param now: seconds at which the pause was noticed.
    """

    since: float
    now: float

    @property
    def gap(self) -> float:
        """Seconds from the last heartbeat to now."""
        return self.now - self.since


class PauseListener(Protocol):
    """Reacts to a pause before anything else is decided."""

    def resumed(self, paused: Paused) -> None:
        """Distrust what was believed before ``paused``."""


class PauseDetector:
    """Compares the time between heartbeats with a limit.

    A task of the process calls :meth:`observe` every ``HEARTBEAT_INTERVAL``
    seconds; whoever is about to do what cannot be undone calls it as well, because
    after a pause the heartbeat may be the last task to be scheduled. The listeners
    have reacted, in their order, when the call returns.

    The clock must also count the time a suspended instance sleeps, as
    ``CLOCK_BOOTTIME`` of Linux does and ``CLOCK_MONOTONIC`` does not. An event loop
    that was busy for longer than the limit counts as paused; that is meant, since
    its peers saw the same silence.

    :param limit: longest time in seconds between heartbeats that is no pause;
        shorter than the time after which peers take over an instance's work.
    """

    def __init__(
        self,
        *,
        now: float,
        listeners: Sequence[PauseListener],
        limit: float = PAUSE_LIMIT,
    ) -> None:
        self._beat_at = now
        self._listeners = tuple(listeners)
        self._limit = limit
        self._pauses = 0

    @property
    def pauses(self) -> int:
        """Pauses noticed so far."""
        return self._pauses

    def observe(self, now: float) -> Paused | None:
        """Note a sign of life and tell whether a pause lies before it."""
        since = self._beat_at
        self._beat_at = max(now, since)
        if now - since <= self._limit:
            return None
        paused = Paused(since=since, now=now)
        self._pauses += 1
        for listener in self._listeners:
            listener.resumed(paused)
        return paused
