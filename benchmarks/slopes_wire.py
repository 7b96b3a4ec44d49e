"""Measures the processor time of each end of a connection, by concurrency.

The server runs on a thread of its own, and each thread measures its own time.
"""

from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import replace
from random import Random
from socket import AF_INET, SOCK_STREAM, socket
from threading import Event as ThreadEvent, Thread
from time import monotonic, process_time, thread_time
from typing import Any

from curio import Event, TaskGroup, UniversalEvent, run
from msgspec.json import encode

from benchmarks.bench_config import make_services
from benchmarks.task_errors import raise_first_error
from savorypond.balancing.drain_detector import DrainDetector
from savorypond.clock import SystemClock
from savorypond.config.messages import PullReply, PullRequest, ReplyKind, Stamp
from savorypond.controllers.backend_servers import BackendServers
from savorypond.controllers.pools import ConnectionPools
from savorypond.http.client import HttpConnection
from savorypond.http.messages import HttpRequest, HttpResponse
from savorypond.http.server import HttpLimits, HttpServer
from savorypond.model import (
    Address,
    BackendServer,
    Counters,
    Pin,
    Preference,
    Priority,
    Query,
    Service,
)
from savorypond.peers.control import (
    CONTROL_PORT_OFFSET,
    ControlClient,
    ControlServer,
)
from savorypond.peers.link import EarlyReplyCallback, LinkError, PeerLinks, PeerServer
from savorypond.peers.link_messages import (
    ForwardAnswer,
    ForwardQuery,
    Frame,
    LinkMessage,
    WirePartial,
    encode_frame,
)
from savorypond.protocols import Purpose
from savorypond.queries.attempts import Attempt, AttemptFailure
from savorypond.queries.partials import ServerAnswer
from savorypond.queries.shard_calls import ShardCaller

ANY_PORT = Address(host="127.0.0.1", port=0)
PIN = Pin(snapshot=1, layout=1)
BATCHES = (1, 8, 64)  # requests in flight
LINK_SERVICES = (1, 5, 22, 60)
ROUNDS = 2_000  # requests timed, over all batches in flight
PULLS = 300
HEALTH = HttpRequest(method="GET", path="/v1/health")
HELD = [{"snapshot": n, "layout": 1, "shards": ["catalogue-0000-00"]} for n in (1, 2)]
RESULTS = tuple(f"hull-{number}" for number in range(10))


class ServerThread:
    """A server on a thread of its own, and its processor time."""

    def __init__(self, *, make: Callable[[], Any]) -> None:
        self._make = make
        self._ready = ThreadEvent()
        self._stop: Any = UniversalEvent()
        self._thread = Thread(target=run, args=(self._serve,))
        self.address = ANY_PORT
        self.seconds = 0.0

    def __enter__(self) -> "ServerThread":
        self._thread.start()
        assert self._ready.wait(10.0)
        return self

    def __exit__(self, *reason: object) -> None:
        self._stop.set()
        self._thread.join()

    async def _serve(self) -> None:
        async with self._make() as server:
            self.address = server.address
            started = thread_time()
            self._ready.set()
            await self._stop.wait()
            self.seconds = thread_time() - started


