"""Keeps requests from backend servers that have asked for a pause.

Answers the load of an overloaded server that refuses requests with 503 and Retry-After:
until that time has passed it gets nothing from this instance, whatever other requests
would do. After that its share rises from nothing, at a random time, so that all that
was kept away does not come back at once. If every server of a service is on hold,
requests that need it are refused at once.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from savorypond.gateway.retry_after import RequestedPause
from savorypond.gateway.servers import RegisteredServer
from savorypond.logs import log_event
from savorypond.model import Counters

MAX_SERVERS = 4096  # those whose hold ends first are forgotten first
RETURN_SHARE = 0.25  # of a pause, over which the share of its server rises
MAX_RETURN_TIME = 1.0  # seconds
_MIN_RETURN_SHARE = 0.1  # of the requests, as soon as a server may get some
# Other answers to requests of the same moment extend a hold by less.
_LOGGED_EXTENSION = 0.5  # seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class _Hold:
    """A pause of a server; times in monotonic seconds.

    :param started: start of the incarnation that asked for it, in Unix milliseconds.
    :param until: the time until which it gets no request.
    :param full_from: the time from which it gets all requests that are meant for it.
    """

    service: str
    started: int
    until: float
    full_from: float

    def share(self, now: float) -> float:
        """Return the share of requests that the server gets, from 0 to 1."""
        if now < self.until:
            return 0.0
        if now >= self.full_from:
            return 1.0
        share = (now - self.until) / (self.full_from - self.until)
        return max(_MIN_RETURN_SHARE, share)


class ServerHolds:
    """The servers that have asked this instance for a pause."""

    def __init__(self, *, random: Random, counters: Counters) -> None:
        self._random = random
        self._counters = counters
        self._holds: dict[str, _Hold] = {}
        # Services of which every server is on hold, with the end of the first hold.
        self._paused_services: dict[str, float] = {}

    @property
    def count(self) -> int:
        """Number of servers on hold, or returning from it."""
        return len(self._holds)

    def record(
        self, server: RegisteredServer, pause: RequestedPause, now: float
    ) -> None:
        """Record that ``server`` asked for ``pause``."""
        if pause.problem:
            self._counters.add("gateway_server_holds", pause.problem.replace(" ", "-"))
        previous = self._find(server)
        if previous is not None and previous.started > server.started:
            return  # a late answer of an earlier incarnation
        return_time = min(MAX_RETURN_TIME, RETURN_SHARE * pause.seconds)
        until = now + pause.seconds + self._random.uniform(0.0, return_time)
        if previous is not None and previous.until >= until:
            return
        if previous is None and len(self._holds) >= MAX_SERVERS:
            del self._holds[min(self._holds, key=lambda name: self._holds[name].until)]
            self._counters.add("gateway_server_holds", "forgotten")
        self._holds[server.name] = _Hold(
            service=server.service,
            started=server.started,
            until=until,
            full_from=until + return_time,
        )
        self._counters.add(
            "gateway_server_holds", "began" if previous is None else "extended"
        )
        if previous is None or until - previous.until >= _LOGGED_EXTENSION:
            log_event(
                "server-on-hold",
                server=server.name,
                service=server.service,
                seconds=round(pause.seconds, 3),
                problem=pause.problem,
            )

    def includes(self, server: RegisteredServer, now: float) -> bool:
        """Return whether ``server`` must get no request now."""
        hold = self._find(server)
        return hold is not None and now < hold.until

    def admitting(
        self, servers: Sequence[RegisteredServer], now: float
    ) -> Sequence[RegisteredServer]:
        """Return those of ``servers`` that may get the next attempt.

        A server whose hold has ended is among them with a probability that rises.
        """
        if not self._holds:
            return servers
        return [server for server in servers if self._admits(server, now)]

    def wait(self, servers: Sequence[RegisteredServer], now: float) -> float:
        """Return the seconds until the first hold of ``servers`` ends.

        Return 0 if one of them is not on hold, or if there are none.

        :param servers: all servers of a service.
        """
        if not self._holds or not servers:
            return 0.0
        ends = []
        for server in servers:
            hold = self._find(server)
            if hold is None or now >= hold.until:
                return 0.0
            ends.append(hold.until)
        until = min(ends)
        self._record_pause(servers[0].service, until, now)
        return until - now

    def retain(self, now: float) -> None:
        """Forget holds that are over."""
        for name, hold in list(self._holds.items()):
            if now >= hold.full_from:
                del self._holds[name]
                self._counters.add("gateway_server_holds", "ended")
                log_event("server-hold-ended", server=name, service=hold.service)
        for service, until in list(self._paused_services.items()):
            if now >= until:
                del self._paused_services[service]

    def _admits(self, server: RegisteredServer, now: float) -> bool:
        hold = self._find(server)
        if hold is None:
            return True
        share = hold.share(now)
        return share >= 1.0 or (share > 0.0 and self._random.random() < share)

    def _find(self, server: RegisteredServer) -> _Hold | None:
        hold = self._holds.get(server.name)
        if hold is None or server.started > hold.started:
            return None
        return hold

    def _record_pause(self, service: str, until: float, now: float) -> None:
        """Record once that requests for ``service`` are refused ``until`` then."""
        if now < self._paused_services.get(service, 0.0):
            return
        self._paused_services[service] = until
        self._counters.add("gateway_server_holds", "whole-service")
        log_event("service-on-hold", service=service, seconds=round(until - now, 3))
