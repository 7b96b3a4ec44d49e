from unittest import TestCase

from hypothesis import given, strategies as st

from savorypond.model import Holding, Pin
from savorypond.queries.layouts import asked_shards
from savorypond.queries.snapshots import (
    FORGET_AGE,
    MAX_AGE,
    REPORT_LAG,
    SnapshotRegistry,
)
from tests.fanout_fakes import make_service

S1 = Pin(snapshot=1, layout=1)
S2 = Pin(snapshot=2, layout=1)
S3_LAYOUT_2 = Pin(snapshot=3, layout=2)


def usable(name):
    return True


def holding(pin, *shards):
    return Holding(snapshot=pin.snapshot, layout=pin.layout, shards=frozenset(shards))


class RegistryTestCase(TestCase):
    def setUp(self):
        self.registry = SnapshotRegistry()
        # In layout 2, service a has absorbed the shard of service b.
        self.services = (
            make_service("a", {1: {"a1": (0, 10)}, 2: {"a2": (0, 20)}}),
            make_service("b", {1: {"b1": (10, 20)}}),
        )

    def record(self, server, *pins, now=0.0, report=False):
        shard = {1: f"{server[0]}1", 2: f"{server[0]}2"}
        held = [holding(pin, shard[pin.layout]) for pin in pins]
        if report:
            self.registry.record_report(
                index="boats", server=server, held=held, now=now
            )
            return
        for pin in pins:
            self.registry.record_answer(
                index="boats",
                server=server,
                pin=pin,
                shards=[shard[pin.layout]],
                now=now,
            )

    def refuse(self, server, pin, *held, now=0.0):
        self.registry.record_refusal(
            index="boats", server=server, pin=pin, held=held, now=now
        )

    def pin(self, now=1.0, usable=usable, services=None, version=0):
        return self.registry.pin(
            services=services or self.services,
            now=now,
            usable=usable,
            usable_version=version,
        )


class PinTests(RegistryTestCase):
    def test_no_pin_without_evidence(self):
        self.assertIsNone(self.pin())
        self.assertIsNone(self.registry.pin(services=(), now=0.0, usable=usable))

    def test_newest_snapshot_held_for_every_shard(self):
        self.record("a/0", S1, S2)
        self.record("b/0", S1)
        self.assertEqual(self.pin().pin, S1)
        self.record("b/1", S2)
        self.assertEqual(self.pin(now=1.5).pin, S2)
        self.assertTrue(self.pin(now=1.5).complete)

    def test_incomplete_prefers_coverage_then_newest(self):
        self.record("a/0", S1)
        self.record("b/0", S2)
        choice = self.pin()
        self.assertEqual((choice.pin, choice.unavailable), (S2, {"a1"}))
        self.assertFalse(choice.complete)

    def test_only_usable_replicas_count(self):
        self.record("a/0", S1, S2)
        self.record("b/0", S2)
        self.record("b/1", S1)
        self.assertEqual(self.pin().pin, S2)
        ejected = self.pin(usable=lambda name: name != "b/0", version=1)
        self.assertEqual((ejected.pin, ejected.unavailable), (S1, frozenset()))

    def test_refusal_takes_effect_at_once(self):
        for server in ("a/0", "b/0"):
            self.record(server, S1, S2)
        self.assertEqual(self.pin().pin, S2)
        self.refuse("b/0", S2, holding(S1, "b1"), now=1.0)
        self.assertEqual(self.pin().pin, S1)
        self.assertIs(
            self.registry.holds(index="boats", server="b/0", pin=S2, now=1.0), False
        )

    def test_aging_alone_does_not_revert_pin(self):
        self.record("a/0", S2)
        self.record("b/0", S2)
        self.assertEqual(self.pin().pin, S2)
        later = MAX_AGE + 5.0
        self.record("a/1", S1, now=later)
        self.record("b/1", S1, now=later)
        self.assertEqual(self.pin(now=later).pin, S2)
        self.refuse("a/0", S2, now=later)
        self.assertEqual(self.pin(now=later).pin, S1)

    def test_requested_shards_follow_pinned_layout(self):
        self.record("a/0", S1)
        self.record("b/0", S1)
        self.record("a/1", S3_LAYOUT_2)
        choice = self.pin()
        self.assertEqual((choice.pin, choice.unavailable), (S3_LAYOUT_2, frozenset()))
        self.assertEqual(asked_shards(self.services, 2).asked, {"a2"})
        self.assertEqual(asked_shards(self.services, 1).asked, {"a1", "b1"})

    def test_shard_absorbed_by_unrequested_service(self):
        other = make_service("c", {1: {"c1": (20, 30)}, 2: {"c2": (20, 30)}})
        services = (self.services[1], other)
        self.record("c/0", S1, S3_LAYOUT_2)
        self.record("b/0", S1)
        self.assertEqual(self.pin(services=services).pin, S1)
        self.refuse("b/0", S1, now=2.0)
        choice = self.pin(services=services, now=2.0)
        self.assertEqual((choice.pin, choice.orphaned), (S3_LAYOUT_2, ("b",)))
        self.assertIsNone(self.pin(services=services[:1], now=2.0))

    def test_keys_absorbed_by_two_shards(self):
        split = make_service("a", {2: {"a2": (0, 12), "a3": (12, 20)}})
        self.assertEqual(asked_shards((split, self.services[1]), 2).orphaned, ())

    def test_answers_for_different_shards_accumulate(self):
        service = make_service("a", {1: {"a1": (0, 5), "a9": (5, 10)}})
        for shard in ("a1", "a9"):
            self.registry.record_answer(
                index="boats", server="a/0", pin=S1, shards=[shard], now=0.0
            )
        self.assertTrue(self.pin(services=(service,)).complete)

    def test_changed_configuration_of_same_services(self):
        self.record("a/0", S1)
        self.assertTrue(self.pin(services=self.services[:1]).complete)
        wider = make_service("a", {1: {"a1": (0, 5), "a9": (5, 10)}})
        self.assertEqual(self.pin(services=(wider,)).unavailable, {"a9"})


