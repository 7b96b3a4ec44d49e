from contextlib import AsyncExitStack
from dataclasses import dataclass
from unittest import TestCase

from curio import Event, open_connection, run, sleep, spawn, timeout_after

from savorypond.httpserver import HttpLimits, HttpServer
from savorypond.httptypes import HttpResponse
from savorypond.model import Address

HANG = 30  # seconds after which a test that hangs is ended
ANY_PORT = Address(host="127.0.0.1", port=0)
LIMITS = HttpLimits(
    header_bytes=1024, body_bytes=100, receive_time=0.1, connections_per_peer=2
)
HOST = b"host: here\r\n"
ASK = b"GET /one HTTP/1.1\r\n" + HOST + b"\r\n"
POST = b"POST /one HTTP/1.1\r\n" + HOST
CHUNK = b"3c\r\n" + b"x" * 60 + b"\r\n"


@dataclass(frozen=True)
class Case:
    """What a caller sends before it closes its side, and the statuses it gets.

    :param waits: whether it leaves its side open instead.
    """

    name: str
    sent: bytes
    statuses: tuple[int, ...]
    waits: bool = False


CASES = [
    Case("one request", ASK, (200,)),
    Case("kept alive and pipelined", ASK * 3, (200, 200, 200)),
    Case("request line", b"hello\r\n\r\n", (400,)),
    Case("bad header", b"GET / HTTP/1.1\r\nbad header\r\n\r\n", (400,)),
    Case("no host", b"GET / HTTP/1.1\r\n\r\n", (400,)),
    Case("large header", ASK[:-2] + b"a: " + b"x" * 2000 + b"\r\n\r\n", (413,)),
    Case("large declared", POST + b"content-length: 101\r\n\r\n", (413,)),
    Case(
        "large by chunks",
        POST + b"transfer-encoding: chunked\r\n\r\n" + CHUNK * 2,
        (413,),
    ),
    Case("slow body", POST + b"content-length: 5\r\n\r\nhel", (408,), waits=True),
    Case("slow header", ASK[:10], (408,), waits=True),
    Case("good, then bad", ASK + b"hello\r\n\r\n", (200, 400)),
    Case(
        "waits to go on",
        POST + b"expect: 100-continue\r\ncontent-length: 5\r\n\r\n",
        (100, 408),
        waits=True,
    ),
]


async def answer(request):
    return HttpResponse(status=200, body=request.path.encode())


async def read_all(sock):
    received = b""
    while data := await sock.recv(65536):
        received += data
    return received


def statuses(received):
    """Return the status codes in ``received``; no body here holds a status line."""
    return tuple(int(one[:3]) for one in received.split(b"HTTP/1.1 ")[1:])


async def exchange(case):
    server = HttpServer(address=ANY_PORT, handler=answer, limits=LIMITS)
    async with timeout_after(HANG), server:
        sock = await open_connection(server.address.host, server.address.port)
        async with sock:
            await sock.sendall(case.sent)
            if not case.waits:
                await sock.shutdown(1)
            return statuses(await read_all(sock))


class RequestTests(TestCase):
    def test_each_way_to_ask(self):
        for case in CASES:
            with self.subTest(case.name):
                self.assertEqual(run(exchange, case), case.statuses)

    def test_pipelined_requests_are_answered_in_order(self):
        async def main():
            server = HttpServer(address=ANY_PORT, handler=answer, limits=LIMITS)
            async with timeout_after(HANG), server:
                address = server.address
                async with await open_connection(address.host, address.port) as sock:
                    await sock.sendall(ASK + ASK.replace(b"/one", b"/two"))
                    await sock.shutdown(1)
                    return await read_all(sock)

        received = run(main)
        self.assertLess(received.index(b"/one"), received.index(b"/two"))

    def test_connections_per_peer_are_bounded(self):
        async def main():
            server = HttpServer(address=ANY_PORT, handler=answer, limits=LIMITS)
            async with timeout_after(HANG), server:
                where = (server.address.host, server.address.port)
                async with AsyncExitStack() as stack:
                    for _ in range(LIMITS.connections_per_peer):
                        sock = await open_connection(*where)
                        await stack.enter_async_context(sock)
                        await sock.sendall(ASK)
                        await sock.recv(65536)
                    third = await stack.enter_async_context(
                        await open_connection(*where)
                    )
                    return statuses(await read_all(third))

        self.assertEqual(run(main), (429,))

    def test_a_drain_answers_what_is_in_flight(self):
        async def main():
            began, go_on = Event(), Event()

            async def slow(request):
                await began.set()
                await go_on.wait()
                return await answer(request)

            server = HttpServer(address=ANY_PORT, handler=slow, limits=LIMITS)
            async with timeout_after(HANG), server:
                address = server.address
                async with await open_connection(address.host, address.port) as sock:
                    await sock.sendall(ASK)
                    await began.wait()
                    drain = await spawn(server.drain(seconds=HANG))
                    await sleep(0)
                    await go_on.set()
                    return statuses(await read_all(sock)), await drain.join()

        self.assertEqual(run(main), ((200,), True))
