from unittest import TestCase

from hypothesis import given, strategies as st

from savorypond.balancing.budget import BudgetConfig, RetryBudget

EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["first", "spend", "spend-and-refund"]),
        st.sampled_from([0.0, 0.0, 0.003, 0.2, 3.0]),
    ),
    max_size=300,
)


class BudgetTests(TestCase):
    @given(events=EVENTS)
    def test_budget_is_never_exceeded_in_any_order_of_events(self, events):
        config = BudgetConfig(share=0.1, floor=2.0, burst=3.0)
        budget = RetryBudget(config=config)
        now, firsts, spent = 0.0, 0, 0
        for kind, gap in events:
            now += gap
            if kind == "first":
                budget.record_first(server="a", now=now)
                firsts += 1
                continue
            granted = budget.try_spend(server="a", now=now)
            spent += granted
            if granted and kind == "spend-and-refund":
                budget.refund(server="a", now=now)
                spent -= 1
            self.assertLessEqual(spent, 3.0 + 0.1 * firsts + 2.0 * now + 1e-6)

    def count_spent(self, *, rate, seconds):
        """Try to spend after each first attempt; return the tokens spent.

        :param rate: first attempts a second.
        """
        budget = RetryBudget(config=BudgetConfig(share=0.05, floor=2.0, burst=5.0))
        spent = 0
        for step in range(rate * seconds):
            budget.record_first(server="a", now=step / rate)
            spent += budget.try_spend(server="a", now=step / rate)
        return spent

    def test_steady_traffic_yields_the_larger_of_share_and_floor(self):
        for rate, expected in [(10, 200), (400, 2000)]:
            with self.subTest(rate=rate):
                spent = self.count_spent(rate=rate, seconds=100)
                self.assertLessEqual(abs(spent - expected), 6)

    def test_servers_do_not_share_tokens(self):
        budget = RetryBudget(config=BudgetConfig(burst=1.0))
        self.assertTrue(budget.try_spend(server="a", now=0.0))
        self.assertFalse(budget.try_spend(server="a", now=0.0))
        self.assertTrue(budget.try_spend(server="b", now=0.0))
        budget.forget(server="a")
        self.assertEqual(budget.available(server="a", now=0.0), 1.0)
