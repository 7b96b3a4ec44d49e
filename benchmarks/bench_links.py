"""Compares transports between two instances, with both ends in one process.

Run with ``python -m benchmarks.bench_links``.
"""

from concurrent.futures import ThreadPoolExecutor
from itertools import count
from time import perf_counter, process_time

from curio import TaskGroup, UniversalEvent, run as run_curio
from grpc import (
    insecure_channel,
    method_handlers_generic_handler,
    server as grpc_server,
    unary_unary_rpc_method_handler,
)

from benchmarks.task_errors import raise_first_error
from savorypond.http.client import HttpConnection
from savorypond.http.messages import HttpRequest, HttpResponse
from savorypond.http.server import HttpLimits, HttpServer
from savorypond.model import Address, Preference, Priority
from savorypond.peers.link import LinkError, PeerLinks, PeerServer
from savorypond.peers.link_messages import ForwardAnswer, ForwardQuery, WirePartial

REQUESTS = 2000
CONCURRENCY = (1, 8)
BODY = b"x" * 600
LOOPBACK = Address(host="127.0.0.1", port=0)
US_PER_SECOND = 1e6


async def measure(name, send):
    """Print the wall time and processor time of one request."""
    await send()
    for concurrency in CONCURRENCY:
        wall, cpu = perf_counter(), process_time()

        async def work(rounds=REQUESTS // concurrency):
            for _ in range(rounds):
                await send()

        async with TaskGroup(wait=all) as group:
            for _ in range(concurrency):
                await group.spawn(work)
        raise_first_error(group)
        wall, cpu = perf_counter() - wall, process_time() - cpu
        print(
            f"{name:<12} {concurrency} at once: "
            f"{wall / REQUESTS * US_PER_SECOND:7.0f} us, "
            f"{cpu / REQUESTS * US_PER_SECOND:7.0f} us of processor time"
        )


async def grpc_unary():
    """Measure one gRPC call that is awaited in curio."""
    handler = unary_unary_rpc_method_handler(lambda request, context: request)
    service = method_handlers_generic_handler("bench", {"Echo": handler})
    server = grpc_server(ThreadPoolExecutor(max_workers=16))
    server.add_generic_rpc_handlers((service,))
    port = server.add_insecure_port("127.0.0.1:0")
    server.start()
    with insecure_channel(f"127.0.0.1:{port}") as channel:
        echo = channel.unary_unary("/bench/Echo", None, None)

        async def send():
            done = UniversalEvent()
            future = echo.future(BODY)
            future.add_done_callback(lambda _: done.set())
            await done.wait()
            future.result()

        await measure("gRPC", send)
    server.stop(None)


async def http():
    """Measure one HTTP/1.1 request."""

    async def answer(request):
        return HttpResponse(status=200, body=request.body)

    limits = HttpLimits()
    async with HttpServer(address=LOOPBACK, handler=answer, limits=limits) as server:
        idle = []

        async def send():
            connection = idle.pop() if idle else HttpConnection(address=server.address)
            if not connection.reusable:
                await connection.open()
            await connection.request(HttpRequest(method="POST", path="/", body=BODY))
            idle.append(connection)

        await measure("HTTP, h11", send)
        for connection in idle:
            await connection.close()


async def frames():
    """Measure one message over a framed peer link."""
    numbers = count(1)

    async def answer(message, send_early_reply):
        return ForwardAnswer(
            request_id=message.request_id,
            snapshot=1,
            layout=1,
            partials=tuple(WirePartial(f"s{i}", ("a" * 100,)) for i in range(5)),
            missing=(),
        )

    server = PeerServer(address=LOOPBACK, fleet="bench", handler=answer)
    async with server, PeerLinks(fleet="bench", source_host="") as links:

        async def send():
            query = ForwardQuery(
                request_id=str(next(numbers)),
                index="i",
                services=("a", "b", "c", "d", "e"),
                snapshot=1,
                layout=1,
                body={"text": "x" * 500},
                time_left=1.0,
                prefer=Preference.LATENCY,
                priority=Priority.URGENT,
            )
            reply = await links.request(server.address, query, timeout=5.0)
            if not isinstance(reply, ForwardAnswer):
                raise LinkError(peer=server.address, problem=str(reply), sent=True)

        await measure("frames", send)


def main():
    for transport in (grpc_unary, http, frames):
        run_curio(transport)


if __name__ == "__main__":
    main()
