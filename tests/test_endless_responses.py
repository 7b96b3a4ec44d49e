"""Tests of backend servers that send without end, or send what is no response."""

from contextlib import suppress
from itertools import pairwise
from tracemalloc import get_traced_memory, start, stop
from unittest import TestCase

from curio import Event, sleep
from hypothesis import given, settings, strategies as st

from savorypond.exceptions import ResponseError
from savorypond.http.listener import Listener
from savorypond.http.response_memory import ResponseMemory, ResponseReservation
from savorypond.http.response_parser import ResponseParser
from savorypond.model import Counters
from savorypond.platform.names import HEADERS
from tests.gateway_loopback import LOOPBACK, FakeServer, RemoteServer, route
from tests.test_gateway_daemon import with_gateway

OK_LINE = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK_LINE + b"Transfer-Encoding: chunked\r\n\r\n"
# What a server sends first, and what it then repeats without end.
ENDLESS = {
    "status line": (b"HTTP/1.1 200 ", b"O" * 1000),
    "header": (OK_LINE + b"X: ", b"x" * 1000),
    "headers": (OK_LINE, b"X: 1\r\n" * 100),
    "informational responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 40),
    "chunk size": (CHUNKED, b"0" * 1000),
    "chunk extension": (CHUNKED + b"1;", b"x" * 1000),
    "chunk extensions": (CHUNKED, (b"1;" + b"x" * 500 + b"\r\ny\r\n") * 2),
    "chunk": (CHUNKED + b"7fffffff\r\n", b"x" * 1000),
    "small chunks": (CHUNKED, b"1\r\nx\r\n" * 200),
    "body without a length": (OK_LINE + b"\r\n", b"x" * 1000),
    "trailers": (CHUNKED + b"1\r\nx\r\n0\r\n", b"X: 1\r\n" * 100),
    "trailer": (CHUNKED + b"1\r\nx\r\n0\r\nX: ", b"x" * 1000),
}
NO_RESPONSE = {"noise": (b"\x16\x03\x01", b"\x00\xff" * 500)}
# The same many small pieces, none of which exceeds a limit by itself.
SMALL_PIECES = {
    "short headers": (OK_LINE, b"a:\r\n" * 1000),
    "short trailers": (CHUNKED + b"1\r\nx\r\n0\r\n", b"a:\r\n" * 1000),
    "informational headers": (
        b"",
        b"HTTP/1.1 103 Early\r\n" + b"a:\r\n" * 30 + b"\r\n",
    ),
    **{
        f"chunks of {size}": (CHUNKED, (b"%x\r\n%b\r\n" % (size, b"x" * size)) * 500)
        for size in (1, 2, 5, 12, 20)
    },
}
LARGE_BODY_BYTES = 1024 * 1024
SPARE_BYTES = 128 * 1024  # of the parser and its buffers
MAX_BODY_BYTES = 64 * 1024
MAX_ACCEPTED_BYTES = 512 * 1024  # for small chunks, whose framing exceeds the body
RESPONSE_START = st.sampled_from([b"", OK_LINE, CHUNKED, *dict(ENDLESS.values())])
FRAGMENTS = st.sampled_from(
    [
        OK_LINE,
        CHUNKED,
        b"\r\n",
        b"0\r\n\r\n",
        b"1\r\nx\r\n",
        b"Content-Length: 3\r\n",
        b"Content-Length: -1\r\n",
        b"Connection: close\r\n",
        b"HTTP/1.1 204 No Content\r\n\r\n",
        b"HTTP/1.1 101 Switching Protocols\r\n\r\n",
        b"abc",
    ]
)


def parse(chunks):
    """Feed the chunks until an error or the end; return the parser and the bytes."""
    parser = ResponseParser(method="GET", max_body_bytes=MAX_BODY_BYTES)
    accepted = 0
    for chunk in chunks:
        parser.feed(chunk)
        accepted += len(chunk)
        if parser.complete or accepted > MAX_ACCEPTED_BYTES:
            break
    return parser, accepted


def endless(first, repeated):
    if first:
        yield first
    while True:
        yield repeated


