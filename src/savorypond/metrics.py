"""Counters, gauges and latency histograms (HDR histograms, after Tene)."""

from collections.abc import Mapping

from hdrh.histogram import HdrHistogram

from savorypond.model import Counters

_MAX_MICROSECONDS = 60_000_000
_SIGNIFICANT_DIGITS = 2
_US_PER_SECOND = 1_000_000


class LatencyHistogram:
    """An HDR histogram of latencies from 1 us to 60 s."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, _MAX_MICROSECONDS, _SIGNIFICANT_DIGITS)
        self._sum = 0.0

    @property
    def count(self) -> int:
        """Number of recorded latencies."""
        return int(self._histogram.get_total_count())

    @property
    def total(self) -> float:
        """Sum of the recorded latencies in seconds."""
        return self._sum

    def record(self, seconds: float) -> None:
        """Record one latency in seconds."""
        microseconds = max(1, min(int(seconds * _US_PER_SECOND), _MAX_MICROSECONDS))
        self._histogram.record_value(microseconds)
        self._sum += seconds

    def percentile(self, percentile: float) -> float:
        """Return the seconds at ``percentile`` (0 to 100), or 0.0 if none recorded."""
        if not self.count:
            return 0.0
        value = self._histogram.get_value_at_percentile(percentile)
        return float(value) / _US_PER_SECOND


class Metrics:
    """The counters, latency histograms and gauges of one instance."""

    def __init__(self) -> None:
        self._counters = Counters()
        self._latencies: dict[str, LatencyHistogram] = {}
        self._gauges: dict[str, float] = {}

    @property
    def counters(self) -> Counters:
        """The counters by name and reason."""
        return self._counters

    def latency(self, name: str) -> LatencyHistogram:
        """Return the latency histogram ``name``, which is created on first use."""
        histogram = self._latencies.get(name)
        if histogram is None:
            histogram = self._latencies[name] = LatencyHistogram()
        return histogram

    def set_gauge(self, name: str, value: float) -> None:
        """Set the gauge ``name``."""
        self._gauges[name] = value

    @property
    def latencies(self) -> Mapping[str, LatencyHistogram]:
        """The latency histograms by name."""
        return self._latencies

    @property
    def gauges(self) -> Mapping[str, float]:
        """The gauges by name."""
        return self._gauges

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        # Importing the Prometheus client takes about 50 ms, so it is left to the
        # first request of the metrics page instead of the start of the process.
        from savorypond.exposition import expose

        return expose(self)
