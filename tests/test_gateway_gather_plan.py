"""Tests of savorypond.gateway.gather_plan."""

from types import SimpleNamespace
from unittest import TestCase
from unittest.mock import AsyncMock, MagicMock

from curio import run
from hypothesis import given, settings, strategies as st

from savorypond.gateway.attempts import AttemptResult
from savorypond.gateway.delegation_client import GroupResult
from savorypond.gateway.gather_plan import GatherPlan
from savorypond.gateway.plan_types import HedgeDelays, PlanLimits, Verdict
from savorypond.gateway.ranked_merge import PartialAnswer
from savorypond.gateway.request_run import RequestRun
from savorypond.gateway.response_classifier import AttemptOutcome
from savorypond.http.messages import Header, HttpResponse
from savorypond.platform.names import HEADERS
from tests.gateway_fakes import FakeChooser, FakeRetryBudget, server

TARGET = 0.1
DEADLINE = 1.0
GROUP_DUE = 0.12


def replicas(shards, servers_per_shard=2):
    return {
        f"s{n}": tuple(
            server(f"s{n}-{r}", service=f"s{n}") for r in range(servers_per_shard)
        )
        for n in range(shards)
    }


def make_plan(
    shards=4,
    *,
    services=None,
    least_share=0.75,
    repeatable=True,
    max_attempts=2,
    budget=None,
    servers_per_shard=2,
    remote=(),
):
    names = tuple(f"s{n}" for n in range(shards))
    return GatherPlan(
        services=names,
        limits=PlanLimits(
            repeatable=repeatable,
            max_attempts=max_attempts,
            least_share=least_share,
            partial_after=TARGET,
            deadline=DEADLINE,
        ),
        hedge_delays=HedgeDelays(local=0.03, remote=0.05),
        chooser=FakeChooser(
            replicas(shards, servers_per_shard) if services is None else services,
            remote=remote,
        ),
        budget=budget or FakeRetryBudget(),
    )


class AnswerTests(TestCase):
    def test_answers_at_once_when_every_shard_has_answered(self):
        plan = make_plan()
        for attempt in plan.start(0.0):
            self.assertTrue(plan.record_answer(attempt.number))
        self.assertIs(plan.verdict(0.01), Verdict.ANSWER)

    def test_waits_for_missing_shards_until_the_target(self):
        plan = make_plan()
        for attempt in plan.start(0.0)[:3]:
            plan.record_answer(attempt.number)
        self.assertIsNone(plan.verdict(TARGET - 0.001))
        self.assertEqual(plan.next_wakeup(), 0.03)
        self.assertIs(plan.verdict(TARGET), Verdict.ANSWER)

    def test_never_answers_below_the_least_share(self):
        plan = make_plan()
        attempts = plan.start(0.0)
        for attempt in attempts[:2]:
            plan.record_answer(attempt.number)
        self.assertIsNone(plan.verdict(TARGET + 0.1))
        self.assertIs(plan.verdict(DEADLINE), Verdict.TIMED_OUT)
        plan.record_answer(attempts[2].number)
        self.assertIs(plan.verdict(TARGET + 0.2), Verdict.ANSWER)

    def test_least_share_tolerates_rounding_errors(self):
        plan = make_plan(20, least_share=0.9)
        for attempt in plan.start(0.0)[:18]:
            plan.record_answer(attempt.number)
        self.assertIs(plan.verdict(TARGET), Verdict.ANSWER)

    def test_counts_only_the_first_answer_of_a_shard(self):
        plan = make_plan(1, least_share=1.0)
        (first,) = plan.start(0.0)
        (hedge,) = plan.due_hedges(0.03)
        self.assertTrue(plan.record_answer(hedge.number))
        self.assertFalse(plan.record_answer(first.number))
        self.assertEqual(plan.answered, 1)


class UnservableTests(TestCase):
    def test_sends_nothing_when_too_few_shards_have_servers(self):
        services = replicas(4)
        services["s0"] = services["s1"] = ()
        plan = make_plan(services=services)
        self.assertEqual(plan.start(0.0), [])
        self.assertIs(plan.verdict(0.0), Verdict.UNSERVABLE)

    def test_answers_without_a_shard_that_has_no_server(self):
        services = replicas(4)
        services["s0"] = ()
        plan = make_plan(services=services)
        for attempt in plan.start(0.0):
            plan.record_answer(attempt.number)
        self.assertIs(plan.verdict(0.01), Verdict.ANSWER)
        self.assertEqual(plan.missing(), ("s0",))

    def test_fails_once_the_least_share_is_unreachable(self):
        plan = make_plan(max_attempts=1)
        attempts = plan.start(0.0)
        plan.record_failure(attempts[0].number, 0.01, may_have_run=True)
        self.assertIsNone(plan.verdict(0.01))
        plan.record_failure(attempts[1].number, 0.02, may_have_run=True)
        self.assertIs(plan.verdict(0.02), Verdict.UNSERVABLE)


