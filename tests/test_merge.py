from unittest import TestCase

from hypothesis import given, strategies as st

from savorypond.exceptions import MixedAnswersError
from savorypond.model import Pin, ShardPartial
from savorypond.queries.merge import build_answer, merge_answers
from savorypond.reasons import MissingReason

PIN = Pin(snapshot=7, layout=1)
SHARDS = st.frozensets(st.sampled_from("abcdef"))


def owner_answer(asked, covered, pin=PIN, request_id="r"):
    return build_answer(
        request_id=request_id,
        pin=pin,
        asked=frozenset(asked),
        partials=[ShardPartial(shard=s, results=(s,)) for s in covered],
        missing=dict.fromkeys(asked, MissingReason.SHED),
    )


class MergeTests(TestCase):
    def test_answers_of_other_pins_and_requests_are_rejected(self):
        cases = (
            ("snapshot", {"pin": Pin(snapshot=8, layout=1)}),
            ("layout", {"pin": Pin(snapshot=7, layout=2)}),
            ("request", {"request_id": "s"}),
        )
        for field, changes in cases:
            with self.subTest(field), self.assertRaises(MixedAnswersError) as caught:
                answers = [owner_answer("a", "a"), owner_answer("b", "b", **changes)]
                merge_answers(request_id="r", pin=PIN, answers=answers)
            self.assertEqual(caught.exception.field, field)

    def test_first_partial_of_a_shard_is_used(self):
        partials = [ShardPartial(shard="a", results=(n,)) for n in (1, 2)]
        answer = build_answer(
            request_id="r",
            pin=PIN,
            asked=frozenset("a"),
            partials=partials,
            missing={},
        )
        self.assertEqual(answer.partials, (partials[0],))

    def test_shards_of_unreachable_owner_are_missing(self):
        merged = merge_answers(
            request_id="r",
            pin=PIN,
            answers=[owner_answer("ab", "a")],
            asked=frozenset("abc"),
        )
        self.assertEqual(
            {m.shard: m.reason for m in merged.coverage.missing},
            {"b": MissingReason.SHED, "c": MissingReason.OWNER_UNREACHABLE},
        )

    @given(st.lists(st.tuples(SHARDS, SHARDS), max_size=5), SHARDS)
    def test_merged_coverage_is_union_of_answers(self, owners, asked):
        answers = [owner_answer(wanted, found) for wanted, found in owners]
        merged = merge_answers(
            request_id="r", pin=PIN, answers=answers, asked=asked
        ).coverage
        self.assertEqual(merged.asked, asked.union(*(w for w, _ in owners)))
        self.assertEqual(merged.covered, frozenset().union(*(w & f for w, f in owners)))
        self.assertEqual(
            {m.shard for m in merged.missing}, merged.asked - merged.covered
        )
