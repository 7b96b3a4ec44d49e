"""Tells which backend servers are leaving and must get no new work."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum

CLOSES_NEEDED = 2  # answers that ask to close their connection
CLOSE_WINDOW = 2.0  # seconds
SETTLE_TIME = 1.0  # seconds


class DrainSignal(StrEnum):
    """Where a sign comes from that a backend server is leaving."""

    INSTANCE_LIST = "instance-list"
    HEALTH = "health"
    DRAIN_REFUSAL = "drain-refusal"
    CONNECTION_CLOSE = "connection-close"


@dataclass(slots=True, kw_only=True)
class _Standing:
    signs: set[DrainSignal] = field(default_factory=set)
    last_sign_at: float = float("-inf")
    closes: list[float] = field(default_factory=list)


class DrainDetector:
    """Combines several signs, of which each may lag or be stale.

    Any one sign stops new work at once: to spare a server that stays costs a
    little, to call one that goes costs the request. A sign is taken back only by
    fresh evidence: the one of the instance list by the list itself; the others,
    which the server gave, by its health answering "serving" in a request that was
    sent a while after the last of them. So a list that still says "live" never
    outweighs the server, and an old health answer never outweighs a refusal.

    A server may ask to close one connection for reasons of its own, such as its
    age; two within a short while count as a sign.

    :param settle_time: seconds between the last sign and the sending of a health
        request that may take it back.
    """

    def __init__(
        self,
        *,
        settle_time: float = SETTLE_TIME,
        closes_needed: int = CLOSES_NEEDED,
        close_window: float = CLOSE_WINDOW,
    ) -> None:
        self._settle_time = settle_time
        self._closes_needed = closes_needed
        self._close_window = close_window
        self._servers: dict[str, _Standing] = {}

    def is_leaving(self, server: str) -> bool:
        """Tell whether the backend server called ``server`` must get no new work."""
        return bool(self.signs(server))

    def signs(self, server: str) -> frozenset[DrainSignal]:
        """Return the signs that stand against ``server``."""
        standing = self._servers.get(server)
        return frozenset(standing.signs) if standing is not None else frozenset()

    def leaving(self) -> tuple[str, ...]:
        """Return the names of the leaving backend servers, sorted."""
        return tuple(sorted(n for n, s in self._servers.items() if s.signs))

    def record_listing(self, *, server: str, leaving: bool) -> None:
        """Take in one entry of the instance list."""
        standing = self._standing(server)
        if leaving:
            standing.signs.add(DrainSignal.INSTANCE_LIST)
        else:
            standing.signs.discard(DrainSignal.INSTANCE_LIST)

    def record_health(
        self, *, server: str, leaving: bool, asked_at: float, now: float
    ) -> None:
        """Take in what the server's own health says.

        :param asked_at: monotonic seconds at which the request was sent.
        """
        standing = self._standing(server)
        if leaving:
            self._add(standing, DrainSignal.HEALTH, now)
        elif asked_at >= standing.last_sign_at + self._settle_time:
            standing.signs &= {DrainSignal.INSTANCE_LIST}

    def record_drain_refusal(self, *, server: str, now: float) -> None:
        """Take in a 503 that the server marked as drain."""
        self._add(self._standing(server), DrainSignal.DRAIN_REFUSAL, now)

    def record_connection_close(self, *, server: str, now: float) -> None:
        """Take in an answer of the server that asked to close its connection."""
        standing = self._standing(server)
        recent = [at for at in standing.closes if now - at <= self._close_window]
        standing.closes = [*recent, now][-self._closes_needed :]
        if len(standing.closes) >= self._closes_needed:
            self._add(standing, DrainSignal.CONNECTION_CLOSE, now)

    def retain(self, servers: Sequence[str]) -> None:
        """Forget every backend server that is not among ``servers``."""
        known = set(servers)
        for name in [n for n in self._servers if n not in known]:
            del self._servers[name]

    def _standing(self, server: str) -> _Standing:
        return self._servers.setdefault(server, _Standing())

    def _add(self, standing: _Standing, sign: DrainSignal, now: float) -> None:
        standing.signs.add(sign)
        standing.last_sign_at = max(standing.last_sign_at, now)
