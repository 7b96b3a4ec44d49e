import itertools
from contextlib import asynccontextmanager
from dataclasses import dataclass
from random import Random
from unittest import TestCase

from curio import (
    Event,
    TaskTimeout,
    run,
    sleep,
    spawn,
    tcp_server_socket,
    timeout_after,
)
from hypothesis import given, strategies as st

from savorypond.balancing.pool import PoolLimits
from savorypond.clock import SystemClock
from savorypond.controllers.connections import ServerConnections
from savorypond.exceptions import BackendServerError
from savorypond.http.client import HttpConnection
from savorypond.http.messages import HttpRequest
from savorypond.model import Address, Counters

HANG = 30  # seconds after which a test that hangs is ended
GET = HttpRequest(method="GET", path="/")
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@asynccontextmanager
async def server(*answers, pause=0.0):
    """Send ``answers``, lists of packets, one list for each request."""
    listener = tcp_server_socket("127.0.0.1", 0)

    async def serve(sock):
        async with sock:
            for packets in answers:
                if not await sock.recv(65536):
                    return
                for packet in packets:
                    await sock.sendall(packet)
                    await sleep(pause)
            while packets is not None and await sock.recv(65536):
                pass

    async def accept():
        while True:
            sock, _ = await listener.accept()
            await spawn(serve, sock, daemon=True)

    task = await spawn(accept, daemon=True)
    host, port = listener.getsockname()
    try:
        yield Address(host=host, port=port)
    finally:
        await task.cancel()
        await listener.close()


def exchange(*packets, seconds=HANG):
    async def main():
        async with server(packets) as address, HttpConnection(address=address) as it:
            async with timeout_after(seconds):
                response = await it.request(GET)
            return response, it.reusable

    return run(main)


@dataclass(frozen=True)
class Case:
    name: str
    packets: tuple


