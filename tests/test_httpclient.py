from dataclasses import dataclass
from unittest import TestCase

from curio import run, sleep, spawn, tcp_server_socket, timeout_after

from savorypond.exceptions import BackendServerError
from savorypond.httpclient import HttpConnection
from savorypond.httptypes import HttpRequest
from savorypond.model import Address

HANG = 30  # seconds after which a test that hangs is ended
ASK = HttpRequest(method="GET", path="/")
HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n"


@dataclass(frozen=True)
class Case:
    """What the other end sends, piece by piece, and what comes of it.

    :param body: the body taken, or None where the request fails.
    """

    name: str
    pieces: tuple[bytes, ...]
    body: bytes | None
    reusable: bool = False
    closes: bool = False


CASES = [
    Case("whole", (HEAD + b"hello",), b"hello", reusable=True),
    Case(
        "a byte a packet",
        tuple(bytes([one]) for one in HEAD + b"hello"),
        b"hello",
        reusable=True,
    ),
    Case("longer than declared", (HEAD + b"hello and more",), b"hello"),
    Case("shorter than declared", (HEAD + b"hel",), None, closes=True),
    Case("closed before the answer", (), None, closes=True),
    Case("closed inside the head", (HEAD[:20],), None, closes=True),
    Case("not HTTP", (b"hello\r\n\r\n",), None),
    Case(
        "says it closes",
        (HEAD.replace(b"OK\r\n", b"OK\r\nconnection: close\r\n") + b"hello",),
        b"hello",
    ),
]


async def serve_once(listener, case):
    sock, _ = await listener.accept()
    async with sock:
        await sock.recv(65536)
        for piece in case.pieces:
            await sock.sendall(piece)
            await sleep(0)
        if not case.closes:
            await sock.recv(65536)  # until the client closes


async def outcome(case):
    """Return the body, or None, and whether the connection may be used again."""
    async with timeout_after(HANG), tcp_server_socket("127.0.0.1", 0) as listener:
        host, port = listener.getsockname()[:2]
        server = await spawn(serve_once, listener, case)
        connection = HttpConnection(address=Address(host=host, port=port))
        async with connection:
            try:
                body = (await connection.request(ASK)).body
            except BackendServerError as error:
                body = None
                if not error.sent:
                    raise
            reusable = connection.reusable
        await server.join()
        return body, reusable


class ResponseTests(TestCase):
    def test_each_way_to_answer(self):
        for case in CASES:
            with self.subTest(case.name):
                self.assertEqual(run(outcome, case), (case.body, case.reusable))

    def test_a_request_that_was_cut_off_leaves_no_reusable_connection(self):
        async def main():
            async with timeout_after(HANG), tcp_server_socket("127.0.0.1", 0) as sock:
                host, port = sock.getsockname()[:2]
                server = await spawn(serve_once, sock, Case("silent", (), None))
                address = Address(host=host, port=port)
                async with HttpConnection(address=address) as connection:
                    asking = await spawn(connection.request, ASK)
                    while not connection.sent:
                        await sleep(0)
                    await asking.cancel()
                    reusable = connection.reusable
                await server.join()
                return reusable

        self.assertFalse(run(main))
