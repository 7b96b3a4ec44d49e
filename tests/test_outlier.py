from unittest import TestCase

from hypothesis import given, strategies as st

from savorypond.balancing.outlier import OutlierConfig, OutlierDetector
from savorypond.reasons import EjectionReason

NAMES = ("a", "b", "c", "d", "e")
CONFIG = OutlierConfig(failures=3, min_samples=4, ramp=5.0, ramp_floor=0.1)
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["ok", "slow", "fail", "fail", "cancelled", "usable"]),
        st.sampled_from(NAMES),
        st.sampled_from([0.0, 0.0, 0.1, 2.0]),
        st.sets(st.sampled_from(NAMES)),
    ),
    max_size=120,
)


class EjectionCapTests(TestCase):
    @given(events=EVENTS)
    def test_cap_holds_and_the_last_usable_server_stays(self, events):
        detector = OutlierDetector(config=CONFIG)
        usable, now = set(NAMES), 0.0
        detector.set_usable(service="s", servers=usable, now=now)
        for kind, name, gap, servers in events:
            now += gap
            if kind == "usable":
                usable = servers
                detector.set_usable(service="s", servers=usable, now=now)
            elif kind == "fail":
                detector.record_failure(server=name, now=now)
            elif kind == "cancelled":
                detector.record_cancelled(server=name, age=gap, now=now)
            else:
                latency = 0.9 if kind == "slow" else 0.01
                detector.record_success(server=name, latency=latency, now=now)
            ejected = [n for n in usable if detector.ejected(server=n, now=now)]
            self.assertLessEqual(len(ejected), len(usable) / 2)
            self.assertLess(len(ejected), max(1, len(usable)))


class OutlierTests(TestCase):
    def setUp(self):
        self.detector = OutlierDetector(config=CONFIG)
        self.detector.set_usable(service="s", servers=["a", "b"], now=0.0)

    def fail(self, server, *, times=3, now=0.0):
        ejection = None
        for _ in range(times):
            ejection = self.detector.record_failure(server=server, now=now)
        return ejection

    def succeed(self, server, *, times=1, latency=0.01, now=0.0):
        ejection = None
        for _ in range(times):
            ejection = ejection or self.detector.record_success(
                server=server, latency=latency, now=now
            )
        return ejection

    def test_consecutive_failures_eject_and_a_success_resets_the_count(self):
        self.fail("a", times=2)
        self.succeed("a")
        self.assertIsNone(self.fail("a", times=2))
        ejection = self.fail("a", times=1)
        self.assertEqual(ejection.reason, EjectionReason.CONSECUTIVE_FAILURES)
        self.assertTrue(self.detector.ejected(server="a", now=0.5))
        self.assertFalse(self.detector.ejected(server="a", now=ejection.until))

    def test_latency_far_above_that_of_the_sibling_ejects(self):
        table = [
            ("similar", 0.01, 0.02, None),
            ("far above", 0.01, 0.05, EjectionReason.SLOW),
            ("far above, but within the gap", 0.0001, 0.004, None),
        ]
        for name, sibling_latency, latency, reason in table:
            with self.subTest(name):
                self.setUp()
                self.succeed("b", times=9, latency=sibling_latency)
                ejection = self.succeed("a", times=9, latency=latency)
                self.assertEqual(ejection and ejection.reason, reason)

    def test_attempts_that_always_lose_to_hedges_eject(self):
        self.succeed("b", times=9)
        self.succeed("a", times=9)
        ejections = [
            self.detector.record_cancelled(server="a", age=0.2, now=0.0)
            for _ in range(9)
        ]
        self.assertIn(EjectionReason.SLOW, [e.reason for e in ejections if e])
        for _ in range(9):
            self.detector.record_cancelled(server="b", age=0.001, now=0.0)
        self.assertFalse(self.detector.ejected(server="b", now=0.0))

    def test_only_one_of_two_failing_replicas_is_ejected(self):
        self.assertIsNotNone(self.fail("a"))
        self.assertIsNone(self.fail("b", times=9))

    def test_an_ejected_server_returns_when_its_sibling_becomes_unusable(self):
        self.fail("a")
        self.detector.set_usable(service="s", servers=["a"], now=0.1)
        self.assertFalse(self.detector.ejected(server="a", now=0.1))

    def test_a_failure_on_probation_ejects_for_twice_as_long(self):
        first = self.fail("a")
        restored_at = first.until
        self.assertFalse(self.detector.ejected(server="a", now=restored_at))
        second = self.fail("a", times=1, now=restored_at)
        self.assertAlmostEqual(second.until - restored_at, 2 * first.until)
        self.assertFalse(self.detector.ejected(server="a", now=second.until))
        self.succeed("a", times=CONFIG.probation, now=second.until)
        self.assertIsNone(self.fail("a", times=1, now=second.until))

    def test_weight_ramps_up_after_a_return_and_after_a_cold_start(self):
        restored_at = self.fail("a").until
        self.detector.mark_cold(server="b", now=restored_at)
        self.detector.ejected(server="a", now=restored_at)
        for server in ("a", "b"):
            for elapsed, expected in [(0.0, 0.1), (2.5, 0.5), (5.0, 1.0), (9.0, 1.0)]:
                with self.subTest(server=server, elapsed=elapsed):
                    weight = self.detector.weight(
                        server=server, now=restored_at + elapsed
                    )
                    self.assertAlmostEqual(weight, expected)
