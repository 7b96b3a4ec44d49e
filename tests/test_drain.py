from unittest import TestCase

from hypothesis import given, strategies as st

from savorypond.drain import DrainAction, DrainLimits, DrainPlan, DrainState
from savorypond.membership.pause import Paused

LIMITS = DrainLimits(longest_deadline=3.0, notice_period=2.0, hand_over=1.0)


class DrainPlanTests(TestCase):
    def setUp(self):
        self.plan = DrainPlan(limits=LIMITS)

    def test_an_undisturbed_stop_takes_each_step_in_order(self):
        plan = self.plan
        self.assertTrue(plan.ready and plan.accepts_new)
        self.assertEqual(
            plan.stop_requested(now=0.0),
            (DrainAction.SET_NOT_READY, DrainAction.ANNOUNCE_LEAVE),
        )
        self.assertEqual((plan.ready, plan.accepts_new), (False, True))
        self.assertEqual(plan.tick(now=1.9), ())
        self.assertEqual(
            plan.tick(now=plan.next_at),
            (DrainAction.REFUSE_NEW, DrainAction.HAND_OVER),
        )
        self.assertFalse(plan.try_begin_request())
        self.assertEqual(plan.handed_over(now=2.1), (DrainAction.STOP,))
        self.assertEqual((plan.state, plan.requests_cut), (DrainState.STOPPED, 0))

    def test_faults_during_the_stop(self):
        plan = self.plan
        stop_requested = (plan.stop_requested, 1.0)
        handed_over = (plan.handed_over, 1.0)
        cases = [
            ("requested twice", [stop_requested], DrainState.NOTICE_PERIOD),
            ("hand-over out of order", [handed_over], DrainState.NOTICE_PERIOD),
            ("still in flight", [(plan.tick, 5.4)], DrainState.REFUSING),
            ("never ends", [(plan.tick, 5.5)], DrainState.HANDING_OVER),
            ("peers silent", [(plan.tick, 6.5)], DrainState.STOPPED),
        ]
        plan.try_begin_request()
        plan.stop_requested(now=0.0)
        for name, steps, state in cases:
            with self.subTest(name):
                for step, at in steps:
                    plan.tick(now=min(at, 2.0))
                    step(now=at)
                self.assertEqual(plan.state, state)
        self.assertEqual(plan.requests_cut, 1)

    def test_a_pause_leaves_time_for_answers_received_during_it(self):
        self.plan.try_begin_request()
        self.plan.stop_requested(now=0.0)
        self.plan.tick(now=2.0)
        self.plan.resumed(Paused(since=2.5, now=60.0))
        self.assertEqual(self.plan.tick(now=60.0), ())
        self.assertEqual(self.plan.end_request(now=60.4), (DrainAction.HAND_OVER,))
        self.assertEqual(self.plan.requests_cut, 0)

    @given(
        st.lists(
            st.tuples(st.floats(0.0, 1.0), st.floats(0.0, LIMITS.longest_deadline)),
            max_size=40,
        ),
        st.integers(0, 40),
    )
    def test_no_request_is_lost_and_the_stop_is_bounded(self, arrivals, stop_after):
        plan = self.plan = DrainPlan(limits=LIMITS)
        now, ends, refused = 0.0, [], 0
        stopped_at = None
        for turn, (wait, duration) in enumerate([*arrivals, *[(0.5, 0.0)] * 20]):
            now += wait
            for end in sorted(e for e in ends if e <= now):
                ends.remove(end)
                plan.end_request(now=end)
            if turn == min(stop_after, len(arrivals)):
                plan.stop_requested(now=now)
                stopped_at = now
            plan.tick(now=now)
            if plan.try_begin_request():
                ends.append(now + duration)
            else:
                refused += 1
                self.assertGreaterEqual(now, stopped_at + LIMITS.notice_period)
            self.assertEqual(plan.in_flight, len(ends))
            if plan.state is DrainState.STOPPED:
                self.assertEqual(ends, [])
        self.assertEqual((plan.state, plan.requests_cut), (DrainState.STOPPED, 0))
        self.assertGreater(refused, 0)
