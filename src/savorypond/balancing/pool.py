"""Connection pool: decides which connection to a backend server to use."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, StrEnum, auto
from itertools import count
from random import Random


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolLimits:
    """Bounds on the connections to one backend server.

    :param cap: connections that this instance may have open or opening.
    :param idle_limit: seconds after which an idle connection is closed.
    :param verified_for: seconds after its last answer for which a connection counts
        as alive without a probe.
    :param backoff_base: seconds of the first backoff after a failed connect.
    :param backoff_cap: longest backoff in seconds after a failed connect.
    """

    cap: int
    idle_limit: float = 30.0
    verified_for: float = 1.0
    backoff_base: float = 0.05
    backoff_cap: float = 5.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Use:
    """Send on ``connection``."""

    connection: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ProbeFirst:
    """Send on ``connection`` once it has answered a probe."""

    connection: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Open:
    """Open a connection with the number ``connection``; it is already counted."""

    connection: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Wait:
    """All connections are in use; acquire again when one is released."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """No connection is available.

    :param retry_after: seconds until another connect is tried, or None if none
        will be.
    """

    retry_after: float | None


Decision = Use | ProbeFirst | Open | Wait | Refuse


class ConnectionOutcome(StrEnum):
    """How the use of a connection ended."""

    ANSWERED = "answered"
    CLOSED = "closed"
    TIMED_OUT = "timed-out"
    UNUSED = "unused"


class _State(Enum):
    OPENING = auto()
    IDLE = auto()
    IN_USE = auto()


@dataclass(slots=True, kw_only=True)
class _Connection:
    state: _State
    verified_at: float
    suspect: bool = False


class ConnectionPool:
    """The connections of this instance to one backend server.

    Idle connections are used newest first, so that surplus ones stay idle and are
    closed. A connection that timed out is never used again. Whatever broke it may
    have broken the other connections too, so these become suspect and are replaced
    or probed before their next use. A new one is opened if the cap allows it,
    because a new connection is sure to work, whereas the probe of a silent one
    costs its whole timeout. A suspect connection that fails its probe gives no new
    information about the others.

    :param random: source of the jitter in the backoff after failed connects.
    """

    def __init__(self, *, limits: PoolLimits, random: Random) -> None:
        self._limits = limits
        self._cap = limits.cap
        self._random = random
        self._ids = count(1)
        self._connections: dict[int, _Connection] = {}
        self._failures = 0
        self._connect_after = 0.0

    @property
    def cap(self) -> int:
        """Number of connections that may be open or opening at once."""
        return self._cap

    @property
    def open(self) -> int:
        """Number of open connections, idle or in use."""
        return len(self._connections) - self.opening

    @property
    def opening(self) -> int:
        """Number of connections that are being opened."""
        return self._count(_State.OPENING)

    @property
    def idle(self) -> int:
        """Number of open connections that are not in use."""
        return self._count(_State.IDLE)

    @property
    def in_use(self) -> int:
        """Number of connections handed out and not yet released."""
        return self._count(_State.IN_USE)

    @property
    def suspects(self) -> int:
        """Number of connections that must be probed or replaced before use."""
        return sum(c.suspect for c in self._connections.values())

    def acquire(self, now: float, *, verified: bool = False) -> Decision:
        """Choose a connection and hand it out.

        :param verified: whether it must have answered recently, as for a call that
            must not be sent twice.
        """
        healthy = self._newest(lambda c: not c.suspect and not self._is_expired(c, now))
        if healthy is not None:
            number = self._mark_in_use(healthy)
            if verified and not self.is_verified(number, now):
                return ProbeFirst(connection=number)
            return Use(connection=number)
        if self._may_open(now):
            return self._start_opening(now)
        candidate = self._newest(lambda c: True)
        if candidate is not None:
            return ProbeFirst(connection=self._mark_in_use(candidate))
        return self._wait_or_refuse(now)

    def is_verified(self, connection: int, now: float) -> bool:
        """Return whether a connection answered recently and is not suspect.

        False for a connection that is no longer in the pool.
        """
        found = self._connections.get(connection)
        if found is None or found.suspect:
            return False
        return now - found.verified_at <= self._limits.verified_for

    def acquire_suspects(self) -> tuple[ProbeFirst, ...]:
        """Hand out every suspect idle connection for a probe in the background."""
        suspects = [
            number
            for number, connection in self._connections.items()
            if connection.suspect and connection.state is _State.IDLE
        ]
        return tuple(ProbeFirst(connection=self._mark_in_use(n)) for n in suspects)

    def resize(self, cap: int, now: float) -> tuple[int, ...]:
        """Set the cap, for instance when the number of holders changes.

        :returns: the idle connections to close now; those in use above the cap are
            closed when they are released.
        """
        self._cap = cap
        return self.reap(now)

    def open_ahead(self, now: float, *, target: int) -> tuple[Open, ...]:
        """Return the connections to open so that the pool has ``target`` of them.

        Those in use, suspect or opening count too: in a burst, requests wait for a
        release and do not cause a second set of connections.

        :param target: this instance's slots at the backend server plus one or two
            spares for hedges and replacements.
        """
        missing = target - len(self._connections)
        decisions = []
        while missing > 0 and self._may_open(now):
            decisions.append(self._start_opening(now))
            missing -= 1
        return tuple(decisions)

    def opened(self, connection: int, now: float) -> None:
        """Record that a connect succeeded; the connection is in use by its opener."""
        self._failures = 0
        self._connect_after = 0.0
        found = self._connections[connection]
        found.state = _State.IN_USE
        found.verified_at = now

    def failed(self, connection: int, now: float) -> None:
        """Record that a connect failed, and back off before the next one."""
        del self._connections[connection]
        ceiling = min(
            self._limits.backoff_cap,
            self._limits.backoff_base * 2 ** min(self._failures, 32),
        )
        self._failures += 1
        self._connect_after = now + self._random.uniform(ceiling / 2, ceiling)

    def probed(self, connection: int, now: float) -> None:
        """Record that a connection in use answered a probe; it stays in use."""
        found = self._connections[connection]
        found.suspect = False
        found.verified_at = now

    def released(
        self, connection: int, now: float, outcome: ConnectionOutcome
    ) -> tuple[int, ...]:
        """Return a connection to the pool.

        :returns: the connections to close now, already removed from the pool.
        """
        found = self._connections[connection]
        if outcome is ConnectionOutcome.ANSWERED:
            found.suspect = False
            found.verified_at = now
        kept = outcome in (ConnectionOutcome.ANSWERED, ConnectionOutcome.UNUSED)
        if kept and len(self._connections) <= self._cap:
            found.state = _State.IDLE
            return ()
        del self._connections[connection]
        if outcome is ConnectionOutcome.TIMED_OUT and not found.suspect:
            self.mark_all_suspect()
        return (connection,)

    def closed(self, connection: int) -> None:
        """Record that the backend server closed an idle connection."""
        self._connections.pop(connection, None)

    def mark_all_suspect(self) -> None:
        """Mark every open connection suspect until it answers, as after a pause."""
        for connection in self._connections.values():
            connection.suspect = connection.state is not _State.OPENING

    def reap(self, now: float) -> tuple[int, ...]:
        """Remove idle connections from the pool and return them to be closed.

        They are those past the idle limit, and the oldest of those above the cap.
        """
        idle = sorted(
            (connection.verified_at, number)
            for number, connection in self._connections.items()
            if connection.state is _State.IDLE
        )
        closing = []
        for _, number in idle:
            over_cap = len(self._connections) > self._cap
            if over_cap or self._is_expired(self._connections[number], now):
                del self._connections[number]
                closing.append(number)
        return tuple(closing)

    def _count(self, state: _State) -> int:
        return sum(c.state is state for c in self._connections.values())

    def _is_expired(self, connection: _Connection, now: float) -> bool:
        return now - connection.verified_at > self._limits.idle_limit

    def _newest(self, usable: Callable[[_Connection], bool]) -> int | None:
        found = [
            (connection.verified_at, number)
            for number, connection in self._connections.items()
            if connection.state is _State.IDLE and usable(connection)
        ]
        return max(found)[1] if found else None

    def _mark_in_use(self, number: int) -> int:
        self._connections[number].state = _State.IN_USE
        return number

    def _may_open(self, now: float) -> bool:
        return len(self._connections) < self._cap and now >= self._connect_after

    def _start_opening(self, now: float) -> Open:
        number = next(self._ids)
        self._connections[number] = _Connection(state=_State.OPENING, verified_at=now)
        return Open(connection=number)

    def _wait_or_refuse(self, now: float) -> Wait | Refuse:
        if self._connections:
            return Wait()
        if self._cap == 0:
            return Refuse(retry_after=None)
        return Refuse(retry_after=max(self._connect_after - now, 0.0))
