"""Tests of the measurement of demand."""

from unittest import TestCase

from savorypond.gateway.demand_meter import DemandMeter


class DemandMeterTests(TestCase):
    def setUp(self):
        self.meter = DemandMeter()
        self.meter.measure(["s"], 0.0)

    def test_measures_requests_a_second_by_priority(self):
        for _ in range(5):
            self.meter.record(["s", "other"], priority=1)
        self.meter.record(["s"], priority=2)
        self.assertEqual(self.meter.rates("s", 0.5), {1: 10.0, 2: 2.0})

    def test_an_admitted_request_stands_for_those_that_were_refused(self):
        self.meter.record(["s"], priority=1, weight=4.0)
        self.assertEqual(self.meter.rates("s", 1.0), {1: 4.0})

    def test_is_unknown_at_first_and_for_other_services(self):
        self.assertIsNone(self.meter.rates("s", 0.01))
        self.assertIsNone(self.meter.rates("other", 1.0))

    def test_follows_a_change(self):
        for step in range(1, 9):
            for _ in range(10 if step < 4 else 0):
                self.meter.record(["s"], priority=1)
            rates = self.meter.rates("s", 0.5 * step)
        self.assertLess(rates[1], 1.0)

    def test_forgets_services_without_a_limit(self):
        self.meter.record(["s"], priority=1)
        self.meter.measure([], 0.5)
        self.meter.measure(["s"], 0.5)
        self.assertIsNone(self.meter.rates("s", 0.6))
