"""The connection pools of this instance, one for each backend server."""

from random import Random
from typing import Any, Protocol, Self

from curio import sleep, spawn

from savorypond.balancing.pool import PoolLimits
from savorypond.clock import Clock
from savorypond.controllers.connections import ServerConnections
from savorypond.http.response_memory import DEFAULT_RESPONSE_BYTES, ResponseMemory
from savorypond.model import BackendServer, Counters, Service

_REAP_INTERVAL = 5.0  # seconds


class ConnectionShare(Protocol):
    """Limits the connections that this instance may have to a backend server."""

    def connections(self, *, service: Service) -> int:
        """Return the cap on connections to each server of ``service``."""


class ConnectionPools:
    """Keeps a pool for each backend server of the active services.

    :param response_bytes: memory that responses may occupy while they arrive.
    """

    def __init__(
        self,
        *,
        source_host: str,
        share: ConnectionShare,
        clock: Clock,
        rng: Random,
        counters: Counters,
        response_bytes: int = DEFAULT_RESPONSE_BYTES,
    ) -> None:
        self._memory = ResponseMemory(limit=response_bytes, counters=counters)
        self._source_host = source_host
        self._share = share
        self._clock = clock
        self._rng = rng
        self._counters = counters
        self._pools: dict[str, ServerConnections] = {}
        self._servers: dict[str, BackendServer] = {}
        self._targets: dict[str, int] = {}
        self._reaper: Any = None

    async def __aenter__(self) -> Self:
        self._reaper = await spawn(self._run_reaper)
        return self

    async def __aexit__(self, *reason: object) -> None:
        await self._reaper.cancel()
        for pool in self._pools.values():
            await pool.close()

    async def put(self, service: Service) -> None:
        """Add or update the pools of the backend servers of ``service``."""
        for server in service.backend_servers:
            if self._servers.get(server.name, server) != server:
                await self._close(server.name)
            await self._put(service, server)

    async def remove(self, service: Service) -> None:
        """Remove the pools of the backend servers of ``service``."""
        for server in service.backend_servers:
            await self._close(server.name)

    async def resize(self, *, service: Service, server: BackendServer) -> None:
        """Apply the current cap on connections to ``server``."""
        pool = self._pools.get(server.name)
        cap = self._share.connections(service=service)
        if pool is not None and pool.pool.cap != cap:
            await pool.resize(cap)

    async def open_ahead(self, service: Service) -> None:
        """Open a connection for each slot of ``service`` and keep that many open."""
        for server in service.backend_servers:
            pool = self._pools.get(server.name)
            if pool is not None:
                self._targets[server.name] = service.limits.slots
                await pool.open_ahead(target=service.limits.slots)

    def connections(self, server: str) -> ServerConnections | None:
        """Return the connections to ``server``, or None if it is not active."""
        return self._pools.get(server)

    def mark_all_suspect(self) -> None:
        """Require a probe of every open connection before its next use."""
        for pool in self._pools.values():
            pool.mark_all_suspect()

    async def _close(self, name: str) -> None:
        pool = self._pools.pop(name, None)
        self._servers.pop(name, None)
        self._targets.pop(name, None)
        if pool is not None:
            await pool.close()

    async def _put(self, service: Service, server: BackendServer) -> None:
        if server.name in self._pools:
            await self.resize(service=service, server=server)
            return
        cap = self._share.connections(service=service)
        self._servers[server.name] = server
        self._pools[server.name] = ServerConnections(
            name=server.name,
            address=server.address,
            source_host=self._source_host,
            limits=PoolLimits(cap=cap),
            clock=self._clock,
            rng=self._rng,
            counters=self._counters,
            memory=self._memory,
        )

    async def _run_reaper(self) -> None:
        while True:
            await sleep(_REAP_INTERVAL)
            for name, pool in list(self._pools.items()):
                await pool.reap()
                await pool.open_ahead(target=self._targets.get(name, 0))
