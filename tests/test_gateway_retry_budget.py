"""Tests of savorypond.gateway.retry_budget."""

from unittest import TestCase

from hypothesis import given, settings, strategies as st

from savorypond.gateway.retry_budget import ServiceRetryBudget, ServiceRetryBudgetConfig

CONFIG = ServiceRetryBudgetConfig(ratio=0.2, slack=3.0, window=10.0, safety_factor=1.0)


class ServiceRetryBudgetTests(TestCase):
    def test_the_slack_is_available_without_requests(self):
        budget = ServiceRetryBudget(config=CONFIG)
        spent = [budget.try_spend(service="s", now=0.0) for _ in range(5)]
        self.assertEqual(spent, [True, True, True, False, False])
        self.assertTrue(budget.try_spend(service="s", now=10.1))

    def test_services_are_counted_separately(self):
        budget = ServiceRetryBudget(config=CONFIG)
        for _ in range(3):
            budget.try_spend(service="s", now=0.0)
        self.assertTrue(budget.try_spend(service="t", now=0.0))

    def test_a_refunded_attempt_may_be_spent_again(self):
        budget = ServiceRetryBudget(config=CONFIG)
        for _ in range(3):
            budget.try_spend(service="s", now=0.0)
        budget.refund(service="s")
        self.assertTrue(budget.try_spend(service="s", now=0.0))

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.lists(st.tuples(st.booleans(), st.floats(0.0, 1.5)), max_size=120))
    def test_no_window_exceeds_its_limit(self, steps):
        budget = ServiceRetryBudget(config=CONFIG)
        requests, extra_attempts, now = [], [], 0.0
        for is_request, pause in steps:
            now += pause
            if is_request:
                budget.record_request(service="s", now=now)
                requests.append(now)
            elif budget.try_spend(service="s", now=now):
                extra_attempts.append(now)
                recent = [t for t in extra_attempts if t > now - CONFIG.window]
                recent_requests = [t for t in requests if t > now - CONFIG.window]
                limit = CONFIG.ratio * len(recent_requests) + CONFIG.slack
                self.assertLessEqual(len(recent), limit)
