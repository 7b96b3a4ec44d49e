from unittest import TestCase

from savorypond.gateway.answer_timing import PROCESSING_TIME, partial_answer_delay


class PartialAnswerDelayTests(TestCase):
    """Partial answers must reach a caller in time, also over a long link."""

    def test_a_partial_answer_arrives_within_the_goal(self):
        for network_delay in (0.0, 0.002, 0.012):
            for cpu_capacity in (0.5, 1.0, 2.0):
                with self.subTest(
                    network_delay=network_delay, cpu_capacity=cpu_capacity
                ):
                    delay = partial_answer_delay(
                        goal=0.11,
                        network_delay=network_delay,
                        cpu_capacity=cpu_capacity,
                    )
                    self.assertAlmostEqual(
                        delay + network_delay + PROCESSING_TIME / cpu_capacity, 0.11
                    )

    def test_an_excessive_round_trip_leaves_most_of_the_time(self):
        self.assertGreater(
            partial_answer_delay(goal=0.1, network_delay=5.0, cpu_capacity=1.0), 0.06
        )

    def test_a_very_slow_instance_leaves_most_of_the_time(self):
        self.assertGreater(
            partial_answer_delay(goal=0.1, network_delay=0.0, cpu_capacity=0.01), 0.07
        )
