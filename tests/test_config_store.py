from dataclasses import replace
from itertools import pairwise
from unittest import TestCase

from hypothesis import given, strategies as st
from msgspec.structs import replace as replace_struct

from savorypond.config.entries import decode_entry, encode_entry
from savorypond.config.messages import Stamp
from savorypond.config.pull import Pull, PullResponder
from savorypond.config.store import Change, ConfigStore, Outcome
from savorypond.config.stored_bundle import ServiceCache
from savorypond.model import Bundle, Counters, ShardLayout, ShardRange
from savorypond.reasons import ConfigReason
from tests.config_fakes import (
    entries_of,
    history,
    make_bundle,
    make_change,
    make_service,
    stamp_of,
)

HISTORY = history(12)


def make_store(bundle=None):
    store = ConfigStore(counters=Counters())
    if bundle is not None:
        assert store.offer_full(stamp_of(bundle), entries_of(bundle)) == "accepted"
    return store


def count(store, reason):
    return store._counters.value("config_refused", reason)


class OfferTests(TestCase):
    def test_change_modifies_only_the_services_it_names(self):
        old, new = make_bundle(1, 1, 2, 3), make_bundle(2, 1, 2)
        new.services["s2"] = make_service(2, slots=9)
        store = make_store(old)
        before = store.bundle
        self.assertEqual(store.offer_change(make_change(old, new)), Outcome.ACCEPTED)
        self.assertEqual(dict(store.bundle.services), new.services)
        self.assertEqual(store.bundle.revision, 2)
        self.assertEqual(store.bundle.index_services("s2"), (new.services["s2"],))
        self.assertEqual(store.bundle.index_services("s3"), ())
        self.assertEqual(dict(before.services), old.services)

    def test_rejected_offers_leave_the_store_unchanged(self):
        old, new = make_bundle(4, 1, 2), make_bundle(5, 1, 2, 3)
        good = make_change(old, new)
        shared = replace(
            make_service(3), backend_servers=make_service(1).backend_servers
        )
        overlap = replace(make_service(3), index="s1")

        shards = tuple(
            ShardRange(shard=f"shard-{n:05}", low=n, high=n + 1) for n in range(65536)
        )
        huge = replace(make_service(3), layouts=(ShardLayout(number=1, shards=shards),))

        def with_service(service):
            bundle = Bundle(revision=5, services=old.services | {"s3": service})
            return make_change(old, bundle)

        table = (
            ("wrong digest", replace(good, held=Stamp(5, 1)), ConfigReason.INVALID),
            ("empty entry", replace(good, entries=(b"",)), ConfigReason.INVALID),
            ("truncated entry", replace(good, entries=(good.entries[0][:-1],)),
             ConfigReason.INVALID),
            ("duplicate entry", replace(good, entries=good.entries * 2),
             ConfigReason.INVALID),
            ("duplicate server", with_service(shared), ConfigReason.INVALID),
            ("overlap in index", with_service(overlap), ConfigReason.INVALID),
            ("too large", with_service(huge), ConfigReason.INVALID),
            ("invalid service", with_service(replace(make_service(3), time_limit=-1.0)),
             ConfigReason.INVALID),
            ("all removed", Change(base=stamp_of(old), held=Stamp(5, 0), entries=(),
             removed=("s1", "s2")), ConfigReason.INVALID),
            ("lower", make_change(make_bundle(2, 1), make_bundle(3, 1, 2)),
             ConfigReason.STALE),
            ("conflict", make_change(make_bundle(3, 1), make_bundle(4, 1, 2, 3)),
             ConfigReason.CONFLICT),
            ("gap", replace(good, base=Stamp(6, 1), held=Stamp(7, 1)), None),
            ("revision too high", replace(good, held=Stamp(2**63, 1)),
             ConfigReason.INVALID),
        )  # fmt: skip
        for name, change, reason in table:
            with self.subTest(name):
                store = make_store(old)
                outcome = store.offer_change(change)
                self.assertNotEqual(outcome, Outcome.ACCEPTED)
                self.assertEqual(store.stamp, stamp_of(old))
                self.assertEqual(dict(store.bundle.services), old.services)
                if reason is not None:
                    self.assertEqual(count(store, reason), 1)

    def test_same_revision_converges_on_the_higher_digest_in_either_order(self):
        one, other = make_bundle(3, 1), make_bundle(3, 2)
        higher = max(one, other, key=stamp_of)
        for first, second in ((one, other), (other, one)):
            store = make_store(first)
            store.offer_full(stamp_of(second), entries_of(second))
            self.assertEqual(store.stamp, stamp_of(higher))
            self.assertEqual(count(store, ConfigReason.CONFLICT), 1)

    def test_cache_keeps_the_most_recently_used_services(self):
        cache = ServiceCache(size=2)
        entries = [encode_entry(make_service(n)) for n in range(3)]
        first = cache.get(entries[0])
        cache.get(entries[1])
        self.assertIs(cache.get(entries[0]), first)
        cache.get(entries[2])
        self.assertEqual(len(cache), 2)
        self.assertIs(cache.get(entries[0]), first)

    def test_entry_round_trip(self):
        service = make_service(1)
        self.assertEqual(decode_entry(encode_entry(service)), service)
        with self.assertRaises(ValueError):
            decode_entry(b"\x91\x01")


