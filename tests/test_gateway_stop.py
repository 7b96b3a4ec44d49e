"""Tests of savorypond.gateway.stop."""

from unittest import TestCase

from savorypond.gateway.stop import AFTER_NOTICE, END_MARGIN, LONGEST_NOTICE, StopPlan


class StopPlanTests(TestCase):
    def test_closes_after_the_platform_was_told_twice(self):
        plan = StopPlan(began=0.0, termination_grace=6.0)
        plan.note_asked(0.5)
        self.assertFalse(plan.may_close(1.4))
        plan.note_asked(1.5)
        self.assertFalse(plan.may_close(1.5))
        self.assertTrue(plan.may_close(1.5 + AFTER_NOTICE))

    def test_closes_when_nobody_asks(self):
        plan = StopPlan(began=0.0, termination_grace=6.0)
        self.assertFalse(plan.may_close(LONGEST_NOTICE - 0.1))
        self.assertTrue(plan.may_close(LONGEST_NOTICE))

    def test_leaves_requests_the_time_until_the_end(self):
        plan = StopPlan(began=0.0, termination_grace=6.0)
        self.assertAlmostEqual(plan.left(2.0), 4.0 - END_MARGIN)
        self.assertEqual(plan.left(7.0), 0.0)
        self.assertTrue(StopPlan(began=0.0, termination_grace=1.0).may_close(0.5))
