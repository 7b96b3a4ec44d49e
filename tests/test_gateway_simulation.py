"""Tests of the gateway's decisions under load, on a virtual clock."""

from dataclasses import replace
from unittest import TestCase

from tests.gateway_delegation_simulation import DelegationSimulation
from tests.gateway_simulation import Scenario, run_scenario

NORMAL = Scenario()
SHORT_DEADLINE = Scenario(work=0.0075, goal=0.088, time_limit=0.6, least_share=0.75)
WIDE = Scenario(shards=90, replicas=3, arrival_rate=3.0, least_share=0.95)
SLOW = Scenario(slow=0.2)
UNREACHABLE = Scenario(unreachable=0.15)
SCENARIOS = {
    "normal": NORMAL,
    "short deadline": SHORT_DEADLINE,
    "wide": WIDE,
    "slow": SLOW,
    "unreachable": UNREACHABLE,
}


class SimulationTests(TestCase):
    def test_beats_the_baseline_in_every_scenario(self):
        for name, scenario in SCENARIOS.items():
            with self.subTest(name):
                self.assertGreater(
                    run_scenario(scenario).mean_value,
                    run_scenario(scenario, baseline=True).mean_value,
                )

    def test_pauses_of_single_servers_do_not_delay_answers(self):
        for name in ("normal", "short deadline", "wide"):
            with self.subTest(name):
                outcome = run_scenario(SCENARIOS[name])
                self.assertEqual(outcome.in_time, outcome.requests)
                self.assertGreaterEqual(outcome.mean_value, 0.99)

    def test_late_remote_hedges_save_traffic_without_loss(self):
        """Differences of the value below 0.01 are not significant."""
        for name in ("normal", "wide", "slow"):
            with self.subTest(name):
                late = run_scenario(SCENARIOS[name])
                soon = run_scenario(SCENARIOS[name], remote_hedges="soon")
                self.assertLess(late.remote_attempts, soon.remote_attempts)
                self.assertGreaterEqual(late.mean_value, soon.mean_value - 0.01)

    def test_remote_hedges_increase_the_value(self):
        never = run_scenario(SHORT_DEADLINE, remote_hedges="never")
        self.assertGreater(
            run_scenario(SHORT_DEADLINE).mean_value, never.mean_value + 0.01
        )

    def test_unservable_requests_fail_at_once(self):
        outcome = run_scenario(UNREACHABLE)
        self.assertGreater(outcome.failed, 0)
        times = sorted(outcome.failed_times)
        self.assertLess(times[len(times) // 2], 0.25 * UNREACHABLE.goal)
        self.assertLess(times[-1], UNREACHABLE.time_limit)

    def test_recovers_once_servers_are_reachable_again(self):
        short_fault = replace(UNREACHABLE, fault_period=(8.0, 10.0))
        fault_share = (
            short_fault.fault_period[1] - short_fault.fault_period[0] + 1.0
        ) / short_fault.duration
        outcome = run_scenario(short_fault)
        self.assertLess(outcome.failed / outcome.requests, 1.5 * fault_share)

    def test_extra_attempts_stay_within_the_budget(self):
        for name, scenario in SCENARIOS.items():
            with self.subTest(name):
                outcome = run_scenario(scenario)
                first_attempts = outcome.requests * scenario.shards
                self.assertLess(
                    outcome.extra_attempts,
                    0.2 * first_attempts + 9.0 * scenario.shards * 3,
                )


class DelegatedQueryTests(TestCase):
    """87 shards of two servers gathered by delegates; 4 of them may be missing."""

    NORMAL = Scenario(shards=87, least_share=0.95, duration=20.0)
    SLOW = replace(NORMAL, slow=0.28, slow_factor=10.0, fault_period=(6.0, 12.0))

    def run_scenario(self, scenario, **options):
        return DelegationSimulation(scenario, **options).run()

    def test_without_faults_follow_ups_change_nothing_for_callers(self):
        before = self.run_scenario(self.NORMAL, follow_ups=False)
        after = self.run_scenario(self.NORMAL)
        self.assertEqual((after.failed, before.failed), (0, 0))
        self.assertGreaterEqual(after.mean_value, before.mean_value - 0.01)

    def test_slow_shards_give_late_answers_and_no_failures(self):
        """Where both servers of more shards are slow than may be missing.

        A caller repeats a failed query once, which adds to the load of the servers.
        """
        before = self.run_scenario(self.SLOW, follow_ups=False)
        after = self.run_scenario(self.SLOW)
        self.assertGreater(before.failed, 0.1 * before.requests)
        self.assertLess(after.failed, 0.1 * before.failed)
        self.assertGreaterEqual(after.in_time, 0.95 * before.in_time)
        self.assertGreater(after.mean_value, before.mean_value)
        self.assertLess(after.attempts, before.attempts)
