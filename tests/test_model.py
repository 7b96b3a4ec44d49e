from unittest import TestCase

from savorypond.clock import VirtualClock
from savorypond.model import Counters, Coverage, MissingShard
from savorypond.reasons import MissingReason


class CoverageTests(TestCase):
    def test_share_of_covered_shards(self):
        coverage = Coverage(
            asked=frozenset({"a", "b"}),
            covered=frozenset({"a"}),
            missing=(MissingShard(shard="b", reason=MissingReason.SHED),),
        )
        self.assertEqual(coverage.share, 0.5)

    def test_no_asked_shards_is_full_coverage(self):
        coverage = Coverage(asked=frozenset(), covered=frozenset())
        self.assertEqual(coverage.share, 1.0)


class CountersTests(TestCase):
    def test_counts_by_name_and_reason(self):
        counters = Counters()
        counters.add("drops", "late")
        counters.add("drops", "late", 2)
        self.assertEqual(counters.value("drops", "late"), 3)
        self.assertEqual(counters.value("drops", "duplicate"), 0)


class VirtualClockTests(TestCase):
    def test_moves_only_forward(self):
        clock = VirtualClock(start=5.0)
        self.assertEqual(clock.advance(1.5), 6.5)
        with self.assertRaises(ValueError):
            clock.advance(-1.0)
