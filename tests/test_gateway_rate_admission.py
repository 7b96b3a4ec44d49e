"""Tests of the admission of requests while servers lack room for all."""

from unittest import TestCase

from hypothesis import given, strategies as st

from savorypond.gateway.rate_admission import (
    MIN_SHARE,
    VALID_TIME,
    RateAdmission,
    admission_rank,
)

SERVICES = tuple(f"s{n}" for n in range(10))


class AdmissionTests(TestCase):
    def request_share(self, admission, least_share=0.8, now=0.0):
        return admission.request_share(
            SERVICES, priority=1, least_share=least_share, now=now
        )

    def test_admits_everything_while_nothing_is_known(self):
        self.assertEqual(self.request_share(RateAdmission()), 1.0)

    def test_shards_that_an_answer_may_lack_do_not_count(self):
        admission = RateAdmission()
        for service in SERVICES[:2]:
            admission.record(service, priority=1, share=0.1, now=0.0)
        self.assertEqual(self.request_share(admission), 1.0)
        admission.record(SERVICES[2], priority=1, share=0.4, now=0.0)
        self.assertEqual(self.request_share(admission), 0.4)

    def test_priorities_are_separate(self):
        admission = RateAdmission()
        admission.record("s", priority=2, share=0.1, now=0.0)
        self.assertEqual(admission.share("s", priority=1, now=0.0), 1.0)

    def test_a_share_is_valid_for_a_short_time(self):
        admission = RateAdmission()
        admission.record("s", priority=1, share=0.1, now=0.0)
        self.assertEqual(admission.share("s", priority=1, now=VALID_TIME), 1.0)

    def test_some_requests_are_always_admitted(self):
        admission = RateAdmission()
        admission.record("s", priority=1, share=0.0, now=0.0)
        self.assertEqual(admission.share("s", priority=1, now=0.0), MIN_SHARE)

    @given(st.lists(st.floats(0.0, 1.0), min_size=10, max_size=10), st.floats(0.0, 1.0))
    def test_an_admitted_request_has_enough_shards(self, shares, least_share):
        admission = RateAdmission()
        for service, share in zip(SERVICES, shares, strict=True):
            admission.record(service, priority=1, share=share, now=0.0)
        admitted = self.request_share(admission, least_share)
        for rank in (0.0, 0.01, 0.3, 0.7, 0.99):
            covered = sum(
                rank < admission.share(service, priority=1, now=0.0)
                for service in SERVICES
            )
            self.assertEqual(rank < admitted, covered >= least_share * 10 - 1e-9)

    def test_ranks_are_spread_evenly(self):
        ranks = [admission_rank(f"request-{n}") for n in range(1000)]
        self.assertAlmostEqual(
            sum(rank < 0.3 for rank in ranks) / 1000, 0.3, delta=0.05
        )
