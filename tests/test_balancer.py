from collections import Counter
from random import Random
from unittest import TestCase

from hypothesis import given, strategies as st

from savorypond.balancing.balancer import (
    ChoiceRule,
    LinkLatencies,
    ReplicaStatsRegistry,
    make_chooser,
)
from savorypond.model import (
    Address,
    BackendServer,
    Pin,
    Preference,
    Priority,
    ServerLimits,
    Service,
    ServiceKind,
)
from savorypond.protocols import Purpose

PIN = Pin(snapshot=7, layout=1)
NAMES = ("near", "far", "third")
SERVERS = st.sets(st.sampled_from(NAMES))


def make_service(names):
    servers = [
        BackendServer(
            name=name,
            address=Address(host="127.0.0.1", port=1),
            data_centre="split" if name == "near" else "zadar",
        )
        for name in names
    ]
    return Service(
        name="hulls",
        kind=ServiceKind.SEARCH,
        index="boats",
        layouts=(),
        backend_servers=tuple(servers),
        limits=ServerLimits(slots=2, connections=25, connect_time=0.006),
        priority=Priority.INTERACTIVE,
        prefer=Preference.LATENCY,
        time_limit=0.2,
        least_coverage=0.0,
    )


class FakeView:
    def __init__(self, **facts):
        self.facts = {name: frozenset(servers) for name, servers in facts.items()}
        self.weights = {}

    def _is(self, fact, server):
        return server in self.facts.get(fact, ())

    def leaving(self, *, server):
        return self._is("leaving", server)

    def ejected(self, *, server, now):
        return self._is("ejected", server)

    def overloaded(self, *, server, now):
        return self._is("overloaded", server)

    def expected_wait(self, *, server, now):
        return 0.1 if self._is("overloaded", server) else 0.0

    def weight(self, *, server, now):
        return self.weights.get(server, 1.0)

    def holds(self, *, server, pin):
        if self._is("unknown", server):
            return None
        return not self._is("lacking", server)


class Fixture:
    def __init__(self, *, rule, view=None, names=("near", "far")):
        self.registry = ReplicaStatsRegistry()
        self.view = view or FakeView()
        self.service = make_service(names)
        self.chooser = make_chooser(
            rule=rule,
            rng=Random(1),
            links=LinkLatencies(local="split", default=0.003),
            view=self.view,
            registry=self.registry,
        )

    def choose(self, *, purpose=Purpose.FIRST, tried=frozenset(), now=0.0):
        chosen = self.chooser.choose(
            service=self.service, pin=PIN, tried=tried, now=now, purpose=purpose
        )
        return chosen and chosen.name

    def answer(self, server, *, latency, now=0.0):
        for _ in range(30):
            stats = self.registry.get(server=server)
            stats.started(attempt=1, now=now - latency)
            stats.finished(attempt=1, now=now, ok=True)


class ChoiceTests(TestCase):
    @given(
        rule=st.sampled_from(ChoiceRule),
        purpose=st.sampled_from(Purpose),
        tried=SERVERS,
        leaving=SERVERS,
        ejected=SERVERS,
        overloaded=SERVERS,
        unknown=SERVERS,
        lacking=SERVERS,
    )
    def test_never_chooses_an_unusable_replica(self, rule, purpose, tried, **facts):
        fixture = Fixture(rule=rule, view=FakeView(**facts), names=NAMES)
        lacking = facts["lacking"] - facts["unknown"]
        possible = set(NAMES) - tried - facts["leaving"] - lacking
        healthy = possible - facts["ejected"]
        if purpose is Purpose.HEDGE:
            allowed = healthy - facts["overloaded"]
        else:
            allowed = healthy or possible
        chosen = fixture.choose(purpose=purpose, tried=frozenset(tried))
        self.assertIn(chosen, allowed or {None})

    def test_informed_rules_choose_the_earliest_expected_answer(self):
        table = [
            ("slower", {"near": 0.05, "far": 0.01}, {}, "far"),
            (
                "link latency outweighs the gain",
                {"near": 0.01, "far": 0.009},
                {},
                "near",
            ),
            (
                "waits for a slot",
                {"near": 0.01, "far": 0.01},
                {"overloaded": ["near"]},
                "far",
            ),
            (
                "snapshot unknown",
                {"near": 0.01, "far": 0.001},
                {"unknown": ["far"]},
                "near",
            ),
        ]
        for rule in (ChoiceRule.LEAST_EXPECTED_FINISH, ChoiceRule.POWER_OF_TWO):
            for name, latencies, facts, expected in table:
                with self.subTest(name, rule=rule):
                    fixture = Fixture(rule=rule, view=FakeView(**facts))
                    for server, latency in latencies.items():
                        fixture.answer(server, latency=latency)
                    self.assertEqual(fixture.choose(), expected)

    def test_failures_and_work_in_flight_count_against_a_replica(self):
        for name in ("failures", "in flight"):
            with self.subTest(name):
                fixture = Fixture(rule=ChoiceRule.LEAST_EXPECTED_FINISH)
                fixture.answer("near", latency=0.01)
                fixture.answer("far", latency=0.01)
                near = fixture.registry.get(server="near")
                for attempt in range(9):
                    near.started(attempt=attempt, now=0.0)
                    if name == "failures":
                        near.finished(attempt=attempt, now=0.0, ok=False)
                self.assertEqual(fixture.choose(), "far")

    def test_age_of_an_unanswered_attempt_counts_as_latency(self):
        for name in ("in flight", "cancelled"):
            with self.subTest(name):
                fixture = Fixture(rule=ChoiceRule.LEAST_EXPECTED_FINISH)
                fixture.answer("near", latency=0.01)
                fixture.answer("far", latency=0.01)
                self.assertEqual(fixture.choose(now=0.0), "near")
                near = fixture.registry.get(server="near")
                near.started(attempt="stalled", now=0.0)
                if name == "cancelled":
                    near.cancelled(attempt="stalled", now=0.5)
                self.assertEqual(fixture.choose(now=0.5), "far")

    def test_a_slow_replica_is_tried_again_after_its_mean_decays(self):
        fixture = Fixture(rule=ChoiceRule.LEAST_EXPECTED_FINISH)
        fixture.answer("near", latency=0.5)
        fixture.answer("far", latency=0.01, now=0.0)
        self.assertEqual(fixture.choose(now=0.0), "far")
        fixture.answer("far", latency=0.01, now=60.0)
        self.assertEqual(fixture.choose(now=60.0), "near")

    def test_a_cold_replica_gets_at_most_its_weight(self):
        for rule in ChoiceRule:
            with self.subTest(rule):
                fixture = Fixture(rule=rule)
                fixture.view.weights["near"] = 0.1
                counts = Counter(fixture.choose() for _ in range(2000))
                self.assertGreater(counts["near"], 0)
                self.assertLess(counts["near"], 2000 * 0.13)
