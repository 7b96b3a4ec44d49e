"""Tests of the token bucket."""

from unittest import TestCase

from hypothesis import given, strategies as st

from savorypond.gateway.token_bucket import BURST_TIME, TokenBucket


class TokenBucketTests(TestCase):
    def test_a_token_that_was_not_there_is_a_debt(self):
        bucket = TokenBucket(now=0.0)
        bucket.take()
        bucket.take()
        bucket.refill(1.0, 1.9)
        self.assertFalse(bucket.available)
        bucket.refill(1.0, 2.0)
        self.assertTrue(bucket.available)

    def test_a_token_given_back_is_available_again(self):
        bucket = TokenBucket(now=0.0)
        bucket.take()
        bucket.give_back()
        self.assertTrue(bucket.available)

    def test_time_before_the_last_refill_adds_nothing(self):
        bucket = TokenBucket(now=5.0)
        bucket.take()
        bucket.refill(10.0, 4.0)
        self.assertFalse(bucket.available)

    @given(st.floats(0.1, 20.0), st.lists(st.floats(0.0, 1.0), max_size=60))
    def test_no_window_gets_more_than_the_rate_and_a_burst(self, rate, pauses):
        bucket = TokenBucket(now=0.0)
        now, taken = 0.0, []
        for pause in pauses:
            now += pause
            bucket.refill(rate, now)
            if bucket.available:
                bucket.take()
                taken.append(now)
        for index, start in enumerate(taken):
            for count, end in enumerate(taken[index:], start=1):
                allowed = rate * (end - start) + 1.0 + BURST_TIME * rate
                self.assertLessEqual(count, allowed + 1e-6)
