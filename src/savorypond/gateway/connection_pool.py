"""Pools of connections to backend servers and peers."""

from collections import deque
from collections.abc import Callable
from typing import Any, Self

from curio import TaskTimeout

from savorypond.clock import Clock
from savorypond.exceptions import BackendServerError, PoolExhausted
from savorypond.gateway.servers import RegisteredServer
from savorypond.http.client import HttpConnection
from savorypond.model import Counters
from savorypond.timeouts import timeout_after

# Connecting takes a few milliseconds, or 150 ms to a paused server.
CONNECT_TIMEOUT = 0.4  # seconds
KEEP_ALIVE_SHARE = 0.7  # of the server's keep-alive time, after which to close
DEFAULT_KEEP_ALIVE = 6.0  # seconds, if the server does not state its keep-alive time
# Requests that must not run twice use only recently used connections.
FRESH_MAX_IDLE = 0.8  # seconds


class _IdleConnection:
    __slots__ = ("connection", "expires_at", "idle_since")

    def __init__(
        self, *, connection: HttpConnection, idle_since: float, expires_at: float
    ) -> None:
        self.connection = connection
        self.idle_since = idle_since
        self.expires_at = expires_at


class _ServerPool:
    """The connections to one incarnation of a server."""

    __slots__ = ("idle", "open", "server")

    def __init__(self, *, server: RegisteredServer) -> None:
        self.server = server
        self.idle: deque[_IdleConnection] = deque()
        self.open = 0


class ConnectionPools:
    """Leases connections to servers and keeps idle ones for reuse.

    :param connection_limit: returns the number of connections that this instance may
        have open to each server of a service.
    """

    def __init__(
        self,
        *,
        source_host: str,
        connection_limit: Callable[[str], int],
        clock: Clock,
        counters: Counters,
    ) -> None:
        self._source_host = source_host
        self._connection_limit = connection_limit
        self._clock = clock
        self._counters = counters
        self._pools: dict[str, _ServerPool] = {}

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *reason: object) -> None:
        await self.close_idle()

    async def lease(
        self,
        server: RegisteredServer,
        *,
        fresh: bool,
        new: bool = False,
        connect_timeout: float = CONNECT_TIMEOUT,
        on_unread: Callable[[RegisteredServer], None] = lambda server: None,
    ) -> "Lease":
        """Return a lease of a connection to ``server``.

        :param fresh: whether to reuse only recently used connections.
        :param new: whether to open a connection even if another one is idle.
        :param connect_timeout: seconds that opening a connection may take.
        :param on_unread: called if bytes have arrived on an idle connection.
        :raises PoolExhausted: no further connection may be opened.
        :raises BackendServerError: the server cannot be reached.
        """
        pool = self._pool(server)
        connection = None
        if not new:
            connection = await self._take_idle(pool, fresh=fresh, on_unread=on_unread)
        if connection is not None:
            self._counters.add("gateway_connections", "reused")
            return Lease(pools=self, pool=pool, connection=connection, reused=True)
        limit = self._connection_limit(server.service)
        if pool.open >= limit:
            raise PoolExhausted(server=server.name, max_connections=limit)
        pool.open += 1
        connection = HttpConnection(
            address=server.address, source_host=self._source_host
        )
        try:
            async with timeout_after(connect_timeout):
                await connection.open()
        except TaskTimeout as error:
            pool.open -= 1
            raise BackendServerError(
                server=server.name,
                problem=f"no connection within {connect_timeout} s",
                sent=False,
            ) from error
        except BaseException:
            pool.open -= 1
            raise
        self._counters.add("gateway_connections", "opened")
        return Lease(pools=self, pool=pool, connection=connection, reused=False)

    async def close_expired(self) -> None:
        """Close connections that have been idle for too long."""
        now = self._clock.now()
        for name, pool in list(self._pools.items()):
            while pool.idle and pool.idle[0].expires_at <= now:
                await self._close(pool, pool.idle.popleft().connection)
            if not pool.open:
                del self._pools[name]

    async def close_idle(self) -> None:
        """Close every idle connection, for example after a pause."""
        for pool in self._pools.values():
            while pool.idle:
                await self._close(pool, pool.idle.popleft().connection)

    async def close_idle_to(self, server: RegisteredServer) -> None:
        """Close the idle connections to ``server``, as after a misdirected request."""
        pool = self._pools.get(server.name)
        if pool is not None:
            while pool.idle:
                await self._close(pool, pool.idle.popleft().connection)

    async def release(self, pool: _ServerPool, connection: HttpConnection) -> None:
        """Keep ``connection`` for reuse if possible, otherwise close it."""
        if not connection.reusable:
            await self._close(pool, connection)
            return
        now = self._clock.now()
        keep_alive = connection.keep_alive_timeout
        idle = (
            DEFAULT_KEEP_ALIVE if keep_alive is None else keep_alive * KEEP_ALIVE_SHARE
        )
        if idle <= 0.0 or self._pools.get(pool.server.name) is not pool:
            await self._close(pool, connection)
            return
        pool.idle.append(
            _IdleConnection(
                connection=connection, idle_since=now, expires_at=now + idle
            )
        )

    async def discard(self, pool: _ServerPool, connection: HttpConnection) -> None:
        """Close ``connection`` so that the server notices immediately."""
        await self._close(pool, connection)

    def _pool(self, server: RegisteredServer) -> _ServerPool:
        pool = self._pools.get(server.name)
        if (
            pool is None
            or pool.server.started != server.started
            or pool.server.address != server.address
        ):
            pool = self._pools[server.name] = _ServerPool(server=server)
        return pool

    async def _take_idle(
        self,
        pool: _ServerPool,
        *,
        fresh: bool,
        on_unread: Callable[[RegisteredServer], None],
    ) -> HttpConnection | None:
        now = self._clock.now()
        while pool.idle:
            idle = pool.idle.pop()
            too_old = now >= idle.expires_at or (
                fresh and now - idle.idle_since > FRESH_MAX_IDLE
            )
            if too_old or idle.connection.is_stale():
                if idle.connection.has_unread_bytes():
                    on_unread(pool.server)
                await self._close(pool, idle.connection)
                self._counters.add("gateway_connections", "stale")
                continue
            return idle.connection
        return None

    async def _close(self, pool: _ServerPool, connection: HttpConnection) -> None:
        pool.open -= 1
        await connection.close(abort=True)


class Lease:
    """A connection in use; leaving the context releases or closes it.

    :param reused: whether the connection has carried a request before.
    """

    def __init__(
        self,
        *,
        pools: ConnectionPools,
        pool: _ServerPool,
        connection: HttpConnection,
        reused: bool,
    ) -> None:
        self._reused = reused
        self._pools = pools
        self._pool = pool
        self._connection = connection

    @property
    def connection(self) -> HttpConnection:
        """The connection."""
        return self._connection

    @property
    def reused(self) -> bool:
        """Whether the connection has carried a request before."""
        return self._reused

    async def __aenter__(self) -> HttpConnection:
        return self._connection

    async def __aexit__(self, kind: Any, error: Any, trace: Any) -> None:
        if kind is None:
            await self._pools.release(self._pool, self._connection)
        else:
            await self._pools.discard(self._pool, self._connection)
