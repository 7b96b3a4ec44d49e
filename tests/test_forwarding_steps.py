"""Tests of forwarding a query to owner, backup and this instance in turn."""

from dataclasses import dataclass
from unittest import TestCase

from hypothesis import given, strategies as st

from savorypond.balancing.budget import BudgetConfig, RetryBudget
from savorypond.model import (
    Address,
    Counters,
    Instance,
    Preference,
    Priority,
    Query,
    ShardPartial,
)
from savorypond.placement.forwarding import (
    CancelSubquery,
    FinishForwarding,
    Forwarding,
    SendSubquery,
    owner_key,
)
from savorypond.protocols import Route
from savorypond.queries.merge import build_answer
from savorypond.reasons import HedgeReason, MissingReason, RetryReason
from tests.fanout_fakes import PIN, make_service

FINISH_AT = 0.05
HEDGE_DELAY = 0.02
EVENTS = ("answered", "lost", "partial", "early", "time")
REQUEST = "request-1"


@dataclass(frozen=True, slots=True, kw_only=True)
class FixedHedging:
    """Hedges every owner after a fixed delay."""

    seconds: float | None = HEDGE_DELAY

    def delay(self, *, service):
        """Return the delay in seconds."""
        return self.seconds


def make_instance(name):
    """Return a live instance."""
    return Instance(
        name=name,
        data_centre="split",
        peer_address=Address(host="127.0.0.1", port=1),
        incarnation=1,
    )


A, B, C = (make_instance(name) for name in ("a", "b", "c"))
S1, S2, S3 = (make_service(name) for name in ("s1", "s2", "s3"))


class ForwardingHarness:
    """Drives one ``Forwarding`` and checks its invariants after every event."""

    def __init__(self, test, routes, *, prefer=Preference.LATENCY, tokens=5.0):
        self.test = test
        self.now = 0.0
        self.counters = Counters()
        self.running = {}
        self.answer = None
        self.sent = []
        config = BudgetConfig(share=0.0, floor=0.0, burst=tokens)
        self.shards = {f"{route.service.name}-0" for route in routes}
        self.forwarding = Forwarding(
            query=Query(
                request_id=REQUEST,
                index="boats",
                services=(),
                body={},
                deadline=FINISH_AT,
                prefer=prefer,
                priority=Priority.INTERACTIVE,
                least_coverage=0.0,
            ),
            pin=PIN,
            routes=[
                Route(
                    service=planned.service, owner=planned.owner, backup=planned.backup
                )
                for planned in routes
            ],
            hedging=FixedHedging(),
            budget=RetryBudget(config=config),
            counters=self.counters,
            finish_at=FINISH_AT,
        )
        self.take(self.forwarding.start(self.now))

    def take(self, actions):
        """Check and record the actions returned for one event."""
        sends = [a.subquery for a in actions if isinstance(a, SendSubquery)]
        owners = [owner_key(subquery.owner) for subquery in sends]
        self.test.assertEqual(len(owners), len(set(owners)), "one message per owner")
        self.sent += sends
        for subquery in sends:
            self.test.assertIsNone(self.answer, "sent after the end")
            self.running[subquery.number] = subquery
        for action in actions:
            if isinstance(action, CancelSubquery):
                del self.running[action.subquery.number]
            elif isinstance(action, FinishForwarding):
                self.test.assertIsNone(self.answer, "finished twice")
                self.answer = action.answer
        self.test.assertEqual(self.forwarding.finished, self.answer is not None)
        if self.answer is not None:
            self.test.assertEqual(self.running, {}, "still running at the end")

    def answered(self, subquery, missing=None):
        """Answer ``subquery`` without the shards of ``missing``."""
        self.running.pop(subquery.number, None)
        missing = missing or {}
        names = frozenset(f"{service.name}-0" for service in subquery.services)
        partials = [
            ShardPartial(shard=name, results=()) for name in names - missing.keys()
        ]
        answer = build_answer(
            request_id=REQUEST,
            pin=PIN,
            asked=names,
            partials=partials,
            missing=missing,
        )
        self.take(self.forwarding.answered(subquery, answer, self.now))

    def answered_partially(self, subquery, covered):
        """Answer ``subquery`` for the shards of ``covered`` ahead of the rest."""
        names = frozenset(f"{service.name}-0" for service in subquery.services)
        partials = [ShardPartial(shard=name, results=()) for name in covered]
        answer = build_answer(
            request_id=REQUEST, pin=PIN, asked=names, partials=partials, missing={}
        )
        self.take(self.forwarding.answered_partially(subquery, answer, self.now))
        if self.forwarding.finished:
            self.running.pop(subquery.number, None)

    def failed(self, subquery):
        """End ``subquery`` without an answer."""
        self.running.pop(subquery.number, None)
        self.take(self.forwarding.failed(subquery, self.now))

    def tick(self, now):
        """Advance the time to ``now``."""
        self.now = now
        self.take(self.forwarding.tick(now))

    def targets(self):
        """Return the owner and services of each subquery sent, in order."""
        return [
            (
                subquery.owner.name if subquery.owner else "",
                [s.name for s in subquery.services],
            )
            for subquery in self.sent
        ]

    def last_sent(self):
        """Return the last subquery sent."""
        return self.sent[-1]

    def reasons(self):
        """Return the missing shards of the answer with their reasons."""
        return {one.shard: one.reason for one in self.answer.coverage.missing}


