"""Plays servers that answer twice against gateway processes.

``python -m tests.second_answers`` plays every combination and prints one line for each
in which a caller got an answer that was not its own, or not whole.
"""

from collections import Counter
from contextlib import AsyncExitStack
from itertools import count
from os import getpid
from pathlib import Path
from random import Random
from tempfile import mkdtemp
from time import monotonic

from curio import TaskGroup, TaskTimeout, run, sleep, timeout_after

from savorypond.exceptions import BackendServerError
from savorypond.http.client import HttpConnection
from savorypond.http.messages import Header, HttpRequest
from savorypond.model import Address
from savorypond.platform.names import HEADERS, READY_PATH
from tests.gateway_loopback import FakeStore, configuration, route
from tests.soak.checker import Bounds
from tests.soak.instances import SoakInstance
from tests.stuttering_servers import (
    SPACING,
    StutteringServer,
    all_stutters,
    answer_problem,
    merged_problem,
)

SHARDS = {"s1": "a", "s2": "a", "s3": "b", "s4": "b", "s5": "b"}
TOP = 1000
CALLERS = 3  # of each path and gateway
TIME = 0.4  # seconds for each combination
MAX_TIME = 10.0  # seconds until a combination must have been played
READY_TIME = 30.0  # seconds
ANSWER_TIME = 3.0  # seconds
TIMES = {"timeout_ms": 1500, "target_latency_ms": 100, "max_attempts": 2}
ROUTES = (
    route("safe", "/safe/", backend="passed", **TIMES),
    route("once", "/once/", backend="passed", type="unsafe", **TIMES),
    route("merged", "/merged/", gather=list(SHARDS), top_k=TOP, min_version=0.5)
    | TIMES,
)


class Site:
    """A store, servers in two data centres and a gateway process in each.

    :param folder: folder of the processes' settings and logs.
    """

    def __init__(self, *, seed, folder):
        self.answers = {}
        self.servers = []
        self.statuses = Counter()
        self._random = Random(seed)
        self._folder = folder
        self._stack = AsyncExitStack()
        self._instances = []
        self._ids = count(1)

    async def __aenter__(self):
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *reason):
        for instance in self._instances:
            instance.end()
        await self._stack.aclose()

    async def _start(self):
        store = await self._stack.enter_async_context(FakeStore())
        placed = [(service, zone) for service, zone in SHARDS.items() for _ in "xy"]
        placed += [("passed", "a"), ("passed", "b")]
        for number, (service, data_centre) in enumerate(placed):
            server = StutteringServer(
                f"i{number}",
                service=service,
                data_centre=data_centre,
                random=self._random,
                answers=self.answers,
            )
            self.servers.append(await self._stack.enter_async_context(server))
            store.put(f"servers/{server.name}", server.entry())
        store.put("op/config", configuration(*ROUTES))
        high, low = divmod(getpid(), 230)
        last = low // 10 * 2 + 1
        ips = [f"127.{10 + low % 10}.{1 + high % 250}.{last + n}" for n in (0, 1)]
        for data_centre, ip in zip("ab", ips, strict=True):
            instance = SoakInstance(
                name=f"gateway-{data_centre}",
                ip=ip,
                data_centre=data_centre,
                seeds=ips,
                store=str(store.address),
                folder=self._folder,
                bounds=Bounds(retry_slack=100_000.0),
            )
            self._instances.append(instance)
            instance.start()
        async with timeout_after(READY_TIME):
            for ip in ips:
                while not await _is_ready(Address(host=ip, port=8108)):
                    await sleep(0.1)
        self._addresses = [Address(host=ip, port=8104) for ip in ips]

    async def play(self, stutter, *, seconds=TIME):
        """Let servers stutter; return the number of times and the wrong answers."""
        before = self._played()
        for server in self.servers:
            server.stutter = stutter
        problems = []
        until = monotonic() + MAX_TIME
        await self._call_for(seconds, problems)
        while stutter and self._played() == before and monotonic() < until:
            await self._call_for(seconds, problems)
        for server in self.servers:
            server.stutter = None
        return self._played() - before, problems

    def _played(self):
        return sum(server.played for server in self.servers)

    async def _call_for(self, seconds, problems):
        async with TaskGroup() as group:
            for address in self._addresses:
                for path in ("/safe/", "/once/", "/merged/"):
                    for _ in range(CALLERS):
                        await group.spawn(self._call, address, path, seconds, problems)

    async def _call(self, address, path, seconds, problems):
        """Send requests for some time on a kept connection."""
        until = monotonic() + seconds
        while monotonic() < until:
            try:
                async with HttpConnection(address=address) as connection:
                    while monotonic() < until and connection.reusable:
                        await self._ask(connection, path, problems)
            except (BackendServerError, TaskTimeout) as error:
                self.statuses[path, repr(type(error).__name__)] += 1

    async def _ask(self, connection, path, problems):
        request_id = f"r{next(self._ids)}"
        is_once = path == "/once/"
        request = HttpRequest(
            method="POST" if is_once else "GET",
            path=path,
            headers=(
                Header(name="host", value="shop.example"),
                Header(name=HEADERS.request_id, value=request_id),
                Header(name=HEADERS.time_left, value="2000"),
            ),
            body=b"work" if is_once else b"",
        )
        async with timeout_after(ANSWER_TIME):
            response = await connection.request(request)
        self.statuses[path, response.status] += 1
        if path == "/merged/":
            problem = merged_problem(
                response,
                request_id=request_id,
                answers=self.answers,
                services=SHARDS,
                top=TOP,
            )
        else:
            problem = answer_problem(
                response, request_id=request_id, answers=self.answers
            )
        if not connection.reusable and not response.close:
            problem = problem or "bytes after the answer"
        if problem:
            problems.append(f"{path} {request_id}: {problem}")


async def _is_ready(address):
    try:
        async with HttpConnection(address=address) as connection:
            request = HttpRequest(method="GET", path=READY_PATH, headers=(), body=b"")
            return (await connection.request(request)).status == 200
    except BackendServerError:
        return False


def play_all(
    stutters, *, seed, seconds=TIME, folder=None, spacing=SPACING, calm_seconds=0.0
):
    """Play each combination; return it, how often it was played and the problems.

    :param spacing: answers of a server for each that it repeats.
    :param calm_seconds: seconds before, in which no server stutters.
    """
    results = []

    async def play():
        async with Site(seed=seed, folder=folder or mkdtemp()) as site:
            for server in site.servers:
                server.spacing = spacing
            await site.play(None, seconds=calm_seconds)
            for stutter in stutters:
                results.append((stutter, *await site.play(stutter, seconds=seconds)))
        return site.statuses

    statuses = run(play)
    return results, statuses


def main():
    folder = Path(mkdtemp(prefix="second-answers-"))
    results, statuses = play_all(all_stutters(), seed=1, folder=folder)
    for stutter, played, problems in results:
        if problems or not played:
            print(stutter, f"played {played}, wrong {len(problems)}", problems[:2])
    wrong = sum(len(problems) for _, _, problems in results)
    played = sum(played for _, played, _ in results)
    print(
        f"{len(results)} combinations, {played} second answers, {wrong} wrong answers"
    )
    print(dict(statuses), f"logs in {folder}")


if __name__ == "__main__":
    main()
