from dataclasses import dataclass
from unittest import TestCase

from curio import Event, TaskGroup, run, sleep, timeout_after
from curio.socket import AF_INET, SOCK_STREAM, socket
from msgspec.json import decode

from savorypond.http.client import HttpConnection
from savorypond.http.messages import HttpRequest, HttpResponse, text_response
from savorypond.http.server import HttpLimits, HttpServer
from savorypond.model import Address
from savorypond.reasons import RefusalReason

HANG = 30  # seconds after which a test that hangs is ended
LOOPBACK = Address(host="127.0.0.1", port=0)
LIMITS = HttpLimits(
    header_bytes=2048,
    body_bytes=100,
    receive_time=0.3,
    idle_time=5.0,
    connections_per_peer=3,
)


async def echo(request):
    return text_response(f"{request.method} {request.path} {request.body.decode()}")


class Served:
    """A running server and what it refused."""

    def __init__(self, handler=echo):
        self.refused = []
        self.server = HttpServer(
            address=LOOPBACK,
            handler=handler,
            limits=LIMITS,
            on_refusal=self.refused.append,
        )

    async def talk(self, *parts, pause=0.0):
        """Send parts of raw bytes and return all that comes until the end."""
        async with socket(AF_INET, SOCK_STREAM) as sock:
            await sock.connect((self.server.address.host, self.server.address.port))
            for part in parts:
                await sock.sendall(part)
                await sleep(pause)
            data = b""
            while more := await sock.recv(65536):
                data += more
            return data


def serve(method):
    def test(self):
        async def main():
            served = Served()
            async with timeout_after(HANG), served.server:
                await method(self, served)

        run(main)

    return test


@dataclass(frozen=True)
class Case:
    name: str
    parts: tuple
    status: int
    reason: RefusalReason
    pause: float = 0.0


HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\n"
BAD = [
    Case("not HTTP", (b"\x16\x03\x01 hello\r\n\r\n",), 400, RefusalReason.MALFORMED),
    Case("no host", (b"GET / HTTP/1.1\r\n\r\n",), 400, RefusalReason.MALFORMED),
    Case(
        "bad header",
        (b"GET / HTTP/1.1\r\nHost: h\r\nbad header\r\n\r\n",),
        400,
        RefusalReason.MALFORMED,
    ),
    Case(
        "header too large",
        (b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 4096 + b"\r\n\r\n",),
        413,
        RefusalReason.TOO_LARGE,
    ),
    Case(
        "declared body too large",
        (HEAD + b"Content-Length: 101\r\n\r\n",),
        413,
        RefusalReason.TOO_LARGE,
    ),
    Case(
        "chunks too large",
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n70\r\n" + b"x" * 112 + b"\r\n",),
        413,
        RefusalReason.TOO_LARGE,
    ),
    Case(
        "framed in two ways",
        (
            HEAD
            + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            + b"GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n",
        ),
        400,
        RefusalReason.MALFORMED,
    ),
    Case(
        "two lengths",
        (HEAD + b"Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcde",),
        400,
        RefusalReason.MALFORMED,
    ),
    Case("slow header", (b"GET / HT",), 408, RefusalReason.TOO_SLOW, pause=0.6),
    Case(
        "slow body",
        (HEAD + b"Content-Length: 5\r\n\r\nab",),
        408,
        RefusalReason.TOO_SLOW,
        pause=0.6,
    ),
]