class ExtraAttemptTests(TestCase):
    def test_hedges_a_slow_shard_to_another_server(self):
        plan = make_plan(1, least_share=1.0)
        (first,) = plan.start(0.0)
        self.assertEqual(plan.due_hedges(0.029), [])
        (hedge,) = plan.due_hedges(0.03)
        self.assertNotEqual(hedge.server.name, first.server.name)
        self.assertEqual(plan.due_hedges(0.5), [])

    def test_hedges_to_another_data_centre_later_than_locally(self):
        remote = [f"s{n}-1" for n in range(4)]
        plan = make_plan(remote=remote)
        first, *others = plan.start(0.0)
        for attempt in others:
            plan.record_answer(attempt.number)
        self.assertEqual(plan.due_hedges(0.03), [])
        self.assertEqual(plan.next_wakeup(), 0.05)
        (hedge,) = plan.due_hedges(0.05)
        self.assertEqual(hedge.server.name, "s0-1")
        self.assertEqual(hedge.shard, first.shard)

    def test_limits_hedges_when_most_shards_are_late(self):
        plan = make_plan(20)
        plan.start(0.0)
        self.assertEqual(len(plan.due_hedges(0.03)), 5)
        self.assertEqual(plan.due_hedges(0.05), [])

    def test_does_not_hedge_beyond_the_budget(self):
        plan = make_plan(1, least_share=1.0, budget=FakeRetryBudget(0))
        plan.start(0.0)
        self.assertEqual(plan.due_hedges(0.03), [])
        self.assertEqual(plan.denied, 1)

    def test_never_repeats_a_non_idempotent_request_that_may_have_run(self):
        plan = make_plan(
            1, least_share=1.0, repeatable=False, max_attempts=3, servers_per_shard=3
        )
        (first,) = plan.start(0.0)
        self.assertEqual(plan.due_hedges(0.9), [])
        self.assertEqual(plan.record_failure(first.number, 0.9, may_have_run=True), [])
        self.assertIs(plan.verdict(0.9), Verdict.UNSERVABLE)

    def test_retries_a_request_that_the_server_did_not_run(self):
        plan = make_plan(1, least_share=1.0, repeatable=False)
        (first,) = plan.start(0.0)
        (second,) = plan.record_failure(first.number, 0.01, may_have_run=False)
        self.assertNotEqual(second.server.name, first.server.name)

    def test_replacing_an_unsent_attempt_costs_no_budget(self):
        budget = FakeRetryBudget(0)
        plan = make_plan(1, least_share=1.0, max_attempts=1, budget=budget)
        (first,) = plan.start(0.0)
        (second,) = plan.record_unsent(first.number, 0.01)
        self.assertTrue(plan.record_answer(second.number))

    def test_an_unsent_hedge_is_refunded(self):
        budget = FakeRetryBudget(1)
        plan = make_plan(1, least_share=1.0, budget=budget)
        plan.start(0.0)
        (hedge,) = plan.due_hedges(0.03)
        plan.record_unsent(hedge.number, 0.04)
        self.assertEqual(budget.remaining, 1)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["answered", "failed", "refused", "unsent", "hedge"]),
                st.integers(0, 30),
            ),
            max_size=40,
        ),
        st.integers(1, 3),
        st.booleans(),
    )
    def test_sends_each_shard_to_at_most_max_attempts_servers(
        self, events, max_attempts, repeatable
    ):
        plan = make_plan(
            3,
            least_share=0.3,
            max_attempts=max_attempts,
            repeatable=repeatable,
            servers_per_shard=4,
        )
        running = plan.start(0.0)
        shard_of = {attempt.number: attempt.shard for attempt in running}
        unsent: set[int] = set()
        run_counts: dict[int, int] = {}
        now = 0.0
        for event, pick in events:
            now += 0.01
            new = []
            if event == "hedge":
                new = plan.due_hedges(now)
            elif running:
                attempt = running.pop(pick % len(running))
                if event == "answered":
                    plan.record_answer(attempt.number)
                    run_counts[attempt.shard] = run_counts.get(attempt.shard, 0) + 1
                elif event == "failed":
                    new = plan.record_failure(attempt.number, now, may_have_run=True)
                    run_counts[attempt.shard] = run_counts.get(attempt.shard, 0) + 1
                elif event == "refused":
                    new = plan.record_failure(attempt.number, now, may_have_run=False)
                else:
                    unsent.add(attempt.number)
                    new = plan.record_unsent(attempt.number, now)
            running += new
            shard_of.update({attempt.number: attempt.shard for attempt in new})
        for shard in range(3):
            sent_attempts = [
                n for n, s in shard_of.items() if s == shard and n not in unsent
            ]
            self.assertLessEqual(len(sent_attempts), max_attempts)
            if not repeatable:
                self.assertLessEqual(run_counts.get(shard, 0), 1)


