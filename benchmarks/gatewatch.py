"""Asks gates again when their next event is due."""

from collections.abc import Callable, Mapping
from functools import partial

from benchmarks.virtual import EventLoop
from savorypond.balancing.limiter import QueueChange, ServerLimiter


class GateWatch:
    """Sets one timer for each gate.

    :param apply: takes what changed at the gate of a backend server.
    """

    def __init__(
        self,
        *,
        loop: EventLoop,
        gates: Mapping[str, ServerLimiter],
        apply: Callable[[str, QueueChange], None],
    ) -> None:
        self._loop = loop
        self._gates = gates
        self._apply = apply
        self._due: dict[str, float] = {}

    def watch(self, server: str) -> None:
        """See to it that the gate is asked again when its next event is due."""
        due = self._gates[server].next_event()
        if due is None or self._due.get(server, float("inf")) <= due:
            return
        self._due[server] = due
        self._loop.at(due, partial(self._advance, server))

    def _advance(self, server: str) -> None:
        self._due.pop(server, None)
        self._apply(server, self._gates[server].advance(now=self._loop.now))
