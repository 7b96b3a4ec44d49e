"""Selects the backend servers of a request's attempts."""

from collections.abc import Collection, Sequence

from savorypond.gateway.rate_control import RankedRequest, RateControl
from savorypond.gateway.server_load import ServerLoadTracker
from savorypond.gateway.server_notices import ServerNotices
from savorypond.gateway.servers import RegisteredServer, ServerRegistry


class RegistryServerChooser:
    """Selects registered servers by their load, rate limit and notices."""

    def __init__(
        self,
        *,
        registry: ServerRegistry,
        loads: ServerLoadTracker,
        mean_latency: float,
        rates: RateControl,
        notices: ServerNotices,
        request: RankedRequest,
    ) -> None:
        self._registry = registry
        self._loads = loads
        self._mean_latency = mean_latency
        self._rates = rates
        self._notices = notices
        self._request = request
        self._rate_limited = 0

    @property
    def rate_limited(self) -> int:
        """Number of attempts that rate limits prevented."""
        return self._rate_limited

    def choose(
        self, service: str, *, exclude: Collection[str], now: float
    ) -> RegisteredServer | None:
        """Return a server of ``service`` not named in ``exclude``, or None."""
        registered = self._accepting(service, now)
        servers = self._rates.usable(
            service,
            registered,
            request=self._request,
            extra=bool(exclude),
            now=now,
        )
        if registered and not servers:
            self._rate_limited += 1
            return None
        return self._loads.choose(
            servers,
            exclude=exclude,
            mean_latency=self._mean_latency,
            now=now,
        )

    def lacks_token(self, service: str, now: float) -> bool:
        """Return whether only rate limits leave no server of ``service`` to choose."""
        limits = self._rates.limits
        if not limits.is_limited(service):
            return False
        registered = self._accepting(service, now)
        usable = [s for s in registered if not limits.lacks_token(s, now)]
        if len(usable) == len(registered):
            return False
        choice = self._loads.choose(
            usable, exclude=(), mean_latency=self._mean_latency, now=now
        )
        return choice is None

    def count(self, service: str) -> int:
        """Return the number of servers of ``service``."""
        return len(self._registry.servers(service))

    def is_remote(self, server: RegisteredServer) -> bool:
        """Return whether ``server`` is in another data centre."""
        return self._loads.is_remote(server)

    def wait(self, service: str, now: float) -> float:
        """Return the seconds for which all servers of ``service`` want no requests."""
        return self._notices.wait(self._registry.servers(service), now)

    def _accepting(self, service: str, now: float) -> Sequence[RegisteredServer]:
        return self._notices.accepting(self._registry.servers(service), now)
