"""Tests of malformed messages, stray responses and unexpected errors at a gateway."""

from contextlib import suppress
from json import dumps
from random import Random
from unittest import TestCase
from unittest.mock import patch

from curio import sleep
from curio.socket import AF_INET, SOCK_DGRAM, SOCK_STREAM, socket
from msgspec.msgpack import encode

from savorypond.gateway.connection_pool import ConnectionPools
from savorypond.gateway.delegation_client import decode_group_request
from savorypond.gateway.published_messages import decode_changes
from savorypond.http.client import HttpConnection
from savorypond.http.listener import Listener
from savorypond.http.messages import HttpRequest
from savorypond.platform.names import HEADERS
from savorypond.timeouts import timeout_after
from tests.gateway_loopback import (
    LOOPBACK,
    PEER_PORT,
    FakeServer,
    RemoteServer,
    configuration,
    route,
)
from tests.test_gateway_daemon import with_gateway

READ = route("r", "/r/", backend="s1")
WRITE = route("w", "/w/", backend="s1", type="unsafe")
LATER = route("l", "/l/", backend="s1")
MESSAGES = 200  # malformed messages of each kind
REQUESTS = 40
IN_FORCE_TIME = 5.0  # seconds from a change until it is in force


class RepeatingServer(FakeServer):
    """Sends each response a second time, just ahead of the next response.

    :param echoes_ids: whether its responses carry the id of their request.
    """

    def __init__(self, name, *, service, echoes_ids):
        super().__init__(name, service=service)
        self.sent_copies = 0
        self._echoes_ids = echoes_ids
        self._server = Listener(address=LOOPBACK, serve=self._serve)

    async def _serve(self, sock, peer):
        previous = b""
        async with sock:
            with suppress(OSError):
                while head := await sock.recv(65536):
                    response = self._response(head)
                    await sock.sendall(previous + response)
                    self.sent_copies += bool(previous)
                    previous = response

    def _response(self, head):
        name = HEADERS.request_id.encode() + b": "
        request_id = head.partition(name)[2].partition(b"\r\n")[0]
        lines = [
            b"HTTP/1.1 200 OK",
            f"{HEADERS.signature}: {self.name}.".encode() + request_id,
            b"Content-Length: 2",
        ]
        if self._echoes_ids:
            lines.append(name + request_id)
        return b"\r\n".join(lines) + b"\r\n\r\nok"


class LateRefusalServer(RepeatingServer):
    """Runs each request, and sends a refusal without an id ahead of the next answer.

    :param status: status of the refusal.
    """

    def __init__(self, name, *, service, status):
        super().__init__(name, service=service, echoes_ids=True)
        self._refusal = (
            f"HTTP/1.1 {status} Refused\r\n{HEADERS.not_run}: 1\r\n"
            "Content-Length: 0\r\n\r\n"
        ).encode()

    async def _serve(self, sock, peer):
        late = b""
        async with sock:
            with suppress(OSError):
                while head := await sock.recv(65536):
                    self.requests.append(head)
                    await sock.sendall(late + self._response(head))
                    self.sent_copies += bool(late)
                    late = self._refusal


class SecondCopyTests(TestCase):
    """A late second copy of a response must not answer the next request."""

    def check(self, *, echoes_ids):
        servers = (
            RepeatingServer("i1", service="s1", echoes_ids=echoes_ids),
            RemoteServer("i2", service="s1", body=b"ok"),
        )

        @with_gateway(READ, servers=lambda: servers, retry_slack=5000.0)
        async def ask(self, env):
            for number in range(REQUESTS):
                response = await env.ask("/r/", request_id=f"r{number}")
                self.assertEqual(response.status, 200)
                signature = response.header(HEADERS.signature)
                self.assertEqual(signature.partition(".")[2], f"r{number}")
            self.assertGreater(servers[0].sent_copies, 0)

        ask(self)

    def test_a_copy_with_the_id_of_its_request(self):
        self.check(echoes_ids=True)

    def test_a_copy_without_an_id(self):
        self.check(echoes_ids=False)

    def test_a_late_refusal_does_not_make_a_request_run_twice(self):
        """It counted as the answer to the next request, which was sent again."""
        for status in (503, 421):
            with self.subTest(status):
                self.check_refusal(status)

    def check_refusal(self, status):
        servers = (
            LateRefusalServer("i1", service="s1", status=status),
            LateRefusalServer("i2", service="s1", status=status),
        )

        @with_gateway(WRITE, servers=lambda: servers)
        async def ask(self, env):
            statuses = []
            for number in range(REQUESTS):
                response = await env.ask(
                    "/w/", method="POST", body=b"x", request_id=f"r{number}"
                )
                statuses.append(response.status)
            runs = sum(len(server.requests) for server in servers)
            self.assertEqual(runs, REQUESTS)
            self.assertGreater(sum(server.sent_copies for server in servers), 0)
            self.assertLessEqual(set(statuses), {200, 502})
            self.assertIn(200, statuses)

        ask(self)


