"""The active services, whose backend servers this instance sends work to itself.

With thousands of services configured, an instance keeps slots, connections and
health only for those it owns or has recently used. Changes to these are applied
at once; all others are scanned only as often as that stays cheap.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Self

from curio import Event, sleep, spawn

from savorypond.balancing.sweep_throttle import SweepThrottle
from savorypond.clock import Clock
from savorypond.controllers.backend_servers import BackendServers
from savorypond.controllers.pools import ConnectionPools
from savorypond.model import Bundle, Service
from savorypond.placement.policies import BoundedPlacement
from savorypond.protocols import ConfigView, MembershipView
from savorypond.timeouts import ignore_after

IDLE_LIMIT = 60.0  # seconds after which an unused service is dropped if not owned
_CHECK_INTERVAL = 0.1  # seconds
_SWEEP_BATCH = 50  # services scanned before other tasks may run


@dataclass(slots=True, kw_only=True)
class _ActiveService:
    service: Service
    used_at: float


class ActiveServices:
    """Activates services when they are used or owned, and drops idle ones."""

    def __init__(
        self,
        *,
        config: ConfigView,
        view: MembershipView,
        placement: BoundedPlacement,
        servers: BackendServers,
        pools: ConnectionPools,
        clock: Clock,
    ) -> None:
        self._config = config
        self._view = view
        self._placement = placement
        self._servers = servers
        self._pools = pools
        self._clock = clock
        self._active: dict[str, _ActiveService] = {}
        self._version = -1
        self._revision = 0
        self._sweep_throttle = SweepThrottle()
        self._wake = Event()
        self._task: Any = None

    async def __aenter__(self) -> Self:
        self._task = await spawn(self._run)
        return self

    async def __aexit__(self, *reason: object) -> None:
        await self._task.cancel()

    def owns(self, service: Service) -> bool:
        """Return whether this instance sends the work of ``service`` itself."""
        now = self._clock.now()
        return self._placement.routes(services=[service], now=now)[0].owner is None

    async def activate(self, services: Iterable[Service]) -> None:
        """Activate ``services`` or update those that have changed; mark all as used."""
        now = self._clock.now()
        for service in services:
            active = self._active.get(service.name)
            if active is not None and active.service == service:
                active.used_at = now
            else:
                await self._put(service)

    async def config_changed(self) -> None:
        """Check for a new bundle now instead of at the next interval."""
        await self._wake.set()

    async def _put(self, service: Service) -> None:
        active = self._active.get(service.name)
        previous = active.service if active is not None else None
        self._active[service.name] = _ActiveService(
            service=service, used_at=self._clock.now()
        )
        await self._servers.put(service, previous=previous)
        await self._pools.put(service)
        await self._apply_share(service)

    async def _drop(self, name: str) -> None:
        service = self._active.pop(name).service
        self._servers.remove(service)
        await self._pools.remove(service)

    async def _apply_share(self, service: Service) -> None:
        for server in service.backend_servers:
            share = self._placement.share(service=service, server=server)
            await self._servers.set_share(server=server.name, share=share)
            await self._pools.resize(service=service, server=server)
        if self.owns(service):
            await self._pools.open_ahead(service)

    async def _run(self) -> None:
        while True:
            self._wake.clear()
            bundle = self._config.bundle
            if bundle is not None:
                await self._apply_changes(bundle)
                await self._drop_idle()
            async with ignore_after(_CHECK_INTERVAL):
                await self._wake.wait()

    async def _apply_changes(self, bundle: Bundle) -> None:
        version = self._view.version
        if version != self._version or bundle.revision != self._revision:
            self._version = version
            self._revision = bundle.revision
            self._sweep_throttle.changed()
            await self._update_active(bundle)
        started = self._clock.now()
        if self._sweep_throttle.is_due(started):
            self._sweep_throttle.started()
            await self._sweep(bundle)
            self._sweep_throttle.ended(started=started, now=self._clock.now())

    async def _update_active(self, bundle: Bundle) -> None:
        """Apply changes of the bundle and of shares to the active services only."""
        for name in list(self._active):
            service = bundle.services.get(name)
            if service is None:
                await self._drop(name)
                continue
            if self._active[name].service != service:
                await self._put(service)
            await self._apply_share(service)

    async def _sweep(self, bundle: Bundle) -> None:
        """Activate the owned services with a backend server in this data centre.

        Other owned services, whose backend servers have no instance in their own
        data centre, and those acquired between two sweeps are activated on first
        use.
        """
        local_data_centre = self._view.local_instance.data_centre
        for number, service in enumerate(bundle.services.values(), start=1):
            data_centres = [server.data_centre for server in service.backend_servers]
            if local_data_centre in data_centres and self.owns(service):
                await self.activate([service])
            if number % _SWEEP_BATCH == 0:
                await sleep(0)
            if self._config.bundle is not bundle:
                return

    async def _drop_idle(self) -> None:
        limit = self._clock.now() - IDLE_LIMIT
        idle = [a for a in self._active.values() if a.used_at < limit]
        for active in idle:
            if not self.owns(active.service):
                await self._drop(active.service.name)
