"""Tests of savorypond.gateway.foreign_bytes."""

from contextlib import suppress
from dataclasses import replace
from unittest import TestCase

from curio import sleep

from savorypond.gateway.foreign_bytes import DOUBT_TIME, ForeignBytesHistory
from savorypond.gateway.servers import RegisteredServer
from savorypond.http.listener import Listener
from savorypond.model import Address
from savorypond.platform.names import HEADERS
from tests.gateway_loopback import LOOPBACK, FakeServer, RemoteServer, route
from tests.test_gateway_daemon import with_gateway

SERVER = RegisteredServer(
    name="i1",
    service="s1",
    address=Address(host="127.0.0.1", port=1),
    data_centre="a",
    slots=2,
    leaving=False,
    started=1,
)
READ = route("r", "/r/", backend="s1")


class ForeignBytesHistoryTests(TestCase):
    def setUp(self):
        self.history = ForeignBytesHistory()

    def test_a_server_is_doubted_for_some_time(self):
        self.assertFalse(self.history.doubts(SERVER, 5.0))
        self.history.record(SERVER, 5.0)
        self.assertTrue(self.history.doubts(SERVER, 5.0 + DOUBT_TIME - 0.1))
        self.assertFalse(self.history.doubts(SERVER, 5.0 + DOUBT_TIME))

    def test_the_next_incarnation_is_not_doubted(self):
        self.history.record(SERVER, 5.0)
        self.assertFalse(self.history.doubts(replace(SERVER, started=2), 5.0))

    def test_only_servers_that_are_doubted_are_remembered(self):
        for number in range(100):
            self.history.record(replace(SERVER, started=number), float(number))
        self.assertLessEqual(self.history.size, DOUBT_TIME)


class FormlessBytesServer(FakeServer):
    """Sends bytes behind each answer, and then only answers without a length.

    :param shows: whether the first answer has a length, so that the bytes are noticed.
    """

    def __init__(self, name, *, service, shows):
        super().__init__(name, service=service)
        self._shows = shows
        self._server = Listener(address=LOOPBACK, serve=self._serve)

    async def _serve(self, sock, peer):
        async with sock:
            with suppress(OSError):
                while head := await sock.recv(65536):
                    self.requests.append(head)
                    has_length = self._shows and len(self.requests) == 1
                    await sock.sendall(self._response(head, has_length=has_length))
                    await sleep(0.01)
                    await sock.sendall(b"formless")
                    if not has_length:
                        return

    def _response(self, head, *, has_length):
        name = HEADERS.request_id.encode() + b": "
        request_id = head.partition(name)[2].partition(b"\r\n")[0]
        lines = [
            b"HTTP/1.1 200 OK",
            name + request_id,
            HEADERS.signature.encode() + b": i1." + request_id,
        ]
        if has_length:
            lines.append(b"content-length: 2")
        return b"\r\n".join(lines) + b"\r\n\r\nok"


class FormlessBytesTests(TestCase):
    def test_formless_bytes_do_not_join_answers_of_a_server_that_showed_such(self):
        servers = (
            FormlessBytesServer("i1", service="s1", shows=True),
            RemoteServer("i2", service="s1", body=b"ok"),
        )

        @with_gateway(READ, servers=lambda: servers, retry_slack=10_000.0)
        async def ask(self, env):
            for number in range(20):
                response = await env.ask("/r/", request_id=f"r{number}")
                self.assertEqual((response.status, response.body), (200, b"ok"))
                await sleep(0.03)
            self.assertGreater(len(servers[0].requests), 2)

        ask(self)
