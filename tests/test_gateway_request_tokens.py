"""Tests of the tokens that stand for requests to a server."""

from random import Random
from unittest import TestCase

from hypothesis import given, strategies as st

from savorypond.gateway.request_tokens import (
    LEASE_TIME,
    RESERVE_TIME,
    SAVED_TIME,
    TokenBalance,
    TokenPool,
    TokenReserve,
    whole_tokens,
)
from tests.gateway_fakes import FixedRandom


class RoundingTests(TestCase):
    def test_is_right_on_average(self):
        random = Random(1)
        drawn = [whole_tokens(0.3, random.random()) for _ in range(2000)]
        self.assertEqual(set(drawn), {0, 1})
        self.assertAlmostEqual(sum(drawn) / 2000, 0.3, delta=0.04)


class PoolTests(TestCase):
    def make_pool(self):
        return TokenPool(random=FixedRandom(), now=0.0)

    def test_starts_empty(self):
        pool = self.make_pool()
        pool.fill(10.0, 0.0)
        self.assertEqual(pool.grant("a", held=0, share=1.0, now=0.0), 0)

    def test_surplus_goes_to_whoever_asks(self):
        pool = self.make_pool()
        pool.fill(10.0, 2.0)
        self.assertEqual(pool.grant("a", held=0, share=0.7, now=2.0), 11)
        self.assertEqual(pool.grant("b", held=0, share=0.7, now=2.0), 0)

    def test_takes_back_what_an_instance_no_longer_needs(self):
        pool = self.make_pool()
        pool.fill(10.0, 2.0)
        held = pool.grant("a", held=0, share=0.8, now=2.0)
        self.assertEqual(pool.grant("a", held=held, share=0.1, now=2.0), 2 - held)
        self.assertEqual(pool.grant("b", held=0, share=0.7, now=2.0), 11)

    def test_held_tokens_count_against_what_can_be_saved(self):
        pool = self.make_pool()
        pool.fill(10.0, 2.0)
        held = pool.grant("a", held=0, share=0.6, now=2.0)
        self.assertGreater(held, 0)
        pool.fill(10.0, 2.0 + LEASE_TIME - 0.01)
        granted = pool.grant("b", held=0, share=1.0, now=2.0 + LEASE_TIME - 0.01)
        self.assertLessEqual(held + granted, 1.0 + 10.0 * SAVED_TIME)

    def test_tokens_that_ended_return(self):
        pool = self.make_pool()
        pool.fill(10.0, 2.0)
        self.assertEqual(pool.grant("a", held=0, share=1.0, now=2.0), 16)
        end = 2.0 + LEASE_TIME
        pool.fill(10.0, end)
        self.assertEqual(pool.grant("b", held=0, share=1.0, now=end), 15)

    def test_keeps_no_more_tokens_than_an_instance_can_use(self):
        pool = self.make_pool()
        pool.fill(10.0, 2.0)
        for name, needed, tokens in (("a", 0.0, 0), ("b", 0.4, 0), ("c", 2.0, 2)):
            granted = pool.grant(name, held=0, share=0.5, now=2.0, needed=needed)
            self.assertEqual(granted, tokens)

    def test_requests_that_wait_get_tokens_that_are_left(self):
        pool = self.make_pool()
        pool.fill(10.0, 0.5)
        tokens = [
            pool.grant("a", held=0, share=0.0, now=0.5, needed=0.0, waiting=2)
            for _ in range(4)
        ]
        self.assertEqual(tokens, [2, 2, 0, 0])

    def test_who_claims_first_gets_no_more_than_its_part(self):
        pool = self.make_pool()
        total = {"a": 0, "b": 0}
        for step in range(100):
            for name in total:
                pool.fill(5.0, step / 2)
                total[name] += pool.grant(name, held=0, share=0.5, now=step / 2)
        self.assertAlmostEqual(total["a"], total["b"], delta=5)
        self.assertGreater(sum(total.values()), 240)

    @given(
        st.floats(0.2, 30.0),
        st.lists(
            st.tuples(
                st.sampled_from("abcdef"),
                st.floats(0.0, 0.6),
                st.floats(0.0, 1.0),
                st.integers(0, 8),
            ),
            max_size=60,
        ),
    )
    def test_no_window_gets_more_than_the_rate_and_what_may_be_saved(self, rate, steps):
        random = Random(1)
        pool = TokenPool(random=random, now=0.0)
        now, used = 0.0, []
        reserve = TokenReserve(random=random)
        balances = {name: TokenBalance(reserve=reserve) for name in "abcdef"}
        for name, pause, share, wanted in steps:
            now += pause
            balance = balances[name]
            pool.fill(rate, now)
            held = balance.held(now)
            change = pool.grant(
                name, held=held, share=share, now=now, waiting=max(0, wanted - 4)
            )
            balance.add(change, until=now + LEASE_TIME, now=now)
            for _ in range(min(wanted, max(0, balance.held(now)))):
                balance.take(now)
                used.append(now)
        for index, start in enumerate(used):
            for number, end in enumerate(used[index:], start=1):
                allowed = rate * (end - start) + 1.0 + SAVED_TIME * rate
                self.assertLessEqual(number, allowed + 1e-6)