class EndlessParserTests(TestCase):
    def test_every_part_of_a_response_is_limited(self):
        for name, sent in {**ENDLESS, **NO_RESPONSE}.items():
            with self.subTest(name), self.assertRaises(ResponseError):
                parse(endless(*sent))

    def test_memory_stays_near_the_bytes_that_are_counted(self):
        """Chunks of two bytes took 22 times what was counted, until it ran out."""
        for name, (first, repeated) in SMALL_PIECES.items():
            with self.subTest(name):
                parser = ResponseParser(method="GET", max_body_bytes=LARGE_BODY_BYTES)
                start()
                try:
                    with self.assertRaises(ResponseError):
                        for block in endless(first, repeated):
                            parser.feed(block)
                    _, peak = get_traced_memory()
                finally:
                    stop()
                self.assertLess(peak, 2 * parser.held_bytes + SPARE_BYTES)

    def test_a_large_body_in_tiny_chunks_is_refused_early(self):
        """Each chunk costs processor time that other requests lack."""
        parser = ResponseParser(method="GET")
        with self.assertRaises(ResponseError):
            for block in endless(CHUNKED, b"1\r\nx\r\n" * 1000):
                parser.feed(block)
        self.assertLess(parser.body_bytes, 4 * MAX_BODY_BYTES)

    def test_a_large_body_in_small_chunks_is_accepted(self):
        chunk = b"10\r\n" + b"x" * 16 + b"\r\n"
        parser = ResponseParser(method="GET")
        for block in (CHUNKED, *[chunk * 1000] * 100, b"0\r\n\r\n"):
            parser.feed(block)
        self.assertEqual(len(parser.response().body), 1_600_000)

    def test_a_hundred_headers_are_accepted(self):
        parser, _ = parse([OK_LINE + b"a: b\r\n" * 99 + b"Content-Length: 0\r\n\r\n"])
        self.assertEqual(len(parser.response().headers), 100)

    def test_bytes_after_a_response_are_not_part_of_it(self):
        parser, _ = parse([OK_LINE + b"Content-Length: 2\r\n\r\nok" + b"x" * 1000])
        self.assertEqual(parser.response().body, b"ok")
        self.assertTrue(parser.has_trailing_data)

    def test_trailers_are_not_headers(self):
        trailers = b"0\r\nX-Sig: forged\r\nConnection: close\r\n\r\n"
        parser, _ = parse([CHUNKED + b"2\r\nok\r\n" + trailers])
        response = parser.response()
        self.assertEqual(response.body, b"ok")
        self.assertEqual([h.name for h in response.headers], ["transfer-encoding"])
        self.assertFalse(response.close)

    def test_a_body_of_the_maximum_size_is_accepted(self):
        body = b"x" * MAX_BODY_BYTES
        head = OK_LINE + f"Content-Length: {len(body)}\r\n\r\n".encode()
        parser, _ = parse([head, body])
        self.assertEqual(parser.response().body, body)

    def test_a_body_in_chunks_of_one_byte_is_accepted(self):
        parser, _ = parse([CHUNKED, b"1\r\nx\r\n" * 20_000, b"0\r\n\r\n"])
        self.assertEqual(len(parser.response().body), 20_000)


class FuzzTests(TestCase):
    @settings(max_examples=300, deadline=None)
    @given(
        start=RESPONSE_START,
        rest=st.lists(st.one_of(FRAGMENTS, st.binary(max_size=40)), max_size=12),
        cuts=st.lists(st.integers(0, 400), max_size=6),
    )
    def test_any_bytes_end_in_one_response_an_error_or_a_need_for_more(
        self, start, rest, cuts
    ):
        data = start + b"".join(rest)
        bounds = [0, *sorted(cut for cut in cuts if cut < len(data)), len(data)]
        parser = ResponseParser(method="GET", max_body_bytes=MAX_BODY_BYTES)
        responses = []
        try:
            for begin, end in pairwise(bounds):
                parser.feed(data[begin:end])
                if parser.complete:
                    responses.append(parser.response())
            parser.feed_eof()
        except ResponseError:
            return
        self.assertTrue(parser.complete)
        final = parser.response()
        for response in responses:
            self.assertEqual(response, final)
        self.assertLessEqual(len(final.body), len(data))


