"""The published state: the routing configuration and the server registrations."""

from dataclasses import dataclass
from typing import Protocol

from savorypond.gateway.routes import RouteTable
from savorypond.gateway.servers import RegisteredServer


@dataclass(frozen=True, slots=True, kw_only=True, order=True)
class Position:
    """A point in the history of the store.

    Positions are ordered: every position of a later era is after all of an earlier one.

    :param era: rises each time that the store returns from an older copy, after which
        it gives out revisions again.
    :param revision: number of the latest change.
    """

    era: int
    revision: int

    def __str__(self) -> str:
        return f"{self.era}.{self.revision}"


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerChange:
    """A registration that was written, or removed if ``server`` is None."""

    name: str
    server: RegisteredServer | None


@dataclass(frozen=True, slots=True, kw_only=True)
class PublishedState:
    """The complete published state.

    :param position: changes after this position may not be included.
    :param table: the configuration, or None if there is none yet.
    """

    position: Position
    table: RouteTable | None
    servers: tuple[RegisteredServer, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class PublishedChanges:
    """Changes of the published state up to and including ``position``.

    :param age: seconds since the store was read, if reported by another instance.
    """

    position: Position
    age: float = 0.0
    table: RouteTable | None
    servers: tuple[ServerChange, ...]


class PeerSource(Protocol):
    """Access to the published state known to other instances."""

    async def read_any(self, *, after: Position | None) -> PublishedChanges:
        """Return the changes known to some other instance.

        :param after: position of the last known change, or None for everything.
        :raises HistoryLost: that instance no longer has these changes.
        :raises PublishedStateError: it has no recent state.
        """

    async def read_from(self, name: str, *, after: Position | None) -> PublishedChanges:
        """Return the changes known to the instance ``name``.

        :param after: position of the last known change, or None for everything.
        :raises HistoryLost: that instance no longer has these changes.
        :raises PublishedStateError: it has no recent state, or is not known.
        """

    async def read_changes(self, *, after: Position | None) -> PublishedChanges | None:
        """Return the changes known to a reader of the store.

        Return None if this instance must read the store itself.

        :param after: position of the last known change, or None for everything.
        :raises HistoryLost: the reader no longer has these changes.
        :raises PublishedStateError: the reader has no recent state.
        """


class PublishedSource(Protocol):
    """A source of the published state."""

    async def read_all(self) -> PublishedState:
        """Return the complete published state; raise PublishedStateError."""

    async def changes(self, *, after: Position, wait: float) -> PublishedChanges:
        """Return the changes after a position, waiting up to ``wait`` seconds.

        :raises HistoryLost: the source no longer has these changes, or the position is
            of another era.
        :raises PublishedStateError: the source cannot be read.
        """

    async def close(self) -> None:
        """Release the resources held between calls."""
