"""The open connections to backend servers."""

from contextlib import suppress
from random import Random
from typing import Self

from curio import Event, TaskTimeout, spawn, timeout_after

from savorypond.balancing.pool import (
    ConnectionOutcome,
    ConnectionPool,
    Decision,
    Open,
    PoolLimits,
    ProbeFirst,
    Refuse,
    Use,
)
from savorypond.clock import Clock
from savorypond.exceptions import BackendServerError
from savorypond.http.client import HttpConnection
from savorypond.http.messages import HttpRequest, HttpResponse
from savorypond.model import Address, Counters

PROBE_TIME = 0.03  # seconds in which a connection must answer a probe
CONNECT_TIME = 0.25  # seconds in which a connection must be open
_PROBE = HttpRequest(method="GET", path="/v1/health")


class ServerConnections:
    """The connections of this instance to one backend server."""

    def __init__(
        self,
        *,
        name: str,
        address: Address,
        source_host: str,
        limits: PoolLimits,
        clock: Clock,
        rng: Random,
        counters: Counters,
    ) -> None:
        self._name = name
        self._address = address
        self._source_host = source_host
        self._clock = clock
        self._counters = counters
        self._pool = ConnectionPool(limits=limits, random=rng)
        self._open: dict[int, HttpConnection] = {}
        self._released = Event()
        self._closed = False

    @property
    def name(self) -> str:
        """Name of the backend server."""
        return self._name

    @property
    def pool(self) -> ConnectionPool:
        """The pool that decides."""
        return self._pool

    async def close(self) -> None:
        """Close every connection."""
        self._closed = True
        connections, self._open = list(self._open.values()), {}
        for connection in connections:
            await connection.close()

    async def resize(self, cap: int) -> None:
        """Change how many connections may be open."""
        await self._close_all(self._pool.resize(cap, self._clock.now()))

    async def reap(self) -> None:
        """Close connections that have been idle for too long."""
        await self._close_all(self._pool.reap(self._clock.now()))

    async def open_ahead(self, *, target: int) -> None:
        """Open connections until ``target`` stand ready, as far as the cap goes."""
        for decision in self._pool.open_ahead(self._clock.now(), target=target):
            await spawn(self._open_idle, decision.connection, daemon=True)

    async def lease(
        self, *, seconds: float, verified: bool = False
    ) -> "ConnectionLease":
        """Return a connection for one request.

        :param seconds: longest time to wait for one.
        :param verified: whether it must have answered a moment ago.

        Raises BackendServerError, nothing sent, where none can be had.
        """
        decision = self._pool.acquire(self._clock.now(), verified=verified)
        if isinstance(decision, Use):  # the usual case needs no timer
            return self._lease(decision.connection)
        try:
            async with timeout_after(seconds):
                return await self._acquire(decision, verified)
        except TaskTimeout as error:
            raise BackendServerError(
                server=self._name, problem="no connection in time", sent=False
            ) from error

    async def _acquire(self, decision: Decision, verified: bool) -> "ConnectionLease":
        while True:
            if isinstance(decision, Use):
                return self._lease(decision.connection)
            if isinstance(decision, Open):
                return await self._open_one(decision.connection)
            if isinstance(decision, ProbeFirst):
                if await self._probe(decision.connection):
                    return self._lease(decision.connection)
            elif isinstance(decision, Refuse):
                raise BackendServerError(
                    server=self._name, problem="no connection can be had", sent=False
                )
            else:
                self._released.clear()
                await self._released.wait()
            decision = self._pool.acquire(self._clock.now(), verified=verified)

    async def release(self, number: int, outcome: ConnectionOutcome) -> None:
        """Take a connection back after its request."""
        now = self._clock.now()
        closing = self._pool.released(number, now, outcome)
        abort = outcome is ConnectionOutcome.TIMED_OUT
        await self._close_all(closing, abort=abort)
        await self._released.set()
        if abort:
            self._counters.add("connections_closed", "timed-out")
            await self._probe_suspects()

    def mark_all_suspect(self) -> None:
        """Have every open connection probed before its next use."""
        self._pool.mark_all_suspect()

    async def _open_idle(self, number: int) -> None:
        with suppress(BackendServerError):
            lease = await self._open_one(number)
            await lease.release(ConnectionOutcome.ANSWERED)

    async def _open_one(self, number: int) -> "ConnectionLease":
        connection = HttpConnection(
            address=self._address, source_host=self._source_host
        )
        try:
            async with timeout_after(CONNECT_TIME):
                await connection.open()
        except (BackendServerError, TaskTimeout) as error:
            self._pool.failed(number, self._clock.now())
            await self._released.set()
            self._counters.add("connects_failed", _connect_problem(error))
            raise BackendServerError(
                server=self._name, problem="connect failed", sent=False
            ) from error
        except BaseException:
            self._pool.failed(number, self._clock.now())
            raise
        if self._closed:
            await connection.close()
            raise BackendServerError(
                server=self._name, problem="pool is closed", sent=False
            )
        self._open[number] = connection
        self._pool.opened(number, self._clock.now())
        self._counters.add("connections_opened", "new")
        return self._lease(number)

    def _lease(self, number: int) -> "ConnectionLease":
        return ConnectionLease(owner=self, number=number, connection=self._open[number])

    async def probe(self, connection: HttpConnection) -> bool:
        """Ask something harmless on ``connection``; tell whether it answered."""
        try:
            async with timeout_after(PROBE_TIME):
                await connection.request(_PROBE)
        except (BackendServerError, TaskTimeout):
            self._counters.add("probes", "failed")
            return False
        self._counters.add("probes", "answered")
        return True

    def is_verified(self, number: int) -> bool:
        """Tell whether connection ``number`` answered a moment ago."""
        return self._pool.is_verified(number, self._clock.now())

    async def _probe(self, number: int) -> bool:
        if not await self.probe(self._open[number]):
            closing = self._pool.released(
                number, self._clock.now(), ConnectionOutcome.TIMED_OUT
            )
            await self._close_all(closing, abort=True)
            return False
        self._pool.probed(number, self._clock.now())
        return True

    async def _probe_suspects(self) -> None:
        for doubtful in self._pool.acquire_suspects():
            await spawn(self._probe_idle, doubtful.connection, daemon=True)

    async def _probe_idle(self, number: int) -> None:
        if number in self._open and await self._probe(number):
            with suppress(KeyError):
                await self.release(number, ConnectionOutcome.ANSWERED)

    async def _close_all(
        self, numbers: tuple[int, ...], *, abort: bool = False
    ) -> None:
        for number in numbers:
            connection = self._open.pop(number, None)
            if connection is not None:
                await connection.close(abort=abort)


