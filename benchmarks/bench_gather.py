"""Processor time of a gathered query at the gateway, by the way its shards are asked.

Backend servers and delegates run in a thread of their own, whose time is not counted.
"""

from logging import ERROR, getLogger
from random import Random
from time import thread_time, time

from curio import run

from benchmarks.slopes_wire import ANY_PORT, ServerThread
from savorypond.clock import SystemClock
from savorypond.gateway.answer_timing import AnswerTiming
from savorypond.gateway.attempts import AttemptRunner, ForwardedRequest
from savorypond.gateway.connection_pool import ConnectionPools
from savorypond.gateway.crash_isolation import CrashIsolation
from savorypond.gateway.crash_reports import CrashReports
from savorypond.gateway.delegation import ShardGroup
from savorypond.gateway.delegation_client import (
    DelegationClient,
    decode_group_request,
    group_response,
)
from savorypond.gateway.headers import HeaderNames
from savorypond.gateway.peers import PeerClient
from savorypond.gateway.ranked_merge import RECORD_BYTES, PartialAnswer
from savorypond.gateway.rate_control import RateControl
from savorypond.gateway.reader_selection import ReaderSelection
from savorypond.gateway.request_run import RequestRun
from savorypond.gateway.responses import merged_response
from savorypond.gateway.retry_budget import ServiceRetryBudget, ServiceRetryBudgetConfig
from savorypond.gateway.route_latency import RouteLatencies
from savorypond.gateway.routes import Route
from savorypond.gateway.run_types import RunDependencies, RunSpec
from savorypond.gateway.running_requests import RunningRequests
from savorypond.gateway.server_load import ServerLoadTracker
from savorypond.gateway.server_notices import ServerNotices
from savorypond.gateway.servers import RegisteredServer, ServerRegistry
from savorypond.http.messages import Header, HttpResponse
from savorypond.http.response_memory import ResponseMemory
from savorypond.http.server import HttpLimits, HttpServer
from savorypond.model import Counters, Instance

ROUNDS = 60  # queries timed
TIME_LIMIT = 30.0  # seconds; no query may be answered in part
TOP = 20  # records of an answer
US_PER_SECOND = 1e6
NAMES = HeaderNames(
    request_id="x-request-id",
    time_left="x-time-left",
    signature="x-signature",
    expected_server="x-expected-server",
    not_run="x-not-run",
    part_signatures="x-part-signatures",
    missing_parts="x-missing-parts",
    rate_limit="x-rate-limit",
    leaving="x-leaving",
)
RECORDS = bytes(range(RECORD_BYTES)) * TOP


async def answer(request):
    """Answer as a backend server, or as a delegate whose shards have all answered."""
    if request.path.startswith("/peer/"):
        shards = range(len(decode_group_request(request).route.shards))
        parts = [
            PartialAnswer(signatures=(f"signature-{shard}",), body=RECORDS)
            for shard in shards
        ]
        merged = merged_response(parts, top=TOP, shard_count=len(parts), names=NAMES)
        return group_response(
            merged,
            answered=tuple(shards),
            pending=(),
            shares={},
            rate_limited=False,
            may_have_run=True,
        )
    headers = (
        Header(name=NAMES.request_id, value=request.header(NAMES.request_id) or ""),
        Header(name=NAMES.signature, value="signature"),
    )
    return HttpResponse(status=200, headers=headers, body=RECORDS)


class FixedGroups:
    """Delegates the shards in groups of one size, or none of them."""

    def __init__(self, *, peer, size):
        self._peer = peer
        self._size = size
        self._last_group = 0

    def choose(self, services, peers, now):
        """Return the groups of ``services``."""
        if not self._size:
            return ()
        indexes = tuple(range(len(services)))
        return tuple(
            ShardGroup(peer=self._peer, shards=indexes[start : start + self._size])
            for start in range(0, len(indexes), self._size)
        )

    def group_started(self, peer, *, due):
        """Return the number of a group."""
        self._last_group += 1
        return self._last_group

    def group_finished(self, peer, number, *, answered, now):
        """Ignore the event."""


class NoLimits:
    """Stands for the tokens of servers without rate limits."""

    async def wait_for_tokens(self, services, *, priority, lacks_token):
        """Return at once."""


