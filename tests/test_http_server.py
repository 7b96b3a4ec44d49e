from contextlib import suppress
from dataclasses import dataclass, replace
from socket import SHUT_WR
from unittest import TestCase

from curio import Event, TaskGroup, run, sleep, timeout_after
from curio.socket import AF_INET, SOCK_STREAM, socket
from hypothesis import given, settings, strategies as st
from msgspec.json import decode

from savorypond.exceptions import ResponseError
from savorypond.gateway.responses import proxied_response
from savorypond.http.channel import response_head
from savorypond.http.client import HttpConnection
from savorypond.http.messages import Header, HttpRequest, HttpResponse, text_response
from savorypond.http.response_parser import ResponseParser
from savorypond.http.server import HttpLimits, HttpServer
from savorypond.model import Address
from savorypond.reasons import RefusalReason

TEST_TIMEOUT = 30  # seconds
STOPS = 20  # stops in series
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


class RunningServer:
    """A running server and the reasons of its refusals."""

    def __init__(self, handler=echo):
        self.refusals = []
        self.server = HttpServer(
            address=LOOPBACK,
            handler=handler,
            limits=LIMITS,
            on_refusal=self.refusals.append,
        )

    async def exchange(self, *parts, pause=0.0):
        """Send raw bytes in parts and return all output until the server closes."""
        async with socket(AF_INET, SOCK_STREAM) as sock:
            await sock.connect((self.server.address.host, self.server.address.port))
            for part in parts:
                await sock.sendall(part)
                await sleep(pause)
            data = b""
            while more := await sock.recv(65536):
                data += more
            return data


