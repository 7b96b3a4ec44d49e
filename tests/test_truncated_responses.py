"""Tests of backend servers that close in the middle of the head of a response."""

from contextlib import suppress
from unittest import TestCase

from msgspec import DecodeError
from msgspec.json import Decoder

from savorypond.calls.connection import CallAnswer
from savorypond.config.platform_client import _InstanceListing, _StoredValue
from savorypond.controllers.health import HealthAnswer
from savorypond.exceptions import ResponseError, WireError
from savorypond.http.listener import Listener
from savorypond.http.response_parser import ResponseParser
from savorypond.platform.names import HEADERS
from savorypond.platform.store import _KeyResponse, _RangeResponse, _WatchResponse
from savorypond.queries.partials import ShedAnswer, decode_answer, decode_not_held
from tests.gateway_loopback import LOOPBACK, FakeServer, RemoteServer, route
from tests.test_gateway_daemon import with_gateway

SIGNED = (
    f"HTTP/1.1 200 OK\r\n{HEADERS.signature}: bad.r1\r\n{HEADERS.request_id}: r1\r\n"
)
HEADS = {
    "length": f"{SIGNED}Content-Length: 16\r\n\r\n",
    "length first": SIGNED.replace("\r\n", "\r\nContent-Length: 16\r\n", 1) + "\r\n",
    "chunks": f"{SIGNED}Transfer-Encoding: chunked\r\n\r\n",
    "until the close": f"{SIGNED}Content-Type: text/plain\r\n\r\n",
    "no body": SIGNED.replace("200", "204") + "\r\n",
    "informational": f"HTTP/1.1 103 Early Hints\r\n\r\n{SIGNED}\r\n",
    "earlier version": SIGNED.replace("1.1", "1.0") + "\r\n",
}
READ = route("r", "/r/", backend="s1")
WRITE = route("w", "/w/", backend="s3", type="unsafe")
QUERY = route("q", "/q/", gather=["s1", "s2"], top_k=2, min_version=1.0)


class TruncatingServer(FakeServer):
    """Sends some bytes as its response and closes."""

    def __init__(self, name, *, service, response):
        super().__init__(name, service=service)
        self._response = response.encode()
        self._server = Listener(address=LOOPBACK, serve=self._send)

    async def _send(self, sock, peer):
        # An unused connection may be reset.
        async with sock:
            with suppress(ConnectionResetError):
                if data := await sock.recv(65536):
                    self.requests.append(data)
                    await sock.sendall(self._response)


def truncations():
    """Yield heads that end behind a complete line, in a line and before the end."""
    for name, head in HEADS.items():
        for cut in (head.rindex("\r\n", 0, -2) + 2, head.index("\r\n") - 4, -1):
            yield name, head[:cut]


def decodes(decode, body):
    try:
        decode(body)
    except (DecodeError, WireError):
        return False
    return True


class FilledUpDocumentTests(TestCase):
    """A body that breaks off may be filled up by the response that follows it.

    The client cannot notice that, nor the end of a body without a length. A document in
    JSON is then no document, since a status line is none within and outside of text.
    """

    DOCUMENTS = (
        (
            lambda body: decode_answer(body, server="s"),
            b'{"request_id":"q","snapshot":7,"layout":1,"partials":'
            b'[{"shard":"a","count":2,"results":["x",1.5]}],"complete":true}',
        ),
        (
            lambda body: decode_not_held(body, server="s"),
            b'{"reason":"snapshot-not-held","held":'
            b'[{"snapshot":6,"layout":1,"shards":["a"]}]}',
        ),
        (Decoder(ShedAnswer).decode, b'{"execution":"not-run","request_id":"q"}'),
        (Decoder(CallAnswer).decode, b'{"request_id":"c","result":{"a":"b"}}'),
        (Decoder(HealthAnswer).decode, b'{"state":"ready","held":[]}'),
        (
            Decoder(_WatchResponse).decode,
            b'{"events":[{"key":"k","revision":8,"value":"YWJj"}],"as_of":8}',
        ),
        (
            Decoder(_RangeResponse).decode,
            b'{"items":[{"key":"k","revision":8,"value":"YWJj"}],"as_of":8}',
        ),
        (
            Decoder(_KeyResponse).decode,
            b'{"key":"k","revision":8,"as_of":8,"value":"YWJj"}',
        ),
        (
            Decoder(_StoredValue).decode,
            b'{"key":"k","revision":8,"value":{"routes":["a b"]}}',
        ),
        (Decoder(_InstanceListing).decode, b'{"instances":[{"name":"a"}]}'),
    )

    def test_a_document_is_not_filled_up_by_the_next_response(self):
        for decode, body in self.DOCUMENTS:
            for ending in (b"", b"\n"):
                whole = body + ending
                head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(whole)
                self.assertTrue(decodes(decode, whole))
                for size in range(len(body)):
                    filled = whole[:size] + (head + whole)[: len(whole) - size]
                    with self.subTest(filled):
                        self.assertFalse(decodes(decode, filled))

    def test_a_document_without_a_length_does_not_take_in_the_next_response(self):
        for decode, body in self.DOCUMENTS:
            for size in range(1, len(SIGNED)):
                with self.subTest(body, size=size):
                    self.assertFalse(decodes(decode, body + SIGNED[:size].encode()))


class ParserTests(TestCase):
    def test_a_head_without_its_end_is_no_response(self):
        for name, head in HEADS.items():
            for size in range(len(head)):
                for step in (1, len(head)):
                    with self.subTest(name, size=size, step=step):
                        parser = ResponseParser(method="GET")
                        for start in range(0, size, step):
                            parser.feed(head[start : min(start + step, size)].encode())
                        self.assertFalse(parser.complete)
                        with self.assertRaises(ResponseError):
                            parser.feed_eof()


class GatewayTests(TestCase):
    def test_callers_get_no_success_from_a_server_that_closed_in_the_head(self):
        for name, head in truncations():
            with self.subTest(name, head=head):
                self.check(head)

    def check(self, head):
        def servers():
            return (
                TruncatingServer("bad", service="s1", response=head),
                RemoteServer("good", service="s1", body=b"a" * 16),
                FakeServer("other", service="s2", body=b"b" * 16),
                TruncatingServer("only", service="s3", response=head),
            )

        @with_gateway(READ, WRITE, QUERY, servers=servers, retry_slack=10_000.0)
        async def ask(self, env):
            response = await env.ask("/w/", method="POST", request_id="r1")
            self.assertEqual(response.status, 502)
            bad = env.servers[0]
            for number in range(40):
                response = await env.ask("/r/", request_id=f"r{number}")
                self.assertEqual((response.status, response.body), (200, b"a" * 16))
                response = await env.ask("/q/", request_id=f"q{number}")
                self.assertEqual(response.body, b"b" * 16 + b"a" * 16)
                signatures = response.header(HEADERS.part_signatures).split(", ")
                self.assertEqual(
                    set(signatures), {f"good.q{number}", f"other.q{number}"}
                )
                if len(bad.requests) >= 2:
                    break
            self.assertTrue(bad.requests)
            self.assertEqual(len(env.servers[-1].requests), 1)

        ask(self)
