"""Tests of savorypond.gateway.answer_timing."""

from random import Random
from unittest import TestCase

from savorypond.gateway.answer_timing import AnswerTiming, DelayEstimate
from tests.test_gateway_delegation import peer

LOCAL, REMOTE = peer("a2", "a"), peer("b1", "b")
GOAL = 0.09  # seconds
OBSERVATIONS = 200


class DelayEstimateTests(TestCase):
    def test_it_covers_nine_of_ten_delays(self):
        random = Random(1)
        estimate = DelayEstimate(initial=0.008)
        delays = [random.expovariate(1 / 0.006) for _ in range(4000)]
        covered = 0
        for delay in delays:
            covered += delay <= estimate.delay
            estimate.record(delay)
        self.assertAlmostEqual(covered / len(delays), 0.9, delta=0.02)

    def test_one_pause_changes_little(self):
        estimate = DelayEstimate(initial=0.008)
        estimate.record(5.0)
        self.assertLess(estimate.delay, 0.010)

    def test_it_falls_once_delays_are_short_again(self):
        estimate = DelayEstimate(initial=0.03)
        for _ in range(OBSERVATIONS):
            estimate.record(0.002)
        self.assertLess(estimate.delay, 0.004)


class AnswerTimingTests(TestCase):
    def setUp(self):
        self.timing = AnswerTiming(data_centre="a", cpu_capacity=0.5)

    def test_slow_instances_need_longer_at_first(self):
        fast = AnswerTiming(data_centre="a", cpu_capacity=2.0)
        self.assertGreater(self.timing.merge_delay, fast.merge_delay)

    def test_local_and_remote_peers_are_told_apart(self):
        remote_before = self.timing.return_delay(REMOTE)
        for _ in range(OBSERVATIONS):
            self.timing.record_return(LOCAL, due=1.0, now=1.02)
        self.assertGreaterEqual(self.timing.return_delay(LOCAL), 0.019)
        self.assertEqual(self.timing.return_delay(REMOTE), remote_before)

    def test_answers_that_wait_for_busy_delegates_come_in_time(self):
        """Delegates whose answers take 10 to 25 ms to return, as under a burst."""
        in_time = self.play_returns(adaptive=True)
        self.assertGreaterEqual(in_time, 0.8)
        self.assertGreater(in_time, 2 * self.play_returns(adaptive=False))

    def play_returns(self, *, adaptive):
        """Return the share of partial group answers read before the goal."""
        random = Random(2)
        timing = AnswerTiming(data_centre="a", cpu_capacity=0.5)
        initial = timing.return_delay(REMOTE)
        in_time = 0
        for number in range(OBSERVATIONS):
            start = number * 1.0
            delay = timing.return_delay(REMOTE) if adaptive else initial
            due = start + GOAL - delay
            read_at = due + random.uniform(0.010, 0.025)
            in_time += read_at <= start + GOAL
            timing.record_return(REMOTE, due=due, now=read_at)
        return in_time / OBSERVATIONS
