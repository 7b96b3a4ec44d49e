"""What callers get of the gateway's decisions under load, on a virtual clock."""

from dataclasses import replace
from unittest import TestCase

from tests.gateway_simulation import Site, play

CALM = Site()
URGENT = Site(work=0.0075, goal=0.088, limit=0.6, least=0.75)
WIDE = Site(shards=90, replicas=3, rate=3.0, least=0.95)
SLOW = Site(slow=0.2)
DARK = Site(down=0.15)
LOADS = {"calm": CALM, "urgent": URGENT, "wide": WIDE, "slow": SLOW, "dark": DARK}


class LoadTests(TestCase):
    def test_callers_get_more_than_of_a_plain_front_on_every_load(self):
        for name, site in LOADS.items():
            with self.subTest(name):
                self.assertGreater(play(site).worth, play(site, plain=True).worth)

    def test_a_pause_of_single_servers_costs_callers_nothing(self):
        for name in ("calm", "urgent", "wide"):
            with self.subTest(name):
                outcome = play(LOADS[name])
                self.assertEqual(outcome.in_goal, outcome.asked)
                self.assertGreaterEqual(outcome.worth, 0.99)

    def test_late_far_hedges_save_bytes_and_cost_callers_nothing(self):
        """A hundredth of worth is the least that counts as a difference."""
        for name in ("calm", "wide", "slow"):
            with self.subTest(name):
                late = play(LOADS[name])
                soon = play(LOADS[name], hedge_far="soon")
                self.assertLess(late.far_sends, soon.far_sends)
                self.assertGreaterEqual(late.worth, soon.worth - 0.01)

    def test_far_hedges_are_worth_their_bytes(self):
        never = play(URGENT, hedge_far="never")
        self.assertGreater(play(URGENT).worth, never.worth + 0.01)

    def test_what_cannot_be_served_is_given_up_at_once(self):
        outcome = play(DARK)
        self.assertGreater(outcome.failed, 0)
        times = sorted(outcome.failed_times)
        self.assertLess(times[len(times) // 2], 0.25 * DARK.goal)
        self.assertLess(times[-1], DARK.limit)

    def test_callers_are_served_again_once_servers_are_back(self):
        short = replace(DARK, spell=(8.0, 10.0))
        spell = (short.spell[1] - short.spell[0] + 1.0) / short.seconds
        outcome = play(short)
        self.assertLess(outcome.failed / outcome.asked, 1.5 * spell)

    def test_extra_sends_stay_within_the_budget(self):
        for name, site in LOADS.items():
            with self.subTest(name):
                outcome = play(site)
                firsts = outcome.asked * site.shards
                self.assertLess(outcome.extra, 0.2 * firsts + 9.0 * site.shards * 3)
