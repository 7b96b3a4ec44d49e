"""Tests of the rate limits that backend servers announce."""

from random import Random
from unittest import TestCase

from savorypond.gateway.rate_coordinator import RESERVED_SHARE
from savorypond.gateway.rate_messages import RateShare, ServerLimit, ServerShare
from savorypond.gateway.request_tokens import LEASE_TIME
from savorypond.gateway.server_rate_limits import (
    ENDED_RETENTION,
    UNREGISTERED_RETENTION,
    USAGE_INTERVAL,
    ServerRateLimits,
)
from savorypond.model import Counters
from tests.gateway_fakes import server


class ObservationTests(TestCase):
    def setUp(self):
        self.counters = Counters()
        self.limits = ServerRateLimits(random=Random(1), counters=self.counters)
        self.server = server("s1")

    def changes(self):
        names = ("announced", "changed", "ended")
        return tuple(self.counters.value("gateway_rate_limits", n) for n in names)

    def observe(self, rate, *, sent_at, now):
        self.limits.observe(self.server, rate, sent_at=sent_at, now=now)

    def test_counts_when_a_limit_is_announced_changes_and_ends(self):
        self.observe(None, sent_at=0.0, now=0.1)
        self.assertEqual(self.changes(), (0, 0, 0))
        self.observe(7.0, sent_at=0.2, now=0.3)
        self.observe(7.0, sent_at=0.4, now=0.5)
        self.observe(5.5, sent_at=0.6, now=0.7)
        self.assertEqual(self.changes(), (1, 1, 0))
        self.observe(None, sent_at=0.8, now=0.9)
        self.assertEqual(self.changes(), (1, 1, 1))

    def test_an_answer_to_an_earlier_request_does_not_end_a_limit(self):
        self.observe(7.0, sent_at=0.2, now=0.3)
        self.observe(None, sent_at=0.25, now=0.4)
        self.assertEqual(self.changes(), (1, 0, 0))

    def test_counts_attempts_at_servers_with_a_limit_by_kind(self):
        self.limits.record_sent(self.server, extra=False, now=0.0)
        self.observe(7.0, sent_at=0.0, now=0.1)
        self.limits.record_sent(self.server, extra=False, now=0.2)
        self.limits.record_sent(self.server, extra=True, now=0.3)
        sent = [
            self.counters.value("gateway_limited_attempts", kind)
            for kind in ("first", "extra")
        ]
        self.assertEqual(sent, [1, 1])

    def test_logs_the_use_of_a_server_at_intervals(self):
        self.observe(7.0, sent_at=0.0, now=0.0)
        with self.assertLogs("absl", "INFO") as logs:
            for step in range(22):
                now = 0.1 + step * USAGE_INTERVAL / 10.0
                self.limits.record_sent(self.server, extra=step % 5 == 0, now=now)
        usage = [record.savorypond_fields for record in logs.records]
        self.assertEqual([line["first"] + line["extra"] for line in usage], [11, 11])
        self.assertEqual([line["extra"] for line in usage], [3, 2])

    def test_tells_others_of_large_changes_only(self):
        told = []
        for step, rate in enumerate((8.0, 7.0, 9.0, 5.0, 5.5, 9.0, None, None)):
            now = float(step)
            self.observe(rate, sent_at=now, now=now + 0.1)
            news = self.limits.take_news(now + 0.2)
            told += [limit.rate for limits in news.values() for limit in limits]
        self.assertEqual(told, [8.0, 5.0, 9.0, None])