class ConvergenceTests(TestCase):
    @given(
        order=st.lists(st.integers(0, 10), max_size=40),
        fulls=st.lists(st.integers(0, 11), max_size=4),
    )
    def test_any_order_and_repetition_converges(self, order, fulls):
        """The stamp never decreases, and the last state is reached in the end."""
        store = make_store(HISTORY[0])
        changes = [make_change(a, b) for a, b in pairwise(HISTORY)]
        full = [HISTORY[i] for i in fulls]
        for position, number in enumerate(order):
            before = store.stamp
            store.offer_change(changes[number])
            if position < len(full):
                bundle = full[position]
                store.offer_full(stamp_of(bundle), entries_of(bundle))
            self.assertGreaterEqual(store.stamp, before)
            held = HISTORY[store.stamp.revision - 1]
            self.assertEqual(dict(store.bundle.services), held.services)
        for change in changes:
            store.offer_change(change)
        self.assertEqual(store.stamp, stamp_of(HISTORY[-1]))

    @given(
        have=st.integers(0, 11),
        moves=st.lists(st.integers(0, 3), max_size=30),
        limit=st.integers(1, 400),
    )
    def test_pull_catches_up_with_a_peer_that_changes_meanwhile(
        self, have, moves, limit
    ):
        peer = make_store(HISTORY[0])
        for bundle in HISTORY[1:6]:
            peer.offer_full(stamp_of(bundle), entries_of(bundle))
        store = make_store(HISTORY[have - 1] if have else None)
        responder = PullResponder(store=peer, fleet="f", name="peer")
        pull = Pull(store=store, fleet="f", name="me")
        request, remaining = pull.request(), list(moves)
        while request is not None:
            for _ in range(remaining.pop() if remaining else 0):
                after = peer.stamp.revision
                if after < len(HISTORY):
                    bundle = HISTORY[after]
                    peer.offer_full(stamp_of(bundle), entries_of(bundle))
            small = replace_struct(request, limit=limit)
            request = pull.on_reply(responder.reply(small))
        self.assertIn(pull.outcome, (Outcome.ACCEPTED, Outcome.CURRENT))
        self.assertGreaterEqual(store.stamp, peer.stamp)
        self.assertEqual(count(store, ConfigReason.INVALID), 0)

    def test_unknown_state_is_answered_with_the_whole_bundle(self):
        peer = make_store(HISTORY[5])
        unknown = make_bundle(2, 4)
        store = make_store(unknown)
        pull = Pull(store=store, fleet="f", name="me")
        responder = PullResponder(store=peer, fleet="f", name="peer")
        reply = responder.reply(pull.request())
        self.assertEqual(reply.base, Stamp())
        self.assertIsNone(pull.on_reply(reply))
        self.assertEqual(store.stamp, stamp_of(HISTORY[5]))
