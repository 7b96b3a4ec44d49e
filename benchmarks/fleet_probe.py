"""Probes a running fleet for scripts/bench_fleet.sh; starts no process."""

from collections import Counter
from pathlib import Path
from random import Random
from sys import exit as sys_exit
from time import time

from curio import TaskGroup, TaskTimeout, run as run_curio, sleep, timeout_after
from defopt import run as run_command
from msgspec import Struct
from msgspec.json import Decoder, decode, encode

from savorypond.exceptions import BackendServerError
from savorypond.http.client import HttpConnection
from savorypond.http.messages import HttpRequest, HttpResponse
from savorypond.model import Address
from savorypond.services.loader import load_service_files
from savorypond.services.units import parse_address
from savorypond.standins.site import SERVICES_DIRECTORY
from savorypond.tools.load_run import LoadOptions, query_request

_ANSWER_TIMEOUT = 3.0  # seconds
_POLL_INTERVAL = 0.02  # seconds between two requests to an instance


class Observation(Struct, frozen=True, kw_only=True):
    """One query of the probe.

    :param sent_at: seconds of the wall clock.
    :param status: HTTP status, or 0 if there was no answer.
    """

    sent_at: float
    milliseconds: float
    status: int
    asked: int
    covered: int


class _Coverage(Struct, frozen=True):
    asked: int
    covered: int


class _Answer(Struct, frozen=True):
    coverage: _Coverage


class _Tickets(Struct, frozen=True):
    tickets: tuple[str, ...]


class _Revision(Struct, frozen=True):
    revision: int


class _Counts(Struct, frozen=True):
    counts: dict[str, int]


_answer_decoder = Decoder(_Answer)
_revision_decoder = Decoder(_Revision)
_counts_decoder = Decoder(_Counts)


def coverage(
    *targets: str, index: str, rate: float, seconds: float, output: Path
) -> int:
    """Send queries to instances in turn and write one line for each answer.

    :param targets: IP addresses and ports of entry instances.
    :param index: index to query.
    :param rate: queries a second.
    :param seconds: how long to send.
    :param output: file of JSON lines.
    """
    addresses = [parse_address(target) for target in targets]
    observations = run_curio(_watch_coverage, addresses, index, rate, seconds)
    output.write_bytes(b"".join(encode(one) + b"\n" for one in observations))
    return 0


def revision(*targets: str, least: int, since: float) -> int:
    """Wait until every instance has a revision, and print the seconds since then.

    :param targets: operator addresses.
    :param least: the lowest revision to wait for.
    :param since: start of the measurement, in seconds of the wall clock.
    """
    addresses = [parse_address(target) for target in targets]
    times = run_curio(_await_revisions, addresses, least)
    print(f"{max(times) - since:.2f}")
    return 0


def calls(
    *targets: str, service: str, services: Path, seconds: float, rate: float
) -> int:
    """Send each ticket to three instances at once and count what ran.

    :param targets: IP addresses and ports of entry instances.
    :param service: call service.
    :param services: directory of a planned site.
    :param seconds: how long to send.
    :param rate: tickets a second.
    """
    addresses = [parse_address(target) for target in targets]
    outcomes = run_curio(_send_calls, addresses, service, seconds, rate)
    counts = run_curio(_read_counts, services, service)
    outcomes["duplicate runs"] = counts["duplicate_calls"]
    outcomes["runs"] = counts["runs"]
    print("  ".join(f"{name} {count}" for name, count in sorted(outcomes.items())))
    return 1 if counts["duplicate_calls"] else 0


async def _watch_coverage(
    targets: list[Address], index: str, rate: float, seconds: float
) -> list[Observation]:
    request = query_request(LoadOptions(index=index))
    observations: list[Observation] = []
    async with TaskGroup(wait=all) as group:
        for number in range(round(rate * seconds)):
            target = targets[number % len(targets)]
            await group.spawn(_observe, target, request, observations)
            await sleep(1.0 / rate)
    return observations


async def _observe(
    target: Address, request: HttpRequest, observations: list[Observation]
) -> None:
    sent_at = time()
    response = await _send(target, request)
    status, coverage = 0, _Coverage(0, 0)
    if response is not None:
        status = response.status
        if status == 200:
            coverage = _answer_decoder.decode(response.body).coverage
    observations.append(
        Observation(
            sent_at=sent_at,
            milliseconds=round((time() - sent_at) * 1000.0, 1),
            status=status,
            asked=coverage.asked,
            covered=coverage.covered,
        )
    )


async def _send(target: Address, request: HttpRequest) -> HttpResponse | None:
    try:
        async with (
            timeout_after(_ANSWER_TIMEOUT),
            HttpConnection(address=target) as connection,
        ):
            return await connection.request(request)
    except (BackendServerError, TaskTimeout):
        return None


async def _await_revisions(targets: list[Address], least: int) -> list[float]:
    tasks = []
    async with TaskGroup(wait=all) as group:
        for target in targets:
            tasks.append(await group.spawn(_await_revision, target, least))
    return [task.result for task in tasks]


async def _await_revision(target: Address, least: int) -> float:
    request = HttpRequest(method="GET", path="/status")
    while True:
        response = await _send(target, request)
        if (
            response is not None
            and _revision_decoder.decode(response.body).revision >= least
        ):
            return time()
        await sleep(_POLL_INTERVAL)


async def _send_calls(
    targets: list[Address], service: str, seconds: float, rate: float
) -> Counter[str]:
    outcomes: Counter[str] = Counter()
    random = Random(1)
    async with TaskGroup(wait=all) as group:
        for _ in range(round(rate * seconds)):
            chosen = random.sample(targets, 3)
            await group.spawn(_send_call, chosen, service, outcomes)
            await sleep(1.0 / rate)
    return outcomes


async def _send_call(
    targets: list[Address], service: str, outcomes: Counter[str]
) -> None:
    request = HttpRequest(method="POST", path="/v1/tickets", body=b"{}")
    response = await _send(targets[0], request)
    if response is None or response.status != 200:
        outcomes["tickets not issued"] += 1
        return
    outcomes["tickets"] += 1
    ticket = decode(response.body, type=_Tickets).tickets[0]
    body = encode({"ticket": ticket, "payload": {}})
    path = f"/v1/services/{service}/calls"
    async with TaskGroup(wait=all) as group:
        for target in targets:
            request = HttpRequest(method="POST", path=path, body=body)
            await group.spawn(_count_call, target, request, outcomes)


async def _count_call(
    target: Address, request: HttpRequest, outcomes: Counter[str]
) -> None:
    response = await _send(target, request)
    status = response.status if response is not None else 0
    outcomes[f"status {status}" if status else "no answer"] += 1


async def _read_counts(site: Path, name: str) -> Counter[str]:
    total: Counter[str] = Counter()
    request = HttpRequest(method="GET", path="/standin/counts")
    service = load_service_files(site / SERVICES_DIRECTORY)[name]
    for server in service.backend_servers:
        response = await _send(server.address, request)
        if response is not None:
            total.update(_counts_decoder.decode(response.body).counts)
    return total


if __name__ == "__main__":
    sys_exit(run_command([coverage, revision, calls]))
