"""Reports of the load tool as text, histograms and JSON."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from msgspec.json import encode

from savorypond.tools.load_run import LoadResult

PERCENTILES = (50.0, 90.0, 99.0, 99.9)
_BAR_WIDTH = 40  # characters
_MS_PER_SECOND = 1000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerCounts:
    """The counts of the stand-in backend servers during a run.

    :param runs: number of searches started, by backend server.
    :param peak_connections: highest number of open connections at one server since
        its start.
    """

    runs: Counter[str]
    sheds: int
    cancelled: int
    not_held: int
    peak_connections: int
    over_cap: int

    def extra_share(self, result: LoadResult) -> float:
        """Return the searches beyond one for each asked shard, as a share of these."""
        if not result.asked_shards:
            return 0.0
        return sum(self.runs.values()) / result.asked_shards - 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """The results of one run under a label."""

    label: str
    result: LoadResult
    servers: ServerCounts | None = None

    def to_json(self) -> bytes:
        """Return the report as JSON; latencies are in milliseconds."""
        return encode(self._to_dict())

    def lines(self) -> list[str]:
        """Return the report as lines of text."""
        result = self.result
        rate = result.answered / result.seconds if result.seconds else 0.0
        lines = [
            f"{self.label}: {result.sent} sent, {result.answered} answered, "
            f"{result.full} in full, {rate:.1f}/s",
            "  latency ms  " + "  ".join(self._percentile_texts()),
            f"  coverage    mean {result.mean_coverage:.5f}  "
            f"least {result.least_coverage:.3f}",
        ]
        if result.refusals:
            lines.append(f"  refused     {_counts_text(result.refusals)}")
        if result.missing:
            lines.append(f"  missing     {_counts_text(result.missing)}")
        return lines + self._server_lines()

    def _percentile_texts(self) -> list[str]:
        latency = self.result.latency
        return [f"p{p:g} {latency.percentile(p) * 1000:.1f}" for p in PERCENTILES]

    def _server_lines(self) -> list[str]:
        if self.servers is None:
            return []
        return [
            f"  servers     extra {self.servers.extra_share(self.result):+.2%}  "
            f"sheds {self.servers.sheds}  cancelled {self.servers.cancelled}  "
            f"not held {self.servers.not_held}  "
            f"peak connections {self.servers.peak_connections}  "
            f"over cap {self.servers.over_cap}"
        ]

    def _to_dict(self) -> dict[str, object]:
        result = self.result
        figures: dict[str, object] = {
            "label": self.label,
            "sent": result.sent,
            "answered": result.answered,
            "full": result.full,
            "seconds": round(result.seconds, 3),
            "latency_ms": {
                f"p{p:g}": round(result.latency.percentile(p) * _MS_PER_SECOND, 3)
                for p in PERCENTILES
            },
            "mean_coverage": round(result.mean_coverage, 6),
            "least_coverage": round(result.least_coverage, 6),
            "refusals": dict(result.refusals),
            "missing": dict(result.missing),
        }
        if self.servers is not None:
            figures["servers"] = {
                "extra_share": round(self.servers.extra_share(result), 5),
                "sheds": self.servers.sheds,
                "cancelled": self.servers.cancelled,
                "not_held": self.servers.not_held,
                "peak_connections": self.servers.peak_connections,
                "over_cap": self.servers.over_cap,
            }
        return figures


def histogram_lines(reports: Sequence[LoadReport]) -> list[str]:
    """Return a bar for each percentile of each report, all on the same scale."""
    top_latencies = [
        report.result.latency.percentile(PERCENTILES[-1]) for report in reports
    ]
    longest = max([*top_latencies, 1e-9])
    width = max(len(report.label) for report in reports)
    lines = []
    for percentile in PERCENTILES:
        for report in reports:
            seconds = report.result.latency.percentile(percentile)
            bar = "#" * max(1, round(seconds / longest * _BAR_WIDTH))
            lines.append(
                f"p{percentile:<5g} {report.label:<{width}} "
                f"{seconds * _MS_PER_SECOND:8.1f} ms {bar}"
            )
    return lines


def _counts_text(counts: Counter[str]) -> str:
    return "  ".join(f"{name} {count}" for name, count in counts.most_common())
