"""Limits the hedges and retries of each service.

Prevents retry storms: a second attempt for every slow answer doubles the load of
servers that are slow because they are full.
"""

from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceRetryBudgetConfig:
    """The limit of the fleet and this instance's share of it.

    :param ratio: extra attempts allowed for each request.
    :param slack: further extra attempts of this instance in each window.
    :param window: seconds.
    :param safety_factor: share of the ratio that is used, because an outside check of
        the limit may count the requests of a window slightly differently.
    """

    ratio: float
    slack: float
    window: float
    safety_factor: float = 0.85


class _Window:
    """Times of the requests and extra attempts of one service within the window."""

    __slots__ = ("extra_attempts", "requests")

    def __init__(self) -> None:
        self.requests: deque[float] = deque()
        self.extra_attempts: deque[float] = deque()


class ServiceRetryBudget:
    """A budget of extra attempts for each service, over a sliding window."""

    def __init__(self, *, config: ServiceRetryBudgetConfig) -> None:
        self._config = config
        self._services: dict[str, _Window] = {}

    def configure(self, config: ServiceRetryBudgetConfig) -> None:
        """Apply other limits from now on."""
        self._config = config

    def record_request(self, *, service: str, now: float) -> None:
        """Count one request for ``service``."""
        self._window(service, now).requests.append(now)

    def try_spend(self, *, service: str, now: float) -> bool:
        """Spend one extra attempt at ``service`` if the limit allows it."""
        window = self._window(service, now)
        config = self._config
        allowed = (
            config.safety_factor * (config.ratio * len(window.requests)) + config.slack
        )
        if len(window.extra_attempts) + 1 > allowed:
            return False
        window.extra_attempts.append(now)
        return True

    def refund(self, *, service: str) -> None:
        """Refund an extra attempt that was never sent."""
        window = self._services.get(service)
        if window is not None and window.extra_attempts:
            window.extra_attempts.pop()

    def _window(self, service: str, now: float) -> _Window:
        window = self._services.get(service)
        if window is None:
            window = self._services[service] = _Window()
        window_start = now - self._config.window
        for timestamps in (window.requests, window.extra_attempts):
            while timestamps and timestamps[0] <= window_start:
                timestamps.popleft()
        return window
