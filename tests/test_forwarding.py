"""Tests of the way of a query over owners."""

from random import Random
from unittest import TestCase

from hypothesis import given, strategies as st

from savorypond.model import (
    Address,
    Answer,
    Counters,
    Coverage,
    Instance,
    ShardPartial,
)
from savorypond.placement.forwarding import (
    CancelSubquery,
    FinishForwarding,
    Forwarding,
    SendSubquery,
)
from savorypond.protocols import Route
from savorypond.reasons import CancelReason
from tests.fanout_fakes import (
    PIN,
    CountedBudget,
    FixedHedging,
    make_query,
    make_service,
)

OWNERS = tuple(
    Instance(
        name=f"entry-{number}",
        data_centre="split",
        peer_address=Address(host="127.0.0.1", port=1),
        incarnation=1,
    )
    for number in range(5)
)
SERVICES = tuple(make_service(f"boats-{number}") for number in range(12))


def answer_to(subquery):
    names = [f"{service.name}-0" for service in subquery.services]
    return Answer(
        request_id="r1",
        snapshot=PIN.snapshot,
        layout=PIN.layout,
        partials=tuple(ShardPartial(shard=name, results=()) for name in names),
        coverage=Coverage(asked=frozenset(names), covered=frozenset(names)),
    )


class RivalTests(TestCase):
    @given(st.integers(0, 10_000))
    def test_asks_run_just_while_a_service_of_theirs_is_open(self, seed):
        random = Random(seed)
        routes = []
        for service in SERVICES:
            owner, backup = random.sample(OWNERS, 2)
            routes.append(Route(service=service, owner=owner, backup=backup))
        forwarding = Forwarding(
            query=make_query(),
            pin=PIN,
            routes=routes,
            hedging=FixedHedging(),
            budget=CountedBudget(),
            counters=Counters(),
            finish_at=0.1,
        )
        running, settled, finished = {}, set(), []

        def take(actions):
            for action in actions:
                if isinstance(action, SendSubquery):
                    running[action.subquery.number] = action.subquery
                elif isinstance(action, CancelSubquery):
                    subquery = running.pop(action.subquery.number)
                    lost = action.reason is CancelReason.LOST_RACE
                    self.assertEqual(lost, names_of(subquery) <= settled)
                elif isinstance(action, FinishForwarding):
                    finished.append(action.answer)

        take(forwarding.start(0.0))
        now = 0.0
        while not finished:
            now += random.choice((0.0, 0.004, 0.011))
            event = random.choice(("tick", "answer", "answer", "lost"))
            if event == "tick" or not running:
                take(forwarding.tick(now))
                continue
            subquery = running.pop(random.choice(sorted(running)))
            if event == "lost":
                take(forwarding.lost(subquery, now))
            else:
                settled |= names_of(subquery)
                take(forwarding.answered(subquery, answer_to(subquery), now))
            for subquery in running.values():
                self.assertTrue(finished or names_of(subquery) - settled)
        covered = {f"{name}-0" for name in settled}
        self.assertEqual(finished[0].coverage.covered, covered)


def names_of(subquery):
    return {service.name for service in subquery.services}


class LateTurnTests(TestCase):
    def test_answers_that_wait_when_the_time_is_over_all_count(self):
        routes = [
            Route(service=service, owner=owner, backup=None)
            for service, owner in zip(SERVICES[:3], OWNERS, strict=False)
        ]
        forwarding = Forwarding(
            query=make_query(),
            pin=PIN,
            routes=routes,
            hedging=FixedHedging(),
            budget=CountedBudget(),
            counters=Counters(),
            finish_at=0.1,
        )
        subqueries = [action.subquery for action in forwarding.start(0.0)]
        for subquery in subqueries[:-1]:
            actions = forwarding.answered(subquery, answer_to(subquery), 0.11)
            self.assertEqual(actions, [])
        (finish,) = forwarding.answered(subqueries[-1], answer_to(subqueries[-1]), 0.11)
        self.assertEqual(finish.answer.coverage.share, 1.0)
