"""Tests of savorypond.gateway.gather_plan."""

from unittest import TestCase

from hypothesis import given, settings, strategies as st

from savorypond.gateway.gather_plan import (
    GatherPlan,
    HedgeDelays,
    PlanLimits,
    Verdict,
)
from tests.gateway_fakes import CountedExtras, ListChooser, server

GOAL = 0.1
END = 1.0


def replicas(shards, each=2):
    return {
        f"s{n}": tuple(server(f"s{n}-{r}", service=f"s{n}") for r in range(each))
        for n in range(shards)
    }


def make_plan(
    shards=4,
    *,
    services=None,
    least=0.75,
    repeatable=True,
    attempts=2,
    extras=None,
    each=2,
    far=(),
):
    names = tuple(f"s{n}" for n in range(shards))
    return GatherPlan(
        services=names,
        limits=PlanLimits(
            repeatable=repeatable,
            max_attempts=attempts,
            least_share=least,
            answer_at=GOAL,
            end_at=END,
        ),
        hedge_delays=HedgeDelays(near=0.03, far=0.05),
        chooser=ListChooser(
            replicas(shards, each) if services is None else services, far=far
        ),
        extras=extras or CountedExtras(),
    )


class AnswerTests(TestCase):
    def test_answers_at_once_with_every_shard(self):
        plan = make_plan()
        for send in plan.start(0.0):
            self.assertTrue(plan.part(send.number))
        self.assertIs(plan.verdict(0.01), Verdict.ANSWER)

    def test_waits_for_the_rest_until_the_goal(self):
        plan = make_plan()
        for send in plan.start(0.0)[:3]:
            plan.part(send.number)
        self.assertIsNone(plan.verdict(GOAL - 0.001))
        self.assertEqual(plan.next_wake(), 0.03)
        self.assertIs(plan.verdict(GOAL), Verdict.ANSWER)

    def test_never_answers_below_the_least_share(self):
        plan = make_plan()
        sends = plan.start(0.0)
        for send in sends[:2]:
            plan.part(send.number)
        self.assertIsNone(plan.verdict(GOAL + 0.1))
        self.assertIs(plan.verdict(END), Verdict.TIMED_OUT)
        plan.part(sends[2].number)
        self.assertIs(plan.verdict(GOAL + 0.2), Verdict.ANSWER)

    def test_the_least_share_is_not_lost_to_rounding(self):
        plan = make_plan(20, least=0.9)
        for send in plan.start(0.0)[:18]:
            plan.part(send.number)
        self.assertIs(plan.verdict(GOAL), Verdict.ANSWER)

    def test_counts_only_the_first_answer_of_a_shard(self):
        plan = make_plan(1, least=1.0)
        (first,) = plan.start(0.0)
        (hedge,) = plan.tick(0.03)
        self.assertTrue(plan.part(hedge.number))
        self.assertFalse(plan.part(first.number))
        self.assertEqual(plan.answered, 1)


class HopelessTests(TestCase):
    def test_sends_nothing_where_too_few_shards_have_servers(self):
        services = replicas(4)
        services["s0"] = services["s1"] = ()
        plan = make_plan(services=services)
        self.assertEqual(plan.start(0.0), [])
        self.assertIs(plan.verdict(0.0), Verdict.UNSERVABLE)

    def test_goes_on_without_a_shard_that_has_no_server(self):
        services = replicas(4)
        services["s0"] = ()
        plan = make_plan(services=services)
        for send in plan.start(0.0):
            plan.part(send.number)
        self.assertIs(plan.verdict(0.01), Verdict.ANSWER)
        self.assertEqual(plan.missing(), ("s0",))

    def test_gives_up_once_the_least_share_is_out_of_reach(self):
        plan = make_plan(attempts=1)
        sends = plan.start(0.0)
        plan.failed(sends[0].number, 0.01, may_have_run=True)
        self.assertIsNone(plan.verdict(0.01))
        plan.failed(sends[1].number, 0.02, may_have_run=True)
        self.assertIs(plan.verdict(0.02), Verdict.UNSERVABLE)