class ReserveTests(TestCase):
    def test_all_servers_have_tokens_in_the_same_periods(self):
        reserve = TokenReserve(random=Random(1))
        balances = [TokenBalance(reserve=reserve) for _ in range(20)]
        periods = 0
        for step in range(1000):
            now = (step + 0.5) * RESERVE_TIME
            available = {balance.available(0.1, now) for balance in balances}
            self.assertEqual(len(available), 1)
            periods += available.pop()
        self.assertAlmostEqual(periods, 100, delta=25)


class BalanceTests(TestCase):
    def setUp(self):
        self.balance = TokenBalance(reserve=TokenReserve(random=FixedRandom()))

    def test_a_token_is_taken_once(self):
        self.balance.add(1, until=1.0, now=0.0)
        self.assertTrue(self.balance.available(0.0, 0.5))
        self.balance.take(0.5)
        self.assertFalse(self.balance.available(0.0, 0.5))
        self.balance.give_back(0.5)
        self.assertTrue(self.balance.available(0.0, 0.5))

    def test_tokens_end(self):
        self.balance.add(3, until=1.0, now=0.0)
        self.assertEqual(self.balance.held(1.0), 0)
        self.assertFalse(self.balance.available(0.0, 1.0))
        self.balance.add(1, until=2.5, now=1.2)
        self.assertEqual(self.balance.held(1.2), 1)

    def test_a_lower_rate_leaves_a_part(self):
        self.balance.add(5, until=1.0, now=0.0)
        self.balance.reduce(0.4)
        self.assertEqual(self.balance.held(0.5), 2)

    def test_giving_up_a_used_token_is_a_debt(self):
        self.balance.add(1, until=2.0, now=0.0)
        self.balance.take(0.1)
        self.balance.add(-1, until=2.5, now=0.2)
        self.balance.add(1, until=3.0, now=0.7)
        self.assertFalse(self.balance.available(9.0, 0.7))

    def test_the_reserve_is_not_saved_up(self):
        sent = 0
        for step in range(100):
            now = step * RESERVE_TIME
            while self.balance.available(0.6, now):
                self.balance.take(now)
                sent += 1
            self.assertFalse(self.balance.available(0.6, now + 0.9 * RESERVE_TIME))
        self.assertEqual(sent, 100)
        self.assertTrue(self.balance.available(0.6, 500.0 * RESERVE_TIME))
        self.balance.take(500.0 * RESERVE_TIME)
        self.assertFalse(self.balance.available(0.6, 500.0 * RESERVE_TIME))

    def test_the_reserve_is_not_used_beside_a_grant(self):
        self.balance.add(0, until=1.0, now=0.0)
        self.assertFalse(self.balance.available(99.0, 0.5))
        self.assertTrue(self.balance.available(99.0, 1.0))
