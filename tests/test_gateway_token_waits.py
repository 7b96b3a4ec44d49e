"""Tests of savorypond.gateway.token_waits."""

from unittest import TestCase

from savorypond.gateway.token_waits import DENIAL_TIME, TokenWaits


class TokenWaitsTests(TestCase):
    def setUp(self):
        self.waits = TokenWaits()

    def test_counts_the_requests_that_wait_for_each_service(self):
        with self.waits.waiting(("s1", "s2")):
            with self.waits.waiting(("s2",)):
                self.assertEqual([self.waits.count(s) for s in ("s1", "s2")], [1, 2])
            self.assertEqual(self.waits.count("s2"), 1)
        self.assertEqual(self.waits.count("s2"), 0)

    def test_does_not_ask_again_soon_where_there_was_no_token(self):
        self.waits.record_answer("s1", has_token=False, now=1.0)
        self.waits.record_answer("s2", has_token=True, now=1.0)
        for now, may_ask in ((1.1, False), (1.0 + DENIAL_TIME, True)):
            self.waits.expire(now)
            self.assertEqual(self.waits.may_ask("s1", now), may_ask)
            self.assertTrue(self.waits.may_ask("s2", now))
