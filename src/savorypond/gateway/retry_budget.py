"""How many extra sends each service may get.

Answers an overload that feeds itself: a second send for every slow answer doubles
the load of servers that are slow because they are full.
"""

from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class ExtraBudgetConfig:
    """The fleet's bound and this instance's part of it.

    :param ratio: extra sends for each request.
    :param slack: further extra sends of this instance in each window.
    :param window: seconds.
    :param margin: share of the ratio that is used, since the requests of a
        window are counted a little differently by whoever checks the bound.
    """

    ratio: float
    slack: float
    window: float
    margin: float = 0.85


class _Counts:
    """Requests and extra sends of one service within the window."""

    __slots__ = ("extras", "requests")

    def __init__(self) -> None:
        self.requests: deque[float] = deque()
        self.extras: deque[float] = deque()


class ExtraBudget:
    """Counts requests and extra sends of each service in a sliding window."""

    def __init__(self, *, config: ExtraBudgetConfig) -> None:
        self._config = config
        self._services: dict[str, _Counts] = {}

    def configure(self, config: ExtraBudgetConfig) -> None:
        """Use other bounds from now on."""
        self._config = config

    def note_request(self, *, service: str, now: float) -> None:
        """Count one request for ``service``."""
        self._counts(service, now).requests.append(now)

    def try_spend(self, *, service: str, now: float) -> bool:
        """Count one extra send to ``service`` if it is within the bound."""
        counts = self._counts(service, now)
        config = self._config
        allowed = config.margin * (config.ratio * len(counts.requests)) + config.slack
        if len(counts.extras) + 1 > allowed:
            return False
        counts.extras.append(now)
        return True

    def refund(self, *, service: str) -> None:
        """Take back an extra send that never left this process."""
        counts = self._services.get(service)
        if counts is not None and counts.extras:
            counts.extras.pop()

    def _counts(self, service: str, now: float) -> _Counts:
        counts = self._services.get(service)
        if counts is None:
            counts = self._services[service] = _Counts()
        horizon = now - self._config.window
        for times in (counts.requests, counts.extras):
            while times and times[0] <= horizon:
                times.popleft()
        return counts
