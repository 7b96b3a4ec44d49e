"""Measures the processor time of an entry instance per query and per shard call.

The decisions alone are measured with a shard caller that answers at once, the full
path with stand-ins on loopback in another process. Only the processor time of this
process counts.
"""

from collections.abc import Awaitable, Callable
from cProfile import Profile
from dataclasses import dataclass
from itertools import count
from multiprocessing import get_context
from multiprocessing.context import SpawnProcess
from pathlib import Path
from pstats import Stats
from random import Random
from tempfile import TemporaryDirectory
from time import monotonic, process_time
from typing import Any, cast

from curio import run as run_curio, sleep
from defopt import run

from savorypond.balancing.drain_detector import DrainDetector
from savorypond.clock import SystemClock
from savorypond.controllers.active import ActiveServices
from savorypond.controllers.backend_servers import BackendServers
from savorypond.controllers.pools import ConnectionPools
from savorypond.exceptions import BackendServerError
from savorypond.http.client import HttpConnection
from savorypond.model import (
    Address,
    Counters,
    Instance,
    Pin,
    Preference,
    Priority,
    Query,
    Service,
)
from savorypond.placement.policies import DirectPlacement
from savorypond.queries.attempts import Attempt
from savorypond.queries.fanout_policies import FanoutPolicies
from savorypond.queries.partials import ServerAnswer, ServerPartial
from savorypond.queries.query_run import QueryDependencies, QueryRun
from savorypond.queries.shard_calls import AttemptEvents, RunningCall, ShardCaller
from savorypond.services.loader import load_service_files
from savorypond.standins.cli import serve
from savorypond.standins.site import SERVICES_DIRECTORY, Site, plan_site

SHARDS = (5, 20, 80)
PIN = Pin(snapshot=101, layout=1)
TIME_LIMIT = 10.0  # seconds
WARM_UP = 10  # queries
US_PER_SECOND = 1e6
BODY = {"text": "boat with a cabin", "filters": {"length": [5, 12]}, "most": 20}
SERVICE = """
service: {name}
kind: search
index: {{name: boats, snapshot: newest-complete}}
layouts:
  - layout: 1
    shards: [{{shard: {name}, keys: [{low}, {high}]}}]
backend_servers:
  - {{name: {name}-a, address: "127.0.0.1:20001", data_centre: split}}
  - {{name: {name}-b, address: "127.0.0.1:20002", data_centre: split}}
limits: {{slots: 2, connections: 25, connect_time: 1ms}}
priority: interactive
prefer: coverage
time_limit: 2s
least_coverage: 0.0
"""


class _SingleInstanceView:
    """A fleet of one instance."""

    version = 0
    fleet_size = 1

    @property
    def local_instance(self) -> Instance:
        address = Address(host="127.0.0.1", port=1)
        return Instance(
            name="entry", data_centre="split", peer_address=address, incarnation=1
        )

    def live(self) -> tuple[Instance, ...]:
        return (self.local_instance,)


class _NoBundle:
    bundle = None


class _LateHedge:
    """Sets a hedge timer for each attempt that never expires."""

    def delay(self, *, service: str) -> float | None:
        return TIME_LIMIT / 2


class _InstantCaller:
    """Answers every attempt before ``start`` returns."""

    async def start(
        self, attempt: Attempt, *, query: Query, deadline: float, events: AttemptEvents
    ) -> RunningCall:
        await events.dispatched(attempt)
        partials = tuple(
            ServerPartial(shard=shard, count=1, results=(shard,))
            for shard in attempt.shards
        )
        answer = ServerAnswer(
            request_id=query.request_id,
            snapshot=attempt.pin.snapshot,
            layout=attempt.pin.layout,
            partials=partials,
        )
        await events.answered(attempt, answer)
        return RunningCall(attempt=attempt)


@dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """The part of an entry instance that runs queries."""

    dependencies: QueryDependencies
    counters: Counters
    services: tuple[Service, ...]

    async def run_query(self, number: int) -> None:
        """Run one query that every shard must answer.

        :raises RuntimeError: if a shard is missing.
        """
        query = Query(
            request_id=f"q{number}",
            index="boats",
            services=(),
            body=BODY,
            deadline=self.dependencies.clock.now() + TIME_LIMIT,
            prefer=Preference.COVERAGE,
            priority=Priority.INTERACTIVE,
            least_coverage=0.0,
        )
        run = QueryRun(
            dependencies=self.dependencies, query=query, pin=PIN, services=self.services
        )
        answer = await run.run()
        if len(answer.coverage.covered) != len(self.services):
            raise RuntimeError(f"query missed shards: {answer.coverage.missing}")


