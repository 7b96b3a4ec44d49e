"""Tests of savorypond.gateway.ranked_merge."""

from unittest import TestCase

from hypothesis import given, settings, strategies as st

from savorypond.gateway.ranked_merge import RECORD_BYTES, PartialAnswer, merge_records

RECORDS = st.lists(st.binary(min_size=RECORD_BYTES, max_size=RECORD_BYTES), max_size=9)


class MergeTests(TestCase):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        st.lists(st.tuples(RECORDS, st.binary(max_size=15)), max_size=5),
        st.integers(0, 12),
    )
    def test_returns_the_greatest_records_in_descending_order(self, generated, top):
        parts = [
            PartialAnswer(signatures=(), body=b"".join(r) + rest)
            for r, rest in generated
        ]
        expected = sorted((record for r, _ in generated for record in r), reverse=True)
        self.assertEqual(merge_records(parts, top=top), b"".join(expected[:top]))

    def test_keeps_duplicate_records(self):
        part = PartialAnswer(signatures=(), body=b"x" * RECORD_BYTES)
        self.assertEqual(merge_records([part, part], top=5), b"x" * 2 * RECORD_BYTES)