class GroupTests(TestCase):
    def test_a_group_answers_for_its_shards(self):
        plan = make_plan()
        group = plan.delegate((2, 3), fallback_at=GROUP_DUE)
        local_attempts = plan.start(0.0)
        self.assertEqual([attempt.shard for attempt in local_attempts], [0, 1])
        for attempt in local_attempts:
            plan.record_answer(attempt.number)
        self.assertIsNone(plan.verdict(0.01))
        plan.record_group_answer(group, (2, 3))
        self.assertIs(plan.verdict(0.02), Verdict.ANSWER)

    def test_shards_that_a_group_lacks_are_missing(self):
        plan = make_plan()
        group = plan.delegate((2, 3), fallback_at=GROUP_DUE)
        for attempt in plan.start(0.0):
            plan.record_answer(attempt.number)
        plan.record_group_answer(group, (2,))
        self.assertIs(plan.verdict(0.02), Verdict.ANSWER)
        self.assertEqual(plan.missing(), ("s3",))

    def test_an_undelivered_group_is_asked_directly(self):
        plan = make_plan(budget=FakeRetryBudget(0))
        group = plan.delegate((2, 3), fallback_at=GROUP_DUE)
        plan.start(0.0)
        attempts = plan.record_group_failure(group, 0.01, may_have_run=False)
        self.assertEqual([attempt.shard for attempt in attempts], [2, 3])

    def test_a_lost_group_is_retried_within_the_budget(self):
        plan = make_plan(budget=FakeRetryBudget(1))
        group = plan.delegate((2, 3), fallback_at=GROUP_DUE)
        plan.start(0.0)
        attempts = plan.record_group_failure(group, 0.01, may_have_run=True)
        self.assertEqual([attempt.shard for attempt in attempts], [2])

    def test_a_lost_group_is_not_retried_beyond_max_attempts(self):
        plan = make_plan(servers_per_shard=3)
        group = plan.delegate((2, 3), fallback_at=GROUP_DUE)
        plan.start(0.0)
        self.assertEqual(plan.due_fallbacks(GROUP_DUE), [])
        self.assertEqual(plan.record_group_failure(group, 0.01, may_have_run=True), [])

    def test_a_late_group_is_asked_directly_and_still_awaited(self):
        plan = make_plan(least_share=1.0)
        group = plan.delegate((2, 3), fallback_at=GROUP_DUE)
        for attempt in plan.start(0.0):
            plan.record_answer(attempt.number)
        self.assertEqual(plan.next_wakeup(), GROUP_DUE)
        self.assertEqual(plan.due_fallbacks(GROUP_DUE - 0.01), [])
        first, second = plan.due_fallbacks(GROUP_DUE)
        self.assertEqual((first.shard, second.shard), (2, 3))
        self.assertEqual(plan.due_fallbacks(GROUP_DUE), [])
        plan.record_answer(first.number)
        self.assertIsNone(plan.verdict(GROUP_DUE))
        self.assertTrue(plan.record_group_answer(group, (2, 3)))
        self.assertIs(plan.verdict(GROUP_DUE), Verdict.ANSWER)
        self.assertFalse(plan.record_answer(second.number))

    def test_a_group_that_covers_nothing_new_is_not_used(self):
        plan = make_plan(least_share=1.0)
        group = plan.delegate((2, 3), fallback_at=GROUP_DUE)
        first_attempts = plan.start(0.0)
        for attempt in first_attempts + plan.due_fallbacks(GROUP_DUE):
            plan.record_answer(attempt.number)
        self.assertFalse(plan.record_group_answer(group, (2, 3)))

    def test_a_late_group_that_fails_leaves_the_direct_attempts(self):
        plan = make_plan(least_share=1.0)
        group = plan.delegate((2, 3), fallback_at=GROUP_DUE)
        plan.start(0.0)
        attempts = plan.due_fallbacks(GROUP_DUE)
        self.assertEqual(
            plan.record_group_failure(group, GROUP_DUE, may_have_run=True), []
        )
        for attempt in attempts:
            self.assertTrue(plan.record_answer(attempt.number))

    def test_unfinished_shards_are_asked_for_once_they_are_needed(self):
        plan = make_plan(least_share=1.0)
        group = plan.delegate((2, 3), fallback_at=GROUP_DUE)
        for attempt in plan.start(0.0):
            plan.record_answer(attempt.number)
        plan.record_group_answer(group, (2,), pending=(3,))
        self.assertIsNone(plan.verdict(0.05))
        self.assertEqual(plan.due_follow_ups(0.05), [])
        self.assertEqual(plan.next_wakeup(), TARGET)
        self.assertEqual(plan.due_follow_ups(TARGET), [group])
        self.assertEqual(plan.due_follow_ups(TARGET), [])
        self.assertIsNone(plan.verdict(TARGET))
        plan.record_group_answer(group, (3,))
        self.assertIs(plan.verdict(0.5), Verdict.ANSWER)

    def test_unfinished_shards_are_not_awaited_if_enough_have_answered(self):
        plan = make_plan(least_share=0.75)
        group = plan.delegate((2, 3), fallback_at=GROUP_DUE)
        for attempt in plan.start(0.0):
            plan.record_answer(attempt.number)
        plan.record_group_answer(group, (2,), pending=(3,))
        self.assertIs(plan.verdict(0.05), Verdict.ANSWER)

    def test_a_group_that_cannot_be_asked_for_the_rest_fails(self):
        plan = make_plan(least_share=1.0)
        group = plan.delegate((2, 3), fallback_at=GROUP_DUE)
        for attempt in plan.start(0.0):
            plan.record_answer(attempt.number)
        plan.record_group_answer(group, (2,), pending=(3,))
        plan.due_follow_ups(TARGET)
        self.assertEqual(plan.record_group_failure(group, 0.2, may_have_run=True), [])
        self.assertIs(plan.verdict(0.2), Verdict.UNSERVABLE)


