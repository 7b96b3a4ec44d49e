"""The program savorypond-status: the status of instances and where they disagree."""

from collections import Counter
from pathlib import Path
from sys import exit as sys_exit, stderr

from curio import TaskGroup, TaskTimeout, run as run_curio
from defopt import run as run_command
from msgspec import DecodeError
from msgspec.json import Decoder, encode

from savorypond.exceptions import BackendServerError
from savorypond.http.client import HttpConnection
from savorypond.http.messages import HttpRequest
from savorypond.model import Address
from savorypond.operator_api import Status
from savorypond.services.units import parse_address
from savorypond.settings import load_settings
from savorypond.timeouts import timeout_after

EXIT_DISAGREE = 1
EXIT_UNREACHABLE = 2
_ANSWER_TIMEOUT = 2.0  # seconds
_decoder = Decoder(Status)


class Unreachable(Exception):  # noqa: N818
    """An instance did not answer, or its answer is invalid."""

    def __init__(self, *, address: Address, problem: str) -> None:
        super().__init__(f"{address}: {problem}")
        self.address = address


def status(*targets: str, json: bool = False, ready: bool = False) -> int:
    """Show the status of instances and where they disagree.

    Exits with 0 if all instances answer and agree, 1 if they disagree, 2 if one
    does not answer.

    :param targets: operator addresses (IP:PORT), or settings files of instances
    :param json: print the answers as JSON
    :param ready: exit with 1 unless every instance is ready
    """
    if not targets:
        print("give at least one instance", file=stderr)
        return EXIT_UNREACHABLE
    addresses = [_to_address(target) for target in targets]
    answers: list[Status | Unreachable] = run_curio(_ask_all, addresses)
    statuses = [answer for answer in answers if isinstance(answer, Status)]
    unreachable = [answer for answer in answers if isinstance(answer, Unreachable)]
    if json:
        print(encode(statuses).decode())
    else:
        for instance in statuses:
            print("\n".join(status_lines(instance)))
    problems = disagreements(statuses)
    if ready:
        problems += [
            f"{instance.name}: not ready" for instance in statuses if not instance.ready
        ]
    for problem in [*map(str, unreachable), *problems]:
        print(problem, file=stderr)
    if unreachable:
        return EXIT_UNREACHABLE
    return EXIT_DISAGREE if problems else 0


def status_lines(instance: Status) -> list[str]:
    """Return the status of one instance as lines of text."""
    state = (
        "draining" if instance.draining else "ready" if instance.ready else "not ready"
    )
    peers = Counter(peer.state for peer in instance.peers)
    owned = {
        server.service for server in instance.servers if server.owner == instance.name
    }
    ejected = [server.name for server in instance.servers if server.ejected]
    lines = [
        f"{instance.name} ({instance.data_centre}): {state}, "
        f"revision {instance.revision}, owns {len(owned)} services, "
        f"works with {len(instance.servers)} backend servers",
        "  peers: "
        + (", ".join(f"{n} {state}" for state, n in sorted(peers.items())) or "none"),
    ]
    if instance.leaving:
        lines.append(f"  leaving backend servers: {', '.join(instance.leaving)}")
    if ejected:
        lines.append(f"  ejected backend servers: {', '.join(ejected)}")
    return lines


def disagreements(statuses: list[Status]) -> list[str]:
    """Return where the instances disagree on revision, peers or owners."""
    problems = []
    revisions = {instance.name: instance.revision for instance in statuses}
    if len(set(revisions.values())) > 1:
        text = ", ".join(f"{name} {revision}" for name, revision in revisions.items())
        problems.append(f"revisions differ: {text}")
    names = {instance.name for instance in statuses}
    for instance in statuses:
        live = {peer.name for peer in instance.peers if peer.state == "live"}
        for name in sorted(names - live - {instance.name}):
            problems.append(f"{instance.name} does not see {name} as live")
    return problems + _owner_disagreements(statuses)


def _owner_disagreements(statuses: list[Status]) -> list[str]:
    owners: dict[str, dict[str, str]] = {}
    for instance in statuses:
        for server in instance.servers:
            owners.setdefault(server.service, {})[instance.name] = server.owner
    problems = []
    for service, owner_by_instance in sorted(owners.items()):
        if len(set(owner_by_instance.values())) > 1:
            text = ", ".join(
                f"{name} says {owner}" for name, owner in owner_by_instance.items()
            )
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
        async with (
            timeout_after(_ANSWER_TIMEOUT),
            HttpConnection(address=address) as connection,
        ):
            response = await connection.request(
                HttpRequest(method="GET", path="/status")
            )
        return _decoder.decode(response.body)
    except TaskTimeout:
        return Unreachable(address=address, problem="no answer")
    except BackendServerError as error:
        return Unreachable(address=address, problem=error.problem)
    except DecodeError as error:
        return Unreachable(address=address, problem=f"invalid status: {error}")


def run() -> None:
    """Run the program with the arguments of the command line."""
    sys_exit(run_command(status))