def route(service, owner, backup):
    """Return a route."""
    return Route(service=service, owner=owner, backup=backup)


class ForwardingTest(TestCase):
    """Sends to the owner, its backup and this instance in turn."""

    def test_one_subquery_per_owner(self):
        harness = ForwardingHarness(
            self, [route(S1, A, B), route(S2, A, C), route(S3, B, A)]
        )
        self.assertEqual(harness.targets(), [("a", ["s1", "s2"]), ("b", ["s3"])])
        for subquery in list(harness.sent):
            harness.answered(subquery)
        self.assertEqual(harness.answer.coverage.covered, harness.shards)

    def test_failed_owner_falls_back_to_backups_then_direct(self):
        harness = ForwardingHarness(self, [route(S1, A, B), route(S2, A, C)])
        harness.failed(harness.last_sent())
        self.assertEqual(harness.targets()[1:], [("b", ["s1"]), ("c", ["s2"])])
        for subquery in harness.sent[1:]:
            harness.failed(subquery)
        self.assertEqual(harness.targets()[3:], [("", ["s1"]), ("", ["s2"])])
        self.assertEqual(
            harness.counters.value("retries", RetryReason.OWNER_UNREACHABLE), 3
        )
        for subquery in harness.sent[3:]:
            harness.answered(subquery)
        self.assertEqual(harness.answer.coverage.covered, harness.shards)

    def test_no_target_answers(self):
        harness = ForwardingHarness(self, [route(S1, A, B)])
        for _ in range(3):
            harness.failed(harness.last_sent())
        self.assertEqual(harness.reasons(), {"s1-0": MissingReason.OWNER_UNREACHABLE})

    def test_hedges_slow_owner_within_budget(self):
        for tokens, targets in ((1.0, ["a", "b"]), (0.0, ["a"])):
            with self.subTest(tokens=tokens):
                harness = ForwardingHarness(
                    self, [route(S1, A, B), route(S2, A, B)], tokens=tokens
                )
                harness.tick(HEDGE_DELAY / 2)
                self.assertEqual(len(harness.sent), 1)
                harness.tick(harness.forwarding.next_timer())
                self.assertEqual([owner for owner, _ in harness.targets()], targets)
                hedges = harness.counters.value("hedges", HedgeReason.SLOW_OWNER)
                self.assertEqual(hedges, len(targets) - 1)

    def test_winning_hedge_cancels_the_owner(self):
        harness = ForwardingHarness(self, [route(S1, A, B)])
        harness.tick(HEDGE_DELAY)
        harness.answered(harness.last_sent())
        self.assertEqual(harness.answer.coverage.covered, harness.shards)
        late = harness.sent[0]
        harness.answered(late)
        self.assertEqual(len(harness.sent), 2)

    def test_failed_hedge_leaves_the_owner_running(self):
        harness = ForwardingHarness(self, [route(S1, A, B)])
        harness.tick(HEDGE_DELAY)
        harness.failed(harness.last_sent())
        self.assertEqual(len(harness.sent), 2)
        harness.answered(harness.sent[0])
        self.assertEqual(harness.answer.coverage.covered, harness.shards)

    def test_deadline_merges_received_answers(self):
        harness = ForwardingHarness(
            self, [route(S1, A, B), route(S2, C, None)], tokens=0.0
        )
        harness.answered(harness.sent[1])
        harness.tick(FINISH_AT)
        self.assertEqual(harness.reasons(), {"s1-0": MissingReason.TIMED_OUT})

    def test_only_services_without_an_early_answer_are_hedged(self):
        harness = ForwardingHarness(self, [route(S1, A, B), route(S2, A, B)])
        harness.answered_partially(harness.last_sent(), ["s1-0"])
        harness.tick(HEDGE_DELAY)
        self.assertEqual(harness.targets()[1:], [("b", ["s2"])])
        harness.tick(FINISH_AT)
        self.assertEqual(harness.reasons(), {"s2-0": MissingReason.TIMED_OUT})

    def test_final_answer_determines_missing_reason(self):
        harness = ForwardingHarness(
            self, [route(S1, A, B), route(S2, A, B)], tokens=0.0
        )
        harness.answered_partially(harness.last_sent(), ["s1-0"])
        harness.answered(harness.last_sent(), {"s2-0": MissingReason.SHED})
        self.assertEqual(harness.reasons(), {"s2-0": MissingReason.SHED})

    def test_partial_answer_is_retried_if_useful(self):
        table = (
            (Preference.COVERAGE, MissingReason.CONNECTION_FAILED, 0.0, True),
            (Preference.COVERAGE, MissingReason.NO_BACKEND_SERVER, 0.0, True),
            (Preference.COVERAGE, MissingReason.OWNER_UNREACHABLE, 0.0, True),
            (Preference.COVERAGE, MissingReason.SHED, 0.0, False),
            (Preference.COVERAGE, MissingReason.TIMED_OUT, 0.0, False),
            (Preference.COVERAGE, MissingReason.CONNECTION_FAILED, 0.046, False),
            (Preference.LATENCY, MissingReason.CONNECTION_FAILED, 0.0, False),
        )
        for prefer, reason, now, again in table:
            with self.subTest(prefer=prefer, reason=reason, now=now):
                harness = ForwardingHarness(
                    self, [route(S1, A, B), route(S2, A, B)], prefer=prefer, tokens=0.0
                )
                harness.now = now
                harness.answered(harness.last_sent(), {"s1-0": reason})
                expected = [("b", ["s1"])] if again else []
                self.assertEqual(harness.targets()[1:], expected)
                if again:
                    harness.answered(harness.last_sent())
                    self.assertEqual(harness.reasons(), {})
                else:
                    self.assertEqual(harness.reasons(), {"s1-0": reason})


