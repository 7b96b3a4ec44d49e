"""Tests of savorypond.gateway.fleet_shares."""

from types import SimpleNamespace
from unittest import TestCase

from savorypond.gateway.fleet_shares import (
    MIN_DELEGATE_CONNECTIONS,
    MIN_INSTANCES,
    FleetShares,
)
from tests.simulated_fleet import SimulatedFleet


def make_shares(*, known, live):
    membership = SimpleNamespace(fleet_size=known, confirmed_size=known)
    return FleetShares(
        membership=lambda: membership, peers=lambda: (None,) * (live - 1)
    )


def share_of(node):
    name = node.instance.name
    return FleetShares(
        membership=lambda: node.membership,
        peers=lambda: [p for p in node.membership.live() if p.name != name],
    )


class FleetSharesTests(TestCase):
    def test_a_server_gets_no_more_connections_than_it_accepts(self):
        for known in (1, 7, 65):
            shares = make_shares(known=known, live=known)
            each = shares.connections(100, is_chunked=False)
            self.assertLessEqual(each * max(known, MIN_INSTANCES), 100)

    def test_every_instance_may_connect(self):
        shares = make_shares(known=195, live=195)
        self.assertEqual(shares.connections(26, is_chunked=False), 1)
        each = shares.connections(26, is_chunked=True)
        self.assertEqual(each, MIN_DELEGATE_CONNECTIONS)

    def test_instances_that_are_cut_off_keep_their_shares(self):
        shares = make_shares(known=10, live=6)
        self.assertEqual(shares.instance_count(), 10)
        self.assertAlmostEqual(shares.reachable_share(), 0.6)

    def test_data_centres_that_are_cut_off_keep_their_shares(self):
        """Large data centres become unreachable as a whole, small ones one by one."""
        for size, data_centres in ((9, 3), (40, 5)):
            with self.subTest(size):
                fleet = SimulatedFleet(size=size, data_centres=data_centres)
                fleet.run(5.0)
                fleet.cut = lambda sender, target: (
                    (sender.instance.data_centre == "dc0")
                    != (target.instance.data_centre == "dc0")
                )
                for seconds in (10.0, 300.0):
                    fleet.run(seconds)
                    both = [share_of(fleet.node(n)).reachable_share() for n in (0, 1)]
                    self.assertAlmostEqual(both[0], 1 / data_centres)
                    self.assertAlmostEqual(sum(both), 1.0)

    def test_an_instance_that_starts_cut_off_takes_only_its_part(self):
        fleet = SimulatedFleet(size=4)
        fleet.cut = lambda sender, target: fleet.node(0) in (sender, target)
        fleet.run(30.0)
        self.assertEqual(share_of(fleet.node(0)).reachable_share(), 0.25)
        self.assertEqual(share_of(fleet.node(1)).reachable_share(), 1.0)

    def test_instances_that_left_or_never_answered_have_no_share(self):
        fleet = SimulatedFleet(size=7)
        fleet.node(5).alive = False
        fleet.run(5.0)
        fleet.leave(fleet.node(6))
        fleet.node(6).alive = False
        fleet.run(20.0)
        self.assertEqual(share_of(fleet.node(0)).reachable_share(), 1.0)

    def test_an_instance_alone_reaches_itself(self):
        self.assertEqual(make_shares(known=1, live=1).reachable_share(), 1.0)
