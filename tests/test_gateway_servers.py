"""Tests of savorypond.gateway.servers."""

from unittest import TestCase

from savorypond.gateway.servers import LAPSE_GRACE, ServerRegistry
from tests.gateway_fakes import server


def names(registry, service="s"):
    return {one.name for one in registry.servers(service)}


class ServerRegistryTests(TestCase):
    def setUp(self):
        self.registry = ServerRegistry()
        self.registry.replace_all([server(f"i{n}") for n in range(8)], 0.0)

    def test_a_leaving_server_gets_no_new_requests(self):
        self.registry.apply([("i0", server("i0", leaving=True))], 1.0)
        self.assertNotIn("i0", names(self.registry))

    def test_a_removed_server_is_gone_at_once(self):
        self.registry.apply([("i0", None)], 1.0)
        self.assertNotIn("i0", names(self.registry))

    def test_a_restart_under_the_same_name_is_taken(self):
        self.registry.apply([("i0", server("i0", leaving=True))], 1.0)
        self.registry.apply([("i0", server("i0", started=2, port=9))], 2.0)
        self.assertIn("i0", names(self.registry))

    def test_what_lapsed_while_the_store_was_away_stands_for_the_grace(self):
        self.registry.note_lost()
        self.registry.note_back(5.0)
        self.registry.replace_all([server("i1")], 5.0)
        self.assertEqual(len(names(self.registry)), 8)
        self.registry.apply([("i2", server("i2"))], 6.0)
        gone = self.registry.expire(5.0 + LAPSE_GRACE)
        self.assertEqual(len(gone), 6)
        self.assertEqual(names(self.registry), {"i1", "i2"})

    def test_a_leaving_server_has_no_grace(self):
        self.registry.apply([("i0", server("i0", leaving=True))], 1.0)
        self.registry.note_lost()
        self.registry.note_back(5.0)
        self.registry.replace_all([server(f"i{n}") for n in range(1, 8)], 5.0)
        self.assertEqual(self.registry.count, 7)

    def test_many_lapses_at_once_are_an_outage_that_nobody_noticed(self):
        self.registry.apply([(f"i{n}", None) for n in range(5)], 1.0)
        self.assertEqual(len(names(self.registry)), 8)
        self.registry.expire(1.0 + LAPSE_GRACE)
        self.assertEqual(len(names(self.registry)), 3)
