"""Tests of the division of rate limits among instances."""

from itertools import pairwise
from random import Random
from unittest import TestCase

from hypothesis import given, strategies as st

from savorypond.gateway.rate_coordinator import (
    MIN_RATE,
    SERVICE_TIMEOUT,
    SILENCE_TIME,
    RateCoordinator,
    divide_room,
)
from savorypond.gateway.rate_messages import RateClaim, ServerLimit
from savorypond.gateway.request_tokens import LEASE_TIME
from tests.gateway_fakes import server


def claim(rate=10.0, *, demand=None, age=0.0, started=1, name="s1", held=0):
    limit = ServerLimit(name=name, started=started, rate=rate, age=age)
    demand = {1: 5.0} if demand is None else demand
    return RateClaim(service="s", limits=(limit,), demand=demand, held={name: held})


def make_coordinator(servers, *, instances=1, reachable_share=1.0):
    return RateCoordinator(
        servers=lambda service: servers,
        instance_count=lambda: instances,
        reachable_share=lambda: reachable_share,
        random=Random(1),
    )


class TokenTests(TestCase):
    def setUp(self):
        self.servers = (server("s1"),)
        self.coordinator = make_coordinator(self.servers)

    def tokens(self, instance, now, *, coordinator=None, **options):
        coordinator = coordinator or self.coordinator
        share = coordinator.divide(instance, claim(**options), now)
        (of_server,) = share.servers
        return of_server.tokens

    def used(self, seconds, demands, *, start=0.0, **options):
        """Return the tokens that instances get which use them all, by instance."""
        granted = dict.fromkeys(demands, 0)
        for step in range(int(seconds * 2)):
            for instance, demand in demands.items():
                now = start + step / 2
                granted[instance] += self.tokens(
                    instance, now, demand={1: demand}, **options
                )
        return granted

    def test_tokens_follow_demand_and_are_all_used(self):
        granted = self.used(60.0, {"a": 30.0, "b": 10.0})
        self.assertGreater(granted["a"], 2.0 * granted["b"])
        self.assertGreater(granted["b"], 0)
        self.assertGreater(sum(granted.values()), 0.9 * 10.0 * 60.0)
        self.assertLessEqual(sum(granted.values()), 10.0 * 60.0)

    def test_many_instances_share_a_small_limit(self):
        demands = {f"i{n}": 1.0 for n in range(60)}
        granted = self.used(100.0, demands, rate=3.0)
        self.assertGreater(sum(granted.values()), 0.9 * 3.0 * 100.0)
        self.assertLessEqual(sum(granted.values()), 3.0 * 100.0)
        self.assertGreater(min(granted.values()), 0)

    def test_instances_hold_no_more_than_may_be_saved(self):
        for step in range(50):
            held = {}
            for n in range(60):
                now = step / 2
                before = held.get(n, 0)
                held[n] = before + self.tokens(f"i{n}", now, rate=3.0, held=before)
        self.assertLessEqual(sum(held.values()), 4)

    def test_tokens_that_are_not_claimed_again_return_to_the_others(self):
        self.used(5.0, {"a": 5.0, "b": 5.0})
        granted = self.used(20.0, {"b": 5.0}, start=5.0 + SILENCE_TIME)
        self.assertGreater(granted["b"], 0.9 * 10.0 * 20.0)

    def test_keeps_the_part_of_instances_that_have_just_become_silent(self):
        """They may be cut off and have another coordinator."""
        self.used(5.0, {"a": 5.0, "b": 5.0, "c": 10.0})
        end = 5.0 + LEASE_TIME
        granted = self.used(SILENCE_TIME - 2.0 * LEASE_TIME, {"a": 5.0}, start=end)
        self.assertLess(granted["a"], 0.5 * 10.0 * (SILENCE_TIME - 2.0 * LEASE_TIME))

    def test_leaves_a_part_to_instances_that_do_not_claim(self):
        self.coordinator = make_coordinator(self.servers, instances=10)
        granted = self.used(60.0, {"a": 5.0})
        self.assertLess(granted["a"], 0.82 * 10.0 * 60.0)

    def test_instances_that_do_not_reach_each_other_divide_a_limit(self):
        total = 0
        for reachable, demands in ((4, "abcd"), (3, "efg")):
            self.coordinator = make_coordinator(
                self.servers, instances=7, reachable_share=reachable / 7
            )
            granted = self.used(60.0, dict.fromkeys(demands, 5.0))
            total += sum(granted.values())
        self.assertLessEqual(total, 10.0 * 60.0)
        self.assertGreater(total, 0.7 * 10.0 * 60.0)

    def known_rate(self, instance, now, **options):
        (of_server,) = self.coordinator.divide(instance, claim(**options), now).servers
        return of_server.limit.rate

    def test_the_newest_observation_of_a_limit_counts(self):
        self.assertEqual(self.known_rate("a", 0.0, rate=10.0), 10.0)
        self.assertEqual(self.known_rate("b", 1.0, rate=3.0, age=0.1), 3.0)
        self.assertEqual(self.known_rate("a", 1.5, rate=10.0, age=1.5), 3.0)
        self.assertIsNone(self.known_rate("a", 2.0, rate=None))
        self.assertEqual(self.tokens("a", 9.0, rate=None), 0)

    def test_a_new_incarnation_of_a_server_replaces_its_limit(self):
        self.known_rate("a", 0.0, rate=10.0)
        self.assertEqual(self.known_rate("b", 1.0, rate=4.0, started=2, age=5.0), 4.0)
        self.assertEqual(self.known_rate("a", 1.5, rate=10.0), 4.0)

    def test_the_end_of_a_limit_of_zero_can_be_noticed(self):
        granted = self.used(5.0 / MIN_RATE, {"a": 5.0}, rate=0.0)
        self.assertIn(granted["a"], range(3, 6))

    def test_forgets_services_that_are_no_longer_claimed(self):
        self.known_rate("a", 0.0, rate=3.0)
        self.coordinator.expire(SERVICE_TIMEOUT)
        rate = self.known_rate("b", SERVICE_TIMEOUT, rate=10.0, age=99.0)
        self.assertEqual(rate, 10.0)


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
