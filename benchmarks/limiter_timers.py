"""Advances limiters when their next event is due."""

from collections.abc import Callable, Mapping
from functools import partial

from benchmarks.event_loop import EventLoop
from savorypond.balancing.limiter import QueueChange, ServerLimiter


class LimiterTimers:
    """Keeps one timer for each limiter.

    :param apply: handles a queue change of the limiter of a backend server.
    """

    def __init__(
        self,
        *,
        loop: EventLoop,
        limiters: Mapping[str, ServerLimiter],
        apply: Callable[[str, QueueChange], None],
    ) -> None:
        self._loop = loop
        self._limiters = limiters
        self._apply = apply
        self._due: dict[str, float] = {}

    def schedule(self, server: str) -> None:
        """Schedule the limiter's next event."""
        due = self._limiters[server].next_event()
        if due is None or self._due.get(server, float("inf")) <= due:
            return
        self._due[server] = due
        self._loop.at(due, partial(self._advance, server))

    def _advance(self, server: str) -> None:
        self._due.pop(server, None)
        self._apply(server, self._limiters[server].advance(now=self._loop.now))