def with_server(method):
    def test(self):
        async def main():
            running = RunningServer()
            async with timeout_after(TEST_TIMEOUT), running.server:
                await method(self, running)

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
        "another major version",
        (b"GET / HTTP/9.9\r\nHost: h\r\n\r\n",),
        505,
        RefusalReason.UNSUPPORTED_VERSION,
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
        "chunked body too large",
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n70\r\n" + b"x" * 112 + b"\r\n",),
        413,
        RefusalReason.TOO_LARGE,
    ),
    Case(
        "ambiguous framing",
        (
            HEAD
            + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            + b"GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n",
        ),
        400,
        RefusalReason.MALFORMED,
    ),
    Case(
        "conflicting lengths",
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
    @with_server
    async def test_bad_request_gets_problem_response_and_close(self, running):
        for case in BAD:
            with self.subTest(case.name):
                data = await running.exchange(*case.parts, pause=case.pause)
                head, _, body = data.partition(b"\r\n\r\n")
                self.assertIn(f" {case.status} ".encode(), head.splitlines()[0])
                problem = decode(body)
                self.assertEqual(problem["reason"], case.reason)
                self.assertEqual(problem["execution"], "not-run")
                self.assertEqual(running.refusals.pop(), case.reason)

    @with_server
    async def test_disconnect_during_request_leaves_server_usable(self, running):
        for part in (b"", b"POST /x HT", HEAD + b"Content-Length: 5\r\n\r\nab"):
            async with socket(AF_INET, SOCK_STREAM) as sock:
                address = running.server.address
                await sock.connect((address.host, address.port))
                await sock.sendall(part)
        async with HttpConnection(address=running.server.address) as connection:
            request = HttpRequest(method="GET", path="/")
            self.assertEqual((await connection.request(request)).status, 200)

    @with_server
    async def test_connections_of_one_peer_are_limited(self, running):
        request = HttpRequest(method="GET", path="/")
        connections = []
        for _ in range(LIMITS.connections_per_peer):
            connection = HttpConnection(address=running.server.address)
            await connection.open()
            await connection.request(request)
            connections.append(connection)
        data = await running.exchange(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertIn(b" 429 ", data.splitlines()[0])
        self.assertIn(b"retry-after", data.lower())
        for connection in connections:
            await connection.close()


class RefusedHeadTests(TestCase):
    """Whether a refusal has a body was decided by the request before it."""

    HEAD = b"HEAD /a HTTP/1.1\r\nHost: h\r\n"

    @with_server
    async def test_a_refusal_after_a_head_request_is_sent(self, running):
        refused = (
            (b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n", b" 413 "),
            (b"nonsense\r\n\r\n", b" 400 "),
            (b"GET /b HTTP/1.1\r\nHost: h", b" 408 "),
        )
        for data, status in refused:
            with self.subTest(status):
                _, _, answer = (
                    await running.exchange(self.HEAD + b"\r\n", data, pause=0.02)
                ).partition(b"\r\n\r\n")
                self.assertTrue(answer.startswith(b"HTTP/1.1" + status))
                head, _, body = answer.partition(b"\r\n\r\n")
                self.assertIn(b"content-length: %d" % len(body), head)
                self.assertGreater(len(body), 0)

    @with_server
    async def test_a_refused_head_request_gets_a_head_only(self, running):
        answer = await running.exchange(self.HEAD + b"Content-Length: 101\r\n\r\n")
        self.assertTrue(answer.startswith(b"HTTP/1.1 413 "))
        self.assertTrue(answer.endswith(b"\r\n\r\n"))


class OneResponseTests(TestCase):
    """A connection carries one response for each request, and none besides."""

    GET = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"
    REFUSED = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n"

    @with_server
    async def test_no_request_is_answered_after_a_refusal(self, running):
        for before in (0, 2):
            requests = b"".join(self.GET % number for number in range(before))
            for pause in (0.0, 0.02):
                with self.subTest(before=before, pause=pause):
                    data = await running.exchange(
                        requests, self.REFUSED, self.GET % 9, pause=pause
                    )
                    self.assertEqual(data.count(b"HTTP/1.1 200"), before)
                    self.assertEqual(data.count(b"HTTP/1.1 413"), 1)
                    self.assertNotIn(b"GET /9", data)

    @with_server
    async def test_no_request_is_answered_after_a_close(self, running):
        closing = b"GET /0 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        data = await running.exchange(closing + self.GET % 1)
        self.assertEqual(data.count(b"HTTP/1.1 "), 1)
        self.assertTrue(data.endswith(b"GET /0 "))

    @with_server
    async def test_empty_lines_between_requests_get_no_response(self, running):
        """The refusal of an empty line was taken for the answer to the next request."""
        last = b"GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        for parts in (
            (self.GET % 1 + b"\r\n" + last,),
            (self.GET % 1 + b"\r\n", last),
            (self.GET % 1, b"\r\n", b"\r\n" + last),
            (self.GET % 1, b"\r", b"\n", last),
            (b"\r\n" + self.GET % 1, last),
        ):
            with self.subTest(parts):
                data = await running.exchange(*parts, pause=0.02)
                self.assertEqual(data.count(b"HTTP/1.1 "), 2)
                self.assertEqual(data.count(b"HTTP/1.1 200"), 2)
                self.assertTrue(data.endswith(b"GET /2 "))

    def test_pipelined_requests_with_slow_and_failing_handlers_are_answered_once(self):
        async def handler(request):
            number = int(request.path[1:])
            await sleep(0.05 if number % 2 else 0.0)
            if number % 3 == 2:
                raise ValueError(number)
            return text_response(f"answer {number}.")

        async def main():
            running = RunningServer(handler)
            async with timeout_after(TEST_TIMEOUT), running.server:
                requests = [self.GET % number for number in range(6)]
                last = b"GET /6 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
                return await running.exchange(*requests, last)

        with self.assertLogs("absl", "ERROR"):
            data = run(main)
        statuses = [part[:3] for part in data.split(b"HTTP/1.1 ")[1:]]
        self.assertEqual(statuses, [b"200", b"200", b"500"] * 2 + [b"200"])
        answers = [b"answer %d." % number for number in (0, 1, 3, 4, 6)]
        self.assertEqual([data.count(answer) for answer in answers], [1] * 5)
        self.assertEqual(answers, sorted(answers, key=data.index))

    def test_an_idle_connection_is_closed_without_a_byte(self):
        async def main(request):
            limits = replace(LIMITS, idle_time=0.05)
            server = HttpServer(address=LOOPBACK, handler=echo, limits=limits)
            sock = socket(AF_INET, SOCK_STREAM)
            async with timeout_after(TEST_TIMEOUT), server, sock:
                await sock.connect((server.address.host, server.address.port))
                await sock.sendall(request)
                data = b""
                while more := await sock.recv(65536):
                    data += more
                return data

        for request in (self.GET % 1, self.GET % 1 + b"\r\n"):
            with self.subTest(request):
                data = run(main, request)
                self.assertEqual(data.count(b"HTTP/1.1 "), 1)
                self.assertTrue(data.endswith(b"GET /1 "))


class GoodRequestTests(TestCase):
    @with_server
    async def test_pipelined_requests_are_answered_in_order(self, running):
        first = b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
        second = b"GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        data = await running.exchange(first + second)
        self.assertLess(data.index(b"GET /1"), data.index(b"GET /2"))

    @with_server
    async def test_request_split_into_packets_is_parsed(self, running):
        request_bytes = HEAD + b"Content-Length: 5\r\nConnection: close\r\n\r\nhello"
        parts = [request_bytes[i : i + 7] for i in range(0, len(request_bytes), 7)]
        data = await running.exchange(*parts, pause=0.001)
        self.assertTrue(data.endswith(b"POST /x hello"))

    @with_server
    async def test_100_continue_is_sent_before_body(self, running):
        head = HEAD + b"Content-Length: 2\r\nExpect: 100-continue\r\n"
        data = await running.exchange(
            head + b"Connection: close\r\n\r\n", b"ok", pause=0.02
        )
        self.assertTrue(data.startswith(b"HTTP/1.1 100"))
        self.assertTrue(data.endswith(b"POST /x ok"))

    @with_server
    async def test_connection_is_reused(self, running):
        async with HttpConnection(address=running.server.address) as connection:
            for number in range(3):
                request = HttpRequest(method="GET", path=f"/{number}")
                response = await connection.request(request)
                self.assertEqual(response.body, f"GET /{number} ".encode())
                self.assertTrue(connection.reusable)

    def test_handler_error_is_problem_response_without_details(self):
        async def failing_handler(request):
            raise ZeroDivisionError("secret")

        async def main():
            running = RunningServer(failing_handler)
            async with timeout_after(TEST_TIMEOUT), running.server:
                connection = HttpConnection(address=running.server.address)
                await connection.open()
                request = HttpRequest(method="GET", path="/")
                response = await connection.request(request)
                await connection.close()
            self.assertEqual(response.status, 500)
            self.assertNotIn(b"secret", response.body)
            self.assertEqual(decode(response.body)["execution"], "unknown")
            self.assertEqual(running.refusals, [RefusalReason.INTERNAL])

        run(main)


CLOSING_GET = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


class OddResponseTests(TestCase):
    """Headers of other servers are passed on, whatever bytes they hold."""

    def exchange(self, *values):
        async def handler(request):
            headers = tuple(Header(name="x-place", value=value) for value in values)
            return HttpResponse(status=200, headers=headers, body=b"ok")

        async def main():
            running = RunningServer(handler)
            async with timeout_after(TEST_TIMEOUT), running.server:
                return await running.exchange(CLOSING_GET)

        return run(main)

    def test_a_byte_from_0x80_on_is_sent_unchanged(self):
        """The connection was closed without an answer."""
        data = self.exchange("\x8aibenik", "Zadar\xff")
        self.assertTrue(data.startswith(b"HTTP/1.1 200 "))
        self.assertIn(b"x-place: \x8aibenik\r\n", data)
        self.assertIn(b"x-place: Zadar\xff\r\n", data)
        self.assertTrue(data.endswith(b"\r\n\r\nok"))

    @settings(max_examples=300, deadline=None)
    @given(name=st.binary(min_size=1, max_size=6), value=st.binary(max_size=20))
    def test_whatever_is_accepted_of_a_server_can_be_sent(self, name, value):
        parser = ResponseParser(method="GET")
        try:
            parser.feed(b"HTTP/1.1 200 OK\r\n" + name + b": " + value + b"\r\n\r\n")
            parser.feed_eof()
        except ResponseError:
            return
        response_head(proxied_response(parser.response()), close=False)

    def test_any_status_can_be_sent_with_whatever_body_came_with_it(self):
        """A 204 or 304 ends with its head, whatever length it states."""
        for status in (200, 203, 204, 205, 206, 301, 304, 404, 500, 599, 999):
            for framing in (b"Content-Length: 2", b"Transfer-Encoding: chunked"):
                body = b"ok" if b"Length" in framing else b"2\r\nok\r\n0\r\n\r\n"
                for sent in (b"", body):
                    with self.subTest((status, framing, sent)):
                        self.check_status(status, framing, sent)

    def check_status(self, status, framing, body):
        parser = ResponseParser(method="GET")
        parser.feed(b"HTTP/1.1 %d X\r\n%b\r\n\r\n%b" % (status, framing, body))
        if status in (204, 304):
            self.assertTrue(parser.complete)
        if not parser.complete:
            return
        response = proxied_response(parser.response())

        async def handler(request):
            return response

        async def main():
            running = RunningServer(handler)
            async with timeout_after(TEST_TIMEOUT), running.server:
                return await running.exchange(CLOSING_GET)

        data = run(main)
        self.assertTrue(data.startswith(b"HTTP/1.1 %d " % status), data)
        self.assertTrue(data.endswith(b"\r\n\r\n" + response.body), data)

    def test_a_response_that_cannot_be_sent_is_answered_with_an_error(self):
        for value in ("line\r\nbreak", "\u0160ibenik", "nul\x00"):
            with self.subTest(value):
                data = self.exchange(value)
                self.assertTrue(data.startswith(b"HTTP/1.1 500 "))
                self.assertNotIn(b"x-place", data)


class DisconnectTests(TestCase):
    def test_handler_is_cancelled_on_disconnect(self):
        async def main():
            started, ended = Event(), Event()

            async def blocking_handler(request):
                await started.set()
                try:
                    await Event().wait()
                finally:
                    await ended.set()

            server = HttpServer(
                address=LOOPBACK,
                handler=blocking_handler,
                limits=LIMITS,
                cancel_on_disconnect=True,
            )
            async with timeout_after(TEST_TIMEOUT), server:
                async with socket(AF_INET, SOCK_STREAM) as sock:
                    await sock.connect((server.address.host, server.address.port))
                    await sock.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
                    await started.wait()
                await ended.wait()

        run(main)

    def test_data_received_during_request_is_next_request(self):
        async def main():
            server = HttpServer(
                address=LOOPBACK,
                handler=self.slow_echo,
                limits=LIMITS,
                cancel_on_disconnect=True,
            )
            running = RunningServer()
            running.server = server
            async with timeout_after(TEST_TIMEOUT), server:
                first = b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                second = b"GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
                data = await running.exchange(first, second, pause=0.01)
            self.assertLess(data.index(b"GET /1"), data.index(b"GET /2"))

        run(main)

    async def slow_echo(self, request):
        await sleep(0.05)
        return await echo(request)

    def test_disable_keep_alive_closes_after_next_response(self):
        async def main():
            running = RunningServer()
            async with timeout_after(TEST_TIMEOUT), running.server:
                connection = HttpConnection(address=running.server.address)
                await connection.open()
                request = HttpRequest(method="GET", path="/")
                self.assertFalse((await connection.request(request)).close)
                running.server.disable_keep_alive()
                self.assertTrue((await connection.request(request)).close)
                await connection.close()

        run(main)


class DrainTests(TestCase):
    def test_requests_in_flight_are_answered(self):
        async def slow_handler(request):
            await sleep(0.1)
            return HttpResponse(status=200, body=b"done")

        async def main():
            running = RunningServer(slow_handler)
            async with timeout_after(TEST_TIMEOUT), running.server:
                connection = HttpConnection(address=running.server.address)
                await connection.open()
                request = HttpRequest(method="GET", path="/")
                async with TaskGroup() as group:
                    request_task = await group.spawn(connection.request, request)
                    while not running.server.in_flight:
                        await sleep(0.001)
                    self.assertTrue(await running.server.drain(seconds=TEST_TIMEOUT))
                self.assertEqual(request_task.result.body, b"done")
                self.assertTrue(request_task.result.close)
                await connection.close()

        run(main)

    @with_server
    async def test_a_request_that_has_arrived_is_answered(self, running):
        async with socket(AF_INET, SOCK_STREAM) as sock:
            address = running.server.address
            await sock.connect((address.host, address.port))
            await sock.sendall(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
            self.assertIn(b"GET /1", await sock.recv(65536))
            await sock.sendall(b"GET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
            self.assertTrue(await running.server.drain(seconds=TEST_TIMEOUT))
            data = await sock.recv(65536)
        self.assertIn(b"connection: close", data)
        self.assertIn(b"GET /2", data)

    @with_server
    async def test_the_last_response_arrives_although_the_client_sent_more(
        self, running
    ):
        running.server.disable_keep_alive()
        requests = b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n" + b"x" * 50_000
        data = await running.exchange(requests)
        self.assertIn(b"connection: close", data)
        self.assertIn(b"GET /1", data)

    def test_stops_cut_no_request_of_busy_connections(self):
        async def main():
            for _ in range(STOPS):
                running = RunningServer(slow_echo)
                async with timeout_after(TEST_TIMEOUT), running.server:
                    async with TaskGroup() as group:
                        for _ in range(LIMITS.connections_per_peer):
                            await group.spawn(send_until_closed, running.server.address)
                        await sleep(0.01)
                        running.server.disable_keep_alive()
                    cut = [error for error in group.exceptions if error is not None]
                    self.assertEqual(cut, [])
                    self.assertTrue(await running.server.drain(seconds=TEST_TIMEOUT))

        run(main)


class FuzzTests(TestCase):
    @given(
        fragments=st.lists(
            st.one_of(
                st.sampled_from(
                    [
                        b"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
                        b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n",
                        b"Transfer-Encoding: chunked\r\n",
                        b"5\r\nhello\r\n0\r\n\r\n",
                        b"\r\n",
                        b"ab",
                    ]
                ),
                st.binary(max_size=30),
            ),
            max_size=6,
        )
    )
    @settings(max_examples=60)
    def test_any_bytes_leave_the_server_usable(self, fragments):
        async def main():
            running = RunningServer()
            async with timeout_after(TEST_TIMEOUT), running.server:
                async with socket(AF_INET, SOCK_STREAM) as sock:
                    address = running.server.address
                    await sock.connect((address.host, address.port))
                    for fragment in fragments:
                        await sock.sendall(fragment)
                    await sock.shutdown(SHUT_WR)
                    data = b""
                    with suppress(ConnectionError):
                        while more := await sock.recv(65536):
                            data += more
                sent = b"".join(fragments)
                request_count = sent.count(b" HTTP/1.1\r\n")
                responses = data.count(b"HTTP/1.1 200 ")
                self.assertLessEqual(responses, request_count)
                data = await running.exchange(
                    b"GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
                )
                self.assertIn(b"GET /last", data)

        run(main)


async def slow_echo(request):
    await sleep(0.005)
    return await echo(request)


async def send_until_closed(address):
    """Send requests on one connection until a response announces its end.

    An unanswered request raises BackendServerError.
    """
    async with HttpConnection(address=address) as connection:
        while True:
            response = await connection.request(HttpRequest(method="GET", path="/"))
            if response.close:
                return
