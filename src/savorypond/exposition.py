"""The metrics page, in the Prometheus exposition format."""

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    SummaryMetricFamily,
)
from prometheus_client.metrics_core import Metric

from savorypond.metrics import Metrics

_PREFIX = "savorypond_"
_QUANTILES = (50.0, 90.0, 99.0, 99.9)


def expose(metrics: Metrics) -> bytes:
    """Return ``metrics`` in the Prometheus text format."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Collector(metrics=metrics))
    return generate_latest(registry)


class _Collector:
    """Adapts :class:`Metrics` to the collectors of the Prometheus client."""

    def __init__(self, *, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Yield every metric family; called by the Prometheus client."""
        yield from self._counter_families()
        yield from self._latency_families()
        for name, value in sorted(self._metrics.gauges.items()):
            yield GaugeMetricFamily(_PREFIX + name, name.replace("_", " "), value)

    def _counter_families(self) -> Iterator[Metric]:
        families: dict[str, CounterMetricFamily] = {}
        for (name, reason), count in sorted(self._metrics.counters.counts.items()):
            family = families.get(name)
            if family is None:
                family = CounterMetricFamily(
                    _PREFIX + name, f"{name} by reason", labels=["reason"]
                )
                families[name] = family
            family.add_metric([reason], count)
        yield from families.values()

    def _latency_families(self) -> Iterator[Metric]:
        for name, latency in sorted(self._metrics.latencies.items()):
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
