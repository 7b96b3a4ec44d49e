"""Puts this instance's share of each backend server into force."""

from collections.abc import Iterable
from typing import Any, Self

from curio import sleep, spawn

from savorypond.controllers.backend_servers import BackendServers
from savorypond.controllers.pools import ConnectionPools
from savorypond.model import Service
from savorypond.placement import SlotSharing
from savorypond.protocols import MembershipView

_LOOK_INTERVAL = 0.1  # seconds
_SERVICES_PER_TURN = 200


class ShareController:
    """Adapts slots and connections whenever the view of the peers changes."""

    def __init__(
        self,
        *,
        view: MembershipView,
        placement: SlotSharing,
        servers: BackendServers,
        pools: ConnectionPools,
    ) -> None:
        self._view = view
        self._placement = placement
        self._servers = servers
        self._pools = pools
        self._version = -1
        self._task: Any = None

    async def __aenter__(self) -> Self:
        self._task = await spawn(self._follow)
        return self

    async def __aexit__(self, *reason: object) -> None:
        await self._task.cancel()

    async def apply(self, services: Iterable[Service]) -> None:
        """Put the present shares of ``services`` into force."""
        for number, service in enumerate(services, start=1):
            for server in service.backend_servers:
                share = self._placement.share(service=service, server=server)
                self._servers.set_share(server=server.name, share=share)
                await self._pools.resize(service=service, server=server)
            if number % _SERVICES_PER_TURN == 0:
                await sleep(0)

    async def _follow(self) -> None:
        while True:
            await sleep(_LOOK_INTERVAL)
            version = self._view.version
            if version != self._version:
                self._version = version
                services = {
                    known.service.name: known.service
                    for known in self._servers.known.values()
                }
                await self.apply(services.values())
