"""Tests of the circuit breaker for owners that do not respond."""

from itertools import pairwise
from unittest import TestCase

from hypothesis import given, strategies as st

from savorypond.placement.owner_breaker import (
    FAILURE_THRESHOLD,
    RETRY_INTERVAL,
    OwnerCircuitBreaker,
)


class OwnerCircuitBreakerTest(TestCase):
    """When an owner is avoided and when it is retried."""

    @given(st.lists(st.sampled_from(["lost", "answered", "ask"]), max_size=60))
    def test_opens_after_consecutive_losses_and_retries_at_intervals(self, events):
        breaker = OwnerCircuitBreaker()
        lost, now, retries = 0, 0.0, []
        for event in events:
            now += RETRY_INTERVAL / 7
            if event == "lost":
                lost += 1
                breaker.record_loss("a", now)
            elif event == "answered":
                lost = 0
                breaker.record_answer("a")
            elif lost < FAILURE_THRESHOLD:
                self.assertFalse(breaker.should_avoid("a", now))
                retries = []
            elif not breaker.should_avoid("a", now):
                retries.append(now)
            if lost == 0:
                retries = []
            self.assertFalse(breaker.should_avoid("b", now))
        gaps = [after - before for before, after in pairwise(retries)]
        for gap in gaps:
            self.assertGreaterEqual(gap, RETRY_INTERVAL)

    def test_avoided_owner_is_retried(self):
        breaker = OwnerCircuitBreaker()
        for _ in range(FAILURE_THRESHOLD):
            breaker.record_loss("a", 0.0)
        self.assertTrue(breaker.should_avoid("a", RETRY_INTERVAL / 2))
        self.assertFalse(breaker.should_avoid("a", RETRY_INTERVAL))
        self.assertTrue(breaker.should_avoid("a", RETRY_INTERVAL * 1.5))
        breaker.record_answer("a")
        self.assertFalse(breaker.should_avoid("a", RETRY_INTERVAL * 1.5))