async def _with_entry(
    services: tuple[Service, ...],
    caller: _InstantCaller | None,
    use: Callable[[Entry], Awaitable[None]],
) -> None:
    clock, rng, counters, view = (
        SystemClock(),
        Random(1),
        Counters(),
        _SingleInstanceView(),
    )
    placement = DirectPlacement(view=view)
    servers = BackendServers(
        data_centre="split",
        clock=clock,
        rng=rng,
        counters=counters,
        link_time=0.0,
        drain_detector=DrainDetector(),
    )
    pools = ConnectionPools(
        source_host="", share=placement, clock=clock, rng=rng, counters=counters
    )
    active = ActiveServices(
        config=cast(Any, _NoBundle()),
        view=cast(Any, view),
        placement=placement,
        servers=servers,
        pools=pools,
        clock=clock,
    )
    network_caller = ShardCaller(
        servers=servers, connections=pools, clock=clock, counters=counters
    )
    policies = FanoutPolicies(
        chooser=servers.chooser,
        budget=servers.budget,
        hedging=_LateHedge(),
        counters=counters,
        random=rng,
    )
    dependencies = QueryDependencies(
        active=active,
        servers=servers,
        caller=cast(ShardCaller, caller or network_caller),
        clock=clock,
        policies=policies,
    )
    async with pools, active, network_caller:
        await use(
            Entry(dependencies=dependencies, counters=counters, services=services)
        )


async def _measure(
    name: str, services: tuple[Service, ...], queries: int, instant: bool
) -> None:
    async def use(entry: Entry) -> None:
        numbers = count()
        for _ in range(WARM_UP):
            await entry.run_query(next(numbers))
        started = process_time()
        for _ in range(queries):
            await entry.run_query(next(numbers))
        per_query = (process_time() - started) / queries * US_PER_SECOND
        shards = len(services)
        opened = entry.counters.value("connections_opened", "new")
        print(
            f"{name:8} {shards:6} {queries:7} {per_query:10.0f} "
            f"{per_query / shards:13.0f} {opened:7}"
        )

    await _with_entry(services, _InstantCaller() if instant else None, use)


def _plan(directory: Path, shards: int) -> Site:
    source = directory / "source"
    source.mkdir()
    step = 65536 // shards
    for number in range(shards):
        name = f"boats-{number:03}"
        high = 65536 if number == shards - 1 else (number + 1) * step
        text = SERVICE.format(name=name, low=number * step, high=high)
        (source / f"{name}.yaml").write_text(text)
    return plan_site(
        services=source,
        directory=directory,
        instances=1,
        link_delay=0.0,
        list_lag=0.0,
        service_mean=0.001,
        service_scv=0.1,
        seed=1,
        extra_settings={"placement": "direct"},
    )


async def _wait_until_open(address: Address, standins: SpawnProcess) -> None:
    while standins.is_alive():
        try:
            async with HttpConnection(address=address):
                return
        except BackendServerError:
            await sleep(0.05)
    raise RuntimeError("stand-in process ended before it accepted connections")


def measure_shards(*, shards: int, queries: int) -> None:
    """Print the results of queries of ``shards`` shards."""
    with TemporaryDirectory() as name:
        directory = Path(name)
        _plan(directory, shards)
        loaded = load_service_files(directory / SERVICES_DIRECTORY)
        services = tuple(loaded.values())
        run_curio(_measure, "decision", services, queries, True)
        standins = get_context("spawn").Process(target=serve, args=(directory,))
        standins.start()
        try:
            for service in services:
                address = service.backend_servers[-1].address
                run_curio(_wait_until_open, address, standins)
            run_curio(_measure, "full", services, queries, False)
        finally:
            standins.terminate()
            standins.join()


def main(*, shard_calls: int = 6000, profile: bool = False) -> None:
    """Print the processor time of an entry per query and per shard call.

    :param shard_calls: shard calls in each run
    :param profile: print a profile
    """
    print("part     shards queries   us/query us/shard call  opened")
    profiler = Profile(process_time) if profile else None
    started = monotonic()
    for shards in SHARDS:
        if profiler is not None:
            profiler.enable()
        measure_shards(shards=shards, queries=shard_calls // shards)
        if profiler is not None:
            profiler.disable()
    print(f"{monotonic() - started:.0f} s in all")
    if profiler is not None:
        Stats(profiler).sort_stats("tottime").print_stats(45)


if __name__ == "__main__":
    run(main)
