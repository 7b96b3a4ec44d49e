"""Counters and latency histograms (HDR histograms, after Tene)."""

from collections.abc import Mapping

from hdrh.histogram import HdrHistogram

from savorypond.model import Counters

_MOST_MICROSECONDS = 60_000_000
_SIGNIFICANT_DIGITS = 2
_MICROSECONDS = 1_000_000  # per second


class LatencyHistogram:
    """Latencies in one HDR histogram, from 1 us to 60 s."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, _MOST_MICROSECONDS, _SIGNIFICANT_DIGITS)
        self._sum = 0.0

    @property
    def count(self) -> int:
        """How many latencies were recorded."""
        return int(self._histogram.get_total_count())

    @property
    def total(self) -> float:
        """The sum of all recorded seconds."""
        return self._sum

    def record(self, seconds: float) -> None:
        """Record one latency."""
        microseconds = max(1, min(int(seconds * _MICROSECONDS), _MOST_MICROSECONDS))
        self._histogram.record_value(microseconds)
        self._sum += seconds

    def percentile(self, percentile: float) -> float:
        """Return the seconds at ``percentile`` (0 to 100), 0.0 if none recorded."""
        if not self.count:
            return 0.0
        value = self._histogram.get_value_at_percentile(percentile)
        return float(value) / _MICROSECONDS


class Metrics:
    """What one instance counts and measures."""

    def __init__(self) -> None:
        self._counters = Counters()
        self._latencies: dict[str, LatencyHistogram] = {}
        self._gauges: dict[str, float] = {}

    @property
    def counters(self) -> Counters:
        """Counts by name and reason."""
        return self._counters

    def latency(self, name: str) -> LatencyHistogram:
        """Return the histogram ``name``, made on first use."""
        found = self._latencies.get(name)
        if found is None:
            found = self._latencies[name] = LatencyHistogram()
        return found

    def set_gauge(self, name: str, value: float) -> None:
        """Set the gauge ``name``."""
        self._gauges[name] = value

    @property
    def latencies(self) -> Mapping[str, LatencyHistogram]:
        """The histograms by name."""
        return self._latencies

    @property
    def gauges(self) -> Mapping[str, float]:
        """The gauges by name."""
        return self._gauges

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        # The library is loaded when the page is first asked for, which saves a
        # twentieth of a second at each start.
        from savorypond.exposition import expose

        return expose(self)