@st.composite
def some_routes(draw):
    """Generate routes of one to three services over three owners."""
    routes = []
    for service in (S1, S2, S3)[: draw(st.integers(1, 3))]:
        owners = draw(st.permutations([A, B, C, None]))
        routes.append(route(service, owners[0], owners[1]))
    return routes


class ForwardingPropertyTest(TestCase):
    """Invariants for events in any order."""

    @given(
        routes=some_routes(),
        prefer=st.sampled_from(Preference),
        tokens=st.sampled_from([0.0, 1.0, 5.0]),
        data=st.data(),
    )
    def test_finishes_once_in_time_and_accounts_for_every_shard(
        self, routes, prefer, tokens, data
    ):
        harness = ForwardingHarness(self, routes, prefer=prefer, tokens=tokens)
        while harness.answer is None:
            event = data.draw(st.sampled_from(EVENTS))
            if event == "time" or not harness.running:
                step = data.draw(st.sampled_from([0.004, 0.02]))
                harness.tick(min(harness.now + step, harness.forwarding.next_timer()))
                continue
            subquery = harness.running[
                data.draw(st.sampled_from(sorted(harness.running)))
            ]
            if event == "lost":
                harness.failed(subquery)
            elif event == "answered":
                harness.answered(subquery)
            elif event == "early":
                names = [f"{s.name}-0" for s in subquery.services]
                covered = data.draw(st.lists(st.sampled_from(names), unique=True))
                harness.answered_partially(subquery, covered)
            else:
                name = data.draw(st.sampled_from([s.name for s in subquery.services]))
                reason = data.draw(st.sampled_from(MissingReason))
                harness.answered(subquery, {f"{name}-0": reason})
            self.assertLessEqual(harness.now, FINISH_AT)
        coverage = harness.answer.coverage
        missing = {one.shard for one in coverage.missing}
        self.assertEqual(coverage.asked, harness.shards)
        self.assertEqual(coverage.covered | missing, harness.shards)
        self.assertFalse(coverage.covered & missing)
        self.assertLessEqual(len(harness.sent), 3 * len(routes))
        for subquery in list(harness.sent):  # late events have no effect
            harness.answered(subquery)
            harness.failed(subquery)
        harness.tick(FINISH_AT)
