"""Applies what the answers of backend servers say about requests to come."""

from collections.abc import Sequence

from savorypond.gateway.headers import HeaderNames
from savorypond.gateway.leaving_servers import LeavingServer, LeavingServers
from savorypond.gateway.servers import RegisteredServer
from savorypond.http.messages import HttpResponse
from savorypond.model import Counters

_YES = "1"


class ServerNotices:
    """What servers have told this instance in their answers."""

    def __init__(self, *, names: HeaderNames, counters: Counters) -> None:
        self._names = names
        self._leaving = LeavingServers(counters=counters)

    @property
    def leaving(self) -> LeavingServers:
        """The servers that are leaving."""
        return self._leaving

    def observe(
        self, server: RegisteredServer, response: HttpResponse, now: float
    ) -> bool:
        """Record what ``response`` says; return whether ``server`` begins to leave.

        :param response: an answer that is known to be this server's.
        """
        if response.header(self._names.leaving) != _YES:
            return False
        leaving = LeavingServer(
            name=server.name, service=server.service, started=server.started
        )
        return self._leaving.record(leaving, source="answer", now=now)

    def accepts(self, server: RegisteredServer, now: float) -> bool:
        """Return whether ``server`` may be sent a request."""
        return not self._leaving.includes(server)

    def accepting(
        self, servers: Sequence[RegisteredServer], now: float
    ) -> Sequence[RegisteredServer]:
        """Return those of ``servers`` that may be sent a request."""
        return self._leaving.staying(servers)

    def retain(self, registered: Sequence[RegisteredServer], now: float) -> None:
        """Forget what no longer matters.

        :param registered: every registered server.
        """
        self._leaving.retain(registered, now)
