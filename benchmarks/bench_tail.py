"""Compares the tail latency of this design with that of simpler strategies.

Each scenario replays one recording of arrivals and service times with every strategy,
on a virtual clock. Run with ``python -m benchmarks.bench_tail``.
"""

from dataclasses import dataclass, replace
from random import Random
from time import perf_counter

from defopt import run

from benchmarks.tail_recording import Figures, record
from benchmarks.tail_servers import (
    NoBudget,
    NoHedging,
    ServerState,
    UninformedView,
)
from benchmarks.tail_simulation import Cancel, Faults, TailSimulation
from savorypond.balancing.balancer import (
    ChoiceRule,
    LinkLatencies,
    ReplicaStatsRegistry,
    make_chooser,
)
from savorypond.balancing.hedging import FallbackHedge
from savorypond.model import Preference
from savorypond.protocols import ExtraAttemptBudget, HedgePolicy, ReplicaChooser

Policies = tuple[ReplicaChooser, ExtraAttemptBudget, HedgePolicy]

SCENARIOS = {
    "calm": Faults(),
    "straggler": Faults(straggler="s03/0"),
    "lost": Faults(lost="s07/1"),
    "cold": Faults(cold="s11/0"),
    "silent": Faults(silent="s15/1"),
    "all three": Faults(straggler="s03/0", lost="s07/1", cold="s11/0"),
}


@dataclass(frozen=True, slots=True, kw_only=True)
class Strategy:
    """A strategy for sending queries.

    :param hedged: whether slow attempts are hedged.
    :param budgeted: whether a budget limits hedges and retries.
    :param limited: whether limiters keep to the slots of each backend server.
    :param ejecting: whether a rule other than the least expected finish sees the
        state and the statistics of the backend servers.
    :param cancel: what a backend server does with a cancelled attempt.
    :param learn_cancelled: whether the outlier detector is told how long cancelled
        attempts had run.
    :param percentile: latency percentile after which to hedge, or None for the default.
    :param fallback: whether to hedge after a fixed delay until enough latencies are
        known.
    """

    name: str
    rule: ChoiceRule = ChoiceRule.LEAST_EXPECTED_FINISH
    hedged: bool = True
    budgeted: bool = True
    limited: bool = True
    ejecting: bool = True
    cancel: Cancel = Cancel.STOP
    learn_cancelled: bool = True
    percentile: float | None = None
    fallback: bool = True

    def policies(self, state: ServerState) -> Policies:
        chooser = state.chooser
        if self.rule is not ChoiceRule.LEAST_EXPECTED_FINISH:
            chooser = make_chooser(
                rule=self.rule,
                rng=Random(2),
                links=LinkLatencies(local="here"),
                view=state if self.ejecting else UninformedView(),
                registry=state.registry if self.ejecting else ReplicaStatsRegistry(),
            )
        return (
            chooser,
            state.budget if self.budgeted else NoBudget(),
            self._hedging(state),
        )

    def _hedging(self, state: ServerState) -> HedgePolicy:
        if not self.hedged:
            return NoHedging()
        if not self.fallback:
            return state.hedging
        return FallbackHedge(hedging=state.hedging)


BASELINE = Strategy(
    name="baseline",
    rule=ChoiceRule.RANDOM,
    hedged=False,
    budgeted=False,
    limited=False,
    ejecting=False,
)
DESIGN = Strategy(name="design")
VARIANTS = (
    replace(DESIGN, name="no hedge", hedged=False),
    replace(DESIGN, name="let finish", cancel=Cancel.LET_FINISH),
    replace(DESIGN, name="not learnt", learn_cancelled=False),
    replace(DESIGN, name="no fallback", fallback=False),
    replace(DESIGN, name="power of 2", rule=ChoiceRule.POWER_OF_TWO),
    replace(DESIGN, name="random", rule=ChoiceRule.RANDOM),
    replace(DESIGN, name="p95", percentile=95.0),
    replace(DESIGN, name="p98", percentile=98.0),
    replace(DESIGN, name="p99", percentile=99.0),
)


def main(
    *,
    seconds: float = 20.0,
    rate: float = 200.0,
    seed: int = 1,
    time_limit: float = 1.0,
    coverage_first: bool = False,
    variants: bool = False,
    only: str = "",
) -> None:
    """Print the figures of every scenario and strategy.

    :param seconds: duration of the recorded arrivals
    :param rate: queries a second
    :param seed: seed of the recording
    :param time_limit: seconds that each query has
    :param coverage_first: whether queries put coverage first
    :param only: name of the only scenario to run
    :param variants: whether to run variants of the design, too
    """
    prefer = Preference.COVERAGE if coverage_first else Preference.LATENCY
    recording = record(seconds=seconds, rate=rate, seed=seed)
    print(f"{len(recording.arrivals)} queries, {rate:g}/s, seed {seed}, ms")
    print(
        f"{'scenario':10} {'strategy':11} {'p50':>7} {'p99':>7} {'p99.9':>7}"
        f" {'p99/base':>8} {'mean cov':>8} {'least':>6}"
        f" {'extra':>7} {'worst':>7} {'wall s':>6}"
    )
    for scenario, faults in SCENARIOS.items():
        if only not in ("", scenario):
            continue
        baseline: Figures | None = None
        for strategy in (BASELINE, DESIGN, *(VARIANTS if variants else ())):
            started = perf_counter()
            simulation = TailSimulation(
                recording=recording,
                faults=faults,
                limited=strategy.limited,
                cancel=strategy.cancel,
                time_limit=time_limit,
                prefer=prefer,
                learn_cancelled=strategy.learn_cancelled,
                percentile=strategy.percentile,
                policies=strategy.policies,
            )
            figures = simulation.run()
            wall_time = perf_counter() - started
            baseline = baseline or figures
            print_row(scenario, strategy.name, figures, baseline, wall_time)


def print_row(
    scenario: str, strategy: str, figures: Figures, baseline: Figures, wall_time: float
) -> None:
    """Print the figures of one run."""
    p50, p99, p999 = [figures.percentile(each) for each in (50.0, 99.0, 99.9)]
    ratio = p99 / baseline.percentile(99.0)
    print(
        f"{scenario:10} {strategy:11} {p50:7.1f} {p99:7.1f} {p999:7.1f} {ratio:8.2f}"
        f" {figures.mean_coverage:8.4f}"
        f" {figures.least_coverage:6.3f} {figures.extra_share:7.2%}"
        f" {figures.worst_extra_share:7.2%} {wall_time:6.1f}",
        flush=True,
    )


if __name__ == "__main__":
    run(main)
