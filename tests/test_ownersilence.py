"""Tests of passing silent owners by."""

from itertools import pairwise
from unittest import TestCase

from hypothesis import given, strategies as st

from savorypond.placement.ownersilence import LOST_IN_A_ROW, TRY_EVERY, OwnerSilence


class OwnerSilenceTest(TestCase):
    """When an owner is avoided and when it is tried."""

    @given(st.lists(st.sampled_from(["lost", "answered", "ask"]), max_size=60))
    def test_avoids_after_losses_in_a_row_and_tries_now_and_then(self, events):
        silence = OwnerSilence()
        lost, now, tries = 0, 0.0, []
        for event in events:
            now += TRY_EVERY / 7
            if event == "lost":
                lost += 1
                silence.lost("a", now)
            elif event == "answered":
                lost = 0
                silence.answered("a")
            elif lost < LOST_IN_A_ROW:
                self.assertFalse(silence.avoids("a", now))
                tries = []
            elif not silence.avoids("a", now):
                tries.append(now)
            if lost == 0:
                tries = []
            self.assertFalse(silence.avoids("b", now))
        gaps = [after - before for before, after in pairwise(tries)]
        for gap in gaps:
            self.assertGreaterEqual(gap, TRY_EVERY)

    def test_a_silent_owner_is_tried_again(self):
        silence = OwnerSilence()
        for _ in range(LOST_IN_A_ROW):
            silence.lost("a", 0.0)
        self.assertTrue(silence.avoids("a", TRY_EVERY / 2))
        self.assertFalse(silence.avoids("a", TRY_EVERY))
        self.assertTrue(silence.avoids("a", TRY_EVERY * 1.5))
        silence.answered("a")
        self.assertFalse(silence.avoids("a", TRY_EVERY * 1.5))
