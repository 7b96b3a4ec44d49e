"""Which instance sends the work of each service to its backend servers."""

from collections.abc import Sequence
from typing import Protocol

from savorypond.model import BackendServer, Service
from savorypond.placement.owner_table import OwnerTable
from savorypond.placement.shares import (
    Fleet,
    Role,
    connection_share,
    equal_share,
    slot_share,
)
from savorypond.protocols import MembershipView, Placement, Route


class FleetView(MembershipView, Protocol):
    """A view of the peers that also counts those out of sight."""

    @property
    def fleet_size(self) -> int:
        """Instances heard of, this one included, but for those that left."""


class BoundedPlacement(Placement, Protocol):
    """A placement that also bounds connections."""

    def connections(self, *, service: Service) -> int:
        """Return the connections this instance may open per server of ``service``."""


class DirectPlacement:
    """Every instance sends everything itself; the servers shed what is too much."""

    def __init__(self, *, view: FleetView) -> None:
        self._view = view

    def routes(self, *, services: Sequence[Service], now: float) -> tuple[Route, ...]:
        """Return a route without owner for each of ``services``."""
        return tuple(_direct_route(service) for service in services)

    def share(self, *, service: Service, server: BackendServer) -> float:
        """Return 1.0: any instance may fill all slots."""
        return 1.0

    def connections(self, *, service: Service) -> int:
        """Return the connections this instance may open per server of ``service``."""
        return equal_share(service.limits, _fleet(self._view))


class StaticPlacement:
    """Every instance sends everything itself, within a fixed part of the slots."""

    def __init__(self, *, view: FleetView) -> None:
        self._view = view

    def routes(self, *, services: Sequence[Service], now: float) -> tuple[Route, ...]:
        """Return a route without owner for each of ``services``."""
        return tuple(_direct_route(service) for service in services)

    def share(self, *, service: Service, server: BackendServer) -> float:
        """Return the slots over the live instances, but at least one slot."""
        slots = service.limits.slots
        fleet_size = max(1, len(self._view.live()))
        return max(1, slots // fleet_size) / slots

    def connections(self, *, service: Service) -> int:
        """Return the connections this instance may open per server of ``service``."""
        return equal_share(service.limits, _fleet(self._view))


class OwnerPlacement:
    """One instance, by rendezvous hashing, sends all work of a service.

    Ownership is a belief and no lock: two instances may hold it at once for a
    while, within the server's cap on connections.

    :param groups: groups into which the services of one index are put, each
        placed as a whole, or 0 to place every service by itself.
    """

    def __init__(self, *, view: FleetView, groups: int = 0) -> None:
        self._view = view
        self._owners = OwnerTable(groups=groups)
        self._version = -1

    def routes(self, *, services: Sequence[Service], now: float) -> tuple[Route, ...]:
        """Return the owner and the backup of each of ``services``.

        Both are None where this instance is the owner. A backup of None means
        that this instance is the backup itself, or that there is none.
        """
        self._follow_view()
        return tuple(self._route(service) for service in services)

    def role(self, *, service: Service) -> Role:
        """Return what this instance is for ``service``."""
        self._follow_view()
        local_instance = self._view.local_instance.name
        owners = self._owners.lookup(service)
        if owners.owner is not None and owners.owner.name == local_instance:
            return Role.OWNER
        if owners.backup is not None and owners.backup.name == local_instance:
            return Role.BACKUP
        return Role.DIRECT

    def share(self, *, service: Service, server: BackendServer) -> float:
        """Return all slots for the owner, a reserve for the others."""
        role = self.role(service=service)
        return slot_share(service.limits, role, _fleet(self._view))

    def connections(self, *, service: Service) -> int:
        """Return the connections this instance may open per server of ``service``."""
        role = self.role(service=service)
        return connection_share(service.limits, role, _fleet(self._view))

    def _follow_view(self) -> None:
        version = self._view.version
        if version != self._version:
            self._version = version
            self._owners.update(self._view.live())

    def _route(self, service: Service) -> Route:
        owners = self._owners.lookup(service)
        local_instance = self._view.local_instance.name
        if owners.owner is None or owners.owner.name == local_instance:
            return _direct_route(service)
        backup = owners.backup
        if backup is not None and backup.name == local_instance:
            backup = None
        return Route(service=service, owner=owners.owner, backup=backup)


def _fleet(view: FleetView) -> Fleet:
    size = max(1, view.fleet_size)
    reached = min(size, max(1, len(view.live())))
    return Fleet(size=size, reached=reached)


def _direct_route(service: Service) -> Route:
    return Route(service=service, owner=None, backup=None)
