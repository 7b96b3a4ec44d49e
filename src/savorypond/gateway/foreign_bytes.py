"""Remembers the backend servers that sent bytes of no answer to their request.

Guards against servers that answer twice. An answer without a length lasts until its
connection ends, and what such a server sends behind it cannot always be told from it.
"""

from savorypond.gateway.servers import RegisteredServer

DOUBT_TIME = 10.0  # seconds after the last foreign bytes


class ForeignBytesHistory:
    """When each server last sent foreign bytes; recorded times do not go back."""

    def __init__(self) -> None:
        self._seen: dict[tuple[str, int], float] = {}

    @property
    def size(self) -> int:
        """Number of incarnations of servers that are remembered."""
        return len(self._seen)

    def record(self, server: RegisteredServer, now: float) -> None:
        """Record foreign bytes of ``server`` at ``now``, in monotonic seconds."""
        self._forget_old(now)
        self._seen.pop(_key(server), None)
        self._seen[_key(server)] = now

    def doubts(self, server: RegisteredServer, now: float) -> bool:
        """Return whether the end of an answer of ``server`` must be stated in it."""
        seen_at = self._seen.get(_key(server))
        return seen_at is not None and now - seen_at < DOUBT_TIME

    def _forget_old(self, now: float) -> None:
        for key, seen_at in list(self._seen.items()):
            if now - seen_at < DOUBT_TIME:
                return
            del self._seen[key]


def _key(server: RegisteredServer) -> tuple[str, int]:
    return server.name, server.started
