"""Learns which snapshots the services of a query can be answered from.

Only owners ask backend servers for their health. Everybody else learns from
owners: along with each answer, and by a question where none came lately.
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

ASK_TIME = 0.25  # seconds for one question to an owner
FRESH_TIME = 2.0  # seconds after which silence is followed by a question
USED_TIME = 60.0  # seconds for which a service counts as used
_LOOK_INTERVAL = 0.5  # seconds


class HealthSource(Protocol):
    """Asks backend servers for their health at once."""

    async def ask_now(self, services: Sequence[Service]) -> None:
        """Ask every backend server of ``services`` and wait for the answers."""


class Holdings:
    """Keeps the evidence fresh that pins are chosen from."""

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
        self._used: dict[str, float] = {}
        self._heard: dict[str, float] = {}
        self._services: dict[str, Service] = {}
        self._task: Any = None

    async def __aenter__(self) -> Self:
        self._task = await spawn(self._refresh)
        return self

    async def __aexit__(self, *reason: object) -> None:
        await self._task.cancel()

    async def pin(self, services: tuple[Service, ...]) -> PinChoice | None:
        """Return the snapshot to answer a query to ``services`` from, or None."""
        now = self._clock.now()
        for service in services:
            self._used[service.name] = now
            self._services[service.name] = service
        choice = self._servers.pin(services)
        if choice is not None and choice.complete:
            return choice
        await self.learn(services)
        return self._servers.pin(services)

    def heard(self, services: Sequence[Service], pins: Sequence[Pin]) -> None:
        """Note that ``services`` can be answered from each of ``pins``."""
        now = self._clock.now()
        for service in services:
            self._heard[service.name] = now
            held = [_holding(service, pin) for pin in pins]
            for server in service.backend_servers:
                self._servers.record_report(
                    service=service, server=server.name, held=held
                )

    async def learn(self, services: Sequence[Service]) -> None:
        """Ask the owners of ``services``, and backend servers where none answers."""
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
                await group.spawn(self._ask_servers, own)
            for owner, asked in by_owner.values():
                await group.spawn(self._ask_owner, owner, asked)

    async def answer(self, services: Sequence[Service]) -> HoldingsReply:
        """Return what ``services`` can be answered from, asking if need be."""
        await self._active.ensure(services)
        unknown = [s for s in services if not self._servers.complete_pins([s])]
        if unknown:
            await self._health.ask_now(unknown)
        return HoldingsReply(
            services=tuple(
                ServiceHoldings(service.name, held_snapshots(self._servers, [service]))
                for service in services
            )
        )

    async def _ask_servers(self, services: Sequence[Service]) -> None:
        await self._active.ensure(services)
        await self._health.ask_now(services)
        now = self._clock.now()
        for service in services:
            self._heard[service.name] = now

    async def _ask_owner(self, owner: Instance, services: Sequence[Service]) -> None:
        by_name = {service.name: service for service in services}
        message = HoldingsRequest(services=tuple(by_name))
        reply = None
        with suppress(LinkError):
            reply = await self._links.request(
                owner.peer_address, message, timeout=ASK_TIME
            )
        if not isinstance(reply, HoldingsReply):
            await self._ask_servers(services)
            return
        for line in reply.services:
            service = by_name.get(line.service)
            if service is not None and line.held:  # none means: not known yet
                pins = [Pin(snapshot=h.snapshot, layout=h.layout) for h in line.held]
                self.heard([service], pins)

    async def _refresh(self) -> None:
        while True:
            await sleep(_LOOK_INTERVAL)
            self._forget_unused()
            stale = self._stale()
            if stale:
                await self.learn(stale)

    def _forget_unused(self) -> None:
        limit = self._clock.now() - USED_TIME
        for name in [name for name, at in self._used.items() if at < limit]:
            del self._used[name]
            self._heard.pop(name, None)
            self._services.pop(name, None)

    def _stale(self) -> list[Service]:
        limit = self._clock.now() - FRESH_TIME
        return [
            service
            for name, service in self._services.items()
            if self._heard.get(name, 0.0) < limit and not self._active.owns(service)
        ]


def held_snapshots(
    servers: BackendServers, services: Sequence[Service]
) -> tuple[WireHeldSnapshot, ...]:
    """Return the snapshots that all of ``services`` can be answered from."""
    pins = servers.complete_pins(services)
    return tuple(WireHeldSnapshot(pin.snapshot, pin.layout) for pin in pins)


def _holding(service: Service, pin: Pin) -> Holding:
    layout = service.layout(pin.layout)
    shards = frozenset(s.shard for s in layout.shards) if layout else frozenset()
    return Holding(snapshot=pin.snapshot, layout=pin.layout, shards=shards)
