from unittest import TestCase

from savorypond.gateway.route_latency import REMOTE_TIME, RouteLatencies

GOAL = 0.2


class HedgeDelayTests(TestCase):
    def delays(self, latency, time_left=GOAL, spacing=0.1):
        latencies = RouteLatencies()
        for number in range(100):
            latencies.record(route="r", seconds=latency, now=number * spacing)
        return latencies.hedge_delays(route="r", goal=GOAL, time_left=time_left)

    def test_hedges_locally_once_most_answers_have_arrived(self):
        self.assertAlmostEqual(self.delays(0.03).local, 0.03, delta=0.003)

    def test_samples_of_a_single_moment_do_not_shorten_the_delay(self):
        delays = self.delays(0.03, spacing=0.0)
        self.assertGreater(delays.local, 0.03)

    def test_hedges_remotely_as_late_as_the_answer_can_be_in_time(self):
        delays = self.delays(0.03)
        self.assertAlmostEqual(delays.remote + delays.local + REMOTE_TIME, GOAL)

    def test_never_hedges_remotely_before_locally(self):
        delays = self.delays(0.08, time_left=0.1)
        self.assertEqual(delays.remote, delays.local)