class UseTests(TestCase):
    def setUp(self):
        self.limits = ServerRateLimits(random=Random(1), counters=Counters())
        self.limits.set_instance_count(7)
        self.server = server("s1")

    def observe(self, rate, now):
        self.limits.observe(self.server, rate, sent_at=now, now=now)

    def grant(self, tokens, now, *, limit=7.0, started=1):
        known = ServerLimit(name="s1", started=started, rate=limit, age=0.0)
        share = ServerShare(limit=known, tokens=tokens)
        self.limits.apply(
            RateShare(service="s", servers=(share,), admitted={}),
            claimed_at=now,
            now=now,
        )

    def sent(self, start, end):
        """Send whenever there is room; return the number of requests."""
        sent = 0
        for step in range(int((end - start) * 100)):
            now = start + step / 100
            if self.limits.has_room(self.server, now):
                self.limits.record_sent(self.server, extra=False, now=now)
                sent += 1
        return sent

    def test_servers_without_a_limit_always_have_room(self):
        self.assertEqual(self.sent(0.0, 1.0), 100)

    def test_uses_an_even_part_without_a_grant(self):
        self.observe(14.0, 0.0)
        sent = self.sent(0.0, 200.0)
        self.assertAlmostEqual(sent, 14.0 * 200.0 * RESERVED_SHARE / 7, delta=20)

    def test_an_instance_that_has_just_started_assumes_many_others(self):
        self.limits = ServerRateLimits(random=Random(1), counters=Counters())
        self.observe(14.0, 0.0)
        self.assertLess(self.sent(0.0, 10.0), 2)

    def test_uses_its_tokens_while_they_last(self):
        self.observe(7.0, 0.0)
        self.grant(4, 0.0)
        self.assertEqual(self.limits.held("s", 0.0), {"s1": 4})
        self.assertEqual(self.sent(0.0, 0.5), 4)
        self.grant(2, 0.5)
        self.assertEqual(self.limits.held("s", 0.5 + LEASE_TIME), {"s1": 0})

    def test_a_lower_limit_applies_before_the_next_grant(self):
        self.grant(60, 0.0)
        self.observe(0.7, 0.0)
        self.assertAlmostEqual(self.sent(0.0, 1.0), 6, delta=1)

    def test_tokens_count_from_the_claim(self):
        self.observe(7.0, 0.0)
        known = ServerLimit(name="s1", started=1, rate=7.0, age=0.0)
        share = RateShare(
            service="s",
            servers=(ServerShare(limit=known, tokens=5),),
            admitted={},
        )
        self.limits.apply(share, claimed_at=0.0, now=0.4)
        self.assertEqual(self.limits.held("s", LEASE_TIME), {"s1": 0})

    def test_tokens_of_an_earlier_incarnation_are_not_used(self):
        self.grant(5, 0.0)
        self.limits.observe(server("s1", started=2), 7.0, sent_at=0.1, now=0.2)
        self.assertEqual(self.limits.held("s", 0.2), {"s1": 0})
        self.grant(5, 0.3)
        self.assertEqual(self.limits.held("s", 0.3), {"s1": 0})

    def test_an_unsent_attempt_is_taken_back(self):
        self.observe(7.0, 0.0)
        self.grant(1, 0.0)
        self.limits.record_sent(self.server, extra=False, now=0.0)
        self.assertFalse(self.limits.has_room(self.server, 0.0))
        self.limits.record_unsent(self.server, 0.0)
        self.assertTrue(self.limits.has_room(self.server, 0.0))

    def test_learns_a_limit_and_its_end_from_another_instance(self):
        known = ServerLimit(name="s1", started=1, rate=7.0, age=1.0)
        self.limits.learn("s", (known,), 5.0)
        self.assertTrue(self.limits.has_limit(self.server))
        older = ServerLimit(name="s1", started=1, rate=None, age=3.0)
        self.limits.learn("s", (older,), 5.0)
        self.assertTrue(self.limits.has_limit(self.server))
        newer = ServerLimit(name="s1", started=1, rate=None, age=0.5)
        self.limits.learn("s", (newer,), 5.0)
        self.assertFalse(self.limits.has_limit(self.server))

    def test_a_new_incarnation_has_no_limit(self):
        self.observe(7.0, 0.0)
        self.assertFalse(self.limits.has_limit(server("s1", started=2)))

    def test_a_lapsed_registration_does_not_lose_a_limit(self):
        self.observe(7.0, 0.0)
        self.limits.retain((), 10.0)
        self.assertTrue(self.limits.has_limit(self.server))
        self.limits.retain((), UNREGISTERED_RETENTION)
        self.assertFalse(self.limits.is_limited("s"))

    def test_forgets_an_ended_limit_once_others_have_learned_of_it(self):
        self.observe(7.0, 0.0)
        self.observe(None, 1.0)
        self.limits.retain((self.server,), 2.0)
        (known,) = self.limits.known("s", 2.0)
        self.assertIsNone(known.rate)
        self.limits.retain((self.server,), 1.0 + ENDED_RETENTION)
        self.assertEqual(self.limits.services, ())
