"""Tests of savorypond.gateway.server_load."""

from unittest import TestCase

from savorypond.gateway.server_load import DEFAULT_SERVER_LOAD, ServerLoadTracker
from tests.gateway_fakes import FixedRandom, server

MEAN_LATENCY = 0.03


class ServerLoadTrackerTests(TestCase):
    def setUp(self):
        self.tracker = ServerLoadTracker(data_centre="a", random=FixedRandom())
        self.local = server("local")
        self.remote = server("remote", data_centre="b")

    def choose(self, now, *, exclude=()):
        chosen = self.tracker.choose(
            (self.remote, self.local),
            exclude=exclude,
            mean_latency=MEAN_LATENCY,
            now=now,
        )
        return chosen.name if chosen is not None else None

    def answer(self, candidate, seconds, now):
        number = self.tracker.begin(candidate, now - seconds)
        self.tracker.record_answer(
            candidate, number, mean_latency=MEAN_LATENCY, now=now
        )

    def test_prefers_the_local_data_centre(self):
        self.assertEqual(self.choose(0.0), "local")

    def test_never_returns_an_excluded_server(self):
        self.assertEqual(self.choose(0.0, exclude={"local"}), "remote")
        self.assertIsNone(self.choose(0.0, exclude={"local", "remote"}))

    def test_avoids_a_slow_server_until_its_latency_decays(self):
        for step in range(5):
            self.answer(self.local, 0.3, 1.0 + step / 10)
        self.assertEqual(self.choose(1.5), "remote")
        self.assertEqual(self.choose(30.0), "local")

    def test_avoids_a_server_with_an_overdue_attempt(self):
        self.tracker.begin(self.local, 0.0)
        self.assertEqual(self.choose(0.2), "remote")

    def test_failures_eject_a_server_until_one_attempt_probes_it(self):
        for _ in range(DEFAULT_SERVER_LOAD.failures):
            number = self.tracker.begin(self.local, 0.0)
            self.tracker.record_failure(self.local, number, unreachable=False, now=0.0)
        self.assertEqual(self.choose(0.1), "remote")
        self.assertIsNone(self.choose(0.1, exclude={"remote"}))
        self.assertEqual(self.choose(0.5, exclude={"remote"}), "local")
        number = self.tracker.begin(self.local, 0.5)
        self.assertIsNone(self.choose(0.55, exclude={"remote"}))
        self.tracker.record_answer(
            self.local, number, mean_latency=MEAN_LATENCY, now=0.6
        )
        self.assertEqual(self.choose(0.6, exclude={"remote"}), "local")

    def test_rejections_make_a_server_less_likely_but_do_not_eject_it(self):
        """A faulty request, which all servers reject, must not disable them."""
        for _ in range(10 * DEFAULT_SERVER_LOAD.failures):
            number = self.tracker.begin(self.local, 0.0)
            self.tracker.record_rejection(self.local, number, now=0.0)
        self.assertEqual(self.choose(0.1), "remote")
        self.assertEqual(self.choose(0.1, exclude={"remote"}), "local")

    def test_an_attempt_that_was_never_sent_does_not_count(self):
        for _ in range(DEFAULT_SERVER_LOAD.failures):
            number = self.tracker.begin(self.local, 0.0)
            self.tracker.forget(self.local, number, now=0.5)
        self.assertEqual(self.choose(0.5), "local")

    def test_a_closed_port_ejects_a_server_at_once(self):
        number = self.tracker.begin(self.local, 0.0)
        self.tracker.record_failure(self.local, number, unreachable=True, now=0.0)
        self.assertEqual(self.choose(0.1), "remote")

    def test_the_age_of_an_abandoned_attempt_counts_as_latency(self):
        for step in range(4):
            number = self.tracker.begin(self.local, step / 10)
            self.tracker.record_abandoned(
                self.local, number, mean_latency=MEAN_LATENCY, now=0.3 + step / 10
            )
        self.assertEqual(self.choose(0.7), "remote")

    def test_a_new_incarnation_starts_without_history(self):
        number = self.tracker.begin(self.local, 0.0)
        self.tracker.record_failure(self.local, number, unreachable=True, now=0.0)
        self.local = server("local", started=2)
        self.assertEqual(self.choose(0.1), "local")

    def test_a_cold_server_costs_more(self):
        self.local = server("local", cold_for=3.0)
        self.remote = server("other")
        self.assertEqual(self.choose(0.0), "other")

    def test_one_server_is_probed_early_when_all_are_ejected(self):
        for moment in (0.0, 1.0, 2.0):
            for candidate in (self.local, self.remote):
                number = self.tracker.begin(candidate, moment)
                self.tracker.record_failure(
                    candidate, number, unreachable=True, now=moment
                )
        self.assertIsNone(self.choose(2.1))
        probe_at = 2.01 + DEFAULT_SERVER_LOAD.all_ejected_retry
        self.assertIsNotNone(self.choose(probe_at))
        self.tracker.begin(self.local, probe_at)
        self.assertIsNone(self.choose(probe_at))

    def test_a_crash_counts_for_a_moment_and_not_as_a_failure(self):
        for moment in range(4):
            number = self.tracker.begin(self.local, float(moment))
            self.tracker.record_crash(self.local, number, now=float(moment))
            self.assertEqual(self.choose(moment + 0.1), "remote")
            later = moment + DEFAULT_SERVER_LOAD.base_ejection
            self.assertEqual(self.choose(later), "local")