class OddHeaderServer(FakeServer):
    """Sends its header fields as they are, byte by byte.

    :param signature: the bytes of its signature.
    """

    def __init__(self, name, *, service, signature, fields=b"", body=b""):
        super().__init__(name, service=service, body=body)
        self._head = (
            b"HTTP/1.1 200 OK\r\n"
            + HEADERS.signature.encode()
            + b": "
            + signature
            + b"\r\n"
            + fields
            + f"Content-Length: {len(body)}\r\n".encode()
        )
        self._server = Listener(address=LOOPBACK, serve=self._serve)

    async def _serve(self, sock, peer):
        async with sock:
            with suppress(OSError):
                while head := await sock.recv(65536):
                    self.requests.append(head)
                    name = HEADERS.request_id.encode() + b": "
                    request_id = head.partition(name)[2].partition(b"\r\n")[0]
                    echo = name + request_id + b"\r\n\r\n"
                    await sock.sendall(self._head + echo + self.body)


def damaged_and_sound_shards():
    return (
        OddHeaderServer("i1", service="s1", signature=b"i1\xae", body=b"a" * 16),
        FakeServer("i2", service="s2", body=b"b" * 16),
    )


def damaged_server():
    return (OddHeaderServer("i1", service="s1", signature=b"i1\xae", body=b"one"),)


def server_with_names():
    fields = b"X-Place: \x8aibenik \t\r\nKeep-Alive: timeout=\xb2\r\n"
    sent = {"signature": b"i1.r1 ", "fields": fields, "body": b"one"}
    return (OddHeaderServer("i1", service="s1", **sent),)


class OddHeaderTests(TestCase):
    """A byte from 0x80 on in a header closed callers' connections without an answer."""

    @with_gateway(
        route("q", "/q/", gather=["s1", "s2"], top_k=2, min_version=0.5),
        servers=damaged_and_sound_shards,
    )
    async def test_a_damaged_signature_costs_only_its_part(self, env):
        response = await env.ask()
        self.assertEqual(response.status, 200)
        self.assertEqual(response.header(HEADERS.part_signatures), "i2.r1")
        self.assertEqual(response.header(HEADERS.missing_parts), "1")

    @with_gateway(READ, servers=damaged_server)
    async def test_an_answer_with_a_damaged_signature_is_an_error(self, env):
        response = await env.ask("/r/1")
        self.assertEqual(response.status, 502)

    @with_gateway(READ, servers=server_with_names)
    async def test_other_headers_are_passed_on_unchanged(self, env):
        response = await env.ask("/r/1")
        self.assertEqual((response.status, response.body), (200, b"one"))
        self.assertEqual(response.header("x-place"), "\x8aibenik")
        self.assertEqual(response.header(HEADERS.signature), "i1.r1")