class ConnectionLease:
    """A connection in use by one request; leaving the context gives it back."""

    def __init__(
        self, *, owner: ServerConnections, number: int, connection: HttpConnection
    ) -> None:
        self._owner = owner
        self._number = number
        self._connection = connection
        self._used = False
        self._timed_out = False

    @property
    def sent(self) -> bool:
        """Whether a byte of the request may have left."""
        return self._used and self._connection.sent

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *reason: object) -> None:
        await self.release(self._outcome())

    @property
    def verified(self) -> bool:
        """Whether the connection answered a moment ago."""
        return self._owner.is_verified(self._number)

    async def probe(self) -> bool:
        """Ask something harmless and tell whether it was answered."""
        return await self._owner.probe(self._connection)

    async def release(self, how: ConnectionOutcome) -> None:
        """Give the connection back after its request."""
        if how is ConnectionOutcome.ANSWERED and not self._connection.reusable:
            how = ConnectionOutcome.CLOSED
        await self._owner.release(self._number, how)

    def _outcome(self) -> ConnectionOutcome:
        if not self._used:
            return ConnectionOutcome.UNUSED
        if self._timed_out:
            return ConnectionOutcome.TIMED_OUT
        return (
            ConnectionOutcome.ANSWERED
            if self._connection.reusable
            else ConnectionOutcome.CLOSED
        )

    async def request(self, request: HttpRequest, *, seconds: float) -> HttpResponse:
        """Send ``request`` and return its response.

        Raises BackendServerError, also where none comes within ``seconds``.
        """
        self._used = True
        try:
            async with timeout_after(seconds):
                return await self._connection.request(request)
        except TaskTimeout as error:
            self._timed_out = True
            raise BackendServerError(
                server=self._owner.name, problem="timed out", sent=True
            ) from error


def _connect_problem(error: Exception) -> str:
    return "timed-out" if isinstance(error, TaskTimeout) else "refused"
