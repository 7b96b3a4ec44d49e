from unittest import TestCase

from savorypond.membership.pause import (
    HEARTBEAT_INTERVAL,
    PAUSE_LIMIT,
    Paused,
    PauseDetector,
)


class Listener:
    def __init__(self, log, name):
        self._log = log
        self._name = name

    def resumed(self, paused):
        self._log.append((self._name, paused))


class PauseDetectorTests(TestCase):
    def setUp(self):
        self.log = []
        listeners = [Listener(self.log, "membership"), Listener(self.log, "ledger")]
        self.detector = PauseDetector(now=0.0, listeners=listeners)

    def test_only_a_gap_beyond_the_limit_is_a_pause(self):
        cases = [
            ("steady", HEARTBEAT_INTERVAL, None),
            ("busy", PAUSE_LIMIT, None),
            ("stopped", 30.0, Paused(since=0.0, now=30.0)),
            ("clock back", -1.0, None),
        ]
        for name, gap, expected in cases:
            with self.subTest(name):
                self.setUp()
                self.assertEqual(self.detector.observe(gap), expected)
                self.assertEqual(self.detector.pauses, int(expected is not None))

    def test_all_listeners_are_called_in_order_and_once(self):
        paused = self.detector.observe(30.0)
        self.assertEqual(paused.gap, 30.0)
        self.assertEqual(self.log, [("membership", paused), ("ledger", paused)])
        self.assertIsNone(self.detector.observe(30.1))
        self.assertEqual(len(self.log), 2)
