"""Tests of savorypond.gateway.transit_delay."""

from unittest import TestCase
from unittest.mock import patch

from curio import sleep
from curio.socket import AF_INET, SOCK_STREAM, socket
from msgspec.msgpack import encode

from savorypond.clock import SystemClock
from savorypond.gateway import handler
from savorypond.gateway.delegation_client import GroupRequest
from savorypond.gateway.routes import Route
from savorypond.gateway.transit_delay import (
    CLOSE_WAIT,
    MAX_PEERS,
    REMEMBERED_MESSAGES,
    TransitDelays,
)
from savorypond.http.messages import Header
from savorypond.platform.names import HEADERS
from tests.test_gateway_daemon import QUERY, shards, with_gateway

LONG_WAIT = 1.0  # seconds
DELAY = 0.6  # seconds, as after a packet that was lost twice


class TransitDelaysTests(TestCase):
    def setUp(self):
        self.delays = TransitDelays()

    def record(self, sent_at, received_at, *, peer="10.0.0.1"):
        return self.delays.record(peer, sent_at=sent_at, received_at=received_at)

    def test_the_offset_of_the_clocks_does_not_count(self):
        for offset in (-1e6, 0.0, 1e6):
            peer = str(offset)
            self.assertEqual(self.record(1.0, 1.25 + offset, peer=peer), 0.0)
            self.assertEqual(self.record(2.0, 2.25 + offset, peer=peer), 0.0)
            self.assertEqual(self.record(3.0, 3.75 + offset, peer=peer), 0.5)
            self.assertEqual(self.record(4.0, 4.25 + offset, peer=peer), 0.0)

    def test_messages_of_a_suspended_sender_are_late_only_for_a_while(self):
        self.record(1.0, 1.0)
        delays = [self.record(n, n + 5.0) for n in range(2, 3 + REMEMBERED_MESSAGES)]
        self.assertEqual(delays[0], 5.0)
        self.assertEqual(delays[-1], 0.0)

    def test_memory_is_bounded(self):
        for number in range(2 * MAX_PEERS):
            self.record(0.0, 0.0, peer=str(number))
        self.assertEqual(len(self.delays._differences), MAX_PEERS)


class DelayedDelegationTests(TestCase):
    """A delegated message is sent again after a loss; its sender has given up."""

    def message(self, number, *, delay):
        route = Route(
            name="q",
            host="shop.example",
            prefix="/q/",
            idempotent=True,
            time_limit=15.0,
            goal=10.0,
            shards=("s1", "s2"),
            top=2,
        )
        body = encode(
            GroupRequest(
                method="GET",
                path="/q/1",
                headers=(Header(name=HEADERS.request_id, value=f"r{number}"),),
                body=b"",
                request_id=f"r{number}",
                route=route,
                version=1,
                number=number,
                left=15.0,
                within=10.0,
                sent_at=SystemClock().now() - delay,
            )
        )
        head = "POST /peer/delegated HTTP/1.1\r\nHost: h\r\n"
        return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body

    async def delegate(self, env, number, *, delay, leaves):
        address = env.gateway.peer_address
        async with socket(AF_INET, SOCK_STREAM) as sock:
            await sock.connect((address.host, address.port))
            await sock.sendall(self.message(number, delay=delay))
            if leaves:
                await sleep(0.2 * CLOSE_WAIT)  # the handler has started
                return b""
            return await sock.recv(65536)

    def sent(self, env):
        return [len(server.requests) for server in env.servers]

    @with_gateway(QUERY, servers=shards())
    async def test_nothing_is_sent_for_a_sender_that_gave_up_meanwhile(self, env):
        for number in range(3):
            await self.delegate(env, number, delay=0.0, leaves=False)
        self.assertEqual(self.sent(env), [3, 3])
        # The close must come in time on a busy computer as well.
        with patch.object(handler, "CLOSE_WAIT", LONG_WAIT):
            await self.delegate(env, 3, delay=DELAY, leaves=True)
            await sleep(1.5 * LONG_WAIT)
        self.assertEqual(self.sent(env), [3, 3])

    @with_gateway(QUERY, servers=shards())
    async def test_a_delayed_message_is_answered_if_its_sender_waits(self, env):
        await self.delegate(env, 0, delay=0.0, leaves=False)
        answer = await self.delegate(env, 1, delay=DELAY, leaves=False)
        self.assertIn(b" 200 ", answer.partition(b"\r\n")[0])
        self.assertEqual(self.sent(env), [2, 2])
