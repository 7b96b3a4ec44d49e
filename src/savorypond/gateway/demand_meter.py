"""Measures how many requests callers want to send to a service."""

from collections.abc import Iterable

_SMOOTHING = 0.5  # weight of the newest interval
_MIN_INTERVAL = 0.2  # seconds that are long enough to measure


class _Meter:
    """The demand of one service by priority, in requests a second."""

    __slots__ = ("counts", "rates", "since")

    def __init__(self, *, since: float) -> None:
        self.since = since
        self.counts: dict[int, float] = {}
        self.rates: dict[int, float] | None = None


class DemandMeter:
    """The demand for the services that are measured."""

    def __init__(self) -> None:
        self._meters: dict[str, _Meter] = {}

    def measure(self, services: Iterable[str], now: float) -> None:
        """Measure the demand for ``services`` and no others from now on."""
        self._meters = {
            service: self._meters.get(service) or _Meter(since=now)
            for service in services
        }

    def record(
        self, services: Iterable[str], *, priority: int, weight: float = 1.0
    ) -> None:
        """Count a request for each of ``services``.

        :param weight: number of requests that it stands for; more than 1 if others
            like it were refused elsewhere.
        """
        if not self._meters:
            return
        for service in services:
            meter = self._meters.get(service)
            if meter is not None:
                meter.counts[priority] = meter.counts.get(priority, 0.0) + weight

    def rates(self, service: str, now: float) -> dict[int, float] | None:
        """Return the requests a second for ``service``, by priority.

        Return None while they have not been measured.
        """
        meter = self._meters.get(service)
        if meter is None:
            return None
        elapsed = now - meter.since
        if elapsed >= _MIN_INTERVAL:
            previous = meter.rates
            weight = _SMOOTHING if previous is not None else 1.0
            previous = previous or {}
            meter.rates = {
                priority: weight * meter.counts.get(priority, 0.0) / elapsed
                + (1.0 - weight) * previous.get(priority, 0.0)
                for priority in previous.keys() | meter.counts.keys()
            }
            meter.counts = {}
            meter.since = now
        return meter.rates
