"""Prints the figures of scripts/bench_fleet.sh side by side."""

from pathlib import Path
from sys import exit as sys_exit, stdin

from defopt import run as run_command
from msgspec import Struct
from msgspec.json import Decoder

from benchmarks.fleet_probe import Observation

_RECOVERY_TIME = 1.0  # seconds of full answers after which coverage has recovered


class _Servers(Struct, frozen=True):
    extra_share: float
    sheds: int
    peak_connections: int
    over_cap: int


class _Figures(Struct, frozen=True):
    sent: int
    answered: int
    full: int
    latency_ms: dict[str, float]
    mean_coverage: float
    least_coverage: float
    refusals: dict[str, int]
    missing: dict[str, int]
    servers: _Servers | None = None


_figures_decoder = Decoder(_Figures)
_observation_decoder = Decoder(Observation)


def head() -> int:
    """Print the head of the table of runs."""
    print(
        f"{'run':<28} {'p50':>6} {'p99':>6} {'p99.9':>6} {'mean cov':>8} {'least':>5} "
        f"{'full':>6} {'refused':>7} {'sheds':>5} {'extra':>7} {'conns':>5} {'over':>4}"
    )
    return 0


def row(label: str, *, probed: bool = False) -> int:
    """Print one run, read as the JSON of savorypond-load from standard input.

    :param label: name of the run.
    :param probed: a probe sent queries too, so that the extra share is unknown.
    """
    figures = _figures_decoder.decode(stdin.buffer.read())
    refused = sum(figures.refusals.values())
    times = " ".join(f"{figures.latency_ms[p]:6.1f}" for p in ("p50", "p99", "p99.9"))
    full = figures.full / figures.sent if figures.sent else 0.0
    print(
        f"{label:<28} {times} {figures.mean_coverage:8.5f} "
        f"{figures.least_coverage:5.2f} {full:6.2%} {refused:7} "
        f"{_server_text(figures.servers, probed)}",
        flush=True,
    )
    reasons = [f"{name} {count}" for name, count in figures.missing.items()]
    reasons += [f"refused {name} {count}" for name, count in figures.refusals.items()]
    if reasons:
        print(f"{'':<28} {'; '.join(reasons)}", flush=True)
    return 0


def recovery(label: str, file: Path, *, since: float) -> int:
    """Print the time from an event until coverage was full again.

    :param label: name of the run.
    :param file: JSON lines that the probe wrote.
    :param since: time of the event, in seconds of the wall clock.
    """
    lines = file.read_bytes().splitlines()
    observations = sorted(
        (_observation_decoder.decode(one) for one in lines), key=_sent_at
    )
    after = [one for one in observations if one.sent_at >= since]
    incomplete_times = [one.sent_at - since for one in after if not _is_full(one)]
    recovered_after = 0.0
    for incomplete_time in incomplete_times:
        if incomplete_time - recovered_after > _RECOVERY_TIME:
            break
        recovered_after = incomplete_time
    print(
        f"{label:<28} full again {recovered_after:.2f} s after; "
        f"{len(incomplete_times)} of {len(after)} answers not full"
    )
    return 0


def _server_text(servers: _Servers | None, probed: bool) -> str:
    if servers is None:
        return f"{'-':>5} {'-':>7} {'-':>5} {'-':>4}"
    extra = "-" if probed else f"{servers.extra_share:+.2%}"
    return (
        f"{servers.sheds:5} {extra:>7} "
        f"{servers.peak_connections:5} {servers.over_cap:4}"
    )


def _sent_at(one: Observation) -> float:
    return one.sent_at


def _is_full(one: Observation) -> bool:
    return one.status == 200 and one.covered == one.asked


if __name__ == "__main__":
    sys_exit(run_command([head, row, recovery]))
