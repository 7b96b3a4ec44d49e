"""Recent latencies of each service, and the hedge delay derived from them."""

from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

MICROSECONDS_PER_SECOND = 1_000_000
MIN_LATENCY_US = 10
MAX_LATENCY_US = 60 * MICROSECONDS_PER_SECOND
SIGNIFICANT_FIGURES = 1  # 3 KB per histogram; 2 figures take 15 KB, 3 take 90 KB


@dataclass(frozen=True, slots=True, kw_only=True)
class LatencyConfig:
    """How latencies are recorded and read.

    :param percentile: the percentile that is cached, from 0.0 to 100.0.
    :param window: seconds; a latency counts for one to two windows.
    :param refresh_records: records after which the percentile is read again.
    :param refresh_time: seconds after which the percentile is read again.
    """

    percentile: float = 98.0
    window: float = 10.0
    refresh_records: int = 128
    refresh_time: float = 1.0


DEFAULT_LATENCY = LatencyConfig()


def new_histogram(*, significant_figures: int = SIGNIFICANT_FIGURES) -> HdrHistogram:
    """Return an empty histogram of latencies in microseconds."""
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, significant_figures)


class ServiceLatency:
    """The latencies of one service in two rotating windows.

    Reading a percentile takes many times as long as recording a latency, so the
    percentile is cached between refreshes.
    """

    def __init__(self, *, config: LatencyConfig, now: float) -> None:
        self._config = config
        self._current = new_histogram()
        self._previous = new_histogram()
        self._window_started_at = now
        self._refreshed_at = now
        self._records_since_refresh = 0
        self._percentile = 0.0

    @property
    def count(self) -> int:
        """Number of latencies in both windows."""
        total = self._current.total_count + self._previous.total_count
        return int(total)

    @property
    def percentile(self) -> float:
        """Seconds at the configured percentile, as of the last refresh."""
        return self._percentile

    def record(self, *, seconds: float, now: float) -> None:
        """Record one latency."""
        if now - self._window_started_at >= self._config.window:
            self._rotate_windows(now)
        self._current.record_value(_microseconds(seconds))
        self._records_since_refresh += 1
        if self._needs_refresh(now):
            self._refresh(now)

    def read(self, percentile: float) -> float:
        """Return the seconds at ``percentile``, read from the histograms."""
        merged = new_histogram()
        merged.add(self._previous)
        merged.add(self._current)
        return (
            float(merged.get_value_at_percentile(percentile)) / MICROSECONDS_PER_SECOND
        )

    def _rotate_windows(self, now: float) -> None:
        idle = now - self._window_started_at >= 2 * self._config.window
        self._previous, self._current = self._current, self._previous
        self._current.reset()
        if idle:
            self._previous.reset()
        self._window_started_at = now

    def _needs_refresh(self, now: float) -> bool:
        if self._records_since_refresh >= self._config.refresh_records:
            return True
        return now - self._refreshed_at >= self._config.refresh_time

    def _refresh(self, now: float) -> None:
        self._percentile = self.read(self._config.percentile)
        self._refreshed_at = now
        self._records_since_refresh = 0


class LatencyTracker:
    """The latencies of all services, by name."""

    def __init__(self, *, config: LatencyConfig = DEFAULT_LATENCY) -> None:
        self._config = config
        self._services: dict[str, ServiceLatency] = {}

    def record(self, *, service: str, seconds: float, now: float) -> None:
        """Record the latency of one usable answer of ``service``."""
        latency = self._services.get(service)
        if latency is None:
            latency = ServiceLatency(config=self._config, now=now)
            self._services[service] = latency
        latency.record(seconds=seconds, now=now)

    def get(self, *, service: str) -> ServiceLatency | None:
        """Return the latencies of ``service``, or None if there are none."""
        return self._services.get(service)

    def forget(self, *, service: str) -> None:
        """Drop the latencies of a removed service."""
        self._services.pop(service, None)


class PercentileHedge:
    """Hedge after a high percentile (Dean and Barroso, The Tail at Scale, 2013).

    :param min_delay: lower bound of the delay in seconds.
    :param max_delay: upper bound of the delay in seconds.
    :param min_samples: number of latencies below which a service is not hedged.
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
        """Return the hedge delay in seconds, or None if there are too few samples."""
        latency = self._tracker.get(service=service)
        if latency is None or latency.count < self._min_samples:
            return None
        if latency.percentile <= 0.0:
            return None
        return min(max(latency.percentile, self._min_delay), self._max_delay)


def _microseconds(seconds: float) -> int:
    return min(
        max(round(seconds * MICROSECONDS_PER_SECOND), MIN_LATENCY_US), MAX_LATENCY_US
    )
