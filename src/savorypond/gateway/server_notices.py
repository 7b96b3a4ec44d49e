"""Applies what the answers of backend servers say about requests to come."""

from collections.abc import Callable, Sequence
from random import Random

from savorypond.gateway.headers import HeaderNames
from savorypond.gateway.leaving_servers import LeavingServer, LeavingServers
from savorypond.gateway.retry_after import parse_retry_after
from savorypond.gateway.server_holds import ServerHolds
from savorypond.gateway.servers import RegisteredServer
from savorypond.http.messages import HttpResponse
from savorypond.model import Counters

_YES = "1"
_UNAVAILABLE = 503


class ServerNotices:
    """What servers have told this instance in their answers.

    :param wall_time: returns Unix seconds.
    """

    def __init__(
        self,
        *,
        names: HeaderNames,
        random: Random,
        wall_time: Callable[[], float],
        counters: Counters,
    ) -> None:
        self._names = names
        self._wall_time = wall_time
        self._leaving = LeavingServers(counters=counters)
        self._holds = ServerHolds(random=random, counters=counters)

    @property
    def leaving(self) -> LeavingServers:
        """The servers that are leaving."""
        return self._leaving

    @property
    def holds(self) -> ServerHolds:
        """The servers that have asked for a pause."""
        return self._holds

    def observe(
        self, server: RegisteredServer, response: HttpResponse, now: float
    ) -> None:
        """Record what ``response`` says.

        :param response: an answer that is known to be this server's.
        """
        retry_after = response.header(self._names.retry_after)
        if response.status == _UNAVAILABLE and retry_after is not None:
            pause = parse_retry_after(
                retry_after,
                date=response.header("date"),
                wall_time=self._wall_time(),
            )
            self._holds.record(server, pause, now)
        if response.header(self._names.leaving) == _YES:
            leaving = LeavingServer(
                name=server.name, service=server.service, started=server.started
            )
            self._leaving.record(leaving, source="answer", now=now)

    def accepts(self, server: RegisteredServer, now: float) -> bool:
        """Return whether ``server`` may still get an attempt that chose it."""
        return not (self._leaving.includes(server) or self._holds.includes(server, now))

    def accepting(
        self, servers: Sequence[RegisteredServer], now: float
    ) -> Sequence[RegisteredServer]:
        """Return those of ``servers`` that the next attempt may choose."""
        return self._holds.admitting(self._leaving.staying(servers), now)

    def wait(self, servers: Sequence[RegisteredServer], now: float) -> float:
        """Return the seconds for which all of ``servers``, of a service, want nothing.

        Return 0 if one of them accepts requests, or if all are leaving.
        """
        return self._holds.wait(self._leaving.staying(servers), now)

    def retain(self, registered: Sequence[RegisteredServer], now: float) -> None:
        """Forget what no longer matters.

        :param registered: every registered server.
        """
        self._leaving.retain(registered, now)
        self._holds.retain(now)
