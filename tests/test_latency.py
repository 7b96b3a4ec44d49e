from random import Random
from unittest import TestCase

from savorypond.balancing.latency import (
    SIGNIFICANT_FIGURES,
    LatencyConfig,
    LatencyTracker,
    PercentileHedge,
)

PRECISION = 10.0**-SIGNIFICANT_FIGURES


class LatencyTests(TestCase):
    def setUp(self):
        self.tracker = LatencyTracker(
            config=LatencyConfig(window=10.0, percentile=95.0)
        )

    def record(self, count, seconds, *, now):
        for _ in range(count):
            self.tracker.record(service="s", seconds=seconds, now=now)

    def test_percentile_is_within_the_histogram_precision(self):
        rng = Random(1)
        values = [rng.lognormvariate(-4.0, 0.8) for _ in range(4096)]
        for value in values:
            self.tracker.record(service="s", seconds=value, now=0.0)
        exact = sorted(values)[int(0.95 * len(values))]
        found = self.tracker.get(service="s").percentile
        self.assertAlmostEqual(found / exact, 1.0, delta=PRECISION)

    def test_old_latencies_expire_after_two_windows(self):
        self.record(500, 0.5, now=0.0)
        for now in (10.0, 20.0):
            self.record(128, 0.01, now=now)
        self.assertEqual(self.tracker.get(service="s").count, 256)
        self.assertLess(self.tracker.get(service="s").percentile, 0.02)

    def test_a_long_gap_drops_everything_before_it(self):
        self.record(500, 0.5, now=0.0)
        self.record(1, 0.01, now=100.0)
        self.assertEqual(self.tracker.get(service="s").count, 1)

    def test_out_of_range_values_are_clipped(self):
        for seconds in (-1.0, 0.0, 1e9):
            self.record(1, seconds, now=0.0)
        self.assertEqual(self.tracker.get(service="s").count, 3)


class HedgeTests(TestCase):
    def test_delay_requires_samples_and_is_bounded(self):
        table = [
            ("no samples", 0, 0.02, None),
            ("too few samples", 49, 0.02, None),
            ("below the minimum", 200, 0.0002, 0.001),
            ("above the maximum", 200, 3.0, 1.0),
            ("between", 200, 0.02, 0.02),
        ]
        for name, count, seconds, expected in table:
            with self.subTest(name):
                tracker = LatencyTracker()
                hedge = PercentileHedge(tracker=tracker)
                for _ in range(count):
                    tracker.record(service="s", seconds=seconds, now=0.0)
                delay = hedge.delay(service="s")
                if expected is None:
                    self.assertIsNone(delay)
                else:
                    self.assertAlmostEqual(delay, expected, delta=PRECISION * expected)
