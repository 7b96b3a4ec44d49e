"""Tests of savorypond.gateway.routes and savorypond.gateway.weighted_split."""

from dataclasses import replace
from random import Random
from unittest import TestCase

from savorypond.gateway.routes import Route, RouteTable, WeightedService
from savorypond.gateway.weighted_split import WeightedSplit


def route(name, prefix, *, host="shop.example", split=()):
    return Route(
        name=name,
        host=host,
        prefix=prefix,
        idempotent=True,
        time_limit=1.0,
        goal=0.1,
        split=tuple(WeightedService(service=s, weight=w) for s, w in split),
    )


class RouteTableTests(TestCase):
    def setUp(self):
        self.table = RouteTable(
            version=1, routes=(route("a", "/a/"), route("ab", "/a/b/"))
        )

    def match(self, path, host="shop.example"):
        found = self.table.match(host=host, path=path)
        return found.name if found is not None else None

    def test_the_longest_prefix_wins(self):
        self.assertEqual(self.match("/a/b/c"), "ab")
        self.assertEqual(self.match("/a/bc"), "a")

    def test_returns_the_largest_fanout_of_a_service(self):
        wide = replace(route("w", "/w/"), shards=("x", "y", "z"))
        narrow = replace(route("n", "/n/"), shards=("x",))
        table = RouteTable(version=1, routes=(wide, narrow, route("p", "/p/")))
        self.assertEqual([table.max_fanout(name) for name in "xzp"], [3, 3, 0])

    def test_a_path_without_a_matching_prefix_has_no_route(self):
        self.assertIsNone(self.match("/a"))
        self.assertIsNone(self.match("/b/a/"))
        self.assertIsNone(self.match("/a/", host="other.example"))

    def test_matches_hosts_regardless_of_case_and_port(self):
        self.assertEqual(self.match("/a/", host="SHOP.example:8080"), "a")


class WeightedSplitTests(TestCase):
    def test_every_run_of_requests_follows_the_weights(self):
        split = WeightedSplit(random=Random(1))
        split_route = route("r", "/", split=(("x", 1), ("y", 3)))
        chosen = [split.choose(split_route) for _ in range(400)]
        for start in range(0, 400, 40):
            self.assertIn(chosen[start : start + 40].count("x"), (9, 10, 11))

    def test_a_service_of_weight_zero_gets_nothing(self):
        split = WeightedSplit(random=Random(1))
        split_route = route("r", "/", split=(("x", 0), ("y", 3)))
        self.assertEqual({split.choose(split_route) for _ in range(50)}, {"y"})

    def test_changed_weights_apply_at_once(self):
        split = WeightedSplit(random=Random(1))
        split.choose(route("r", "/", split=(("x", 1), ("y", 1))))
        changed = route("r", "/", split=(("z", 1), ("y", 0)))
        self.assertEqual({split.choose(changed) for _ in range(5)}, {"z"})