async def measure_concurrent(
    count: int, call: Callable[[int], Awaitable[object]]
) -> float:
    """Return this thread's microseconds a call, with ``count`` calls in flight."""

    async def repeat(place: int) -> None:
        for _ in range(ROUNDS // count):
            await call(place)

    await call(0)
    started = thread_time()
    async with TaskGroup(wait=all) as group:
        for place in range(count):
            await group.spawn(repeat, place)
    raise_first_error(group)
    return (thread_time() - started) / (ROUNDS // count * count) * 1e6


# Backend servers


async def _answer_http(request: HttpRequest) -> HttpResponse:
    if request.path == HEALTH.path:
        return HttpResponse(status=200, body=encode({"state": "live", "held": HELD}))
    shard = request.path.rpartition("/")[2]
    return HttpResponse(status=200, body=shard_answer(shard))


def shard_answer(shard: str) -> bytes:
    partial = {"shard": shard, "count": len(RESULTS), "results": RESULTS}
    answer = {"request_id": "r1", "snapshot": 1, "layout": 1, "partials": [partial]}
    return encode(answer)


async def _answer_search(request: HttpRequest) -> HttpResponse:
    return HttpResponse(status=200, body=shard_answer("catalogue-0000-00"))


def _http_server(handler: Any = _answer_http) -> HttpServer:
    limits = HttpLimits(connections_per_peer=1000)
    return HttpServer(address=ANY_PORT, handler=handler, limits=limits)


async def _round_trips(address: Address, count: int, request: HttpRequest) -> float:
    async with AsyncExitStack() as stack:
        connections = [
            await stack.enter_async_context(HttpConnection(address=address))
            for _ in range(count)
        ]
        return await measure_concurrent(
            count, lambda n: connections[n].request(request)
        )


class _FullShare:
    """Gives this instance all connections of a service."""

    def connections(self, *, service: Service) -> int:
        return service.limits.connections


class _BatchEvents:
    """The attempt events of a batch; sets ``done`` when all attempts have ended."""

    def __init__(self) -> None:
        self.left = 0
        self.done = Event()
        self.failures = 0

    async def dispatched(self, attempt: Attempt) -> None:
        """Ignore the event."""

    async def answered(self, attempt: Attempt, answer: ServerAnswer) -> None:
        await self._end()

    async def failed(self, attempt: Attempt, failure: AttemptFailure) -> None:
        self.failures += 1
        await self._end()

    async def _end(self) -> None:
        self.left -= 1
        if not self.left:
            await self.done.set()


def _services_at(address: Address, count: int) -> list[Service]:
    return [_moved(service, address) for service in make_services(count).values()]


def _moved(service: Service, address: Address) -> Service:
    servers = tuple(
        BackendServer(name=s.name, address=address, data_centre=s.data_centre)
        for s in service.backend_servers
    )
    return replace(service, backend_servers=servers)


async def _shard_calls(address: Address, count: int) -> float:
    """Return microseconds a shard call: limiter, pool, h11, decoding, statistics."""
    clock, counters, rng = SystemClock(), Counters(), Random(1)
    servers = BackendServers(
        data_centre="data-centre-00",
        clock=clock,
        rng=rng,
        counters=counters,
        link_time=0.003,
        drain_detector=DrainDetector(),
    )
    pools = ConnectionPools(
        source_host="", share=_FullShare(), clock=clock, rng=rng, counters=counters
    )
    services = _services_at(address, count)
    async with pools:
        for service in services:
            await servers.put(service, previous=None)
            await pools.put(service)
        caller = ShardCaller(
            servers=servers, connections=pools, clock=clock, counters=counters
        )
        async with caller:
            await _one_batch(caller, services)
            started = thread_time()
            for _ in range(max(1, ROUNDS // count)):
                await _one_batch(caller, services)
            spent = thread_time() - started
    return spent / (max(1, ROUNDS // count) * count) * 1e6


async def _one_batch(caller: ShardCaller, services: list[Service]) -> None:
    deadline = monotonic() + 10.0
    query = make_query(deadline)
    collector = _BatchEvents()
    collector.left = len(services)
    for number, service in enumerate(services):
        attempt = Attempt(
            number=number,
            service=service,
            server=service.backend_servers[0],
            pin=PIN,
            shards=frozenset({"catalogue-0000-00"}),
            purpose=Purpose.FIRST,
        )
        await caller.start(attempt, query=query, deadline=deadline, events=collector)
    await collector.done.wait()
    assert not collector.failures
    await caller.drain()


def make_query(deadline: float) -> Query:
    return Query(
        request_id="r1",
        index="catalogue-0000",
        services=(),
        body={"text": "berth"},
        deadline=deadline,
        prefer=Preference.LATENCY,
        priority=Priority.INTERACTIVE,
        least_coverage=0.5,
    )


def print_http() -> None:
    print("\nBackend servers: microseconds a request, this instance's end only")
    print("in flight  h11 round trip  full shard call   health request")
    for count in BATCHES:
        with ServerThread(make=_http_server) as end:
            search = HttpRequest(method="POST", path="/v1/search/a", body=b"{}" * 100)
            trip = run(_round_trips, end.address, count, search)
            health = run(_round_trips, end.address, count, HEALTH)
        with ServerThread(make=lambda: _http_server(_answer_search)) as end:
            call = run(_shard_calls, end.address, count)
        print(f"{count:9} {trip:15.0f} {call:17.0f} {health:16.0f}")


# Peers


def forward_query(services: int) -> ForwardQuery:
    return ForwardQuery(
        request_id="r1",
        index="catalogue-0000",
        services=tuple(make_services(services)),
        snapshot=1,
        layout=1,
        body={"text": "berth"},
        time_left=0.05,
        prefer=Preference.LATENCY,
        priority=Priority.INTERACTIVE,
    )


def forward_answer(services: tuple[str, ...]) -> ForwardAnswer:
    partials = tuple(WirePartial(shard=name, results=RESULTS) for name in services)
    return ForwardAnswer(
        request_id="r1", snapshot=1, layout=1, partials=partials, missing=()
    )


async def _answer_link(
    message: LinkMessage, send_early_reply: EarlyReplyCallback
) -> LinkMessage:
    assert isinstance(message, ForwardQuery)
    return forward_answer(message.services)


async def _forwards(address: Address, count: int, services: int) -> float:
    message = forward_query(services)
    async with PeerLinks(fleet="baric", source_host="") as links:

        async def send(_: int) -> None:
            reply = await links.request(address, message, timeout=5)
            if not isinstance(reply, ForwardAnswer):
                raise LinkError(peer=address, problem=str(reply), sent=True)

        return await measure_concurrent(count, send)


def print_links() -> None:
    print("\nForwarded messages over peer links: microseconds a message")
    print("services  in flight  sender's end  owner's end  bytes out  bytes back")
    for services in LINK_SERVICES:
        out = len(encode_link(forward_query(services)))
        back = len(encode_link(forward_answer(tuple(make_services(services)))))
        for count in (1, 8):
            server = PeerServer(address=ANY_PORT, fleet="baric", handler=_answer_link)
            with ServerThread(make=lambda s=server: s) as end:
                sender_us = run(_forwards, end.address, count, services)
            owner_us = end.seconds / ROUNDS * 1e6
            print(
                f"{services:8} {count:10} {sender_us:13.0f} {owner_us:12.0f} "
                f"{out:10} {back:11}"
            )


def encode_link(message: LinkMessage) -> bytes:
    return encode_frame(Frame(version=1, fleet="baric", number=1, message=message))


async def _answer_pull(request: PullRequest) -> PullReply:
    entries = (bytes(request.limit),) if request.limit else ()
    return PullReply(
        fleet="baric",
        sender="entry-0002",
        kind=ReplyKind.CHANGES,
        held=Stamp(1, 1),
        entries=entries,
    )


async def _pulls(entry_bytes: int) -> tuple[float, float]:
    """Return microseconds a pull, for both ends, and those of the first pull."""
    peer = _free_peer_address()
    request = PullRequest(
        fleet="baric", sender="entry-0001", held=Stamp(), limit=entry_bytes
    )
    server = ControlServer(address=peer, fleet="baric", answer=_answer_pull)
    client = ControlClient(fleet="baric", find=lambda _: peer)
    async with server, client:
        started = process_time()
        await client.pull("entry-0002", request)
        first = process_time() - started
        started = process_time()
        for _ in range(PULLS):
            await client.pull("entry-0002", request)
        spent = (process_time() - started) / PULLS
    return spent * 1e6, first * 1e6


def _free_peer_address() -> Address:
    """Return an address whose control port is free."""
    with socket(AF_INET, SOCK_STREAM) as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    return Address(host="127.0.0.1", port=port - CONTROL_PORT_OFFSET)


def print_control() -> None:
    print("\nControl pulls over gRPC: microseconds of both ends")
    print("entry bytes  a pull  first pull of a channel")
    for size in (0, 615, 6_150, 61_500):
        spent, first = run(_pulls, size)
        print(f"{size:11} {spent:7.0f} {first:24.0f}")
