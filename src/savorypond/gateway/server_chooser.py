"""Selects the backend servers of a request's attempts."""

from collections.abc import Collection

from savorypond.gateway.server_load import ServerLoadTracker
from savorypond.gateway.servers import RegisteredServer, ServerRegistry


class RegistryServerChooser:
    """Selects registered servers by their load."""

    def __init__(
        self, *, registry: ServerRegistry, loads: ServerLoadTracker, mean_latency: float
    ) -> None:
        self._registry = registry
        self._loads = loads
        self._mean_latency = mean_latency

    def choose(
        self, service: str, *, exclude: Collection[str], now: float
    ) -> RegisteredServer | None:
        """Return a server of ``service`` not named in ``exclude``, or None."""
        return self._loads.choose(
            self._registry.servers(service),
            exclude=exclude,
            mean_latency=self._mean_latency,
            now=now,
        )

    def count(self, service: str) -> int:
        """Return the number of servers of ``service``."""
        return len(self._registry.servers(service))

    def is_remote(self, server: RegisteredServer) -> bool:
        """Return whether ``server`` is in another data centre."""
        return self._loads.is_remote(server)
