"""Recent latencies of each service, and the hedge delay taken from them."""

from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

MICROSECONDS = 1_000_000
MIN_LATENCY_US = 10  # microseconds
MAX_LATENCY_US = 60 * MICROSECONDS  # microseconds
SIGNIFICANT_FIGURES = 1  # 3 KB a histogram; 2 figures take 15 KB and 3 take 90 KB


@dataclass(frozen=True, slots=True, kw_only=True)
class LatencyConfig:
    """How latencies are kept and read.

    :param percentile: the percentile that is kept ready, from 0.0 to 100.0.
    :param window: seconds; a latency counts for one to two windows.
    :param refresh_records: records after which the percentile is read anew.
    :param refresh_time: seconds after which the percentile is read anew.
    """

    percentile: float = 98.0
    window: float = 10.0
    refresh_records: int = 128
    refresh_time: float = 1.0


DEFAULT_LATENCY = LatencyConfig()


def new_histogram(*, significant_figures: int = SIGNIFICANT_FIGURES) -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, significant_figures)


class ServiceLatency:
    """The latencies of one service in two alternating windows.

    Reading a percentile takes many times as long as a record, so it is cached
    between refreshes.
    """

    def __init__(self, *, config: LatencyConfig, now: float) -> None:
        self._config = config
        self._current = new_histogram()
        self._previous = new_histogram()
        self._window_started = now
        self._refreshed = now
        self._fresh_records = 0
        self._percentile = 0.0

    @property
    def count(self) -> int:
        """Latencies that count."""
        total = self._current.total_count + self._previous.total_count
        return int(total)

    @property
    def percentile(self) -> float:
        """Seconds at the configured percentile, as of the last refresh."""
        return self._percentile

    def record(self, *, seconds: float, now: float) -> None:
        """Count one latency."""
        if now - self._window_started >= self._config.window:
            self._turn_windows(now)
        self._current.record_value(_microseconds(seconds))
        self._fresh_records += 1
        if self._is_stale(now):
            self._refresh(now)

    def read(self, percentile: float) -> float:
        """Return the seconds at ``percentile``, read from the histograms."""
        merged = new_histogram()
        merged.add(self._previous)
        merged.add(self._current)
        return float(merged.get_value_at_percentile(percentile)) / MICROSECONDS

    def _turn_windows(self, now: float) -> None:
        idle = now - self._window_started >= 2 * self._config.window
        self._previous, self._current = self._current, self._previous
        self._current.reset()
        if idle:
            self._previous.reset()
        self._window_started = now

    def _is_stale(self, now: float) -> bool:
        if self._fresh_records >= self._config.refresh_records:
            return True
        return now - self._refreshed >= self._config.refresh_time

    def _refresh(self, now: float) -> None:
        self._percentile = self.read(self._config.percentile)
        self._refreshed = now
        self._fresh_records = 0


class LatencyTracker:
    """The latencies of all services by name."""

    def __init__(self, *, config: LatencyConfig = DEFAULT_LATENCY) -> None:
        self._config = config
        self._services: dict[str, ServiceLatency] = {}

    def record(self, *, service: str, seconds: float, now: float) -> None:
        """Count the latency of one usable answer of ``service``."""
        latency = self._services.get(service)
        if latency is None:
            latency = ServiceLatency(config=self._config, now=now)
            self._services[service] = latency
        latency.record(seconds=seconds, now=now)

    def get(self, *, service: str) -> ServiceLatency | None:
        """Return what is known about ``service``, or None."""
        return self._services.get(service)

    def forget(self, *, service: str) -> None:
        """Drop what is kept about a service that is gone."""
        self._services.pop(service, None)


class PercentileHedge:
    """Hedge after a high percentile (Dean and Barroso, The Tail at Scale, 2013).

    :param min_delay: seconds that every hedge waits at least.
    :param max_delay: seconds that a hedge waits at most.
    :param min_samples: latencies below which a service is not hedged.
    """

    def __init__(
        self,
        *,
        tracker: LatencyTracker,
        min_delay: float = 0.001,
        max_delay: float = 1.0,
        min_samples: int = 50,
    ) -> None:
        self._tracker = tracker
        self._min_delay = min_delay
        self._max_delay = max_delay
        self._min_samples = min_samples

    def delay(self, *, service: str) -> float | None:
        """Return seconds after dispatch, or None before enough samples."""
        latency = self._tracker.get(service=service)
        if latency is None or latency.count < self._min_samples:
            return None
        if latency.percentile <= 0.0:
            return None
        return min(max(latency.percentile, self._min_delay), self._max_delay)


def _microseconds(seconds: float) -> int:
    return min(max(round(seconds * MICROSECONDS), MIN_LATENCY_US), MAX_LATENCY_US)
