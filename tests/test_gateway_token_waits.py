"""Tests of savorypond.gateway.token_waits."""

from unittest import TestCase

from savorypond.gateway.rate_messages import RateShare
from savorypond.gateway.token_waits import DENIAL_TIME, TokenWaits
from tests.gateway_fakes import make_rates, server


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


class LackingTests(TestCase):
    def setUp(self):
        self.rates = make_rates()
        limited = server("s1")
        self.rates.limits.observe(limited, 5.0, sent_at=0.0, now=0.1)

    def lacking(self, now, *, lacks_token=True):
        return self.rates.lacking(
            ("s", "other"), priority=1, lacks_token=lambda s: lacks_token, now=now
        )

    def test_waits_for_services_with_limits_only(self):
        self.assertEqual(self.lacking(0.2), ("s",))
        self.assertEqual(self.lacking(0.2, lacks_token=False), ())

    def test_does_not_wait_where_a_service_lacks_room(self):
        share = RateShare(service="s", servers=(), admitted={1: 0.5})
        self.rates.apply(share, claimed_at=0.2, now=0.2)
        self.assertEqual(self.lacking(0.3), ())

    def test_does_not_wait_after_a_claim_without_a_token(self):
        with self.rates.waits.waiting(("s",)):
            claim = self.rates.claim("s", 0.2)
        self.assertEqual(claim.waiting, 1)
        self.rates.end_claim(claim, 0.2)
        self.assertEqual(self.lacking(0.3), ())
