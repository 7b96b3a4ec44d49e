"""Tests of savorypond.gateway.shutdown."""

from unittest import TestCase

from savorypond.gateway.shutdown import (
    ANSWER_MARGIN,
    KILL_MARGIN,
    LATE_CONNECTION_TIME,
    MAX_NOTICE,
    REPEATABLE_TIME,
    UNREPEATABLE_TIME,
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

    def accepts(self, plan, time_left, *, repeatable=True, caller_time=60.0):
        now = plan.answer_deadline - time_left
        return plan.accepts(
            now=now,
            deadline=now + caller_time,
            mean_latency=0.1,
            repeatable=repeatable,
        )

    def test_answers_are_due_before_requests_are_cut_off(self):
        plan = ShutdownPlan(started_at=0.0, termination_grace=6.0)
        self.assertAlmostEqual(plan.time_left(plan.answer_deadline), ANSWER_MARGIN)

    def test_accepts_requests_while_there_is_time_for_them(self):
        plan = ShutdownPlan(started_at=0.0, termination_grace=6.0)
        usual = 0.1 * REPEATABLE_TIME
        self.assertTrue(self.accepts(plan, usual + 0.01))
        self.assertFalse(self.accepts(plan, usual - 0.01))
        self.assertTrue(self.accepts(plan, 0.06, caller_time=0.05))

    def test_unrepeatable_requests_need_more_time(self):
        plan = ShutdownPlan(started_at=0.0, termination_grace=6.0)
        needed = 0.1 * UNREPEATABLE_TIME
        self.assertTrue(self.accepts(plan, needed + 0.01, repeatable=False))
        self.assertFalse(self.accepts(plan, needed - 0.01, repeatable=False))

    def test_accepts_nothing_once_all_requests_have_ended(self):
        plan = ShutdownPlan(started_at=0.0, termination_grace=6.0)
        plan.refuse_all()
        self.assertFalse(self.accepts(plan, 5.0))
