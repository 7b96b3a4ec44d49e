"""What is published: the configuration and the registrations."""

from dataclasses import dataclass
from typing import Protocol

from savorypond.gateway.routes import RouteTable
from savorypond.gateway.servers import RegisteredServer


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerChange:
    """A registration that was written, or removed where ``server`` is None."""

    name: str
    server: RegisteredServer | None


@dataclass(frozen=True, slots=True, kw_only=True)
class PublishedState:
    """All that is published.

    :param position: changes after this position may be missing in the copy.
    :param table: the configuration, or None where there is none yet.
    """

    position: int
    table: RouteTable | None
    servers: tuple[RegisteredServer, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class PublishedChanges:
    """What changed, up to and with ``position``.

    :param age: seconds since the store was read, where an instance tells it.
    """

    position: int
    age: float = 0.0
    table: RouteTable | None
    servers: tuple[ServerChange, ...]


class PeerSource(Protocol):
    """The other instances, as far as they know what is published."""

    async def read_any(self, *, after: int | None) -> PublishedChanges:
        """Return what some other instance knows to have changed.

        :param after: position of the last change known, or None for everything.
        :raises HistoryLost: that instance no longer knows these changes.
        :raises PublishedError: it has no fresh answer.
        """

    async def read_changes(self, *, after: int | None) -> PublishedChanges | None:
        """Return what a reader of the store knows to have changed.

        :param after: position of the last change known, or None for everything.

        Return None where this instance is to read the store itself.
        :raises HistoryLost: the reader no longer knows these changes.
        :raises PublishedError: the reader has no fresh answer.
        """


class PublishedSource(Protocol):
    """Somebody who can be asked for what is published."""

    async def read_all(self) -> PublishedState:
        """Return all that is published; raise PublishedError."""

    async def changes(self, *, after: int, wait: float) -> PublishedChanges:
        """Return what changed after a position, waiting ``wait`` seconds for it.

        :raises HistoryLost: the source no longer knows these changes.
        :raises PublishedError: the source cannot be read.
        """

    async def close(self) -> None:
        """Release what is held between calls."""
