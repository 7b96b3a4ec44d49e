"""Tests of savorypond.gateway.retry_budget."""

from unittest import TestCase

from hypothesis import given, settings, strategies as st

from savorypond.gateway.retry_budget import ExtraBudget, ExtraBudgetConfig

CONFIG = ExtraBudgetConfig(ratio=0.2, slack=3.0, window=10.0, margin=1.0)


class ExtraBudgetTests(TestCase):
    def test_the_slack_stands_without_requests(self):
        budget = ExtraBudget(config=CONFIG)
        spent = [budget.try_spend(service="s", now=0.0) for _ in range(5)]
        self.assertEqual(spent, [True, True, True, False, False])
        self.assertTrue(budget.try_spend(service="s", now=10.1))

    def test_services_are_counted_apart(self):
        budget = ExtraBudget(config=CONFIG)
        for _ in range(3):
            budget.try_spend(service="s", now=0.0)
        self.assertTrue(budget.try_spend(service="t", now=0.0))

    def test_a_refund_may_be_spent_again(self):
        budget = ExtraBudget(config=CONFIG)
        for _ in range(3):
            budget.try_spend(service="s", now=0.0)
        budget.refund(service="s")
        self.assertTrue(budget.try_spend(service="s", now=0.0))

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.lists(st.tuples(st.booleans(), st.floats(0.0, 1.5)), max_size=120))
    def test_no_window_holds_more_than_its_bound(self, steps):
        budget = ExtraBudget(config=CONFIG)
        requests, extras, now = [], [], 0.0
        for is_request, pause in steps:
            now += pause
            if is_request:
                budget.note_request(service="s", now=now)
                requests.append(now)
            elif budget.try_spend(service="s", now=now):
                extras.append(now)
                recent = [t for t in extras if t > now - CONFIG.window]
                asked = [t for t in requests if t > now - CONFIG.window]
                bound = CONFIG.ratio * len(asked) + CONFIG.slack
                self.assertLessEqual(len(recent), bound)
