from unittest import TestCase

from hypothesis import given, strategies as st

from savorypond.balancing.drain_detector import SETTLE_TIME, DrainDetector, DrainSignal


def refusal(detector, at):
    detector.record_drain_refusal(server="s1", now=at)


def close(detector, at):
    detector.record_connection_close(server="s1", now=at)


def health(leaving, *, lag=0.0):
    def record(detector, at):
        detector.record_health(server="s1", leaving=leaving, asked_at=at - lag, now=at)

    return record


def listing(leaving):
    return lambda detector, at: detector.record_listing(server="s1", leaving=leaving)


class DrainDetectorTests(TestCase):
    def test_signals(self):
        settled = 0.0 + SETTLE_TIME
        table = [
            ("nothing", [], set()),
            ("list alone", [(0.0, listing(True))], {DrainSignal.INSTANCE_LIST}),
            ("health alone", [(0.0, health(True))], {DrainSignal.HEALTH}),
            ("refusal alone", [(0.0, refusal)], {DrainSignal.DRAIN_REFUSAL}),
            ("one close", [(0.0, close)], set()),
            (
                "two closes",
                [(0.0, close), (2.0, close)],
                {DrainSignal.CONNECTION_CLOSE},
            ),
            ("two closes far apart", [(0.0, close), (2.1, close)], set()),
            (
                "stale list says live",
                [(0.0, refusal), (9.0, listing(False))],
                {DrainSignal.DRAIN_REFUSAL},
            ),
            (
                "health does not override the list",
                [(0.0, listing(True)), (9.0, health(False))],
                {DrainSignal.INSTANCE_LIST},
            ),
            (
                "list clears its own signal",
                [(0.0, listing(True)), (9.0, listing(False))],
                set(),
            ),
            ("fresh health", [(0.0, refusal), (settled, health(False))], set()),
            (
                "health too soon",
                [(0.0, refusal), (settled - 0.1, health(False))],
                {DrainSignal.DRAIN_REFUSAL},
            ),
            (
                "late answer to an old health request",
                [(0.0, refusal), (9.0, health(False, lag=8.5))],
                {DrainSignal.DRAIN_REFUSAL},
            ),
            (
                "two signals, one cleared",
                [(0.0, listing(True)), (0.0, refusal), (9.0, health(False))],
                {DrainSignal.INSTANCE_LIST},
            ),
        ]
        for name, script, signals in table:
            with self.subTest(name):
                detector = DrainDetector()
                for at, record in script:
                    record(detector, at)
                self.assertEqual(detector.signals("s1"), signals)
                self.assertEqual(detector.is_leaving("s1"), bool(signals))
                self.assertEqual(detector.leaving(), ("s1",) if signals else ())

    @given(st.lists(st.sampled_from(["list", "health", "refusal"]), min_size=1))
    def test_any_signal_stays_until_there_is_fresh_evidence(self, order):
        detector = DrainDetector()
        signals = {"list": listing(True), "health": health(True), "refusal": refusal}
        for at, name in enumerate(order):
            signals[name](detector, float(at))
            health(False)(detector, float(at))
            self.assertTrue(detector.is_leaving("s1"))
        listing(False)(detector, 100.0)
        health(False)(detector, 100.0)
        self.assertFalse(detector.is_leaving("s1"))

    def test_retain_drops_servers_that_left_the_configuration(self):
        detector = DrainDetector()
        refusal(detector, 0.0)
        detector.retain(["s2"])
        self.assertFalse(detector.is_leaving("s1"))