def group_result(shards, pending):
    return GroupResult(
        peer="b1",
        number=1,
        part=PartialAnswer(signatures=tuple(f"s{n}" for n in shards), body=b""),
        answered=shards,
        pending=pending,
    )


def attempt_result(attempt):
    signature = Header(name=HEADERS.signature, value=f"s{attempt.shard}")
    return AttemptResult(
        outcome=AttemptOutcome.USABLE,
        server=attempt.server,
        response=HttpResponse(status=200, headers=(signature,)),
    )


def make_run(plan):
    """Return a run that follows ``plan`` and records results that it is given."""
    request = SimpleNamespace(request_id="r1", caller_deadline=DEADLINE)
    spec = SimpleNamespace(
        route=MagicMock(max_attempts=2, priority=0),
        services=("s0",),
        least_share=1.0,
        partial_after=TARGET,
        request=request,
    )
    dependencies = MagicMock(names=HEADERS)
    dependencies.clock.now.return_value = 0.0
    request_run = RequestRun(dependencies=dependencies, spec=spec)
    request_run._plan = plan
    request_run._spawn_attempts = AsyncMock()
    return request_run


class MergedPartsTests(TestCase):
    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.data())
    def test_no_shard_is_merged_twice(self, data):
        """Whatever comes twice, late, or after its fallback has answered."""
        plan = make_plan(5, least_share=1.0)
        group = plan.delegate((1, 2, 3, 4), fallback_at=GROUP_DUE)
        attempts = plan.start(0.0)
        cut = data.draw(st.integers(1, 4))
        results = [group_result(tuple(range(1, cut + 1)), tuple(range(cut + 1, 5)))]
        if cut < 4:
            results.append(group_result(tuple(range(cut + 1, 5)), ()))
        request_run = make_run(plan)
        events = ["attempt", "fallbacks", "group", "copy"]
        sent = []
        for event in data.draw(st.lists(st.sampled_from(events), max_size=14)):
            if event == "attempt" and attempts:
                attempt = attempts.pop(data.draw(st.integers(0, len(attempts) - 1)))
                run(request_run._record_attempt, attempt, attempt_result(attempt))
            elif event == "fallbacks":
                attempts += plan.due_fallbacks(GROUP_DUE)
            elif event == "group" and results:
                sent.append(results.pop(0))
                run(request_run._record_group, group, sent[-1])
            elif event == "copy" and sent:
                copy = data.draw(st.sampled_from(sent))
                run(request_run._record_group, group, copy)
        merged = [s for p in request_run._parts for s in p.answer.signatures]
        self.assertCountEqual(merged, {f"s{n}" for n in range(5)} - {*plan.missing()})
