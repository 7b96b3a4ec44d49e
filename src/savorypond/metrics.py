"""Counters and latency histograms, and their exposition for scraping.

Histograms are HDR histograms (Tene, HdrHistogram); the page is in the
Prometheus exposition format.
"""

from collections.abc import Iterator

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    SummaryMetricFamily,
)
from prometheus_client.metrics_core import Metric

from savorypond.model import Counters

_PREFIX = "savorypond_"
_MOST_MICROSECONDS = 60_000_000
_SIGNIFICANT_DIGITS = 2
_MICROSECONDS = 1_000_000  # per second
_QUANTILES = (50.0, 90.0, 99.0, 99.9)


class Latency:
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
        self._latencies: dict[str, Latency] = {}
        self._gauges: dict[str, float] = {}
        self._registry = CollectorRegistry(auto_describe=False)
        self._registry.register(self)

    @property
    def counters(self) -> Counters:
        """Counts by name and reason."""
        return self._counters

    def latency(self, name: str) -> Latency:
        """Return the histogram ``name``, made on first use."""
        found = self._latencies.get(name)
        if found is None:
            found = self._latencies[name] = Latency()
        return found

    def set_gauge(self, name: str, value: float) -> None:
        """Set the gauge ``name``."""
        self._gauges[name] = value

    def collect(self) -> Iterator[Metric]:
        """Yield every metric family; called by the exposition library."""
        yield from self._counter_families()
        yield from self._latency_families()
        for name, value in sorted(self._gauges.items()):
            yield GaugeMetricFamily(_PREFIX + name, name.replace("_", " "), value)

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def _counter_families(self) -> Iterator[Metric]:
        families: dict[str, CounterMetricFamily] = {}
        for (name, reason), count in sorted(self._counters.counts.items()):
            family = families.get(name)
            if family is None:
                family = CounterMetricFamily(
                    _PREFIX + name, f"{name} by reason", labels=["reason"]
                )
                families[name] = family
            family.add_metric([reason], count)
        yield from families.values()

    def _latency_families(self) -> Iterator[Metric]:
        for name, latency in sorted(self._latencies.items()):
            family = SummaryMetricFamily(
                f"{_PREFIX}{name}_seconds",
                f"{name} in seconds",
                count_value=latency.count,
                sum_value=latency.total,
            )
            yield family
            quantiles = GaugeMetricFamily(
                f"{_PREFIX}{name}_quantile_seconds",
                f"{name} at a percentile, in seconds",
                labels=["percentile"],
            )
            for percentile in _QUANTILES:
                value = latency.percentile(percentile)
                quantiles.add_metric([str(percentile)], value)
            yield quantiles
