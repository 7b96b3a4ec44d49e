"""Tests of the way of one query over the owners of its services."""

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
class FixedHedge:
    """Hedges every owner after the same time."""

    seconds: float | None = HEDGE_DELAY

    def delay(self, *, service):
        """Return the time."""
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


class Way:
    """Drives one Forwarding and checks what holds after every step."""

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
                    service=service.service, owner=service.owner, backup=service.backup
                )
                for service in routes
            ],
            hedging=FixedHedge(),
            budget=RetryBudget(config=config),
            counters=self.counters,
            finish_at=FINISH_AT,
        )
        self.take(self.forwarding.start(self.now))

    def take(self, actions):
        """Check and note the actions of one step."""
        sends = [a.subquery for a in actions if isinstance(a, SendSubquery)]
        owners = [owner_key(subquery.owner) for subquery in sends]
        self.test.assertEqual(len(owners), len(set(owners)), "one message an owner")
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
        """Let ``ask`` end with an answer that lacks the shards of ``missing``."""
        self.running.pop(subquery.number, None)
        missing = missing or {}
        names = frozenset(f"{service.name}-0" for service in subquery.services)
        partials = [
            ShardPartial(shard=name, results=()) for name in names - missing.keys()
        ]
        answer = build_answer(
            request_id=REQUEST, pin=PIN, asked=names, partials=partials, missing=missing
        )
        self.take(self.forwarding.answered(subquery, answer, self.now))

    def answered_partly(self, subquery, covered):
        """Let a part of the answer to ``ask`` come ahead of the rest."""
        names = frozenset(f"{service.name}-0" for service in subquery.services)
        partials = [ShardPartial(shard=name, results=()) for name in covered]
        answer = build_answer(
            request_id=REQUEST, pin=PIN, asked=names, partials=partials, missing={}
        )
        self.take(self.forwarding.answered_partly(subquery, answer, self.now))
        if self.forwarding.finished:
            self.running.pop(subquery.number, None)

    def lost(self, subquery):
        """Let ``ask`` end without an answer."""
        self.running.pop(subquery.number, None)
        self.take(self.forwarding.lost(subquery, self.now))

    def tick(self, now):
        """Let time pass."""
        self.now = now
        self.take(self.forwarding.tick(now))

    def asked(self):
        """Return whom the asks went to and for which services, in order."""
        return [
            (
                subquery.owner.name if subquery.owner else "",
                [s.name for s in subquery.services],
            )
            for subquery in self.sent
        ]

    def last(self):
        """Return the ask that was sent last."""
        return self.sent[-1]

    def reasons(self):
        """Return why shards are missing in the answer."""
        return {one.shard: one.reason for one in self.answer.coverage.missing}


def route(service, owner, backup):
    """Return a route."""
    return Route(service=service, owner=owner, backup=backup)