class EvidenceTests(RegistryTestCase):
    def held(self, now):
        return self.registry.holds(index="boats", server="a/0", pin=S1, now=now)

    def test_latest_evidence_wins(self):
        def refusal(at):
            self.refuse("a/0", S1, now=at)

        def answer(at):
            self.record("a/0", S1, now=at)

        def report(at):
            self.record("a/0", S1, now=at, report=True)

        def empty_report(at):
            self.record("a/0", now=at, report=True)

        def refusal_of_other(at):
            self.refuse("a/0", S2, now=at)

        lag = REPORT_LAG
        cases = (
            ("unknown", (), 0.0, None),
            ("report", ((report, 0.0),), 0.0, True),
            ("answer then refusal", ((answer, 0.0), (refusal, 1.0)), 1.0, False),
            ("refusal then answer", ((refusal, 0.0), (answer, 1.0)), 1.0, True),
            ("absent from list", ((answer, 0.0), (refusal_of_other, 1.0)), 1.0, False),
            ("older refusal arrives last", ((answer, 1.0), (refusal, 0.0)), 1.0, True),
            ("older answer arrives last", ((refusal, 1.0), (answer, 0.0)), 1.0, False),
            ("report lags refusal", ((refusal, 0.0), (report, lag - 1)), lag, False),
            ("report after the lag", ((refusal, 0.0), (report, lag)), lag, True),
            ("report lags answer", ((answer, 0.0), (empty_report, 1.0)), 1.0, True),
            ("report withdraws", ((report, 0.0), (empty_report, 1.0)), 1.0, False),
            ("stale", ((answer, 0.0),), MAX_AGE + 1, None),
        )
        for name, events, now, expected in cases:
            with self.subTest(name):
                self.setUp()
                for event, at in events:
                    event(at)
                self.assertIs(self.held(now), expected)

    def test_removed_server(self):
        self.record("a/0", S1)
        self.record("b/0", S1)
        self.assertTrue(self.pin().complete)
        self.registry.forget_server(index="boats", server="a/0")
        self.assertEqual(self.pin().unavailable, {"a1"})

    def test_old_snapshots_expire(self):
        for number in range(1000):
            pin = Pin(snapshot=number, layout=1)
            self.record("a/0", pin, now=number * 10.0)
        self.assertLessEqual(self.registry.size, FORGET_AGE / 10.0 + 1)

    EVENTS = st.lists(
        st.tuples(
            st.sampled_from(("learn", "report", "refuse")),
            st.sampled_from(("a/0", "a/1", "b/0", "b/1")),
            st.sampled_from((S1, S2)),
        ),
        max_size=20,
    )

    @given(events=EVENTS, down=st.sets(st.sampled_from(("a/0", "a/1", "b/0"))))
    def test_pin_is_best_by_evidence(self, events, down):
        self.setUp()
        now = 0.0
        for kind, server, pin in events:
            now += 1.0
            if kind == "refuse":
                self.refuse(server, pin, now=now)
            else:
                self.record(server, pin, now=now, report=kind == "report")
            choice = self.pin(now=now, usable=lambda name: name not in down)
        if not events:
            return
        reach = {}
        for pin in (S1, S2):
            reach[pin] = {
                server[0]
                for server in ("a/0", "a/1", "b/0", "b/1")
                if server not in down
                and self.registry.holds(index="boats", server=server, pin=pin, now=now)
            }
        most = max(map(len, reach.values()))
        if not most:
            self.assertIsNone(choice)
            return
        best = max(
            (p for p in reach if len(reach[p]) == most), key=lambda p: p.snapshot
        )
        self.assertEqual(choice.pin, best)
        self.assertEqual(
            choice.unavailable, {f"{n}1" for n in "ab" if n not in reach[best]}
        )
