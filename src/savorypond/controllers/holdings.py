"""Evidence on which snapshots the services of a query can be answered from.

Only owners poll the health of backend servers. Other instances get the snapshots
from owners: with each answer, and by a request if no answer came recently.
"""

from collections.abc import Sequence
from contextlib import suppress
from typing import Any, Protocol, Self

from curio import TaskGroup, sleep, spawn

from savorypond.clock import Clock
from savorypond.controllers.active import ActiveServices
from savorypond.controllers.backend_servers import BackendServers
from savorypond.model import Holding, Instance, Pin, Service
from savorypond.peers.link import LinkError, PeerLinks
from savorypond.peers.link_messages import (
    HoldingsReply,
    HoldingsRequest,
    ServiceHoldings,
    WireHeldSnapshot,
)
from savorypond.protocols import Placement
from savorypond.queries.snapshots import PinChoice

REQUEST_TIMEOUT = 0.25  # seconds for one request to an owner
FRESH_TIME = 2.0  # seconds without a report after which the owner is asked
USED_TIME = 60.0  # seconds for which a service is refreshed after its last query
_CHECK_INTERVAL = 0.5  # seconds


class HealthSource(Protocol):
    """Polls the health of backend servers on demand."""

    async def poll_now(self, services: Sequence[Service]) -> None:
        """Poll every backend server of ``services`` and wait for the answers."""


class Holdings:
    """Keeps the evidence for choosing pins up to date."""

    def __init__(
        self,
        *,
        active: ActiveServices,
        servers: BackendServers,
        health: HealthSource,
        placement: Placement,
        links: PeerLinks,
        clock: Clock,
    ) -> None:
        self._active = active
        self._servers = servers
        self._health = health
        self._placement = placement
        self._links = links
        self._clock = clock
        self._used_at: dict[str, float] = {}
        self._refreshed_at: dict[str, float] = {}
        self._services: dict[str, Service] = {}
        self._task: Any = None

    async def __aenter__(self) -> Self:
        self._task = await spawn(self._run)
        return self

    async def __aexit__(self, *reason: object) -> None:
        await self._task.cancel()

    async def pin(self, services: tuple[Service, ...]) -> PinChoice | None:
        """Return the snapshot for a query to ``services``, or None if none is known."""
        now = self._clock.now()
        for service in services:
            self._used_at[service.name] = now
            self._services[service.name] = service
        choice = self._servers.pin(services)
        if choice is not None and choice.complete:
            return choice
        await self.refresh(services)
        return self._servers.pin(services)

    def record_pins(self, services: Sequence[Service], pins: Sequence[Pin]) -> None:
        """Record that ``services`` can be answered from each of ``pins``."""
        now = self._clock.now()
        for service in services:
            self._refreshed_at[service.name] = now
            held = [_holding(service, pin) for pin in pins]
            for server in service.backend_servers:
                self._servers.record_report(
                    service=service, server=server.name, held=held
                )

    async def refresh(self, services: Sequence[Service]) -> None:
        """Ask the owners of ``services``; poll backend servers of those unanswered."""
        routes = self._placement.routes(services=services, now=self._clock.now())
        own: list[Service] = []
        by_owner: dict[str, tuple[Instance, list[Service]]] = {}
        for route in routes:
            if route.owner is None:
                own.append(route.service)
            else:
                entry = by_owner.setdefault(route.owner.name, (route.owner, []))
                entry[1].append(route.service)
        async with TaskGroup(wait=all) as group:
            if own:
                await group.spawn(self._poll_servers, own)
            for owner, asked in by_owner.values():
                await group.spawn(self._ask_owner, owner, asked)

    async def answer(self, services: Sequence[Service]) -> HoldingsReply:
        """Return the snapshots of each of ``services``, polling if none is known."""
        await self._active.activate(services)
        unknown = [s for s in services if not self._servers.complete_pins([s])]
        if unknown:
            await self._health.poll_now(unknown)
        return HoldingsReply(
            services=tuple(
                ServiceHoldings(service.name, held_snapshots(self._servers, [service]))
                for service in services
            )
        )

    async def _poll_servers(self, services: Sequence[Service]) -> None:
        await self._active.activate(services)
        await self._health.poll_now(services)
        now = self._clock.now()
        for service in services:
            self._refreshed_at[service.name] = now

    async def _ask_owner(self, owner: Instance, services: Sequence[Service]) -> None:
        by_name = {service.name: service for service in services}
        message = HoldingsRequest(services=tuple(by_name))
        reply = None
        with suppress(LinkError):
            reply = await self._links.request(
                owner.peer_address, message, timeout=REQUEST_TIMEOUT
            )
        if not isinstance(reply, HoldingsReply):
            await self._poll_servers(services)
            return
        for entry in reply.services:
            service = by_name.get(entry.service)
            if service is not None and entry.held:  # empty means: not known yet
                pins = [Pin(snapshot=h.snapshot, layout=h.layout) for h in entry.held]
                self.record_pins([service], pins)

    async def _run(self) -> None:
        while True:
            await sleep(_CHECK_INTERVAL)
            self._forget_unused()
            stale = self._stale()
            if stale:
                await self.refresh(stale)

    def _forget_unused(self) -> None:
        limit = self._clock.now() - USED_TIME
        for name in [name for name, at in self._used_at.items() if at < limit]:
            del self._used_at[name]
            self._refreshed_at.pop(name, None)
            self._services.pop(name, None)

    def _stale(self) -> list[Service]:
        limit = self._clock.now() - FRESH_TIME
        return [
            service
            for name, service in self._services.items()
            if self._refreshed_at.get(name, 0.0) < limit
            and not self._active.owns(service)
        ]


def held_snapshots(
    servers: BackendServers, services: Sequence[Service]
) -> tuple[WireHeldSnapshot, ...]:
    """Return the snapshots that are complete for all of ``services``."""
    pins = servers.complete_pins(services)
    return tuple(WireHeldSnapshot(pin.snapshot, pin.layout) for pin in pins)


def _holding(service: Service, pin: Pin) -> Holding:
    layout = service.layout(pin.layout)
    shards = frozenset(s.shard for s in layout.shards) if layout else frozenset()
    return Holding(snapshot=pin.snapshot, layout=pin.layout, shards=shards)
