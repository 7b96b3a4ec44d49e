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


class BookCase(TestCase):
    def setUp(self):
        self.book = SnapshotRegistry()
        # Under layout 2, service a has absorbed the shard of service b.
        self.services = (
            make_service("a", {1: {"a1": (0, 10)}, 2: {"a2": (0, 20)}}),
            make_service("b", {1: {"b1": (10, 20)}}),
        )

    def learn(self, server, *pins, now=0.0, report=False):
        shard = {1: f"{server[0]}1", 2: f"{server[0]}2"}
        held = [holding(pin, shard[pin.layout]) for pin in pins]
        if report:
            self.book.record_report(index="boats", server=server, held=held, now=now)
            return
        for pin in pins:
            self.book.record_answer(
                index="boats",
                server=server,
                pin=pin,
                shards=[shard[pin.layout]],
                now=now,
            )

    def refuse(self, server, pin, *held, now=0.0):
        self.book.record_refusal(
            index="boats", server=server, pin=pin, held=held, now=now
        )

    def pin(self, now=1.0, usable=usable, services=None, version=0):
        return self.book.pin(
            services=services or self.services,
            now=now,
            usable=usable,
            usable_version=version,
        )


class PinTests(BookCase):
    def test_nothing_known(self):
        self.assertIsNone(self.pin())
        self.assertIsNone(self.book.pin(services=(), now=0.0, usable=usable))

    def test_newest_that_every_shard_has(self):
        self.learn("a/0", S1, S2)
        self.learn("b/0", S1)
        self.assertEqual(self.pin().pin, S1)
        self.learn("b/1", S2)
        self.assertEqual(self.pin(now=1.5).pin, S2)
        self.assertTrue(self.pin(now=1.5).complete)

    def test_incomplete_takes_the_best_coverage_then_the_newest(self):
        self.learn("a/0", S1)
        self.learn("b/0", S2)
        choice = self.pin()
        self.assertEqual((choice.pin, choice.lacking), (S2, {"a1"}))
        self.assertFalse(choice.complete)

    def test_only_usable_replicas_count(self):
        self.learn("a/0", S1, S2)
        self.learn("b/0", S2)
        self.learn("b/1", S1)
        self.assertEqual(self.pin().pin, S2)
        ejected = self.pin(usable=lambda name: name != "b/0", version=1)
        self.assertEqual((ejected.pin, ejected.lacking), (S1, frozenset()))

    def test_a_refusal_counts_at_once(self):
        for server in ("a/0", "b/0"):
            self.learn(server, S1, S2)
        self.assertEqual(self.pin().pin, S2)
        self.refuse("b/0", S2, holding(S1, "b1"), now=1.0)
        self.assertEqual(self.pin().pin, S1)
        self.assertIs(
            self.book.holds(index="boats", server="b/0", pin=S2, now=1.0), False
        )

    def test_ageing_alone_does_not_take_a_pin_back(self):
        self.learn("a/0", S2)
        self.learn("b/0", S2)
        self.assertEqual(self.pin().pin, S2)
        later = MAX_AGE + 5.0
        self.learn("a/1", S1, now=later)
        self.learn("b/1", S1, now=later)
        self.assertEqual(self.pin(now=later).pin, S2)
        self.refuse("a/0", S2, now=later)
        self.assertEqual(self.pin(now=later).pin, S1)

    def test_shards_are_those_of_the_pinned_layout(self):
        self.learn("a/0", S1)
        self.learn("b/0", S1)
        self.learn("a/1", S3_LAYOUT_2)
        choice = self.pin()
        self.assertEqual((choice.pin, choice.lacking), (S3_LAYOUT_2, frozenset()))
        self.assertEqual(asked_shards(self.services, 2).asked, {"a2"})
        self.assertEqual(asked_shards(self.services, 1).asked, {"a1", "b1"})

    def test_shard_absorbed_by_a_service_that_is_not_asked(self):
        other = make_service("c", {1: {"c1": (20, 30)}, 2: {"c2": (20, 30)}})
        services = (self.services[1], other)
        self.learn("c/0", S1, S3_LAYOUT_2)
        self.learn("b/0", S1)
        self.assertEqual(self.pin(services=services).pin, S1)
        self.refuse("b/0", S1, now=2.0)
        choice = self.pin(services=services, now=2.0)
        self.assertEqual((choice.pin, choice.orphaned), (S3_LAYOUT_2, ("b",)))
        self.assertIsNone(self.pin(services=services[:1], now=2.0))

    def test_absorbed_by_two_shards_together(self):
        split = make_service("a", {2: {"a2": (0, 12), "a3": (12, 20)}})
        self.assertEqual(asked_shards((split, self.services[1]), 2).orphaned, ())

    def test_answers_for_some_shards_add_up(self):
        service = make_service("a", {1: {"a1": (0, 5), "a9": (5, 10)}})
        for shard in ("a1", "a9"):
            self.book.record_answer(
                index="boats", server="a/0", pin=S1, shards=[shard], now=0.0
            )
        self.assertTrue(self.pin(services=(service,)).complete)

    def test_another_configuration_of_the_same_services(self):
        self.learn("a/0", S1)
        self.assertTrue(self.pin(services=self.services[:1]).complete)
        wider = make_service("a", {1: {"a1": (0, 5), "a9": (5, 10)}})
        self.assertEqual(self.pin(services=(wider,)).lacking, {"a9"})


