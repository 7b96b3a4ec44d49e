import itertools
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from random import Random
from socket import SO_LINGER, SOL_SOCKET
from struct import pack
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
from savorypond.http.response_memory import ResponseMemory
from savorypond.model import Address, Counters

TEST_TIMEOUT = 30  # seconds
GET = HttpRequest(method="GET", path="/")
MEMORY_BYTES = 1024 * 1024
RESETS = 30  # most of them arrive together with the answer
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@asynccontextmanager
async def fake_server(*responses, pause=0.0):
    """Send one list of packets of ``responses`` for each request."""
    listener = tcp_server_socket("127.0.0.1", 0)

    async def serve(sock):
        async with sock:
            # A client resets a connection with a response that it does not read.
            with suppress(ConnectionError):
                await answer(sock)

    async def answer(sock):
        for packets in responses:
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


def exchange(*packets, seconds=TEST_TIMEOUT):
    async def main():
        async with (
            fake_server(packets) as address,
            HttpConnection(address=address) as connection,
        ):
            async with timeout_after(seconds):
                response = await connection.request(GET)
            return response, connection.reusable

    return run(main)


@dataclass(frozen=True)
class Case:
    name: str
    packets: tuple


class ResponseTests(TestCase):
    @given(st.lists(st.integers(1, len(OK) - 1), max_size=5, unique=True))
    def test_response_split_at_any_offset_is_parsed(self, cuts):
        bounds = [0, *sorted(cuts), len(OK)]
        packets = [OK[a:b] for a, b in itertools.pairwise(bounds)]
        response, reusable = exchange(*packets)
        self.assertEqual(response.body, b"ok")
        self.assertTrue(reusable)

    def test_trailing_data_makes_connection_not_reusable(self):
        response, reusable = exchange(OK + b"more")
        self.assertEqual(response.body, b"ok")
        self.assertFalse(reusable)

    def test_connection_close_makes_connection_not_reusable(self):
        close_response = OK.replace(b"Content", b"Connection: close\r\nContent")
        response, reusable = exchange(close_response)
        self.assertTrue(response.close)
        self.assertFalse(reusable)

    def test_keep_alive_timeout_is_parsed(self):
        for value, seconds in ((b"timeout=7, max=3", 7.0), (b"max=3", None)):
            response_bytes = OK.replace(
                b"Content", b"Keep-Alive: " + value + b"\r\nContent"
            )

            async def main(response_bytes=response_bytes):
                async with (
                    fake_server([response_bytes]) as address,
                    HttpConnection(address=address) as connection,
                ):
                    await connection.request(GET)
                    return connection.keep_alive_timeout

            self.assertEqual(run(main), seconds)

    def test_white_space_around_a_value_is_not_part_of_it(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Place: \t Split \t\r\n\r\n"
        response, _ = exchange(head + b"ok")
        self.assertEqual(response.header("x-place"), "Split")

    def test_a_keep_alive_time_in_other_digits_is_ignored(self):
        """Superscript two is a digit that is no number; the answer was discarded."""
        head = (
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=\xb2\r\n\r\n"
        )
        response, reusable = exchange(head + b"ok")
        self.assertEqual((response.body, reusable), (b"ok", True))

    def test_informational_response_is_skipped(self):
        response, reusable = exchange(b"HTTP/1.1 100 Continue\r\nA: b\r\n\r\n" + OK)
        self.assertEqual((response.status, response.body), (200, b"ok"))
        self.assertIsNone(response.header("a"))
        self.assertTrue(reusable)

    def test_a_second_request_reuses_the_connection(self):
        async def main():
            async with (
                timeout_after(TEST_TIMEOUT),
                fake_server([OK], [OK]) as address,
                HttpConnection(address=address) as connection,
            ):
                await connection.request(GET)
                first = connection.was_reused
                await connection.request(GET)
                return first, connection.was_reused

        self.assertEqual(run(main), (False, True))

    def test_input_on_idle_connection_makes_it_stale(self):
        async def main():
            async with (
                fake_server([OK, OK], pause=0.01) as address,
                HttpConnection(address=address) as connection,
                timeout_after(TEST_TIMEOUT),
            ):
                await connection.request(GET)
                while not connection.is_stale():
                    await sleep(0.001)

        run(main)

    def test_early_response_to_large_request_makes_connection_not_reusable(self):
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
            large = HttpRequest(method="POST", path="/", body=b"x" * (64 << 20))
            async with (
                timeout_after(TEST_TIMEOUT),
                HttpConnection(address=address) as connection,
            ):
                response = await connection.request(large)
                self.assertEqual(response.body, b"ok")
                self.assertFalse(connection.reusable)
            await task.cancel()
            await listener.close()

        run(main)

    def test_response_arriving_with_end_of_large_request_is_kept(self):
        class ImmediateSocket:
            """Socket that accepts the complete request and has its response at once."""

            def __init__(self):
                self._responses = [OK]

            async def sendall(self, data):
                pass

            async def recv(self, size):
                return self._responses.pop() if self._responses else b""

            async def close(self):
                pass

        async def main():
            address = Address(host="127.0.0.1", port=1)
            connection = HttpConnection(address=address)
            connection._sock = ImmediateSocket()
            large = HttpRequest(method="POST", path="/", body=bytes(100_000))
            return await connection.request(large), connection.reusable

        response, reusable = run(main)
        self.assertEqual(response.body, b"ok")
        self.assertTrue(reusable)

    def test_reset_during_large_request_is_error_without_traceback(self):
        class ResetSocket:
            async def sendall(self, data):
                raise ConnectionResetError("reset")

            async def recv(self, size):
                await Event().wait()

            async def close(self):
                pass

        async def main():
            connection = HttpConnection(address=Address(host="127.0.0.1", port=1))
            connection._sock = ResetSocket()
            await connection.request(
                HttpRequest(method="POST", path="/", body=bytes(100_000))
            )

        with (
            self.assertNoLogs("curio.kernel", "ERROR"),
            self.assertRaises(BackendServerError) as raised,
        ):
            run(main)
        self.assertTrue(raised.exception.sent)

    def test_an_answer_without_a_length_that_is_reset_is_not_complete(self):
        """Sending a large request reported the reset, receiving an orderly end."""

        async def serve(listener):
            while True:
                sock, _ = await listener.accept()
                async with sock:
                    await sock.recv(100)
                    await sleep(0.003)
                    await sock.sendall(b"HTTP/1.1 200 OK\r\n\r\nthe beginning")
                    sock.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))

        async def main():
            listener = tcp_server_socket("127.0.0.1", 0)
            task = await spawn(serve, listener, daemon=True)
            host, port = listener.getsockname()
            address = Address(host=host, port=port)
            large = HttpRequest(method="POST", path="/", body=bytes(8_000_000))
            for _ in range(RESETS):
                async with (
                    timeout_after(TEST_TIMEOUT),
                    HttpConnection(address=address) as connection,
                ):
                    with self.assertRaises(BackendServerError):
                        await connection.request(large)
            await task.cancel()
            await listener.close()

        run(main)

    def test_invalid_characters_in_request_are_rejected_before_sending(self):
        async def main():
            async with (
                fake_server([OK]) as address,
                HttpConnection(address=address) as connection,
            ):
                for path in ("/a\r\nx: y", "/a b"):
                    with self.assertRaises(ValueError):
                        await connection.request(HttpRequest(method="GET", path=path))
                    self.assertFalse(connection.sent)

        run(main)

    def test_malformed_response_is_error_after_sending(self):
        cases = [
            Case("not HTTP", (b"nonsense\r\n\r\n",)),
            Case(
                "bad content-length", (b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",)
            ),
        ]
        for case in cases:
            with self.subTest(case.name):
                with self.assertRaises(BackendServerError) as caught:
                    exchange(*case.packets)
                self.assertTrue(caught.exception.sent)

    def test_early_close_is_error_after_sending(self):
        async def request_and_close(data):
            listener = tcp_server_socket("127.0.0.1", 0)

            async def serve():
                sock, _ = await listener.accept()
                async with sock:
                    await sock.recv(65536)
                    await sock.sendall(data)

            task = await spawn(serve, daemon=True)
            host, port = listener.getsockname()
            async with HttpConnection(
                address=Address(host=host, port=port)
            ) as connection:
                try:
                    await connection.request(GET)
                finally:
                    await task.join()
                    await listener.close()

        for data in (b"", OK[:-1]):
            with self.subTest(data), self.assertRaises(BackendServerError) as caught:
                run(request_and_close, data)
            self.assertTrue(caught.exception.sent)

    def test_refused_connection_is_error_before_sending(self):
        async def main():
            listener = tcp_server_socket("127.0.0.1", 0)
            host, port = listener.getsockname()
            await listener.close()
            await HttpConnection(address=Address(host=host, port=port)).open()

        with self.assertRaises(BackendServerError) as caught:
            run(main)
        self.assertFalse(caught.exception.sent)

    def test_cancelled_request_makes_connection_not_reusable(self):
        async def main():
            async with (
                fake_server([]) as address,
                HttpConnection(address=address) as connection,
            ):
                with self.assertRaises(TaskTimeout):
                    async with timeout_after(0.05):
                        await connection.request(GET)
                return connection.reusable

        self.assertFalse(run(main))


def response_memory():
    return ResponseMemory(limit=MEMORY_BYTES, counters=Counters())


def server_connections(address, memory, **limits):
    return ServerConnections(
        name="s",
        address=address,
        source_host="",
        limits=PoolLimits(cap=2, **limits),
        clock=SystemClock(),
        rng=Random(1),
        counters=Counters(),
        memory=memory,
    )


class ResponseMemoryTests(TestCase):
    def test_an_answer_without_end_ends_at_the_limit_of_the_instance(self):
        """The entry had a limit for each answer only, of 16 MiB."""
        endless = [b"HTTP/1.1 200 OK\r\n\r\n", *[b"x" * 65536] * 64]

        async def main():
            memory = response_memory()
            async with (
                timeout_after(TEST_TIMEOUT),
                fake_server(endless, [OK]) as address,
            ):
                connections = server_connections(address, memory)
                with self.assertRaises(BackendServerError) as caught:
                    async with await connections.lease(seconds=1) as lease:
                        await lease.request(GET, seconds=TEST_TIMEOUT)
                await connections.close()
            return caught.exception.problem, memory.held

        problem, held = run(main)
        self.assertIn("responses would occupy", problem)
        self.assertEqual(held, 0)


class LateResponseTests(TestCase):
    def test_a_second_response_while_idle_never_reaches_next_request(self):
        """A request, and the probe before a call, took it for their own response."""
        two_copies = [OK, OK.replace(b"ok", b"no")]
        next_response = [OK.replace(b"ok", b"of")]

        async def main(verified):
            async with (
                timeout_after(TEST_TIMEOUT),
                fake_server(two_copies, next_response, pause=0.05) as address,
            ):
                connections = server_connections(
                    address, response_memory(), verified_for=0.0
                )
                bodies = []
                for _ in range(2):
                    lease = await connections.lease(seconds=1, verified=verified)
                    async with lease:
                        response = await lease.request(GET, seconds=TEST_TIMEOUT)
                    bodies.append(response.body)
                    await sleep(0.2)
                await connections.close()
                return bodies

        for verified in (False, True):
            with self.subTest(verified=verified):
                self.assertEqual(run(main, verified), [b"ok", b"ok"])

    def test_a_probe_whose_connection_cannot_go_on_fails(self):
        """The call that followed was lost, although it could have been sent safely."""
        closing = OK.replace(b"Content", b"Connection: close\r\nContent")
        for name, probe_response in (
            ("closes", closing),
            ("fragment of another response", OK + b"HTTP/1.1 2"),
        ):

            async def main(probe_response=probe_response):
                async with (
                    timeout_after(TEST_TIMEOUT),
                    fake_server([OK], [probe_response], [b"00 OK\r\n\r\n"]) as address,
                ):
                    connections = server_connections(
                        address, response_memory(), verified_for=0.0
                    )
                    for _ in range(2):
                        lease = await connections.lease(seconds=1, verified=True)
                        async with lease:
                            response = await lease.request(GET, seconds=TEST_TIMEOUT)
                    await connections.close()
                    return response.body

            with self.subTest(name):
                self.assertEqual(run(main), b"ok")

    def test_late_response_never_reaches_next_request(self):
        late_response = [b"", OK.replace(b"ok", b"no")]

        async def main():
            async with (
                timeout_after(TEST_TIMEOUT),
                fake_server(late_response, [OK], pause=0.1) as address,
            ):
                connections = server_connections(address, response_memory())
                with self.assertRaises(BackendServerError):
                    async with await connections.lease(seconds=1) as lease:
                        await lease.request(GET, seconds=0.05)
                open_after_timeout = connections.pool.open
                await sleep(0.2)
                async with await connections.lease(seconds=1) as lease:
                    self.assertFalse(lease.sent)
                await connections.close()
                return open_after_timeout

        self.assertEqual(run(main), 0)
