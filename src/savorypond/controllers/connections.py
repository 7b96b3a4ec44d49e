"""The open connections to backend servers."""

from contextlib import suppress
from random import Random
from types import TracebackType
from typing import Self

from curio import Event, TaskTimeout, spawn

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
from savorypond.http.response_memory import ResponseMemory, ResponseReservation
from savorypond.model import Address, Counters
from savorypond.timeouts import timeout_after

PROBE_TIMEOUT = 0.03  # seconds for a connection to answer a probe
CONNECT_TIMEOUT = 0.25  # seconds for a connection to open
_MAX_PROBE_BYTES = 64 * 1024  # size of the answer to a probe
_PROBE = HttpRequest(method="GET", path="/v1/health")


class ServerConnections:
    """The connections of this instance to one backend server.

    :param memory: limits what responses occupy while they arrive.
    """

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
        memory: ResponseMemory,
    ) -> None:
        self._memory = memory
        self._name = name
        self._address = address
        self._source_host = source_host
        self._clock = clock
        self._counters = counters
        self._pool = ConnectionPool(limits=limits, random=rng)
        self._connections: dict[int, HttpConnection] = {}
        self._released = Event()
        self._closed = False

    @property
    def name(self) -> str:
        """Name of the backend server."""
        return self._name

    @property
    def pool(self) -> ConnectionPool:
        """The pool that decides which connection a request uses."""
        return self._pool

    async def close(self) -> None:
        """Close all connections."""
        self._closed = True
        connections, self._connections = list(self._connections.values()), {}
        for connection in connections:
            await connection.close()

    async def resize(self, cap: int) -> None:
        """Change the maximum number of open connections."""
        await self._close_all(self._pool.resize(cap, self._clock.now()))

    async def reap(self) -> None:
        """Close connections that have been idle for too long."""
        await self._close_all(self._pool.reap(self._clock.now()))

    async def open_ahead(self, *, target: int) -> None:
        """Open connections ahead of use, up to ``target`` and the cap of the pool."""
        for decision in self._pool.open_ahead(self._clock.now(), target=target):
            await spawn(self._open_idle, decision.connection, daemon=True)

    async def lease(
        self, *, seconds: float, verified: bool = False
    ) -> "ConnectionLease":
        """Return a connection for one request.

        :param seconds: longest time to wait for one.
        :param verified: whether it must have answered a short time ago.
        :raises BackendServerError: none is available; nothing was sent.
        """
        decision = self._pool.acquire(self._clock.now(), verified=verified)
        if isinstance(decision, Use) and not self._is_stale(decision.connection):
            return self._make_lease(decision.connection)  # needs no timer
        try:
            async with timeout_after(seconds):
                return await self._acquire(decision, verified)
        except TaskTimeout as error:
            raise BackendServerError(
                server=self._name, problem="no connection available in time", sent=False
            ) from error

    async def _acquire(self, decision: Decision, verified: bool) -> "ConnectionLease":
        while True:
            if isinstance(decision, Use):
                if not await self._close_if_stale(decision.connection):
                    return self._make_lease(decision.connection)
            elif isinstance(decision, Open):
                return await self._open_one(decision.connection)
            elif isinstance(decision, ProbeFirst):
                if await self._probe(decision.connection):
                    return self._make_lease(decision.connection)
            elif isinstance(decision, Refuse):
                raise BackendServerError(
                    server=self._name, problem="no connection available", sent=False
                )
            else:
                self._released.clear()
                await self._released.wait()
            decision = self._pool.acquire(self._clock.now(), verified=verified)

    async def release(self, number: int, outcome: ConnectionOutcome) -> None:
        """Return connection ``number`` to the pool after its request."""
        now = self._clock.now()
        closing = self._pool.released(number, now, outcome)
        abort = outcome is ConnectionOutcome.TIMED_OUT
        await self._close_all(closing, abort=abort)
        await self._released.set()
        if abort:
            self._counters.add("connections_closed", "timed-out")
            await self._probe_suspects()

    def mark_all_suspect(self) -> None:
        """Require a probe of every open connection before its next use."""
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
            async with timeout_after(CONNECT_TIMEOUT):
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
        self._connections[number] = connection
        self._pool.opened(number, self._clock.now())
        self._counters.add("connections_opened", "new")
        return self._make_lease(number)

    def _is_stale(self, number: int) -> bool:
        return self._connections[number].is_stale()

    async def _close_if_stale(self, number: int) -> bool:
        """Close a connection whose input would be taken for the next response."""
        if not self._is_stale(number):
            return False
        self._counters.add("connections_closed", "stale")
        now = self._clock.now()
        await self._close_all(
            self._pool.released(number, now, ConnectionOutcome.CLOSED)
        )
        return True

    def _make_lease(self, number: int) -> "ConnectionLease":
        return ConnectionLease(
            server_connections=self,
            number=number,
            connection=self._connections[number],
            memory=self._memory,
        )

    async def probe(self, connection: HttpConnection) -> bool:
        """Send a health request; return whether ``connection`` may carry another."""
        try:
            async with timeout_after(PROBE_TIMEOUT):
                await connection.request(_PROBE, max_body_bytes=_MAX_PROBE_BYTES)
        except (BackendServerError, TaskTimeout):
            self._counters.add("probes", "failed")
            return False
        self._counters.add("probes", "answered")
        return connection.reusable

    def is_verified(self, number: int) -> bool:
        """Return whether connection ``number`` answered a short time ago."""
        return self._pool.is_verified(number, self._clock.now())

    async def _probe(self, number: int) -> bool:
        if await self._close_if_stale(number):
            return False
        if not await self.probe(self._connections[number]):
            closing = self._pool.released(
                number, self._clock.now(), ConnectionOutcome.TIMED_OUT
            )
            await self._close_all(closing, abort=True)
            return False
        self._pool.probed(number, self._clock.now())
        return True

    async def _probe_suspects(self) -> None:
        for suspect in self._pool.acquire_suspects():
            await spawn(self._probe_idle, suspect.connection, daemon=True)

    async def _probe_idle(self, number: int) -> None:
        if number in self._connections and await self._probe(number):
            with suppress(KeyError):
                await self.release(number, ConnectionOutcome.ANSWERED)

    async def _close_all(
        self, numbers: tuple[int, ...], *, abort: bool = False
    ) -> None:
        for number in numbers:
            connection = self._connections.pop(number, None)
            if connection is not None:
                await connection.close(abort=abort)


