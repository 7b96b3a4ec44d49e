"""Keeps the latest changes for instances that need only what they lack."""

from collections import deque
from collections.abc import Mapping
from dataclasses import replace

from savorypond.exceptions import HistoryLost
from savorypond.gateway.published_state import (
    Position,
    PublishedChanges,
    ServerChange,
)
from savorypond.gateway.servers import RegisteredServer

MAX_ENTRIES = 64  # reads; an instance that lacks more reads the complete state


class ChangeLog:
    """Changes by position, without those that only renew a registration."""

    def __init__(self) -> None:
        self._start: Position | None = None
        self._entries: deque[PublishedChanges] = deque()

    def restart(self, position: Position) -> None:
        """Discard all changes after the complete state was read at ``position``."""
        self._start = position
        self._entries.clear()

    def add(
        self, changes: PublishedChanges, before: Mapping[str, RegisteredServer]
    ) -> None:
        """Add ``changes``.

        :param before: the registrations before the changes, by name.
        """
        servers = tuple(
            change
            for change in changes.servers
            if not _is_heartbeat(before.get(change.name), change.server)
        )
        if servers or changes.table is not None:
            self._entries.append(replace(changes, servers=servers))
        while len(self._entries) > MAX_ENTRIES:
            self._start = self._entries.popleft().position

    def since(self, after: Position, position: Position) -> PublishedChanges:
        """Return the changes after ``after`` up to ``position``.

        :raises HistoryLost: some of the changes are no longer kept.
        """
        if self._start is None or after < self._start:
            raise HistoryLost(source="this instance", position=after)
        table = None
        servers: dict[str, ServerChange] = {}
        for entry in self._entries:
            if entry.position > after:
                table = entry.table or table
                servers.update((change.name, change) for change in entry.servers)
        return PublishedChanges(
            position=position, table=table, servers=tuple(servers.values())
        )


def _is_heartbeat(
    before: RegisteredServer | None, after: RegisteredServer | None
) -> bool:
    if before is None or after is None:
        return False
    return replace(before, cold_for=0.0) == replace(after, cold_for=0.0)
