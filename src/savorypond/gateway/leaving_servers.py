"""Remembers which backend servers have said in an answer that they are leaving.

Answers the load of planned restarts while the store lists a server for longer than it
serves: because the store cannot be read, returns from an older copy, or has not been
told. What one answer said binds this instance at once and until the server starts
again. A registration, however fresh, does not take it back.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from savorypond.gateway.servers import RegisteredServer
from savorypond.logs import log_event
from savorypond.model import Counters

MAX_SERVERS = 4096  # those that were registered longest ago are forgotten first
# An older copy of the store may list a server again long after it has left.
UNREGISTERED_RETENTION = 600.0  # seconds
MAX_TOLD = 32  # servers named in a message between instances


@dataclass(frozen=True, slots=True, kw_only=True)
class LeavingServer:
    """The incarnation of a server that is leaving.

    :param started: its start in Unix milliseconds; later ones are not leaving.
    """

    name: str
    service: str
    started: int


@dataclass(slots=True, kw_only=True)
class _Entry:
    """A server that is leaving.

    :param registered_at: monotonic seconds at which it was last registered.
    """

    server: LeavingServer
    registered_at: float


class LeavingServers:
    """The servers that are leaving, as this instance and its peers were told."""

    def __init__(self, *, counters: Counters) -> None:
        self._counters = counters
        self._entries: dict[str, _Entry] = {}

    @property
    def count(self) -> int:
        """Number of servers known to be leaving."""
        return len(self._entries)

    def record(self, server: LeavingServer, *, source: str, now: float) -> bool:
        """Record that ``server`` is leaving; return whether this is news.

        :param source: where it was said, for the log.
        """
        entry = self._entries.get(server.name)
        if entry is not None and server.started <= entry.server.started:
            return False
        if entry is None and len(self._entries) >= MAX_SERVERS:
            self._forget_oldest()
        self._entries[server.name] = _Entry(server=server, registered_at=now)
        self._counters.add("gateway_leaving_servers", source)
        log_event(
            "server-leaving", server=server.name, service=server.service, source=source
        )
        return True

    def learn(self, servers: Iterable[LeavingServer], now: float) -> None:
        """Record the ``servers`` that an instance has named."""
        for server in servers:
            self.record(server, source="instance", now=now)

    def includes(self, server: RegisteredServer) -> bool:
        """Return whether ``server`` is leaving.

        A registration from before the incarnation that is leaving is a stale one.
        """
        entry = self._entries.get(server.name)
        return entry is not None and server.started <= entry.server.started

    def staying(
        self, servers: Sequence[RegisteredServer]
    ) -> Sequence[RegisteredServer]:
        """Return those of ``servers`` that are not leaving."""
        if not self._entries:
            return servers
        return [server for server in servers if not self.includes(server)]

    def of_services(self, services: Iterable[str]) -> tuple[LeavingServer, ...]:
        """Return the servers of ``services`` that are leaving, for another instance.

        If there are too many, those that were registered last are returned.
        """
        if not self._entries:
            return ()
        wanted = set(services)
        entries = [e for e in self._entries.values() if e.server.service in wanted]
        if len(entries) > MAX_TOLD:
            entries.sort(key=lambda entry: -entry.registered_at)
        return tuple(entry.server for entry in entries[:MAX_TOLD])

    def retain(self, registered: Iterable[RegisteredServer], now: float) -> None:
        """Forget servers that have started again or are gone for long."""
        if not self._entries:
            return
        for server in registered:
            entry = self._entries.get(server.name)
            if entry is None:
                continue
            if server.started > entry.server.started:
                del self._entries[server.name]
                self._counters.add("gateway_leaving_servers", "started-again")
                log_event(
                    "server-started-again", server=server.name, service=server.service
                )
            else:
                entry.registered_at = now
        for name, entry in list(self._entries.items()):
            if now - entry.registered_at >= UNREGISTERED_RETENTION:
                del self._entries[name]

    def _forget_oldest(self) -> None:
        name = min(self._entries, key=lambda n: self._entries[n].registered_at)
        del self._entries[name]
        self._counters.add("gateway_leaving_servers", "forgotten")
