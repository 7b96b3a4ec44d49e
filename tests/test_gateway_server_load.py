"""Tests of savorypond.gateway.server_load."""

from unittest import TestCase

from savorypond.gateway.server_load import DEFAULT_SERVER_LOAD, ServerLoads
from tests.gateway_fakes import FixedRandom, server

USUAL = 0.03


class ServerLoadsTests(TestCase):
    def setUp(self):
        self.loads = ServerLoads(data_centre="a", random=FixedRandom())
        self.near = server("near")
        self.far = server("far", data_centre="b")

    def choose(self, now, *, exclude=()):
        chosen = self.loads.choose(
            (self.far, self.near), exclude=exclude, usual=USUAL, now=now
        )
        return chosen.name if chosen is not None else None

    def answer(self, one, seconds, now):
        number = self.loads.begin(one, now - seconds)
        self.loads.answered(one, number, usual=USUAL, now=now)

    def test_prefers_the_own_data_centre(self):
        self.assertEqual(self.choose(0.0), "near")

    def test_leaves_out_what_is_excluded(self):
        self.assertEqual(self.choose(0.0, exclude={"near"}), "far")
        self.assertIsNone(self.choose(0.0, exclude={"near", "far"}))

    def test_goes_past_a_slow_server_and_tries_it_again_later(self):
        for step in range(5):
            self.answer(self.near, 0.3, 1.0 + step / 10)
        self.assertEqual(self.choose(1.5), "far")
        self.assertEqual(self.choose(30.0), "near")

    def test_goes_past_a_server_with_an_overdue_attempt(self):
        self.loads.begin(self.near, 0.0)
        self.assertEqual(self.choose(0.2), "far")

    def test_failures_rest_a_server_and_one_attempt_tries_it(self):
        for _ in range(DEFAULT_SERVER_LOAD.failures):
            number = self.loads.begin(self.near, 0.0)
            self.loads.failed(self.near, number, gone=False, now=0.0)
        self.assertEqual(self.choose(0.1), "far")
        self.assertIsNone(self.choose(0.1, exclude={"far"}))
        self.assertEqual(self.choose(0.5, exclude={"far"}), "near")
        number = self.loads.begin(self.near, 0.5)
        self.assertIsNone(self.choose(0.55, exclude={"far"}))
        self.loads.answered(self.near, number, usual=USUAL, now=0.6)
        self.assertEqual(self.choose(0.6, exclude={"far"}), "near")

    def test_an_attempt_that_was_never_made_does_not_count(self):
        for _ in range(DEFAULT_SERVER_LOAD.failures):
            number = self.loads.begin(self.near, 0.0)
            self.loads.dropped(self.near, number, now=0.5)
        self.assertEqual(self.choose(0.5), "near")

    def test_a_closed_port_rests_a_server_at_once(self):
        number = self.loads.begin(self.near, 0.0)
        self.loads.failed(self.near, number, gone=True, now=0.0)
        self.assertEqual(self.choose(0.1), "far")

    def test_an_abandoned_attempt_shows_at_least_its_age(self):
        for step in range(4):
            number = self.loads.begin(self.near, step / 10)
            self.loads.abandoned(self.near, number, usual=USUAL, now=0.3 + step / 10)
        self.assertEqual(self.choose(0.7), "far")

    def test_another_incarnation_starts_afresh(self):
        number = self.loads.begin(self.near, 0.0)
        self.loads.failed(self.near, number, gone=True, now=0.0)
        self.near = server("near", started=2)
        self.assertEqual(self.choose(0.1), "near")

    def test_a_cold_server_is_taken_for_slower(self):
        self.near = server("near", cold_for=3.0)
        self.far = server("beside it")
        self.assertEqual(self.choose(0.0), "beside it")

    def test_where_all_servers_rest_one_is_tried_again_soon(self):
        for moment in (0.0, 1.0, 2.0):
            for one in (self.near, self.far):
                number = self.loads.begin(one, moment)
                self.loads.failed(one, number, gone=True, now=moment)
        self.assertIsNone(self.choose(2.1))
        again = 2.01 + DEFAULT_SERVER_LOAD.dark_rest
        self.assertIsNotNone(self.choose(again))
        self.loads.begin(self.near, again)
        self.assertIsNone(self.choose(again))
