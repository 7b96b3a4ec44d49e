"""The chain of filters that a query passes through."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Protocol

from savorypond.model import Answer, Pin, Query, Service


@dataclass(slots=True, kw_only=True)
class Exchange:
    """The state of one query while it passes through the chain.

    :param arrived: monotonic seconds at which the query was fully received.
    :param services: the services to query, set by the service filter.
    :param pin: the snapshot to answer from, set by the snapshot filter.
    """

    query: Query
    arrived: float
    services: tuple[Service, ...] = ()
    pin: Pin | None = None


Handler = Callable[[Exchange], Awaitable[Answer]]


class Filter(Protocol):
    """A filter of the chain."""

    async def __call__(self, exchange: Exchange, call_next: Handler) -> Answer:
        """Return an answer, usually that of ``call_next``, or raise RequestRefused."""


class Chain:
    """Runs filters in order; ``endpoint`` produces the answer."""

    def __init__(self, *, filters: Sequence[Filter], endpoint: Handler) -> None:
        handler = endpoint
        for filter_ in reversed(filters):
            handler = partial(_call_filter, filter_, handler)
        self._first = handler

    async def run(self, exchange: Exchange) -> Answer:
        """Return the answer to ``exchange`` or raise RequestRefused."""
        return await self._first(exchange)


async def _call_filter(
    filter_: Filter, call_next: Handler, exchange: Exchange
) -> Answer:
    return await filter_(exchange, call_next)
