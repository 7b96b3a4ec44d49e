"""Tests of savorypond.gateway.rate_control."""

from unittest import TestCase

from savorypond.gateway.rate_messages import RateShare
from tests.gateway_fakes import make_rates, server


class ClaimTests(TestCase):
    def test_gives_up_its_part_once_it_no_longer_needs_a_service(self):
        rates = make_rates()
        rates.limits.observe(server("s1"), 5.0, sent_at=0.0, now=0.0)
        demands = []
        for step in range(20):
            now = step / 2.0
            if step < 5:
                rates.demand.record(("s",), priority=1)
            demands.append([claim.demand for claim in rates.claims(now)])
        claimed = [claim[0] for claim in demands if claim]
        self.assertEqual(demands[: len(claimed)], [[demand] for demand in claimed])
        self.assertGreater(len(claimed), 5)
        self.assertLess(len(claimed), 15)
        self.assertGreater(sum(claimed[-2].values()), 0.0)
        self.assertEqual(claimed[-1], {})


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
