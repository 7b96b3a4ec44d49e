from unittest import TestCase

from hypothesis import given, strategies as st
from prometheus_client.parser import text_string_to_metric_families

from savorypond.metrics import LatencyHistogram, Metrics


class LatencyHistogramTests(TestCase):
    @given(st.lists(st.floats(min_value=1e-5, max_value=50.0), min_size=1))
    def test_the_top_percentile_is_close_to_the_largest_value(self, values):
        latency = LatencyHistogram()
        for value in values:
            latency.record(value)
        largest = latency.percentile(100.0)
        self.assertAlmostEqual(largest / max(values), 1.0, delta=0.1)
        self.assertEqual(latency.count, len(values))

    def test_an_empty_histogram_returns_zero(self):
        self.assertEqual(LatencyHistogram().percentile(99.0), 0.0)


class ExpositionTests(TestCase):
    def test_counters_and_latencies_can_be_scraped(self):
        metrics = Metrics()
        metrics.counters.add("retries", "shed", 2)
        metrics.latency("query").record(0.02)
        text = metrics.exposition().decode()
        samples = {
            (s.name, s.labels.get("reason")): s.value
            for family in text_string_to_metric_families(text)
            for s in family.samples
        }
        self.assertEqual(samples["savorypond_retries_total", "shed"], 2.0)
        self.assertEqual(samples["savorypond_query_seconds_count", None], 1.0)
