from unittest import TestCase

from hypothesis import given, strategies as st

from savorypond.balancing.drain_detector import SETTLE_TIME, DrainDetector, DrainSignal


def refusal(drain, at):
    drain.record_drain_refusal(server="s1", now=at)


def close(drain, at):
    drain.record_connection_close(server="s1", now=at)


def health(leaving, *, lag=0.0):
    def give(drain, at):
        drain.record_health(server="s1", leaving=leaving, asked_at=at - lag, now=at)

    return give


def listing(leaving):
    return lambda drain, at: drain.record_listing(server="s1", leaving=leaving)


class ServerDrainTests(TestCase):
    def test_signs(self):
        late = 0.0 + SETTLE_TIME
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
                "health does not outweigh the list",
                [(0.0, listing(True)), (9.0, health(False))],
                {DrainSignal.INSTANCE_LIST},
            ),
            (
                "list takes its own back",
                [(0.0, listing(True)), (9.0, listing(False))],
                set(),
            ),
            ("fresh health", [(0.0, refusal), (late, health(False))], set()),
            (
                "health too soon",
                [(0.0, refusal), (late - 0.1, health(False))],
                {DrainSignal.DRAIN_REFUSAL},
            ),
            (
                "late answer to an old health request",
                [(0.0, refusal), (9.0, health(False, lag=8.5))],
                {DrainSignal.DRAIN_REFUSAL},
            ),
            (
                "two signs, one taken back",
                [(0.0, listing(True)), (0.0, refusal), (9.0, health(False))],
                {DrainSignal.INSTANCE_LIST},
            ),
        ]
        for name, script, signs in table:
            with self.subTest(name):
                drain = DrainDetector()
                for at, sign in script:
                    sign(drain, at)
                self.assertEqual(drain.signs("s1"), signs)
                self.assertEqual(drain.is_leaving("s1"), bool(signs))
                self.assertEqual(drain.leaving(), ("s1",) if signs else ())

    @given(st.lists(st.sampled_from(["list", "health", "refusal"]), min_size=1))
    def test_any_sign_holds_until_there_is_fresh_evidence(self, order):
        drain = DrainDetector()
        signs = {"list": listing(True), "health": health(True), "refusal": refusal}
        for at, name in enumerate(order):
            signs[name](drain, float(at))
            health(False)(drain, float(at))
            self.assertTrue(drain.is_leaving("s1"))
        listing(False)(drain, 100.0)
        health(False)(drain, 100.0)
        self.assertFalse(drain.is_leaving("s1"))

    def test_forgets_servers_that_left_the_configuration(self):
        drain = DrainDetector()
        refusal(drain, 0.0)
        drain.retain(["s2"])
        self.assertFalse(drain.is_leaving("s1"))
