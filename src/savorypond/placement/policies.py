"""Placement policies: which instance sends work to the servers of a service."""

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
    """A membership view that also counts instances that are not live."""

    @property
    def fleet_size(self) -> int:
        """Number of known instances including this one, except those that left."""


class BoundedPlacement(Placement, Protocol):
    """A placement that also limits connections."""

    def connections(self, *, service: Service) -> int:
        """Return the connections that this instance may open per server."""


class DirectPlacement:
    """Every instance sends all its work itself; the servers shed excess load."""

    def __init__(self, *, view: FleetView) -> None:
        self._view = view

    def routes(self, *, services: Sequence[Service], now: float) -> tuple[Route, ...]:
        """Return a route without owner for each of ``services``."""
        return tuple(_direct_route(service) for service in services)

    def share(self, *, service: Service, server: BackendServer) -> float:
        """Return 1.0: any instance may fill all slots."""
        return 1.0

    def connections(self, *, service: Service) -> int:
        """Return the connections that this instance may open per server."""
        return equal_share(service.limits, _fleet(self._view))


class StaticPlacement:
    """Every instance sends all its work itself, within an equal share of the slots."""

    def __init__(self, *, view: FleetView) -> None:
        self._view = view

    def routes(self, *, services: Sequence[Service], now: float) -> tuple[Route, ...]:
        """Return a route without owner for each of ``services``."""
        return tuple(_direct_route(service) for service in services)

    def share(self, *, service: Service, server: BackendServer) -> float:
        """Return an equal share of the slots per live instance, at least one slot."""
        slots = service.limits.slots
        fleet_size = max(1, len(self._view.live()))
        return max(1, slots // fleet_size) / slots

    def connections(self, *, service: Service) -> int:
        """Return the connections that this instance may open per server."""
        return equal_share(service.limits, _fleet(self._view))


class OwnerPlacement:
    """One instance, chosen by rendezvous hashing, sends all work of a service.

    Ownership is derived from the local view and is not a lock. Two instances may
    own a service at the same time for a while; the shares of connections keep
    their sum within the server's cap.

    :param groups: number of groups per index, each placed as a unit, or 0 to
        place every service individually.
    """

    def __init__(self, *, view: FleetView, groups: int = 0) -> None:
        self._view = view
        self._owners = OwnerTable(groups=groups)
        self._version = -1

    def routes(self, *, services: Sequence[Service], now: float) -> tuple[Route, ...]:
        """Return the owner and the backup of each of ``services``.

        Both are None if this instance is the owner. A backup of None means that
        this instance is the backup or that there is no backup.
        """
        self._sync_view()
        return tuple(self._route(service) for service in services)

    def role(self, *, service: Service) -> Role:
        """Return the role of this instance for ``service``."""
        self._sync_view()
        own_name = self._view.local_instance.name
        owners = self._owners.lookup(service)
        if owners.owner is not None and owners.owner.name == own_name:
            return Role.OWNER
        if owners.backup is not None and owners.backup.name == own_name:
            return Role.BACKUP
        return Role.DIRECT

    def share(self, *, service: Service, server: BackendServer) -> float:
        """Return all slots for the owner and a reserve for the others."""
        role = self.role(service=service)
        return slot_share(service.limits, role, _fleet(self._view))

    def connections(self, *, service: Service) -> int:
        """Return the connections that this instance may open per server."""
        role = self.role(service=service)
        return connection_share(service.limits, role, _fleet(self._view))

    def _sync_view(self) -> None:
        version = self._view.version
        if version != self._version:
            self._version = version
            self._owners.update(self._view.live())

    def _route(self, service: Service) -> Route:
        owners = self._owners.lookup(service)
        own_name = self._view.local_instance.name
        if owners.owner is None or owners.owner.name == own_name:
            return _direct_route(service)
        backup = owners.backup
        if backup is not None and backup.name == own_name:
            backup = None
        return Route(service=service, owner=owners.owner, backup=backup)


def _fleet(view: FleetView) -> Fleet:
    size = max(1, view.fleet_size)
    visible = min(size, max(1, len(view.live())))
    return Fleet(size=size, visible=visible)


def _direct_route(service: Service) -> Route:
    return Route(service=service, owner=None, backup=None)
