"""Chooses the snapshot that a query is answered from."""

from typing import Protocol

from savorypond.exceptions import RequestRefused
from savorypond.filters.chain import Exchange, Handler
from savorypond.model import Answer, Service
from savorypond.queries.snapshots import PinChoice
from savorypond.reasons import RefusalReason


class PinSource(Protocol):
    """Chooses the snapshots of queries."""

    async def pin(self, services: tuple[Service, ...]) -> PinChoice | None:
        """Return the snapshot for a query to ``services``, or None if none is known."""


class SnapshotFilter:
    """Pins one snapshot before any request to a backend server."""

    def __init__(self, *, pins: PinSource) -> None:
        self._pins = pins

    async def __call__(self, exchange: Exchange, call_next: Handler) -> Answer:
        """Return the answer of ``call_next`` or raise RequestRefused."""
        choice = await self._pins.pin(exchange.services)
        if choice is None:
            raise RequestRefused(
                reason=RefusalReason.NO_SNAPSHOT,
                detail="no backend server is known to hold a snapshot of the index",
                retry_after=1.0,
            )
        exchange.pin = choice.pin
        return await call_next(exchange)
