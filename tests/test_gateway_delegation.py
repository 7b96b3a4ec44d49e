"""Tests of savorypond.gateway.delegation."""

from unittest import TestCase

from savorypond.gateway.delegation import (
    BASE_EJECTION,
    CHUNK_SHARDS,
    DELEGATES_PER_CHUNK,
    DelegationPolicy,
)
from savorypond.gateway.servers import ServerRegistry
from savorypond.model import Address, Instance
from tests.gateway_fakes import FixedRandom, server


def peer(name, data_centre):
    address = Address(host="127.0.0.1", port=1)
    return Instance(
        name=name, data_centre=data_centre, peer_address=address, incarnation=1
    )


SERVICES = tuple(f"s{n}" for n in range(9))
B1, B2, C1 = peer("b1", "b"), peer("b2", "b"), peer("c1", "c")


class DelegationPolicyTests(TestCase):
    def setUp(self):
        self.registry = ServerRegistry()
        self.policy = DelegationPolicy(
            own_name="a1",
            data_centre="a",
            registry=self.registry,
            random=FixedRandom(),
        )

    def place(self, *data_centres):
        """Place the servers of each service in the named data centres."""
        self.registry.replace_all(
            [
                server(f"{service}-{location}", service=service, data_centre=location)
                for service, locations in zip(SERVICES, data_centres, strict=True)
                for location in locations
            ],
            0.0,
        )

    def choose(self, *peers, now=0.0):
        groups = self.policy.choose(SERVICES, peers, now)
        return [(group.peer.name, group.shards) for group in groups]

    def test_local_shards_are_not_delegated(self):
        self.place(*["ab"] * 9)
        self.assertEqual(self.choose(B1, C1), [])

    def test_remote_shards_go_to_a_peer_in_their_data_centre(self):
        self.place(*["ab"] * 5, *["bc"] * 4)
        self.assertEqual(self.choose(B1), [("b1", (5, 6, 7, 8))])

    def test_each_shard_goes_to_one_group(self):
        self.place(*["b"] * 5, *["c"] * 4)
        groups = self.choose(B1, C1)
        self.assertEqual(groups, [("b1", (0, 1, 2, 3, 4)), ("c1", (5, 6, 7, 8))])

    def test_a_wide_query_is_split_into_chunks(self):
        services = tuple(f"s{n}" for n in range(90))
        self.registry.replace_all(
            [server(f"{name}-a", service=name) for name in services], 0.0
        )
        peers = tuple(peer(f"a{n}", "a") for n in range(2, 20))
        groups = self.policy.choose(services, peers, 0.0)
        shards = [shard for group in groups for shard in group.shards]
        self.assertEqual(len(shards), len(set(shards)))
        self.assertGreaterEqual(len(groups), 5)
        self.assertTrue(all(len(group.shards) == CHUNK_SHARDS for group in groups))
        repeated = self.policy.choose(services, peers, 0.0)
        delegates = {g.shards: {g.peer.name} for g in groups}
        for group in repeated:
            delegates.setdefault(group.shards, set()).add(group.peer.name)
        self.assertTrue(
            all(len(names) <= DELEGATES_PER_CHUNK for names in delegates.values())
        )

    def test_remote_shards_of_a_wide_query_need_few_messages(self):
        services = tuple(f"s{n}" for n in range(90))
        self.registry.replace_all(
            [
                server(name, service=name, data_centre="b" if n % 4 == 0 else "a")
                for n, name in enumerate(services)
            ],
            0.0,
        )
        peers = (*(peer(f"a{n}", "a") for n in range(2, 9)), B1, B2)
        groups = self.policy.choose(services, peers, 0.0)
        remote = [g.shards for g in groups if g.peer.data_centre == "b"]
        self.assertEqual([len(shards) for shards in remote], [12, 11])
        self.assertEqual(
            [n for shards in remote for n in shards], list(range(0, 90, 4))
        )

    def test_few_remote_shards_are_not_delegated(self):
        self.place(*["ab"] * 7, *["bc"] * 2)
        self.assertEqual(self.choose(B1, C1), [])

    def test_without_peers_there_are_no_groups(self):
        self.place(*["b"] * 9)
        self.assertEqual(self.choose(), [])

    def test_the_least_busy_peer_gets_the_next_group(self):
        self.place(*["b"] * 9)
        self.policy.group_started(B1, due=1.0)
        self.assertEqual(self.choose(B1, B2)[0][0], "b2")

    def test_a_peer_that_failed_is_ejected(self):
        self.place(*["b"] * 9)
        number = self.policy.group_started(B1, due=1.0)
        self.policy.group_finished(B1, number, answered=False, now=0.5)
        self.assertEqual(self.choose(B1, now=0.6), [])
        self.assertNotEqual(self.choose(B1, now=0.6 + BASE_EJECTION), [])

    def test_an_overdue_peer_gets_no_group_until_it_answers(self):
        self.place(*["b"] * 9)
        number = self.policy.group_started(B1, due=1.0)
        self.assertNotEqual(self.choose(B1, now=0.9), [])
        self.assertEqual(self.choose(B1, now=1.1), [])
        self.policy.group_finished(B1, number, answered=True, now=1.2)
        self.assertNotEqual(self.choose(B1, now=1.3), [])

    def test_changed_registrations_apply_at_once(self):
        self.place(*["b"] * 9)
        self.assertNotEqual(self.choose(B1), [])
        self.place(*["a"] * 9)
        self.assertEqual(self.choose(B1), [])
