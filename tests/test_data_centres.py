from random import Random
from unittest import TestCase

from savorypond.membership.data_centres import (
    MAX_PROBES_PER_ROUND,
    UNANSWERED_LIMIT,
    DataCentres,
)

HINT_TIME = 5.0  # seconds


class DataCentresTests(TestCase):
    def setUp(self):
        self.data_centres = DataCentres(
            rng=Random(1), retry_delay=1.0, retry_delay_max=8.0, hint_time=HINT_TIME
        )

    def mark_unreachable(self, name, now):
        for member in range(UNANSWERED_LIMIT):
            self.data_centres.probe_failed(name, f"i{member}", sent_at=now, now=now)

    def test_is_unreachable_only_after_several_members_fail_to_answer(self):
        for _ in range(UNANSWERED_LIMIT):
            self.data_centres.probe_failed("a", "i1", sent_at=1.0, now=2.0)
        self.assertEqual(self.data_centres.unreachable, frozenset())
        self.assertEqual(self.data_centres.take_due_for_probe(2.0), ["a"])
        self.mark_unreachable("a", 3.0)
        self.assertEqual(self.data_centres.unreachable, {"a"})
        self.assertEqual(self.data_centres.hints(4.0), ("a",))
        self.assertEqual(self.data_centres.hints(3.0 + HINT_TIME), ())

    def test_members_are_suspected_one_by_one_while_another_is_heard(self):
        self.assertFalse(
            self.data_centres.probe_failed("a", "i1", sent_at=1.0, now=2.0)
        )
        self.assertEqual(self.data_centres.heard("a", 3.0), {"i1"})
        self.assertTrue(self.data_centres.probe_failed("a", "i2", sent_at=2.5, now=3.5))

    def test_one_datagram_makes_it_reachable_and_is_announced(self):
        self.mark_unreachable("a", 1.0)
        version = self.data_centres.version
        self.assertEqual(self.data_centres.heard("a", 100.0), set())
        self.assertEqual(self.data_centres.unreachable, frozenset())
        self.assertGreater(self.data_centres.version, version)
        self.assertEqual(self.data_centres.hints(101.0), ("a",))
        self.assertTrue(self.data_centres.recently_reachable_again(101.0))

    def test_a_hint_causes_a_probe_unless_it_was_just_heard(self):
        self.data_centres.heard("a", 1.0)
        self.data_centres.hint("a", 2.0)
        self.assertEqual(self.data_centres.take_due_for_probe(2.0), [])
        self.data_centres.hint("a", 1.0 + HINT_TIME)
        self.assertEqual(self.data_centres.take_due_for_probe(7.0), ["a"])

    def test_unreachable_ones_are_probed_with_backoff_and_a_few_per_round(self):
        names = [f"dc{number}" for number in range(3 * MAX_PROBES_PER_ROUND)]
        for name in names:
            self.mark_unreachable(name, 0.0)
        probes = [
            len(self.data_centres.take_due_for_probe(0.5 * n)) for n in range(1, 241)
        ]
        self.assertEqual(max(probes), MAX_PROBES_PER_ROUND)
        # Each is probed once in 4 to 8 s during the last minute.
        last_minute = sum(probes[-120:])
        self.assertLessEqual(len(names) * 60 // 8, last_minute)
        self.assertLessEqual(last_minute, len(names) * 60 // 4)
