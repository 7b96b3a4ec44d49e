"""Detection of backend servers that are leaving and must not get new work."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum

MIN_CLOSES = 2  # answers that ask to close their connection
CLOSE_WINDOW = 2.0  # seconds
SETTLE_TIME = 1.0  # seconds from the last signal to a request that may clear it


class DrainSignal(StrEnum):
    """The source of a signal that a backend server is leaving."""

    INSTANCE_LIST = "instance-list"
    HEALTH = "health"
    DRAIN_REFUSAL = "drain-refusal"
    CONNECTION_CLOSE = "connection-close"


@dataclass(slots=True, kw_only=True)
class _ServerState:
    signals: set[DrainSignal] = field(default_factory=set)
    last_signal_at: float = float("-inf")
    closed_at: list[float] = field(default_factory=list)


class DrainDetector:
    """Combines several signals, each of which may lag or be stale.

    Any one signal stops new work at once: avoiding a server that stays costs
    little, while calling one that leaves costs the request. Only fresh evidence
    clears a signal. The signal of the instance list is cleared by the list. The
    others, which come from the server, are cleared when its health answers
    "serving" to a request that was sent at least ``settle_time`` after the last of
    them. So a list that still says "live" never overrides the server, and an old
    health answer never overrides a refusal.

    A server may close a single connection for other reasons, such as its age, so
    only ``min_closes`` within ``close_window`` count as a signal.

    :param settle_time: least number of seconds between the last signal and the
        sending of a health request that may clear it.
    :param min_closes: answers that ask to close their connection.
    :param close_window: seconds.
    """

    def __init__(
        self,
        *,
        settle_time: float = SETTLE_TIME,
        min_closes: int = MIN_CLOSES,
        close_window: float = CLOSE_WINDOW,
    ) -> None:
        self._settle_time = settle_time
        self._min_closes = min_closes
        self._close_window = close_window
        self._servers: dict[str, _ServerState] = {}

    def is_leaving(self, server: str) -> bool:
        """Return whether the backend server ``server`` must not get new work."""
        return bool(self.signals(server))

    def signals(self, server: str) -> frozenset[DrainSignal]:
        """Return the active signals of ``server``."""
        state = self._servers.get(server)
        return frozenset(state.signals) if state is not None else frozenset()

    def leaving(self) -> tuple[str, ...]:
        """Return the names of the leaving backend servers, sorted."""
        return tuple(sorted(n for n, s in self._servers.items() if s.signals))

    def record_listing(self, *, server: str, leaving: bool) -> None:
        """Record one entry of the instance list."""
        state = self._state(server)
        if leaving:
            state.signals.add(DrainSignal.INSTANCE_LIST)
        else:
            state.signals.discard(DrainSignal.INSTANCE_LIST)

    def record_health(
        self, *, server: str, leaving: bool, asked_at: float, now: float
    ) -> None:
        """Record a health answer of the server.

        :param asked_at: monotonic seconds at which the request was sent.
        """
        state = self._state(server)
        if leaving:
            self._add(state, DrainSignal.HEALTH, now)
        elif asked_at >= state.last_signal_at + self._settle_time:
            state.signals &= {DrainSignal.INSTANCE_LIST}

    def record_drain_refusal(self, *, server: str, now: float) -> None:
        """Record a 503 answer that the server marked as draining."""
        self._add(self._state(server), DrainSignal.DRAIN_REFUSAL, now)

    def record_connection_close(self, *, server: str, now: float) -> None:
        """Record an answer of the server that asked to close its connection."""
        state = self._state(server)
        recent = [at for at in state.closed_at if now - at <= self._close_window]
        state.closed_at = [*recent, now][-self._min_closes :]
        if len(state.closed_at) >= self._min_closes:
            self._add(state, DrainSignal.CONNECTION_CLOSE, now)

    def retain(self, servers: Sequence[str]) -> None:
        """Drop the state of every backend server that is not among ``servers``."""
        known = set(servers)
        for name in [n for n in self._servers if n not in known]:
            del self._servers[name]

    def _state(self, server: str) -> _ServerState:
        return self._servers.setdefault(server, _ServerState())

    def _add(self, state: _ServerState, signal: DrainSignal, now: float) -> None:
        state.signals.add(signal)
        state.last_signal_at = max(state.last_signal_at, now)
