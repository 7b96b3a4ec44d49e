"""Tests of savorypond.gateway.servers."""

from math import inf
from unittest import TestCase

from savorypond.gateway.servers import LAPSE_GRACE, ServerRegistry
from tests.gateway_fakes import server


def names(registry, service="s"):
    return {registered.name for registered in registry.servers(service)}


class ServerRegistryTests(TestCase):
    def setUp(self):
        self.registry = ServerRegistry()
        self.registry.replace_all([server(f"i{n}") for n in range(8)], 0.0)

    def test_a_leaving_server_gets_no_new_requests(self):
        self.registry.apply([("i0", server("i0", leaving=True))], 1.0)
        self.assertNotIn("i0", names(self.registry))

    def test_a_removed_server_is_dropped_at_once(self):
        self.registry.apply([("i0", None)], 1.0)
        self.assertNotIn("i0", names(self.registry))

    def test_a_restart_under_the_same_name_is_registered(self):
        self.registry.apply([("i0", server("i0", leaving=True))], 1.0)
        self.registry.apply([("i0", server("i0", started=2, port=9))], 2.0)
        self.assertIn("i0", names(self.registry))

    def test_registrations_that_lapsed_in_an_outage_are_kept_for_the_grace_period(self):
        self.registry.start_outage()
        self.registry.end_outage(5.0)
        self.registry.replace_all([server("i1")], 5.0)
        self.assertEqual(len(names(self.registry)), 8)
        self.registry.apply([("i2", server("i2"))], 6.0)
        expired = self.registry.expire(5.0 + LAPSE_GRACE)
        self.assertEqual(len(expired), 6)
        self.assertEqual(names(self.registry), {"i1", "i2"})

    def test_a_leaving_server_has_no_grace_period(self):
        self.registry.apply([("i0", server("i0", leaving=True))], 1.0)
        self.registry.start_outage()
        self.registry.end_outage(5.0)
        self.registry.replace_all([server(f"i{n}") for n in range(1, 8)], 5.0)
        self.assertEqual(self.registry.count, 7)

    def test_planned_removals_of_many_servers_do_not_count_as_an_outage(self):
        self.registry.apply(
            [(f"i{n}", server(f"i{n}", leaving=True)) for n in range(6)], 1.0
        )
        self.registry.apply([(f"i{n}", None) for n in range(7)], 4.0)
        self.assertEqual(names(self.registry), {"i7"})

    def test_many_simultaneous_lapses_count_as_an_outage(self):
        self.registry.apply([(f"i{n}", None) for n in range(5)], 1.0)
        self.assertEqual(len(names(self.registry)), 8)
        self.registry.expire(1.0 + LAPSE_GRACE)
        self.assertEqual(len(names(self.registry)), 3)

    def test_the_end_of_the_next_grace_period_is_known(self):
        self.assertEqual(self.registry.next_expiry(), inf)
        self.registry.apply([(f"i{n}", None) for n in range(5)], 1.0)
        self.assertEqual(self.registry.next_expiry(), 1.0 + LAPSE_GRACE)
        self.registry.expire(1.0 + LAPSE_GRACE)
        self.assertEqual(self.registry.next_expiry(), inf)
