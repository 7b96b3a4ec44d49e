"""The chain of filters that a query walks, and what they pass along."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Protocol

from savorypond.model import Answer, Pin, Query, Service


@dataclass(slots=True, kw_only=True)
class Exchange:
    """One query on its way through the chain.

    :param arrived: monotonic seconds at which the query was whole.
    :param services: the services it asks, set by the service filter.
    :param pin: the snapshot it is answered from, set by the snapshot filter.
    """

    query: Query
    arrived: float
    services: tuple[Service, ...] = ()
    pin: Pin | None = None


Step = Callable[[Exchange], Awaitable[Answer]]


class Filter(Protocol):
    """One step of the chain."""

    async def __call__(self, exchange: Exchange, proceed: Step) -> Answer:
        """Return the answer, usually that of ``proceed``; may raise RequestRefused."""


class Chain:
    """Runs filters in order; the last step gives the answer."""

    def __init__(self, *, filters: Sequence[Filter], endpoint: Step) -> None:
        step = endpoint
        for one in reversed(filters):
            step = partial(_call_filter, one, step)
        self._first = step

    async def run(self, exchange: Exchange) -> Answer:
        """Return the answer to ``exchange``; raise RequestRefused."""
        return await self._first(exchange)


async def _call_filter(one: Filter, proceed: Step, exchange: Exchange) -> Answer:
    return await one(exchange, proceed)
