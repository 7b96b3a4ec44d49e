"""The program savorypond-load: open-loop load, single queries and calls."""

from collections import Counter
from pathlib import Path
from random import Random
from sys import exit as sys_exit, stderr, stdout

from curio import run as run_curio
from defopt import run as run_command
from msgspec import Struct
from msgspec.json import Decoder, decode, encode

from savorypond.clock import SystemClock
from savorypond.exceptions import BackendServerError
from savorypond.http.client import HttpConnection
from savorypond.http.messages import HttpRequest, HttpResponse
from savorypond.model import Address
from savorypond.services.loader import load_service_files
from savorypond.services.units import parse_address
from savorypond.standins.site import SERVICES_DIRECTORY, load_site
from savorypond.tools.load_report import LoadReport, ServerCounts, histogram_lines
from savorypond.tools.load_run import (
    Arrival,
    LoadOptions,
    LoadResult,
    LoadRun,
    poisson_arrivals,
    query_request,
)

EXIT_FAILED = 1
_MS_PER_SECOND = 1000.0


class _CountsBody(Struct, frozen=True):
    name: str
    counts: dict[str, int]


_counts_decoder = Decoder(_CountsBody)


def open_loop(
    *targets: str,
    index: str,
    rate: float = 20.0,
    seconds: float = 10.0,
    time_limit_ms: float | None = None,
    seed: int = 1,
    site: Path | None = None,
    json: bool = False,
    quiet: bool = False,
) -> int:
    """Send queries at a fixed mean rate, without waiting for the answers.

    :param targets: IP addresses and ports of entry instances.
    :param index: index to query.
    :param rate: queries per second over all targets.
    :param seconds: length of the run.
    :param time_limit_ms: time limit of each query; the service's own by default.
    :param seed: seed of the arrival times.
    :param site: planned site whose stand-ins are asked for their counts.
    :param json: print the results as JSON.
    :param quiet: show no progress.
    """
    options = _options(index, time_limit_ms)
    addresses = [parse_address(target) for target in targets]
    arrivals = poisson_arrivals(
        rate=rate, seconds=seconds, targets=len(addresses), random=Random(seed)
    )
    report = run_curio(_run_load, "load", addresses, options, arrivals, site, quiet)
    _print_reports([report], as_json=json)
    return 0 if report.result.answered else EXIT_FAILED


def compare(
    first: Path,
    second: Path,
    *,
    index: str,
    rate: float = 20.0,
    seconds: float = 10.0,
    time_limit_ms: float | None = None,
    seed: int = 1,
    rounds: int = 2,
    json: bool = False,
) -> int:
    """Send the same queries to two planned sites in turn, and compare the results.

    :param first: directory of the first site.
    :param second: directory of the second site.
    :param index: index to query.
    :param rate: queries per second.
    :param seconds: length of each run.
    :param time_limit_ms: time limit of each query; the service's own by default.
    :param seed: seed of the arrival times in the first round, one higher in each
        later round.
    :param rounds: number of runs for each site.
    :param json: print the results as JSON.
    """
    options = _options(index, time_limit_ms)
    reports = []
    for round_index in range(rounds):
        for site in (first, second):
            targets = [i.caller_address for i in load_site(site).instances]
            arrivals = poisson_arrivals(
                rate=rate,
                seconds=seconds,
                targets=len(targets),
                random=Random(seed + round_index),
            )
            label = f"{site.name} {round_index + 1}"
            reports.append(
                run_curio(_run_load, label, targets, options, arrivals, site, True)
            )
    _print_reports(reports, as_json=json)
    return 0 if all(r.result.answered for r in reports) else EXIT_FAILED


def ask(target: str, *, index: str, time_limit_ms: float | None = None) -> int:
    """Send one query and print its snapshot, coverage and latency.

    :param target: IP address and port of an entry instance.
    :param index: index to query.
    :param time_limit_ms: time limit; the service's own by default.
    """
    clock = SystemClock()
    started = clock.now()
    request = query_request(_options(index, time_limit_ms))
    response = _exchange(parse_address(target), request)
    if response is None:
        return EXIT_FAILED
    milliseconds = (clock.now() - started) * _MS_PER_SECOND
    answer = decode(response.body)
    if response.status != 200:
        print(f"{target}: {answer['reason']}: {answer['detail']}", file=stderr)
        return EXIT_FAILED
    coverage = answer["coverage"]
    results = sum(len(partial["results"]) for partial in answer["results"])
    print(
        f"{answer['request_id']}: snapshot {answer['snapshot']}, "
        f"layout {answer['layout']}, covered {coverage['covered']} of "
        f"{coverage['asked']} shards, {results} results, {milliseconds:.1f} ms"
    )
    for missing in coverage["missing"]:
        print(f"  missing {missing['shard']}: {missing['reason']}")
    return 0


