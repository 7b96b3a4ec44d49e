"""Tests of passing silent owners by."""

from itertools import pairwise
from unittest import TestCase

from hypothesis import given, strategies as st

from savorypond.placement.owner_breaker import (
    LOST_IN_A_ROW,
    TRY_EVERY,
    OwnerCircuitBreaker,
)


class OwnerSilenceTest(TestCase):
    """When an owner is avoided and when it is tried."""

    @given(st.lists(st.sampled_from(["lost", "answered", "ask"]), max_size=60))
    def test_avoids_after_losses_in_a_row_and_tries_now_and_then(self, events):
        breaker = OwnerCircuitBreaker()
        lost, now, tries = 0, 0.0, []
        for event in events:
            now += TRY_EVERY / 7
            if event == "lost":
                lost += 1
                breaker.record_loss("a", now)
            elif event == "answered":
                lost = 0
                breaker.record_answer("a")
            elif lost < LOST_IN_A_ROW:
                self.assertFalse(breaker.should_avoid("a", now))
                tries = []
            elif not breaker.should_avoid("a", now):
                tries.append(now)
            if lost == 0:
                tries = []
            self.assertFalse(breaker.should_avoid("b", now))
        gaps = [after - before for before, after in pairwise(tries)]
        for gap in gaps:
            self.assertGreaterEqual(gap, TRY_EVERY)

    def test_a_silent_owner_is_tried_again(self):
        breaker = OwnerCircuitBreaker()
        for _ in range(LOST_IN_A_ROW):
            breaker.record_loss("a", 0.0)
        self.assertTrue(breaker.should_avoid("a", TRY_EVERY / 2))
        self.assertFalse(breaker.should_avoid("a", TRY_EVERY))
        self.assertTrue(breaker.should_avoid("a", TRY_EVERY * 1.5))
        breaker.record_answer("a")
        self.assertFalse(breaker.should_avoid("a", TRY_EVERY * 1.5))