class ConnectionLease:
    """A connection in use by one request; leaving the context releases it."""

    def __init__(
        self,
        *,
        server_connections: ServerConnections,
        number: int,
        connection: HttpConnection,
        memory: ResponseMemory,
    ) -> None:
        self._memory = memory
        self._server_connections = server_connections
        self._number = number
        self._connection = connection
        self._used = False
        self._timed_out = False
        self._discarded = False

    @property
    def sent(self) -> bool:
        """Whether any byte of the request may have been sent."""
        return self._used and self._connection.sent

    @property
    def was_reused(self) -> bool:
        """Whether the last request was not the first one on the connection."""
        return self._connection.was_reused

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if kind is not None:
            self.discard()
        await self.release(self._outcome())

    def discard(self) -> None:
        """Close the connection once it is released.

        Necessary after a response to another request, because the response to this one
        may follow.
        """
        self._discarded = True

    @property
    def verified(self) -> bool:
        """Whether the connection answered a short time ago."""
        return self._server_connections.is_verified(self._number)

    async def probe(self) -> bool:
        """Send a health request; return whether a request may follow it."""
        return await self._server_connections.probe(self._connection)

    async def release(self, outcome: ConnectionOutcome) -> None:
        """Return the connection to its pool after the request."""
        if outcome is ConnectionOutcome.ANSWERED and not self._connection.reusable:
            outcome = ConnectionOutcome.CLOSED
        await self._server_connections.release(self._number, outcome)

    def _outcome(self) -> ConnectionOutcome:
        if not self._used:
            return ConnectionOutcome.UNUSED
        if self._timed_out:
            return ConnectionOutcome.TIMED_OUT
        is_kept = self._connection.reusable and not self._discarded
        return ConnectionOutcome.ANSWERED if is_kept else ConnectionOutcome.CLOSED

    async def request(self, request: HttpRequest, *, seconds: float) -> HttpResponse:
        """Send ``request`` and return its response.

        :raises BackendServerError: the connection failed, or no response arrived
            within ``seconds``.
        """
        self._used = True
        reservation = ResponseReservation(memory=self._memory)
        try:
            async with timeout_after(seconds):
                return await self._connection.request(
                    request, on_bytes=reservation.grow
                )
        except TaskTimeout as error:
            self._timed_out = True
            raise BackendServerError(
                server=self._server_connections.name, problem="timed out", sent=True
            ) from error
        finally:
            reservation.release()


def _connect_problem(error: Exception) -> str:
    return "timed-out" if isinstance(error, TaskTimeout) else "refused"