class EvidenceTests(BookCase):
    def held(self, now):
        return self.book.holds(index="boats", server="a/0", pin=S1, now=now)

    def test_table(self):
        def refusal(at):
            self.refuse("a/0", S1, now=at)

        def answer(at):
            self.learn("a/0", S1, now=at)

        def report(at):
            self.learn("a/0", S1, now=at, report=True)

        def empty_report(at):
            self.learn("a/0", now=at, report=True)

        def refusal_of_another(at):
            self.refuse("a/0", S2, now=at)

        lag = REPORT_LAG
        cases = (
            ("unknown", (), 0.0, None),
            ("report", ((report, 0.0),), 0.0, True),
            ("answer then refusal", ((answer, 0.0), (refusal, 1.0)), 1.0, False),
            ("refusal then answer", ((refusal, 0.0), (answer, 1.0)), 1.0, True),
            ("not on a list", ((answer, 0.0), (refusal_of_another, 1.0)), 1.0, False),
            ("older refusal last", ((answer, 1.0), (refusal, 0.0)), 1.0, True),
            ("older answer last", ((refusal, 1.0), (answer, 0.0)), 1.0, False),
            ("report lags refusal", ((refusal, 0.0), (report, lag - 1)), lag, False),
            ("report after the lag", ((refusal, 0.0), (report, lag)), lag, True),
            ("report lags answer", ((answer, 0.0), (empty_report, 1.0)), 1.0, True),
            ("report takes back", ((report, 0.0), (empty_report, 1.0)), 1.0, False),
            ("aged", ((answer, 0.0),), MAX_AGE + 1, None),
        )
        for name, events, now, expected in cases:
            with self.subTest(name):
                self.setUp()
                for record, at in events:
                    record(at)
                self.assertIs(self.held(now), expected)

    def test_server_that_left(self):
        self.learn("a/0", S1)
        self.learn("b/0", S1)
        self.assertTrue(self.pin().complete)
        self.book.forget_server(index="boats", server="a/0")
        self.assertEqual(self.pin().lacking, {"a1"})

    def test_old_snapshots_are_forgotten(self):
        for number in range(1000):
            pin = Pin(snapshot=number, layout=1)
            self.learn("a/0", pin, now=number * 10.0)
        self.assertLessEqual(self.book.size, FORGET_AGE / 10.0 + 1)

    EVENTS = st.lists(
        st.tuples(
            st.sampled_from(("learn", "report", "refuse")),
            st.sampled_from(("a/0", "a/1", "b/0", "b/1")),
            st.sampled_from((S1, S2)),
        ),
        max_size=20,
    )

    @given(events=EVENTS, down=st.sets(st.sampled_from(("a/0", "a/1", "b/0"))))
    def test_pin_is_the_best_by_what_is_known(self, events, down):
        self.setUp()
        now = 0.0
        for kind, server, pin in events:
            now += 1.0
            if kind == "refuse":
                self.refuse(server, pin, now=now)
            else:
                self.learn(server, pin, now=now, report=kind == "report")
            choice = self.pin(now=now, usable=lambda name: name not in down)
        if not events:
            return
        reach = {}
        for pin in (S1, S2):
            reach[pin] = {
                server[0]
                for server in ("a/0", "a/1", "b/0", "b/1")
                if server not in down
                and self.book.holds(index="boats", server=server, pin=pin, now=now)
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
            choice.lacking, {f"{n}1" for n in "ab" if n not in reach[best]}
        )