class ForwardingTest(TestCase):
    """The steps from owner to backup to this instance."""

    def test_batches_each_owner(self):
        way = Way(self, [route(S1, A, B), route(S2, A, C), route(S3, B, A)])
        self.assertEqual(way.asked(), [("a", ["s1", "s2"]), ("b", ["s3"])])
        for subquery in list(way.sent):
            way.answered(subquery)
        self.assertEqual(way.answer.coverage.covered, way.shards)

    def test_lost_owner_goes_to_each_backup_then_direct(self):
        way = Way(self, [route(S1, A, B), route(S2, A, C)])
        way.lost(way.last())
        self.assertEqual(way.asked()[1:], [("b", ["s1"]), ("c", ["s2"])])
        for subquery in way.sent[1:]:
            way.lost(subquery)
        self.assertEqual(way.asked()[3:], [("", ["s1"]), ("", ["s2"])])
        self.assertEqual(
            way.counters.value("retries", RetryReason.OWNER_UNREACHABLE), 3
        )
        for subquery in way.sent[3:]:
            way.answered(subquery)
        self.assertEqual(way.answer.coverage.covered, way.shards)

    def test_nobody_answers(self):
        way = Way(self, [route(S1, A, B)])
        for _ in range(3):
            way.lost(way.last())
        self.assertEqual(way.reasons(), {"s1-0": MissingReason.OWNER_UNREACHABLE})

    def test_hedges_slow_owner_within_budget(self):
        for tokens, asked in ((1.0, ["a", "b"]), (0.0, ["a"])):
            with self.subTest(tokens=tokens):
                way = Way(self, [route(S1, A, B), route(S2, A, B)], tokens=tokens)
                way.tick(HEDGE_DELAY / 2)
                self.assertEqual(len(way.sent), 1)
                way.tick(way.forwarding.next_timer())
                self.assertEqual([owner for owner, _ in way.asked()], asked)
                hedges = way.counters.value("hedges", HedgeReason.SLOW_OWNER)
                self.assertEqual(hedges, len(asked) - 1)

    def test_hedge_wins_and_the_owner_is_cancelled(self):
        way = Way(self, [route(S1, A, B)])
        way.tick(HEDGE_DELAY)
        way.answered(way.last())
        self.assertEqual(way.answer.coverage.covered, way.shards)
        late = way.sent[0]
        way.answered(late)
        self.assertEqual(len(way.sent), 2)

    def test_lost_hedge_leaves_the_owner_running(self):
        way = Way(self, [route(S1, A, B)])
        way.tick(HEDGE_DELAY)
        way.lost(way.last())
        self.assertEqual(len(way.sent), 2)
        way.answered(way.sent[0])
        self.assertEqual(way.answer.coverage.covered, way.shards)

    def test_deadline_takes_what_came(self):
        way = Way(self, [route(S1, A, B), route(S2, C, None)], tokens=0.0)
        way.answered(way.sent[1])
        way.tick(FINISH_AT)
        self.assertEqual(way.reasons(), {"s1-0": MissingReason.TIMED_OUT})

    def test_early_part_counts_and_only_the_rest_is_hedged(self):
        way = Way(self, [route(S1, A, B), route(S2, A, B)])
        way.answered_partly(way.last(), ["s1-0"])
        way.tick(HEDGE_DELAY)
        self.assertEqual(way.asked()[1:], [("b", ["s2"])])
        way.tick(FINISH_AT)
        self.assertEqual(way.reasons(), {"s2-0": MissingReason.TIMED_OUT})

    def test_reason_of_the_last_answer_counts(self):
        way = Way(self, [route(S1, A, B), route(S2, A, B)], tokens=0.0)
        way.answered_partly(way.last(), ["s1-0"])
        way.answered(way.last(), {"s2-0": MissingReason.SHED})
        self.assertEqual(way.reasons(), {"s2-0": MissingReason.SHED})

    def test_partial_answer_asks_again_where_it_may_help(self):
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
                way = Way(
                    self, [route(S1, A, B), route(S2, A, B)], prefer=prefer, tokens=0.0
                )
                way.now = now
                way.answered(way.last(), {"s1-0": reason})
                expected = [("b", ["s1"])] if again else []
                self.assertEqual(way.asked()[1:], expected)
                if again:
                    way.answered(way.last())
                    self.assertEqual(way.reasons(), {})
                else:
                    self.assertEqual(way.reasons(), {"s1-0": reason})


@st.composite
def some_routes(draw):
    """Return routes of one to three services over three owners."""
    routes = []
    for service in (S1, S2, S3)[: draw(st.integers(1, 3))]:
        owners = draw(st.permutations([A, B, C, None]))
        routes.append(route(service, owners[0], owners[1]))
    return routes


class ForwardingPropertyTest(TestCase):
    """Whatever happens, in whatever order."""

    @given(
        routes=some_routes(),
        prefer=st.sampled_from(Preference),
        tokens=st.sampled_from([0.0, 1.0, 5.0]),
        data=st.data(),
    )
    def test_ends_once_in_time_and_accounts_for_every_shard(
        self, routes, prefer, tokens, data
    ):
        way = Way(self, routes, prefer=prefer, tokens=tokens)
        while way.answer is None:
            event = data.draw(st.sampled_from(EVENTS))
            if event == "time" or not way.running:
                step = data.draw(st.sampled_from([0.004, 0.02]))
                way.tick(min(way.now + step, way.forwarding.next_timer()))
                continue
            subquery = way.running[data.draw(st.sampled_from(sorted(way.running)))]
            if event == "lost":
                way.lost(subquery)
            elif event == "answered":
                way.answered(subquery)
            elif event == "early":
                names = [f"{s.name}-0" for s in subquery.services]
                covered = data.draw(st.lists(st.sampled_from(names), unique=True))
                way.answered_partly(subquery, covered)
            else:
                name = data.draw(st.sampled_from([s.name for s in subquery.services]))
                reason = data.draw(st.sampled_from(MissingReason))
                way.answered(subquery, {f"{name}-0": reason})
            self.assertLessEqual(way.now, FINISH_AT)
        coverage = way.answer.coverage
        missing = {one.shard for one in coverage.missing}
        self.assertEqual(coverage.asked, way.shards)
        self.assertEqual(coverage.covered | missing, way.shards)
        self.assertFalse(coverage.covered & missing)
        self.assertLessEqual(len(way.sent), 3 * len(routes))
        for subquery in list(way.sent):  # whatever comes late changes nothing
            way.answered(subquery)
            way.lost(subquery)
        way.tick(FINISH_AT)
