"""Tests of savorypond.gateway.shutdown."""

from unittest import TestCase

from savorypond.gateway.shutdown import (
    KILL_MARGIN,
    LATE_CONNECTION_TIME,
    MAX_NOTICE,
    ShutdownPlan,
)


class ShutdownPlanTests(TestCase):
    def test_closes_after_two_negative_probes(self):
        plan = ShutdownPlan(started_at=0.0, termination_grace=6.0)
        plan.record_probe(0.5)
        self.assertFalse(plan.may_close(1.4))
        plan.record_probe(1.5)
        self.assertFalse(plan.may_close(1.5))
        self.assertTrue(plan.may_close(1.5 + LATE_CONNECTION_TIME))

    def test_closes_without_probes_after_the_longest_notice(self):
        plan = ShutdownPlan(started_at=0.0, termination_grace=6.0)
        self.assertFalse(plan.may_close(MAX_NOTICE - 0.1))
        self.assertTrue(plan.may_close(MAX_NOTICE))

    def test_requests_have_until_shortly_before_the_kill(self):
        plan = ShutdownPlan(started_at=0.0, termination_grace=6.0)
        self.assertAlmostEqual(plan.time_left(2.0), 4.0 - KILL_MARGIN)
        self.assertEqual(plan.time_left(7.0), 0.0)
        self.assertTrue(
            ShutdownPlan(started_at=0.0, termination_grace=1.0).may_close(0.5)
        )
