"""A short soak with fixed seeds that checks only guarantees without time limits."""

from unittest import TestCase

from tests.soak.run import run_seed

# Seeds that failed once, and why. The order of random draws has changed since, so they
# no longer inject the same faults: test_soak_checker covers the faults of the checker.
# 2, 5, 8, 10, 13: the checker reported a version that changes only other routes as not
#     applied.
# 67: a process that is stopped while its libraries load is ended by the signal, which
#     loses nothing; the check distinguishes it from a process that was ready.
# 100: requests that a kill interrupted during a planned stop counted against the stop.
REGRESSIONS = (2, 67, 100)


class SoakTests(TestCase):
    def test_guarantees_hold_under_injected_faults(self):
        for seed in REGRESSIONS:
            with self.subTest(seed):
                violations, folder, records = run_seed(
                    seed, seconds=4.0, instances=3, callers=10, timed=False
                )
                self.assertEqual(violations, [], f"logs are in {folder}")
                self.assertGreater(len(records.attempts), 0)
