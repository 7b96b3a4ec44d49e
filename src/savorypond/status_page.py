"""The status page: the state of this instance and its view of the others."""

from collections.abc import Callable

from savorypond.balancing.drain_detector import DrainDetector
from savorypond.clock import Clock
from savorypond.controllers.backend_servers import BackendServers, KnownServer
from savorypond.controllers.drain import DrainController
from savorypond.controllers.membership import MembershipController
from savorypond.controllers.pools import ConnectionPools
from savorypond.operator_api import PeerStatus, ServerStatus, Status
from savorypond.protocols import ConfigView, Placement
from savorypond.settings import Settings


class StatusPage:
    """Collects the status of an instance from its controllers.

    :param prepared: returns whether all that the first queries need has been
        fetched.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        config: ConfigView,
        membership: MembershipController,
        placement: Placement,
        servers: BackendServers,
        pools: ConnectionPools,
        drain: DrainController,
        drain_detector: DrainDetector,
        prepared: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._config = config
        self._membership = membership
        self._placement = placement
        self._servers = servers
        self._pools = pools
        self._drain = drain
        self._drain_detector = drain_detector
        self._prepared = prepared
        self._clock = clock

    def not_ready_reason(self) -> str:
        """Return why the instance must get no new requests, or "" if it is ready."""
        if self._drain.draining:
            return "draining"
        if self._config.bundle is None:
            return "no configuration is in force yet"
        if not self._membership.status.may_own:
            return "no peer has answered yet"
        if not self._prepared():
            return "backend servers have not been asked yet"
        return ""

    def status(self) -> Status:
        """Return the current status."""
        settings = self._settings
        membership = self._membership.status
        bundle = self._config.bundle
        return Status(
            name=settings.name,
            fleet=settings.fleet,
            data_centre=settings.data_centre,
            incarnation=membership.local_instance.incarnation,
            ready=not self.not_ready_reason(),
            draining=self._drain.draining,
            revision=bundle.revision if bundle is not None else 0,
            leaving=self._drain_detector.leaving(),
            peers=tuple(
                PeerStatus(
                    name=member.name,
                    data_centre=member.data_centre,
                    state=member.state.value,
                    incarnation=member.incarnation,
                )
                for member in membership.members
            ),
            servers=tuple(
                self._server_status(name, known)
                for name, known in sorted(self._servers.known.items())
            ),
        )

    def _server_status(self, name: str, known: KnownServer) -> ServerStatus:
        now = self._clock.now()
        route = self._placement.routes(services=[known.service], now=now)[0]
        owner = route.owner.name if route.owner is not None else self._settings.name
        connections = self._pools.connections(name)
        limiter = known.slot_pool.limiter
        return ServerStatus(
            name=name,
            service=known.service.name,
            owner=owner,
            leaving=self._servers.leaving(server=name),
            ejected=self._servers.ejected(server=name, now=now),
            in_flight=limiter.in_flight,
            waiting=limiter.waiting,
            connections=connections.pool.open if connections is not None else 0,
            expected_wait=round(limiter.expected_wait(now=now), 6),
        )
