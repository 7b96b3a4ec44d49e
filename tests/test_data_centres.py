from random import Random
from unittest import TestCase

from savorypond.membership.data_centres import (
    PROBED_AT_ONCE,
    UNANSWERED_LIMIT,
    DataCentres,
)

HINT_TIME = 5.0  # seconds


class DataCentreTests(TestCase):
    def setUp(self):
        self.data_centres = DataCentres(
            rng=Random(1), retry_delay=1.0, retry_delay_max=8.0, hint_time=HINT_TIME
        )

    def lose(self, name, now):
        for member in range(UNANSWERED_LIMIT):
            self.data_centres.unanswered(name, f"i{member}", sent_at=now, now=now)

    def test_is_lost_only_when_several_members_are_silent(self):
        for _ in range(UNANSWERED_LIMIT):
            self.data_centres.unanswered("a", "i1", sent_at=1.0, now=2.0)
        self.assertEqual(self.data_centres.unreachable, frozenset())
        self.assertEqual(self.data_centres.to_probe(2.0), ["a"])
        self.lose("a", 3.0)
        self.assertEqual(self.data_centres.unreachable, {"a"})
        self.assertEqual(self.data_centres.hints(4.0), ("a",))
        self.assertEqual(self.data_centres.hints(3.0 + HINT_TIME), ())

    def test_members_are_judged_one_by_one_where_another_was_heard(self):
        self.assertFalse(self.data_centres.unanswered("a", "i1", sent_at=1.0, now=2.0))
        self.assertEqual(self.data_centres.heard("a", 3.0), {"i1"})
        self.assertTrue(self.data_centres.unanswered("a", "i2", sent_at=2.5, now=3.5))

    def test_one_datagram_brings_it_back_and_is_told(self):
        self.lose("a", 1.0)
        version = self.data_centres.version
        self.assertEqual(self.data_centres.heard("a", 100.0), set())
        self.assertEqual(self.data_centres.unreachable, frozenset())
        self.assertGreater(self.data_centres.version, version)
        self.assertEqual(self.data_centres.hints(101.0), ("a",))
        self.assertTrue(self.data_centres.regained(101.0))

    def test_a_hint_leads_to_a_look_unless_it_was_just_heard(self):
        self.data_centres.heard("a", 1.0)
        self.data_centres.hint("a", 2.0)
        self.assertEqual(self.data_centres.to_probe(2.0), [])
        self.data_centres.hint("a", 1.0 + HINT_TIME)
        self.assertEqual(self.data_centres.to_probe(7.0), ["a"])

    def test_lost_ones_are_probed_ever_more_seldom_and_a_few_at_once(self):
        names = [f"dc{number}" for number in range(3 * PROBED_AT_ONCE)]
        for name in names:
            self.lose(name, 0.0)
        probes = [len(self.data_centres.to_probe(0.5 * n)) for n in range(1, 241)]
        self.assertEqual(max(probes), PROBED_AT_ONCE)
        # Between one probe each 4 s and one each 8 s in the last minute.
        last = sum(probes[-120:])
        self.assertLessEqual(len(names) * 60 // 8, last)
        self.assertLessEqual(last, len(names) * 60 // 4)