class MalformedMessageTests(TestCase):
    @with_gateway(READ, servers=lambda: (FakeServer("i1", service="s1"),))
    async def test_malformed_messages_of_peers_leave_the_instance_serving(self, env):
        random = Random(1)
        target = ("127.0.0.1", PEER_PORT)
        async with socket(AF_INET, SOCK_DGRAM) as sock:
            for _ in range(MESSAGES):
                await sock.sendto(random.randbytes(random.randrange(200)), target)
        for path in ("/peer/delegated", "/peer/published?after=x", "/", "//?"):
            for _ in range(MESSAGES // 10):
                body = random.randbytes(random.randrange(100))
                head = f"POST {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                head += f"Content-Length: {len(body)}\r\n\r\n"
                async with socket(AF_INET, SOCK_STREAM) as sock:
                    await sock.connect(target)
                    await sock.sendall(head.encode() + body)
                    self.assertRegex(await sock.recv(65536), rb"^HTTP/1.1 [245]")
        self.assertEqual((await env.ask("/r/")).status, 200)
        env.store.put("op/config", configuration(READ, LATER, version=2))
        await env.wait_until(lambda: env.gateway.version == 2)

    @with_gateway(READ, servers=lambda: (FakeServer("i1", service="s1"),))
    async def test_malformed_items_in_the_store_name_no_server(self, env):
        random = Random(2)
        values = [b"", b"{", b"[]", b"null", b"\xff\xfe", b'{"backend": 5}']
        values += [random.randbytes(30) for _ in range(20)]
        for number, value in enumerate(values):
            env.store.put_bytes(f"servers/x{number}", value)
            env.store.put_bytes("op/config", value)
        env.store.put("op/config", configuration(READ, LATER, version=3))
        await env.wait_until(lambda: env.gateway.version == 3)
        self.assertEqual([s.name for s in env.gateway.servers("s1")], ["i1"])
        self.assertEqual((await env.ask("/l/")).status, 200)


def odd_entries(entry):
    """Return documents of another writer, made from the entry of a server."""
    entry = {**entry, "address": "127.0.0.1:9"}
    changes: list[dict[str, object]] = [
        {"address": address}
        for address in (
            "127.0.0.1:70000",
            "127.0.0.1:0",
            "127.0.0.1:" + "9" * 5000,
            "127.0.0.300:80",
            "127.0.0.1\0:80",
            "a\nb:80",
            "host:80",
        )
    ]
    changes += [
        {field: number}
        for field in ("born", "max_concurrency", "warmup_left_ms")
        for number in (2**64, 10**30, 10**400, -(10**400))
    ]
    changes += [{"zone": "a" * 100_000}, {"backend": ["s1"]}, {"phase": "p" * 10_000}]
    documents = [dumps({**entry, **change}).encode() for change in changes]
    nested = b"[" * 100_000 + b"]" * 100_000
    return [*documents, nested, dumps(entry)[:-1].encode() + b', "x": ' + nested + b"}"]


class OddEntryTests(TestCase):
    @with_gateway(READ, servers=lambda: (FakeServer("i1", service="s1"),))
    async def test_an_incomplete_entry_does_not_move_a_server_to_a_service(self, env):
        other = FakeServer("i2", service="s2")
        async with other:
            fields = ("backend", "address", "phase")
            entry = {name: other.entry(backend="s1")[name] for name in fields}
            env.store.put("servers/i2", entry)
            env.store.put("op/config", configuration(READ, LATER, version=2))
            await env.wait_until(lambda: env.gateway.version == 2)
            self.assertEqual([s.name for s in env.gateway.servers("s1")], ["i1"])

    @with_gateway(READ, servers=lambda: (FakeServer("i1", service="s1"),))
    async def test_odd_entries_among_the_registrations_harm_nothing_else(self, env):
        entry = env.servers[0].entry()
        for number, document in enumerate(odd_entries(entry)):
            env.store.put_bytes(f"servers/x{number}", document)
        for name in ("a b", "a\nb", "\u0161", "", "x" * 201):
            env.store.put(f"servers/{name}", entry)
        env.store.put("op/config", configuration(READ, LATER, version=2))
        async with timeout_after(IN_FORCE_TIME):
            await env.wait_until(lambda: env.gateway.version == 2)
        self.assertEqual([s.name for s in env.gateway.servers("s1")], ["i1"])
        async with HttpConnection(address=env.gateway.peer_address) as connection:
            request = HttpRequest(method="GET", path="/peer/published")
            response = await connection.request(request)
        self.assertEqual(decode_changes(response.body).table.version, 2)
        async with timeout_after(IN_FORCE_TIME):
            self.assertEqual((await env.ask("/l/")).status, 200)

    @with_gateway(READ, servers=lambda: (FakeServer("i1", service="s1"),))
    async def test_odd_configurations_are_not_taken(self, env):
        odd_values = [
            b'{"version": 9, "routes": [], "x": ' + b"[" * 100_000 + b"]" * 100_000,
            dumps(configuration(READ, version=2**64)).encode(),
            dumps(configuration({**READ, "timeout_ms": 10**400}, version=9)).encode(),
            dumps(configuration({**READ, "priority": 2**64}, version=9)).encode(),
        ]
        for value in odd_values:
            env.store.put_bytes("op/config", value)
            await sleep(0.05)
        env.store.put("op/config", configuration(READ, LATER, version=2))
        async with timeout_after(IN_FORCE_TIME):
            await env.wait_until(lambda: env.gateway.version == 2)
        self.assertEqual((await env.ask("/l/")).status, 200)


class EarlierVersionTests(TestCase):
    def test_a_delegation_of_an_instance_before_follow_ups_is_read(self):
        """Instances of two versions serve together while they are replaced."""
        message = {
            "method": "GET",
            "path": "/q/1",
            "headers": [],
            "body": b"",
            "request_id": "r1",
            "route": {
                "name": "q",
                "host": "shop.example",
                "prefix": "/q/",
                "idempotent": True,
                "time_limit": 1.0,
                "goal": 0.1,
                "shards": ["s1"],
            },
            "version": 1,
            "left": 1.0,
            "within": 0.1,
        }
        request = HttpRequest(
            method="POST", path="/peer/delegated", body=encode(message)
        )
        self.assertEqual(decode_group_request(request).number, 0)


class UnexpectedErrorTests(TestCase):
    @with_gateway(READ, servers=lambda: (FakeServer("i1", service="s1"),))
    async def test_an_unexpected_error_in_an_attempt_ends_its_request(self, env):
        error = ValueError("unexpected")
        with patch.object(ConnectionPools, "lease", side_effect=error):
            async with timeout_after(IN_FORCE_TIME):
                self.assertEqual((await env.ask("/r/")).status, 502)
        self.assertEqual((await env.ask("/r/", request_id="r2")).status, 200)

    @with_gateway(READ, servers=lambda: (FakeServer("i1", service="s1"),))
    async def test_reading_goes_on_after_an_unexpected_error(self, env):
        feed = env.gateway._feed
        apply_changes = feed._apply_changes
        errors = [ZeroDivisionError("unexpected")]

        def fail_once(changes, *, source):
            if errors:
                raise errors.pop()
            apply_changes(changes, source=source)

        feed._apply_changes = fail_once
        env.store.put("op/config", configuration(READ, LATER, version=2))
        await env.wait_until(lambda: env.gateway.version == 2)
        self.assertEqual(errors, [])
