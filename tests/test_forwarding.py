"""Tests of which subqueries run and which answers count in a forwarded query."""

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


def make_answer(subquery):
    names = [f"{service.name}-0" for service in subquery.services]
    return Answer(
        request_id="r1",
        snapshot=PIN.snapshot,
        layout=PIN.layout,
        partials=tuple(ShardPartial(shard=name, results=()) for name in names),
        coverage=Coverage(asked=frozenset(names), covered=frozenset(names)),
    )


class SupersededSubqueryTests(TestCase):
    @given(st.integers(0, 10_000))
    def test_subqueries_run_while_one_of_their_services_is_open(self, seed):
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
                    self.assertEqual(lost, service_names(subquery) <= settled)
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
                take(forwarding.failed(subquery, now))
            else:
                settled |= service_names(subquery)
                take(forwarding.answered(subquery, make_answer(subquery), now))
            for subquery in running.values():
                self.assertTrue(finished or service_names(subquery) - settled)
        covered = {f"{name}-0" for name in settled}
        self.assertEqual(finished[0].coverage.covered, covered)


def service_names(subquery):
    return {service.name for service in subquery.services}


class QueuedAnswerTests(TestCase):
    def test_answers_still_queued_at_the_deadline_are_merged(self):
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
            actions = forwarding.answered(subquery, make_answer(subquery), 0.11)
            self.assertEqual(actions, [])
        (finish,) = forwarding.answered(
            subqueries[-1], make_answer(subqueries[-1]), 0.11
        )
        self.assertEqual(finish.answer.coverage.share, 1.0)