def call(*targets: str, service: str, payload: str = "{}") -> int:
    """Get a ticket from the first target and send one call with it to every target.

    :param targets: IP addresses and ports of entry instances.
    :param service: name of the call service.
    :param payload: JSON payload for the backend server.
    """
    addresses = [parse_address(target) for target in targets]
    request = HttpRequest(method="POST", path="/v1/tickets", body=b"{}")
    response = _exchange(addresses[0], request)
    if response is None or response.status != 200:
        return EXIT_FAILED
    ticket = decode(response.body)["tickets"][0]
    body = encode({"ticket": ticket, "payload": decode(payload)})
    path = f"/v1/services/{service}/calls"
    status = 0
    for address in addresses:
        request = HttpRequest(method="POST", path=path, body=body)
        response = _exchange(address, request)
        if response is None:
            return EXIT_FAILED
        print(f"{address}: {response.status} {response.body.decode()}")
        status = status if response.status == 200 else EXIT_FAILED
    return status


def _options(index: str, time_limit_ms: float | None) -> LoadOptions:
    limit = None if time_limit_ms is None else time_limit_ms / _MS_PER_SECOND
    return LoadOptions(index=index, time_limit=limit)


def _exchange(address: Address, request: HttpRequest) -> HttpResponse | None:
    try:
        response: HttpResponse = run_curio(_send, address, request)
    except BackendServerError as error:
        print(error, file=stderr)
        return None
    return response


async def _send(address: Address, request: HttpRequest) -> HttpResponse:
    async with HttpConnection(address=address) as connection:
        return await connection.request(request)


async def _run_load(
    label: str,
    targets: list[Address],
    options: LoadOptions,
    arrivals: tuple[Arrival, ...],
    site: Path | None,
    quiet: bool,
) -> LoadReport:
    before = await _read_server_counts(site)
    run = LoadRun(
        targets=targets,
        options=options,
        clock=SystemClock(),
        progress=None if quiet else _show_progress,
    )
    result = await run.run(arrivals)
    after = await _read_server_counts(site)
    servers = None
    if before is not None and after is not None:
        servers = _subtract(before, after)
    return LoadReport(label=label, result=result, servers=servers)


def _show_progress(result: LoadResult) -> None:
    milliseconds = result.latency.percentile(99.0) * _MS_PER_SECOND
    print(
        f"{result.sent} sent, {result.answered} answered, p99 {milliseconds:.1f} ms",
        file=stderr,
    )


def _print_reports(reports: list[LoadReport], *, as_json: bool) -> None:
    if as_json:
        for report in reports:
            stdout.write(report.to_json().decode() + "\n")
        return
    for report in reports:
        print("\n".join(report.lines()))
    print("\n".join(histogram_lines(reports)))


async def _read_server_counts(site: Path | None) -> ServerCounts | None:
    """Return the counts of a site's backend servers since their start."""
    if site is None:
        return None
    total: Counter[str] = Counter()
    runs: Counter[str] = Counter()
    peak = 0
    request = HttpRequest(method="GET", path="/standin/counts")
    for service in load_service_files(site / SERVICES_DIRECTORY).values():
        for server in service.backend_servers:
            response = await _send(server.address, request)
            counts = _counts_decoder.decode(response.body).counts
            total.update(counts)
            runs[server.name] = counts.get("runs", 0)
            peak = max(peak, counts.get("peak_connections", 0))
    return ServerCounts(
        runs=runs,
        sheds=total["sheds"],
        cancelled=total["cancelled"],
        not_held=total["snapshot_not_held"],
        peak_connections=peak,
        over_cap=total["connections_over_cap"],
    )


def _subtract(before: ServerCounts, after: ServerCounts) -> ServerCounts:
    return ServerCounts(
        runs=after.runs - before.runs,
        sheds=after.sheds - before.sheds,
        cancelled=after.cancelled - before.cancelled,
        not_held=after.not_held - before.not_held,
        peak_connections=after.peak_connections,
        over_cap=after.over_cap - before.over_cap,
    )


def run() -> None:
    """Run the program with the arguments of the command line."""
    sys_exit(run_command([open_loop, compare, ask, call]))