def make_dependencies(address, services, *, group_size):
    """Return the dependencies of a run whose servers and peers are at ``address``."""
    clock, counters = SystemClock(), Counters()
    registry = ServerRegistry()
    servers = [
        RegisteredServer(
            name=f"{service}-1",
            service=service,
            address=address,
            data_centre="a",
            slots=2,
            leaving=False,
        )
        for service in services
    ]
    registry.replace_all(servers, clock.now())
    pools = ConnectionPools(
        source_host="",
        connection_limit=lambda service: 64,
        clock=clock,
        counters=counters,
    )
    peer = Instance(name="b", data_centre="a", peer_address=address, incarnation=1)
    client = PeerClient(
        pools=pools,
        peers=lambda: (peer,),
        reader_selection=ReaderSelection(own_name="a", data_centre="a"),
        clock=clock,
        random=Random(1),
    )
    loads = ServerLoadTracker(data_centre="a", random=Random(1))
    rates = RateControl(random=Random(1), counters=counters)
    notices = ServerNotices(
        names=NAMES, random=Random(1), wall_time=time, counters=counters
    )
    isolation = CrashIsolation(random=Random(1))
    return RunDependencies(
        names=NAMES,
        registry=registry,
        loads=loads,
        runner=AttemptRunner(
            names=NAMES,
            pools=pools,
            loads=loads,
            rate_limits=rates.limits,
            notices=notices,
            memory=ResponseMemory(limit=100_000_000, counters=counters),
            crashes=CrashReports(
                isolation=isolation,
                pools=pools,
                registry=registry,
                is_leaving=notices.leaving.includes,
                client=client,
                peers=lambda: (peer,),
                stop=RunningRequests().stop,
                clock=clock,
                random=Random(1),
                counters=counters,
            ),
            clock=clock,
            counters=counters,
        ),
        delegation_client=DelegationClient(
            names=NAMES,
            timing=AnswerTiming(data_centre="a", cpu_capacity=1.0),
            policy=FixedGroups(peer=peer, size=group_size),
            client=client,
            peers=lambda: (peer,),
            clock=clock,
            counters=counters,
        ),
        budget=ServiceRetryBudget(
            config=ServiceRetryBudgetConfig(ratio=0.0, slack=0.0, window=10.0)
        ),
        latencies=RouteLatencies(),
        rates=rates,
        notices=notices,
        tokens=NoLimits(),
        isolation=isolation,
        clock=clock,
        counters=counters,
    )


async def measure(address, *, shards, group_size):
    """Return the microseconds of processor time of one query in this thread."""
    services = tuple(f"service-{n}" for n in range(shards))
    dependencies = make_dependencies(address, services, group_size=group_size)
    route = Route(
        name="q",
        host="h",
        prefix="/",
        idempotent=True,
        time_limit=TIME_LIMIT,
        goal=TIME_LIMIT,
        shards=services,
        top=TOP,
    )

    async def query(number):
        deadline = dependencies.clock.now() + TIME_LIMIT
        request = ForwardedRequest(
            method="GET",
            path="/q",
            headers=(Header(name=NAMES.request_id, value=f"r{number}"),),
            body=b"",
            request_id=f"r{number}",
            caller_deadline=deadline,
            repeatable=True,
        )
        spec = RunSpec(
            route=route,
            version=1,
            services=services,
            request=request,
            partial_after=deadline,
            least_share=1.0,
            may_delegate=True,
        )
        result = await RequestRun(dependencies=dependencies, spec=spec).run()
        if len(result.answered) != shards:
            raise RuntimeError(
                f"{len(result.answered)} of {shards} shards: {result.problems[:3]}"
            )
        merged_response(result.parts, top=TOP, shard_count=shards, names=NAMES)

    await query(0)
    started = thread_time()
    for number in range(1, ROUNDS + 1):
        await query(number)
    return (thread_time() - started) / ROUNDS * US_PER_SECOND


def main():
    """Print the table."""
    getLogger("curio").setLevel(ERROR)  # it warns of each late time-out
    server = HttpServer(
        address=ANY_PORT,
        handler=answer,
        limits=HttpLimits(header_bytes=65536, connections_per_peer=4096),
    )
    print("shards  delegated in groups of  us a query  us a shard")
    with ServerThread(make=lambda: server) as end:
        for shards, size in ((1, 0), (15, 0), (100, 0), (100, 15), (100, 34)):
            used = run(
                lambda s=shards, g=size: measure(end.address, shards=s, group_size=g)
            )
            print(f"{shards:6}  {size or '-':>22}  {used:10.0f}  {used / shards:10.0f}")


if __name__ == "__main__":
    main()
