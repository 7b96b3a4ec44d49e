from unittest import TestCase

from savorypond.gateway.handler import OWN_TIME, waiting_time


class WaitingTimeTests(TestCase):
    """A caller behind a long link must not get each answer just too late."""

    def test_an_answer_leaves_so_early_that_it_arrives_within_the_goal(self):
        for transit in (0.0, 0.002, 0.012):
            with self.subTest(transit):
                waited = waiting_time(0.11, transit) + transit + OWN_TIME
                self.assertAlmostEqual(waited, 0.11)

    def test_a_round_trip_out_of_all_proportion_leaves_most_of_the_time(self):
        self.assertGreater(waiting_time(0.1, 5.0), 0.06)
