from dataclasses import replace
from pathlib import Path
from unittest import TestCase

from msgspec.json import decode, encode

from savorypond.config.bundle import (
    bundle_problems,
    decode_bundle,
    encode_bundle,
    next_revision,
    with_addresses,
)
from savorypond.model import Address, Bundle, ServiceKind, ShardLayout, ShardRange
from savorypond.services.loader import load_service_files

EXAMPLES = Path(__file__).parent.parent / "examples"


def example(fleet="baric", revision=1):
    return Bundle(revision=revision, services=load_service_files(EXAMPLES / fleet))


def layout(number, *shards):
    ranges = (ShardRange(shard=name, low=low, high=high) for name, low, high in shards)
    return (ShardLayout(number=number, shards=tuple(ranges)),)


class ExampleTests(TestCase):
    def test_service_counts_and_limits_of_both_fleets(self):
        table = (
            ("baric", "listings-", 20, 2, 2, 25, 0.006),
            ("baric", "portal-", 30, 2, 2, 25, 0.006),
            ("baric", "boat-pages", 1, 3, 6, 100, 0.001),
            ("baric", "enquiry-log", 1, 3, 6, 100, 0.001),
            ("rodantes", "dispatch-", 20, 2, 2, 25, 0.006),
            ("rodantes", "planning-", 30, 2, 2, 25, 0.006),
            ("rodantes", "loyalty", 1, 3, 4, 40, 0.001),
            ("rodantes", "handhelds", 1, 3, 4, 40, 0.001),
        )
        for fleet, prefix, count, servers, slots, connections, connect in table:
            with self.subTest(prefix):
                services = example(fleet).services.values()
                found = [s for s in services if s.name.startswith(prefix)]
                self.assertEqual(len(found), count)
                for service in found:
                    self.assertEqual(len(service.backend_servers), servers)
                    self.assertEqual(service.limits.slots, slots)
                    self.assertEqual(service.limits.connections, connections)
                    self.assertEqual(service.limits.connect_time, connect)
        self.assertEqual(
            example().services["enquiry-log"].kind,
            ServiceKind.CALLS,
        )


class BundleTests(TestCase):
    def test_encode_and_decode_round_trip(self):
        for fleet in ("baric", "rodantes"):
            bundle = example(fleet, revision=7)
            self.assertEqual(decode_bundle(encode_bundle(bundle)), bundle)

    def test_encoding_does_not_depend_on_service_order(self):
        bundle = example()
        services = dict(reversed(bundle.services.items()))
        other = Bundle(revision=1, services=services)
        self.assertEqual(encode_bundle(other), encode_bundle(bundle))

    def test_rules_across_services(self):
        services = example().services
        first, second = services["listings-01"], services["listings-02"]
        taken = first.backend_servers[0]
        other = replace(second.backend_servers[0], name=taken.name)
        moved = replace(second.backend_servers[0], address=taken.address)
        table = (
            ("gap", {"layouts": layout(1, ("s", 3278, 6554))}, "no shard"),
            ("overlap", {"layouts": layout(1, ("s", 3000, 6554))}, "overlaps"),
            ("shard", {"layouts": layout(1, ("listings-01", 3277, 6554))},
             "duplicate shard"),
            ("half a layout", {"layouts": layout(2, ("s", 3277, 6554))}, "layout 2"),
            ("other index", {"index": "other"}, "no shard holds keys [3277, 6554)"),
            ("server", {"backend_servers": (other,)}, "backend server 'listings-01-a'"),
            ("address", {"backend_servers": (moved,)}, "address '127.0.0.1:20000'"),
            ("no servers", {"backend_servers": ()}, "at least one backend server"),
            ("not a number", {"time_limit": float("nan")}, "time_limit"),
            ("name", {"name": "listings-01"}, "duplicate service 'listings-01'"),
        )  # fmt: skip
        self.assertEqual(bundle_problems(services.values()), [])
        for name, change, problem in table:
            with self.subTest(name):
                changed = services | {second.name: replace(second, **change)}
                problems = bundle_problems(changed.values())
                self.assertTrue(any(problem in p for p in problems), problems)

    def test_invalid_values_are_rejected(self):
        good = decode(encode_bundle(example()))
        table = (
            ("truncated JSON", b"{"),
            ("too large", b" " * 1_000_001),
            ("revision zero", encode(good | {"revision": 0})),
            ("revision too high", encode(good | {"revision": 2**63})),
            ("revision is a string", encode(good | {"revision": "1"})),
            ("unknown key", encode(good | {"more": 1})),
            ("duplicate services", encode(good | {"services": good["services"] * 2})),
            ("missing services", encode(good | {"services": good["services"][:-40]})),
        )
        for name, value in table:
            with self.subTest(name), self.assertRaises(ExceptionGroup):
                decode_bundle(value)

    def test_next_revision_is_one_higher(self):
        self.assertEqual(next_revision(None), 1)
        self.assertEqual(next_revision(example(revision=41)), 42)

    def test_with_addresses_replaces_by_server_name(self):
        services = example().services
        address = Address(host="127.0.0.1", port=4)
        updated = with_addresses(services, {"listings-01-b": address})
        self.assertEqual(updated["listings-01"].backend_servers[1].address, address)
        self.assertEqual(updated["listings-02"], services["listings-02"])
