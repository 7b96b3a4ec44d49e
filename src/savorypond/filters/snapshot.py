"""Pins the snapshot that a query is answered from."""

from typing import Protocol

from savorypond.exceptions import RequestRefused
from savorypond.filters.chain import Exchange, Step
from savorypond.model import Answer, Service
from savorypond.queries.snapshots import PinChoice
from savorypond.reasons import RefusalReason


class PinSource(Protocol):
    """Chooses snapshots."""

    async def pin(self, services: tuple[Service, ...]) -> PinChoice | None:
        """Return the snapshot to answer a query to ``services`` from, or None."""


class SnapshotFilter:
    """Pins one snapshot before any backend server is asked."""

    def __init__(self, *, pins: PinSource) -> None:
        self._pins = pins

    async def __call__(self, exchange: Exchange, proceed: Step) -> Answer:
        """Return the answer of ``proceed``; raise RequestRefused."""
        choice = await self._pins.pin(exchange.services)
        if choice is None:
            raise RequestRefused(
                reason=RefusalReason.NO_SNAPSHOT,
                detail="no backend server is known to hold a snapshot of the index",
                retry_after=1.0,
            )
        exchange.pin = choice.pin
        return await proceed(exchange)