class ExtraSendTests(TestCase):
    def test_hedges_a_slow_shard_to_another_server(self):
        plan = make_plan(1, least=1.0)
        (first,) = plan.start(0.0)
        self.assertEqual(plan.tick(0.029), [])
        (hedge,) = plan.tick(0.03)
        self.assertNotEqual(hedge.server.name, first.server.name)
        self.assertEqual(plan.tick(0.5), [])

    def test_hedges_to_another_data_centre_only_when_it_is_due_to_be_late(self):
        far = [f"s{n}-1" for n in range(4)]
        plan = make_plan(far=far)
        first, *others = plan.start(0.0)
        for send in others:
            plan.part(send.number)
        self.assertEqual(plan.tick(0.03), [])
        self.assertEqual(plan.next_wake(), 0.05)
        (hedge,) = plan.tick(0.05)
        self.assertEqual(hedge.server.name, "s0-1")
        self.assertEqual(hedge.shard, first.shard)

    def test_does_not_hedge_when_nearly_every_shard_is_late(self):
        plan = make_plan(20)
        plan.start(0.0)
        self.assertEqual(len(plan.tick(0.03)), 5)
        self.assertEqual(plan.tick(0.05), [])

    def test_does_not_hedge_beyond_the_budget(self):
        plan = make_plan(1, least=1.0, extras=CountedExtras(0))
        plan.start(0.0)
        self.assertEqual(plan.tick(0.03), [])
        self.assertEqual(plan.denied, 1)

    def test_never_repeats_what_may_have_run(self):
        plan = make_plan(1, least=1.0, repeatable=False, attempts=3, each=3)
        (first,) = plan.start(0.0)
        self.assertEqual(plan.tick(0.9), [])
        self.assertEqual(plan.failed(first.number, 0.9, may_have_run=True), [])
        self.assertIs(plan.verdict(0.9), Verdict.UNSERVABLE)

    def test_repeats_what_the_server_did_not_run(self):
        plan = make_plan(1, least=1.0, repeatable=False)
        (first,) = plan.start(0.0)
        (second,) = plan.failed(first.number, 0.01, may_have_run=False)
        self.assertNotEqual(second.server.name, first.server.name)

    def test_an_attempt_that_never_left_costs_nothing(self):
        extras = CountedExtras(0)
        plan = make_plan(1, least=1.0, attempts=1, extras=extras)
        (first,) = plan.start(0.0)
        (second,) = plan.unsent(first.number, 0.01)
        self.assertTrue(plan.part(second.number))

    def test_a_hedge_that_never_left_is_refunded(self):
        extras = CountedExtras(1)
        plan = make_plan(1, least=1.0, extras=extras)
        plan.start(0.0)
        (hedge,) = plan.tick(0.03)
        plan.unsent(hedge.number, 0.04)
        self.assertEqual(extras.left, 1)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["part", "failed", "refused", "unsent", "tick"]),
                st.integers(0, 30),
            ),
            max_size=40,
        ),
        st.integers(1, 3),
        st.booleans(),
    )
    def test_no_shard_is_sent_more_often_than_allowed(self, events, most, repeatable):
        plan = make_plan(3, least=0.3, attempts=most, repeatable=repeatable, each=4)
        running = plan.start(0.0)
        sent = {send.number: send.shard for send in running}
        left_out: set[int] = set()
        ran: dict[int, int] = {}
        now = 0.0
        for kind, pick in events:
            now += 0.01
            new = []
            if kind == "tick":
                new = plan.tick(now)
            elif running:
                send = running.pop(pick % len(running))
                if kind == "part":
                    plan.part(send.number)
                    ran[send.shard] = ran.get(send.shard, 0) + 1
                elif kind == "failed":
                    new = plan.failed(send.number, now, may_have_run=True)
                    ran[send.shard] = ran.get(send.shard, 0) + 1
                elif kind == "refused":
                    new = plan.failed(send.number, now, may_have_run=False)
                else:
                    left_out.add(send.number)
                    new = plan.unsent(send.number, now)
            running += new
            sent.update({send.number: send.shard for send in new})
        for shard in range(3):
            reached = [n for n, s in sent.items() if s == shard and n not in left_out]
            self.assertLessEqual(len(reached), most)
            if not repeatable:
                self.assertLessEqual(ran.get(shard, 0), 1)


class GroupTests(TestCase):
    def test_a_group_answers_for_its_shards(self):
        plan = make_plan()
        group = plan.hand_over((2, 3))
        own = plan.start(0.0)
        self.assertEqual([send.shard for send in own], [0, 1])
        for send in own:
            plan.part(send.number)
        self.assertIsNone(plan.verdict(0.01))
        plan.group_answered(group, (2, 3))
        self.assertIs(plan.verdict(0.02), Verdict.ANSWER)

    def test_what_a_group_lacks_is_missing(self):
        plan = make_plan()
        group = plan.hand_over((2, 3))
        for send in plan.start(0.0):
            plan.part(send.number)
        plan.group_answered(group, (2,))
        self.assertIs(plan.verdict(0.02), Verdict.ANSWER)
        self.assertEqual(plan.missing(), ("s3",))

    def test_a_group_that_nobody_got_is_asked_from_here(self):
        plan = make_plan(extras=CountedExtras(0))
        group = plan.hand_over((2, 3))
        plan.start(0.0)
        sends = plan.group_failed(group, 0.01, may_have_run=False)
        self.assertEqual([send.shard for send in sends], [2, 3])

    def test_a_lost_group_is_asked_again_within_the_budget(self):
        plan = make_plan(extras=CountedExtras(1))
        group = plan.hand_over((2, 3))
        plan.start(0.0)
        sends = plan.group_failed(group, 0.01, may_have_run=True)
        self.assertEqual([send.shard for send in sends], [2])

    def test_a_lost_group_is_not_asked_of_more_servers_than_allowed(self):
        plan = make_plan(each=3)
        group = plan.hand_over((2, 3))
        plan.start(0.0)
        self.assertFalse(plan.can_fall_back(group))
        self.assertEqual(plan.group_failed(group, 0.01, may_have_run=True), [])
