"""Tests of the rate limits that backend servers announce."""

from unittest import TestCase

from savorypond.gateway.server_rate_limits import USAGE_INTERVAL, ServerRateLimits
from savorypond.model import Counters
from tests.gateway_fakes import server


class ObservationTests(TestCase):
    def setUp(self):
        self.counters = Counters()
        self.limits = ServerRateLimits(counters=self.counters)
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
