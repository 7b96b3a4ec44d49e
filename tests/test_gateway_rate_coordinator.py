"""Tests of the division of rate limits among instances."""

from itertools import pairwise
from unittest import TestCase

from hypothesis import given, strategies as st

from savorypond.gateway.rate_coordinator import (
    LEASE_TIME,
    MIN_RATE,
    SERVICE_TIMEOUT,
    UNLEASED_SHARE,
    RateCoordinator,
    divide_room,
)
from savorypond.gateway.rate_messages import RateClaim, ServerLimit
from tests.gateway_fakes import server


def claim(rate=10.0, *, demand=None, age=0.0, started=1, name="s1"):
    limit = ServerLimit(name=name, started=started, rate=rate, age=age)
    demand = {1: 5.0} if demand is None else demand
    return RateClaim(service="s", limits=(limit,), demand=demand)


def make_coordinator(servers, *, instances=1):
    return RateCoordinator(
        servers=lambda service: servers, instance_count=lambda: instances
    )


class LeaseTests(TestCase):
    def setUp(self):
        self.servers = (server("s1"),)
        self.coordinator = make_coordinator(self.servers)

    def lease(self, instance, now, **options):
        share = self.coordinator.divide(instance, claim(**options), now)
        (of_server,) = share.servers
        return of_server.rate

    def test_leases_follow_demand(self):
        for now in (0.0, 0.5, 1.0):
            large = self.lease("a", now, demand={1: 30.0})
            small = self.lease("b", now, demand={1: 10.0})
        self.assertGreater(large, 2.0 * small)
        self.assertGreater(small, 0.0)
        self.assertGreater(large + small, 9.0)

    @given(
        st.lists(
            st.tuples(
                st.sampled_from("abcdef"),
                st.floats(0.0, 1.0),
                st.floats(0.0, 50.0),
                st.floats(0.0, 20.0),
            ),
            max_size=40,
        )
    )
    def test_leases_never_exceed_the_smallest_limit_they_were_made_from(self, steps):
        coordinator = make_coordinator(self.servers)
        now, leases, rates = 0.0, {}, []
        for instance, pause, demand, rate in steps:
            now += pause
            share = coordinator.divide(
                instance, claim(rate=rate, demand={1: demand}), now
            )
            leases[instance] = (share.servers[0].rate, now + LEASE_TIME)
            rates.append((rate, now))
            current = [lease for lease, until in leases.values() if now < until]
            recent = [r for r, at in rates if now - at < LEASE_TIME]
            self.assertLessEqual(sum(current), max(*recent, MIN_RATE) + 1e-6)

    def test_a_lease_that_is_not_renewed_returns_to_the_others(self):
        for now in (0.0, 0.5, 1.0):
            self.lease("a", now)
            before = self.lease("b", now)
        after = self.lease("b", 1.0 + LEASE_TIME)
        self.assertGreater(after, 1.8 * before)

    def test_leaves_a_part_to_instances_that_do_not_claim(self):
        alone = make_coordinator(self.servers, instances=10)
        rate = alone.divide("a", claim(), 0.0).servers[0].rate
        self.assertLess(rate, 10.0 * (1.0 - UNLEASED_SHARE * 0.9))

    def test_the_newest_observation_of_a_limit_counts(self):
        self.lease("a", 0.0, rate=10.0)
        share = self.coordinator.divide("b", claim(rate=3.0, age=0.1), 1.0)
        self.assertEqual(share.servers[0].limit.rate, 3.0)
        share = self.coordinator.divide("a", claim(rate=10.0, age=1.5), 1.5)
        self.assertEqual(share.servers[0].limit.rate, 3.0)
        share = self.coordinator.divide("a", claim(rate=None, age=0.0), 2.0)
        self.assertEqual(
            (share.servers[0].limit.rate, share.servers[0].rate), (None, 0)
        )

    def test_a_new_incarnation_of_a_server_replaces_its_limit(self):
        self.lease("a", 0.0, rate=10.0)
        share = self.coordinator.divide("b", claim(rate=4.0, started=2, age=5.0), 1.0)
        self.assertEqual(share.servers[0].limit.rate, 4.0)
        share = self.coordinator.divide("a", claim(rate=10.0, age=0.0), 1.5)
        self.assertEqual(share.servers[0].limit.rate, 4.0)

    def test_the_end_of_a_limit_of_zero_can_be_noticed(self):
        self.assertGreater(self.lease("a", 0.0, rate=0.0), 0.0)

    def test_forgets_services_that_are_no_longer_claimed(self):
        self.lease("a", 0.0)
        self.coordinator.expire(SERVICE_TIMEOUT)
        self.assertGreater(self.lease("b", SERVICE_TIMEOUT), 9.0)


class AdmissionTests(TestCase):
    def admitted(self, servers, **options):
        coordinator = make_coordinator(servers)
        return coordinator.divide("a", claim(**options), 0.0).admitted

    def test_admits_everything_while_a_server_has_no_limit(self):
        servers = (server("s1"), server("s2"))
        self.assertEqual(self.admitted(servers, demand={1: 90.0}), {1: 1.0})

    def test_admits_what_the_servers_have_room_for(self):
        admitted = self.admitted((server("s1"),), demand={1: 20.0})
        self.assertGreater(admitted[1], 0.4)
        self.assertLess(admitted[1], 0.5)

    def test_urgent_requests_go_first(self):
        admitted = divide_room(14.0, {0: 8.0, 1: 4.0, 2: 20.0})
        self.assertGreater(admitted[0], admitted[1])
        self.assertGreater(admitted[1], admitted[2])
        self.assertGreater(admitted[2], 0.0)

    @given(
        st.floats(0.0, 100.0),
        st.dictionaries(st.integers(0, 5), st.floats(0.0, 100.0), min_size=1),
    )
    def test_admits_no_more_than_there_is_room_for(self, room, demand):
        admitted = divide_room(room, demand)
        self.assertEqual(admitted.keys(), demand.keys())
        for share in admitted.values():
            self.assertGreaterEqual(share, 0.0)
            self.assertLessEqual(share, 1.0 + 1e-9)
        total = sum(demand[p] * share for p, share in admitted.items())
        self.assertLessEqual(total, max(room, 0.0) * (1 + 1e-9) + 1e-9)
        shares = [admitted[p] for p in sorted(p for p in admitted if demand[p])]
        for more_urgent, less_urgent in pairwise(shares):
            self.assertGreaterEqual(more_urgent, less_urgent - 1e-9)