class ResponseTests(TestCase):
    @given(st.lists(st.integers(1, len(OK) - 1), max_size=5, unique=True))
    def test_an_answer_may_be_split_anywhere(self, cuts):
        edges = [0, *sorted(cuts), len(OK)]
        packets = [OK[a:b] for a, b in itertools.pairwise(edges)]
        response, reusable = exchange(*packets)
        self.assertEqual(response.body, b"ok")
        self.assertTrue(reusable)

    def test_an_answer_longer_than_declared_ends_the_connection(self):
        response, reusable = exchange(OK + b"more")
        self.assertEqual(response.body, b"ok")
        self.assertFalse(reusable)

    def test_an_answer_that_closes_is_the_last(self):
        closing = OK.replace(b"Content", b"Connection: close\r\nContent")
        response, reusable = exchange(closing)
        self.assertTrue(response.close)
        self.assertFalse(reusable)

    def test_how_long_an_idle_connection_is_kept_is_read(self):
        for value, seconds in ((b"timeout=7, max=3", 7.0), (b"max=3", None)):
            kept = OK.replace(b"Content", b"Keep-Alive: " + value + b"\r\nContent")

            async def main(kept=kept):
                async with (
                    server([kept]) as address,
                    HttpConnection(address=address) as it,
                ):
                    await it.request(GET)
                    return it.keep_alive_timeout

            self.assertEqual(run(main), seconds)

    def test_an_informational_answer_is_not_the_answer(self):
        response, reusable = exchange(b"HTTP/1.1 100 Continue\r\nA: b\r\n\r\n" + OK)
        self.assertEqual((response.status, response.body), (200, b"ok"))
        self.assertIsNone(response.header("a"))
        self.assertTrue(reusable)

    def test_bytes_that_arrive_while_idle_make_a_connection_stale(self):
        async def main():
            async with (
                server([OK, OK], pause=0.01) as address,
                HttpConnection(address=address) as it,
                timeout_after(HANG),
            ):
                await it.request(GET)
                while not it.is_stale():
                    await sleep(0.001)

        run(main)

    def test_an_early_answer_to_a_long_request_ends_the_connection(self):
        async def main():
            listener = tcp_server_socket("127.0.0.1", 0)

            async def serve():
                sock, _ = await listener.accept()
                async with sock:
                    await sock.recv(100)
                    await sock.sendall(OK)
                    await Event().wait()

            task = await spawn(serve, daemon=True)
            host, port = listener.getsockname()
            address = Address(host=host, port=port)
            long = HttpRequest(method="POST", path="/", body=b"x" * (64 << 20))
            async with timeout_after(HANG), HttpConnection(address=address) as it:
                response = await it.request(long)
                self.assertEqual(response.body, b"ok")
                self.assertFalse(it.reusable)
            await task.cancel()
            await listener.close()

        run(main)

    def test_an_answer_that_arrives_as_a_long_request_leaves_is_kept(self):
        class BothAtOnce:
            """Takes the whole request and holds its answer at the same moment."""

            def __init__(self):
                self._answers = [OK]

            async def sendall(self, data):
                pass

            async def recv(self, size):
                return self._answers.pop() if self._answers else b""

            async def close(self):
                pass

        async def main():
            address = Address(host="127.0.0.1", port=1)
            connection = HttpConnection(address=address)
            connection._sock = BothAtOnce()
            long = HttpRequest(method="POST", path="/", body=bytes(100_000))
            return await connection.request(long), connection.reusable

        response, reusable = run(main)
        self.assertEqual(response.body, b"ok")
        self.assertTrue(reusable)

    def test_a_long_request_that_is_reset_is_an_error_without_a_traceback(self):
        class Reset:
            async def sendall(self, data):
                raise ConnectionResetError("reset")

            async def recv(self, size):
                await Event().wait()

            async def close(self):
                pass

        async def main():
            connection = HttpConnection(address=Address(host="127.0.0.1", port=1))
            connection._sock = Reset()
            await connection.request(
                HttpRequest(method="POST", path="/", body=bytes(100_000))
            )

        with (
            self.assertNoLogs("curio.kernel", "ERROR"),
            self.assertRaises(BackendServerError) as raised,
        ):
            run(main)
        self.assertTrue(raised.exception.sent)

    def test_line_breaks_in_a_request_are_refused_before_sending(self):
        async def main():
            async with server([OK]) as address, HttpConnection(address=address) as it:
                for path in ("/a\r\nx: y", "/a b"):
                    with self.assertRaises(ValueError):
                        await it.request(HttpRequest(method="GET", path=path))
                    self.assertFalse(it.sent)

        run(main)

    def test_broken_answers_are_errors_after_sending(self):
        cases = [
            Case("no HTTP", (b"nonsense\r\n\r\n",)),
            Case("bad length", (b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",)),
        ]
        for case in cases:
            with self.subTest(case.name):
                with self.assertRaises(BackendServerError) as caught:
                    exchange(*case.packets)
                self.assertTrue(caught.exception.sent)

    def test_closed_before_or_in_the_middle_is_an_error_after_sending(self):
        async def closing(data):
            listener = tcp_server_socket("127.0.0.1", 0)

            async def serve():
                sock, _ = await listener.accept()
                async with sock:
                    await sock.recv(65536)
                    await sock.sendall(data)

            task = await spawn(serve, daemon=True)
            host, port = listener.getsockname()
            async with HttpConnection(address=Address(host=host, port=port)) as it:
                try:
                    await it.request(GET)
                finally:
                    await task.join()
                    await listener.close()

        for data in (b"", OK[:-1]):
            with self.subTest(data), self.assertRaises(BackendServerError) as caught:
                run(closing, data)
            self.assertTrue(caught.exception.sent)

    def test_nothing_listens_is_an_error_before_sending(self):
        async def main():
            listener = tcp_server_socket("127.0.0.1", 0)
            host, port = listener.getsockname()
            await listener.close()
            await HttpConnection(address=Address(host=host, port=port)).open()

        with self.assertRaises(BackendServerError) as caught:
            run(main)
        self.assertFalse(caught.exception.sent)

    def test_a_request_given_up_makes_the_connection_useless(self):
        async def main():
            async with server([]) as address, HttpConnection(address=address) as it:
                with self.assertRaises(TaskTimeout):
                    async with timeout_after(0.05):
                        await it.request(GET)
                return it.reusable

        self.assertFalse(run(main))


class LateAnswerTests(TestCase):
    def test_a_late_answer_never_reaches_the_next_request(self):
        late = [b"", OK.replace(b"ok", b"no")]

        async def main():
            async with timeout_after(HANG), server(late, [OK], pause=0.1) as address:
                connections = ServerConnections(
                    name="s",
                    address=address,
                    source_host="",
                    limits=PoolLimits(cap=2),
                    clock=SystemClock(),
                    rng=Random(1),
                    counters=Counters(),
                )
                with self.assertRaises(BackendServerError):
                    async with await connections.lease(seconds=1) as lease:
                        await lease.request(GET, seconds=0.05)
                first = connections.pool.open
                await sleep(0.2)
                async with await connections.lease(seconds=1) as lease:
                    self.assertFalse(lease.sent)
                await connections.close()
                return first

        self.assertEqual(run(main), 0)
