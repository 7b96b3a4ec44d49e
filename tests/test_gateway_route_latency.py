from unittest import TestCase

from savorypond.gateway.route_latency import FAR_TIME, UsualTimes

GOAL = 0.2


class HedgeDelayTests(TestCase):
    def delays(self, answer_time, left=GOAL, spacing=0.1):
        times = UsualTimes()
        for number in range(100):
            times.record(route="r", seconds=answer_time, now=number * spacing)
        return times.hedge_delays(route="r", goal=GOAL, left=left)

    def test_a_near_server_is_asked_once_most_answers_have_come(self):
        self.assertAlmostEqual(self.delays(0.03).local, 0.03, delta=0.003)

    def test_times_that_came_at_one_moment_do_not_hedge_everything(self):
        delays = self.delays(0.03, spacing=0.0)
        self.assertGreater(delays.local, 0.03)

    def test_a_far_server_is_asked_when_its_answer_would_just_be_in_time(self):
        delays = self.delays(0.03)
        self.assertAlmostEqual(delays.remote + delays.local + FAR_TIME, GOAL)

    def test_no_far_server_is_asked_sooner_than_a_near_one(self):
        delays = self.delays(0.08, left=0.1)
        self.assertEqual(delays.remote, delays.local)