class BadRequestTests(TestCase):
    @serve
    async def test_each_gets_a_problem_and_the_end_of_its_connection(self, served):
        for case in BAD:
            with self.subTest(case.name):
                data = await served.talk(*case.parts, pause=case.pause)
                head, _, body = data.partition(b"\r\n\r\n")
                self.assertIn(f" {case.status} ".encode(), head.splitlines()[0])
                problem = decode(body)
                self.assertEqual(problem["reason"], case.reason)
                self.assertEqual(problem["execution"], "not-run")
                self.assertEqual(served.refused.pop(), case.reason)

    @serve
    async def test_a_caller_that_leaves_in_the_middle_is_forgotten(self, served):
        for part in (b"", b"POST /x HT", HEAD + b"Content-Length: 5\r\n\r\nab"):
            async with socket(AF_INET, SOCK_STREAM) as sock:
                address = served.server.address
                await sock.connect((address.host, address.port))
                await sock.sendall(part)
        async with HttpConnection(address=served.server.address) as connection:
            request = HttpRequest(method="GET", path="/")
            self.assertEqual((await connection.request(request)).status, 200)

    @serve
    async def test_too_many_connections_of_one_peer(self, served):
        request = HttpRequest(method="GET", path="/")
        connections = []
        for _ in range(LIMITS.connections_per_peer):
            connection = HttpConnection(address=served.server.address)
            await connection.open()
            await connection.request(request)
            connections.append(connection)
        data = await served.talk(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertIn(b" 429 ", data.splitlines()[0])
        self.assertIn(b"retry-after", data.lower())
        for connection in connections:
            await connection.close()


class GoodRequestTests(TestCase):
    @serve
    async def test_pipelined_requests_are_answered_in_order(self, served):
        one = b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
        two = b"GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        data = await served.talk(one + two)
        self.assertLess(data.index(b"GET /1"), data.index(b"GET /2"))

    @serve
    async def test_a_request_may_come_in_many_packets(self, served):
        whole = HEAD + b"Content-Length: 5\r\nConnection: close\r\n\r\nhello"
        parts = [whole[i : i + 7] for i in range(0, len(whole), 7)]
        data = await served.talk(*parts, pause=0.001)
        self.assertTrue(data.endswith(b"POST /x hello"))

    @serve
    async def test_expect_is_answered_before_the_body(self, served):
        head = HEAD + b"Content-Length: 2\r\nExpect: 100-continue\r\n"
        data = await served.talk(head + b"Connection: close\r\n\r\n", b"ok", pause=0.02)
        self.assertTrue(data.startswith(b"HTTP/1.1 100"))
        self.assertTrue(data.endswith(b"POST /x ok"))

    @serve
    async def test_a_connection_is_used_again(self, served):
        async with HttpConnection(address=served.server.address) as connection:
            for number in range(3):
                request = HttpRequest(method="GET", path=f"/{number}")
                response = await connection.request(request)
                self.assertEqual(response.body, f"GET /{number} ".encode())
                self.assertTrue(connection.reusable)

    def test_a_failing_handler_is_a_problem_and_not_a_traceback(self):
        async def broken(request):
            raise ZeroDivisionError("secret")

        async def main():
            served = Served(broken)
            async with timeout_after(HANG), served.server:
                connection = HttpConnection(address=served.server.address)
                await connection.open()
                request = HttpRequest(method="GET", path="/")
                response = await connection.request(request)
                await connection.close()
            self.assertEqual(response.status, 500)
            self.assertNotIn(b"secret", response.body)
            self.assertEqual(decode(response.body)["execution"], "unknown")
            self.assertEqual(served.refused, [RefusalReason.INTERNAL])

        run(main)


class DepartureTests(TestCase):
    def test_the_handler_of_a_caller_that_leaves_is_cancelled(self):
        async def main():
            began, ended = Event(), Event()

            async def endless(request):
                await began.set()
                try:
                    await Event().wait()
                finally:
                    await ended.set()

            server = HttpServer(
                address=LOOPBACK,
                handler=endless,
                limits=LIMITS,
                cancel_on_disconnect=True,
            )
            async with timeout_after(HANG), server:
                async with socket(AF_INET, SOCK_STREAM) as sock:
                    await sock.connect((server.address.host, server.address.port))
                    await sock.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
                    await began.wait()
                await ended.wait()

        run(main)

    def test_what_is_sent_ahead_is_the_next_request(self):
        async def main():
            server = HttpServer(
                address=LOOPBACK,
                handler=self.slow_echo,
                limits=LIMITS,
                cancel_on_disconnect=True,
            )
            served = Served()
            served.server = server
            async with timeout_after(HANG), server:
                one = b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                two = b"GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
                data = await served.talk(one, two, pause=0.01)
            self.assertLess(data.index(b"GET /1"), data.index(b"GET /2"))

        run(main)

    async def slow_echo(self, request):
        await sleep(0.05)
        return await echo(request)

    def test_answers_close_their_connections_once_a_stop_is_announced(self):
        async def main():
            served = Served()
            async with timeout_after(HANG), served.server:
                connection = HttpConnection(address=served.server.address)
                await connection.open()
                request = HttpRequest(method="GET", path="/")
                self.assertFalse((await connection.request(request)).close)
                served.server.disable_keep_alive()
                self.assertTrue((await connection.request(request)).close)
                await connection.close()

        run(main)


class DrainTests(TestCase):
    def test_what_is_in_flight_is_answered(self):
        async def slow(request):
            await sleep(0.1)
            return HttpResponse(status=200, body=b"done")

        async def main():
            served = Served(slow)
            async with timeout_after(HANG), served.server:
                connection = HttpConnection(address=served.server.address)
                await connection.open()
                request = HttpRequest(method="GET", path="/")
                async with TaskGroup() as group:
                    asking = await group.spawn(connection.request, request)
                    while not served.server.in_flight:
                        await sleep(0.001)
                    self.assertTrue(await served.server.drain(seconds=HANG))
                self.assertEqual(asking.result.body, b"done")
                self.assertTrue(asking.result.close)
                await connection.close()

        run(main)
