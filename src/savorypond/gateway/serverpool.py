"""Open connections to backend servers."""

from collections import deque
from collections.abc import Callable
from typing import Any, Self

from curio import TaskTimeout, timeout_after

from savorypond.clock import Clock
from savorypond.exceptions import BackendServerError, PoolExhausted
from savorypond.gateway.servers import RegisteredServer
from savorypond.http.client import HttpConnection
from savorypond.model import Counters

# Connecting takes a few milliseconds; a paused server accepts after 150 ms.
CONNECT_TIME = 0.4  # seconds
# An idle connection is closed at this share of the time its server keeps it.
KEEP_SHARE = 0.7
DEFAULT_IDLE_TIME = 6.0  # seconds, where a server does not say how long it keeps one
# Requests that must not run twice only use connections that lately worked.
FRESH_IDLE_TIME = 0.8  # seconds


class _Idle:
    __slots__ = ("connection", "expires", "since")

    def __init__(
        self, *, connection: HttpConnection, since: float, expires: float
    ) -> None:
        self.connection = connection
        self.since = since
        self.expires = expires


class _ServerPool:
    """The connections to one incarnation of a server."""

    __slots__ = ("idle", "open", "server")

    def __init__(self, *, server: RegisteredServer) -> None:
        self.server = server
        self.idle: deque[_Idle] = deque()
        self.open = 0


class ServerPools:
    """Leases connections to servers, and keeps those that may be used again.

    :param most: tells the connections that this instance may have open to each
        server of a service.
    """

    def __init__(
        self,
        *,
        source_host: str,
        most: Callable[[str], int],
        clock: Clock,
        counters: Counters,
    ) -> None:
        self._source_host = source_host
        self._most = most
        self._clock = clock
        self._counters = counters
        self._pools: dict[str, _ServerPool] = {}

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *reason: object) -> None:
        await self.distrust()

    async def lease(
        self,
        server: RegisteredServer,
        *,
        fresh: bool,
        connect_time: float = CONNECT_TIME,
    ) -> "Lease":
        """Return a connection to ``server``.

        :param fresh: take none that was idle for long.
        :param connect_time: seconds that a new connection may take.
        :raises PoolExhausted: no further connection may be opened.
        :raises BackendServerError: the server cannot be reached.
        """
        pool = self._pool(server)
        connection = await self._take_idle(pool, fresh=fresh)
        if connection is not None:
            self._counters.add("gateway_connections", "reused")
            return Lease(pools=self, pool=pool, connection=connection)
        most = self._most(server.service)
        if pool.open >= most:
            raise PoolExhausted(server=server.name, most=most)
        pool.open += 1
        connection = HttpConnection(
            address=server.address, source_host=self._source_host
        )
        try:
            async with timeout_after(connect_time):
                await connection.open()
        except TaskTimeout as error:
            pool.open -= 1
            raise BackendServerError(
                server=server.name,
                problem=f"no connection within {connect_time} s",
                sent=False,
            ) from error
        except BaseException:
            pool.open -= 1
            raise
        self._counters.add("gateway_connections", "opened")
        return Lease(pools=self, pool=pool, connection=connection)

    async def trim(self) -> None:
        """Close connections that were idle for too long."""
        now = self._clock.now()
        for name, pool in list(self._pools.items()):
            while pool.idle and pool.idle[0].expires <= now:
                await self._close(pool, pool.idle.popleft().connection)
            if not pool.open:
                del self._pools[name]

    async def distrust(self) -> None:
        """Close every idle connection, for example after a pause."""
        for pool in self._pools.values():
            while pool.idle:
                await self._close(pool, pool.idle.popleft().connection)

    async def forget(self, server: RegisteredServer) -> None:
        """Close the idle connections to a server that cannot be trusted."""
        pool = self._pools.get(server.name)
        if pool is not None:
            while pool.idle:
                await self._close(pool, pool.idle.popleft().connection)

    async def give_back(self, pool: _ServerPool, connection: HttpConnection) -> None:
        """Keep ``connection`` where it may be used again."""
        if not connection.reusable:
            await self._close(pool, connection)
            return
        now = self._clock.now()
        kept = connection.keep_alive_timeout
        idle = DEFAULT_IDLE_TIME if kept is None else kept * KEEP_SHARE
        if idle <= 0.0 or self._pools.get(pool.server.name) is not pool:
            await self._close(pool, connection)
            return
        pool.idle.append(_Idle(connection=connection, since=now, expires=now + idle))

    async def discard(self, pool: _ServerPool, connection: HttpConnection) -> None:
        """Close ``connection`` so that the server notices at once."""
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
        self, pool: _ServerPool, *, fresh: bool
    ) -> HttpConnection | None:
        now = self._clock.now()
        while pool.idle:
            idle = pool.idle.pop()
            too_old = now >= idle.expires or (
                fresh and now - idle.since > FRESH_IDLE_TIME
            )
            if too_old or idle.connection.is_stale():
                await self._close(pool, idle.connection)
                self._counters.add("gateway_connections", "stale")
                continue
            return idle.connection
        return None

    async def _close(self, pool: _ServerPool, connection: HttpConnection) -> None:
        pool.open -= 1
        await connection.close(abort=True)


class Lease:
    """A connection in use; leaving the context gives it back or closes it."""

    def __init__(
        self, *, pools: ServerPools, pool: _ServerPool, connection: HttpConnection
    ) -> None:
        self._pools = pools
        self._pool = pool
        self._connection = connection

    @property
    def connection(self) -> HttpConnection:
        """The connection."""
        return self._connection

    async def __aenter__(self) -> HttpConnection:
        return self._connection

    async def __aexit__(self, kind: Any, error: Any, trace: Any) -> None:
        if kind is None:
            await self._pools.give_back(self._pool, self._connection)
        else:
            await self._pools.discard(self._pool, self._connection)