class ResponseMemoryTests(TestCase):
    def test_all_responses_share_one_limit(self):
        counters = Counters()
        memory = ResponseMemory(limit=100, counters=counters)
        first = ResponseReservation(memory=memory)
        second = ResponseReservation(memory=memory)
        first.grow(60)
        with self.assertRaises(ResponseError):
            second.grow(50)
        second.grow(40)
        self.assertEqual(memory.held, 100)
        first.release()
        first.release()
        self.assertEqual(memory.held, 40)
        second.grow(50)
        second.release()
        self.assertEqual(memory.held, 0)

    def test_large_responses_leave_room_for_small_ones(self):
        """Servers that send without end must not fail the answers of others."""
        memory = ResponseMemory(limit=4 * LARGE_BODY_BYTES, counters=Counters())
        large = [ResponseReservation(memory=memory) for _ in range(4)]
        for reservation in large:
            with suppress(ResponseError):
                while True:
                    reservation.grow(16 * 1024)
        small = [ResponseReservation(memory=memory) for _ in range(4)]
        for reservation in small:
            reservation.grow(32 * 1024)
        self.assertLessEqual(memory.held, 4 * LARGE_BODY_BYTES)
        for reservation in (*large, *small):
            reservation.release()
        self.assertEqual(memory.held, 0)


class EndlessServer(FakeServer):
    """Sends one block, then another one without end, until its client closes.

    :param pause: seconds between two repeated blocks.
    """

    def __init__(self, name, *, service, first, repeated, pause=0.0):
        super().__init__(name, service=service)
        self.closed = Event()
        self.sent_bytes = 0
        self._first = first
        self._repeated = repeated
        self._pause = pause
        self._server = Listener(address=LOOPBACK, serve=self._send)

    async def _send(self, sock, peer):
        async with sock:
            if not await sock.recv(65536):
                return
            with suppress(OSError):
                for block in endless(self._first, self._repeated):
                    await sock.sendall(block)
                    self.sent_bytes += len(block)
                    await sleep(self._pause)
            await self.closed.set()


QUERY = route(
    "q",
    "/q/",
    gather=["s1", "s2"],
    top_k=2,
    min_version=1.0,
    target_latency_ms=400,
)
READ = route("r", "/r/", backend="s2")
SOCKET_BUFFERS = 16 * 1024 * 1024  # bytes that the kernel may hold beside the limits


def servers(sent, *, pause):
    """Return a server that sends without end, and good servers of both shards."""
    first, repeated = sent
    return (
        EndlessServer("bad", service="s1", first=first, repeated=repeated, pause=pause),
        RemoteServer("good", service="s1", body=b"a" * 16),
        FakeServer("other", service="s2", body=b"b" * 16),
    )


class EndlessServerTests(TestCase):
    def test_a_query_is_answered_by_the_other_server(self):
        for name, sent in {**ENDLESS, **NO_RESPONSE}.items():
            with self.subTest(name):
                self.check(sent, pause=0.0)

    def test_one_byte_at_a_time_does_not_delay_a_query_beyond_its_goal(self):
        for name in ("status line", "header", "trailer", "body without a length"):
            first, repeated = ENDLESS[name]
            with self.subTest(name):
                self.check((first, repeated[:1]), pause=0.05)

    def check(self, sent, *, pause):
        @with_gateway(QUERY, READ, servers=lambda: servers(sent, pause=pause))
        async def ask(self, env):
            bad = env.servers[0]
            response = await env.ask()
            self.assertEqual(response.status, 200)
            signatures = response.header(HEADERS.part_signatures).split(", ")
            self.assertEqual(set(signatures), {"good.r1", "other.r1"})
            response = await env.ask("/r/", request_id="r2")
            self.assertEqual(response.body, b"b" * 16)
            await bad.closed.wait()
            self.assertGreater(bad.sent_bytes, 0)
            self.assertLess(bad.sent_bytes, SOCKET_BUFFERS)

        ask(self)
