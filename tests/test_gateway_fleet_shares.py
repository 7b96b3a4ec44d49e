"""Tests of savorypond.gateway.fleet_shares."""

from types import SimpleNamespace
from unittest import TestCase

from savorypond.gateway.fleet_shares import (
    LOST_TIME,
    MIN_DELEGATE_CONNECTIONS,
    MIN_INSTANCES,
    FleetShares,
)


def make_shares(*, known, live, lost_at=()):
    """Return the shares at 100 s, with peers lost at some times."""
    membership = SimpleNamespace(
        fleet_size=known,
        lost_since=lambda start: sum(at >= start for at in lost_at),
    )
    return FleetShares(
        membership=lambda: membership,
        peers=lambda: (None,) * (live - 1),
        clock=SimpleNamespace(now=lambda: 100.0),
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
        shares = make_shares(known=10, live=6, lost_at=(95.0,) * 4)
        self.assertEqual(shares.instance_count(), 10)
        self.assertAlmostEqual(shares.reachable_share(), 0.6)

    def test_instances_that_ended_long_ago_leave_their_shares(self):
        shares = make_shares(known=10, live=6, lost_at=(99.0 - LOST_TIME,) * 4)
        self.assertEqual(shares.reachable_share(), 1.0)

    def test_an_instance_alone_reaches_itself(self):
        self.assertEqual(make_shares(known=1, live=1).reachable_share(), 1.0)
