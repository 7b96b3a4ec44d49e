"""The program savorypond-status: what instances believe, and where they differ."""

from collections import Counter
from pathlib import Path
from sys import exit as sys_exit, stderr

from curio import TaskGroup, TaskTimeout, run as run_curio, timeout_after
from defopt import run as run_command
from msgspec import DecodeError
from msgspec.json import Decoder, encode

from savorypond.exceptions import BackendServerError
from savorypond.http.client import HttpConnection
from savorypond.http.messages import HttpRequest
from savorypond.model import Address
from savorypond.operatorapi import Status
from savorypond.services.units import parse_address
from savorypond.settings import load_settings

EXIT_DISAGREE = 1
EXIT_UNREACHABLE = 2
_ANSWER_TIME = 2.0  # seconds
_decoder = Decoder(Status)


class Unreachable(Exception):  # noqa: N818
    """An instance did not answer, or not as one."""

    def __init__(self, *, address: Address, problem: str) -> None:
        super().__init__(f"{address}: {problem}")
        self.address = address


def status(*targets: str, json: bool = False, ready: bool = False) -> int:
    """Ask instances what they believe, and show where they disagree.

    Exits with 0 where all answer and agree, 1 where they disagree, 2 where one
    does not answer.

    :param targets: operator addresses (IP:PORT), or settings files of instances
    :param json: print the answers as JSON
    :param ready: exit with 1 unless every instance is ready
    """
    if not targets:
        print("name at least one instance", file=stderr)
        return EXIT_UNREACHABLE
    addresses = [_to_address(target) for target in targets]
    answers: list[Status | Unreachable] = run_curio(_ask_all, addresses)
    statuses = [answer for answer in answers if isinstance(answer, Status)]
    lost = [answer for answer in answers if isinstance(answer, Unreachable)]
    if json:
        print(encode(statuses).decode())
    else:
        for one in statuses:
            print("\n".join(status_lines(one)))
    problems = disagreements(statuses)
    if ready:
        problems += [f"{one.name}: not ready" for one in statuses if not one.ready]
    for problem in [*map(str, lost), *problems]:
        print(problem, file=stderr)
    if lost:
        return EXIT_UNREACHABLE
    return EXIT_DISAGREE if problems else 0


def status_lines(one: Status) -> list[str]:
    """Return what one instance believes, for a person."""
    state = "draining" if one.draining else "ready" if one.ready else "not ready"
    peers = Counter(peer.state for peer in one.peers)
    owned = {server.service for server in one.servers if server.owner == one.name}
    ejected = [server.name for server in one.servers if server.ejected]
    lines = [
        f"{one.name} ({one.data_centre}): {state}, revision {one.revision}, "
        f"owns {len(owned)} services, works with {len(one.servers)} backend servers",
        "  peers: "
        + (", ".join(f"{n} {state}" for state, n in sorted(peers.items())) or "none"),
    ]
    if one.leaving:
        lines.append(f"  leaving backend servers: {', '.join(one.leaving)}")
    if ejected:
        lines.append(f"  ejected backend servers: {', '.join(ejected)}")
    return lines


def disagreements(statuses: list[Status]) -> list[str]:
    """Return where instances differ in revision, peers or owners."""
    problems = []
    revisions = {one.name: one.revision for one in statuses}
    if len(set(revisions.values())) > 1:
        text = ", ".join(f"{name} {revision}" for name, revision in revisions.items())
        problems.append(f"revisions differ: {text}")
    names = {one.name for one in statuses}
    for one in statuses:
        live = {peer.name for peer in one.peers if peer.state == "live"}
        for name in sorted(names - live - {one.name}):
            problems.append(f"{one.name} does not see {name} as live")
    return problems + _owner_disagreements(statuses)


def _owner_disagreements(statuses: list[Status]) -> list[str]:
    owners: dict[str, dict[str, str]] = {}
    for one in statuses:
        for server in one.servers:
            owners.setdefault(server.service, {})[one.name] = server.owner
    problems = []
    for service, beliefs in sorted(owners.items()):
        if len(set(beliefs.values())) > 1:
            text = ", ".join(f"{name} says {owner}" for name, owner in beliefs.items())
            problems.append(f"owners of {service} differ: {text}")
    return problems


def _to_address(target: str) -> Address:
    if target.endswith((".yaml", ".yml")):
        return load_settings(Path(target)).operator_address
    return parse_address(target)


async def _ask_all(addresses: list[Address]) -> list[Status | Unreachable]:
    tasks = []
    async with TaskGroup(wait=all) as group:
        for address in addresses:
            tasks.append(await group.spawn(_ask, address))
    return [task.result for task in tasks]


async def _ask(address: Address) -> Status | Unreachable:
    try:
        async with timeout_after(_ANSWER_TIME), HttpConnection(address=address) as it:
            response = await it.request(HttpRequest(method="GET", path="/status"))
        return _decoder.decode(response.body)
    except TaskTimeout:
        return Unreachable(address=address, problem="no answer")
    except BackendServerError as error:
        return Unreachable(address=address, problem=error.problem)
    except DecodeError as error:
        return Unreachable(address=address, problem=f"no status: {error}")


def run() -> None:
    """Run the program with the arguments of the command line."""
    sys_exit(run_command(status))
