from unittest import TestCase

from savorypond.gateway.handler import OWN_WORK, waiting_time


class WaitingTimeTests(TestCase):
    """A caller behind a long link must not get each answer just too late."""

    def test_an_answer_leaves_so_early_that_it_arrives_within_the_goal(self):
        for transit in (0.0, 0.002, 0.012):
            for cpu_capacity in (0.5, 1.0, 2.0):
                with self.subTest(transit=transit, cpu_capacity=cpu_capacity):
                    waited = waiting_time(
                        goal=0.11, transit=transit, cpu_capacity=cpu_capacity
                    )
                    self.assertAlmostEqual(
                        waited + transit + OWN_WORK / cpu_capacity, 0.11
                    )

    def test_a_round_trip_out_of_all_proportion_leaves_most_of_the_time(self):
        self.assertGreater(waiting_time(goal=0.1, transit=5.0, cpu_capacity=1.0), 0.06)

    def test_a_very_slow_instance_still_waits(self):
        self.assertGreater(waiting_time(goal=0.1, transit=0.0, cpu_capacity=0.01), 0.07)
