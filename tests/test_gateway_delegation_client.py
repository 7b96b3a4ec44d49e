"""Tests of savorypond.gateway.delegation_client."""

from contextlib import suppress
from dataclasses import replace
from itertools import count
from random import Random
from unittest import TestCase

from curio import TaskTimeout, run, sleep

from savorypond.clock import SystemClock
from savorypond.gateway.connection_pool import ConnectionPools
from savorypond.gateway.delegation import ShardGroup
from savorypond.gateway.delegation_client import DelegationClient, group_response
from savorypond.gateway.leaving_servers import LeavingServer
from savorypond.gateway.peers import DELEGATED_PATH, PeerClient
from savorypond.gateway.reader_selection import ReaderSelection
from savorypond.http.listener import Listener
from savorypond.http.messages import Header, HttpRequest, HttpResponse
from savorypond.model import Address, Counters, Instance
from savorypond.platform.names import HEADERS
from savorypond.timeouts import timeout_after
from tests.gateway_loopback import LOOPBACK
from tests.test_http_client import TEST_TIMEOUT

PEER = Instance(
    name="b1",
    data_centre="b",
    peer_address=Address(host="127.0.0.1", port=1),
    incarnation=1,
)
GROUP = ShardGroup(peer=PEER, shards=(0, 1))


class GroupResponseTests(TestCase):
    """A group without an answer may be refused as not run only if that is true."""

    def decode(self, response):
        client = DelegationClient(
            names=HEADERS,
            timing=None,
            policy=None,
            client=None,
            peers=None,
            clock=None,
            counters=Counters(),
        )
        return client._decode(GROUP, 1, response)

    def may_have_run(self, **fields):
        response = group_response(
            HttpResponse(status=200),
            answered=(),
            pending=(),
            shares={},
            rate_limited=True,
            **fields,
        )
        result = self.decode(response)
        self.assertTrue(result.rate_limited)
        return result.may_have_run

    def test_an_instance_says_whether_servers_may_have_run_its_group(self):
        self.assertTrue(self.may_have_run(may_have_run=True))
        self.assertFalse(self.may_have_run(may_have_run=False))

    def test_an_instance_of_an_earlier_version_promises_nothing(self):
        result = self.decode(HttpResponse(status=200))
        self.assertTrue(result.may_have_run)

    def test_an_instance_names_the_leaving_servers_of_its_group(self):
        leaving = (LeavingServer(name="a=,;~", service="s\u00e9", started=2**62),)
        response = group_response(
            HttpResponse(status=200),
            answered=(),
            pending=(),
            shares={},
            rate_limited=False,
            may_have_run=True,
            leaving=leaving,
        )
        self.assertEqual(self.decode(response).leaving, leaving)

    def test_leaving_servers_that_cannot_be_read_fail_the_group(self):
        for value in ("?", "AA", "AAAA", "kQ==", "\xe9"):
            with self.subTest(value=value):
                header = Header(name="peer-leaving", value=value)
                result = self.decode(HttpResponse(status=200, headers=(header,)))
                self.assertTrue(result.problem)
                self.assertEqual(result.leaving, ())


class StutteringPeerTests(TestCase):
    """Replies of peers have no id; they go by the connection.

    A second one between a request and its reply would be taken for that, but servers
    of this project send one for each request (tests.test_http_server).
    """

    TIMEOUT = 0.2  # seconds

    def replies(self, reply):
        """Send three requests, ``reply`` answering them; return the replies."""
        numbers = count()

        async def serve(sock, peer):
            with suppress(ConnectionError):
                async with sock:
                    while await sock.recv(65536):
                        number = next(numbers)
                        await reply(sock, number, _reply_bytes(number))

        async def send(client, peer):
            request = HttpRequest(method="POST", path=DELEGATED_PATH, body=b"group")
            try:
                async with timeout_after(self.TIMEOUT):
                    return (await client.send(peer, request)).body
            except TaskTimeout:
                return None

        async def main():
            clock = SystemClock()
            pools = ConnectionPools(
                source_host="",
                connection_limit=lambda service: 2,
                clock=clock,
                counters=Counters(),
            )
            listener = Listener(address=LOOPBACK, serve=serve)
            async with timeout_after(TEST_TIMEOUT), listener, pools:
                peer = replace(PEER, peer_address=listener.address)
                client = PeerClient(
                    pools=pools,
                    peers=lambda: [peer],
                    reader_selection=ReaderSelection(own_name="a1", data_centre="a"),
                    clock=clock,
                    random=Random(1),
                )
                replies = []
                for _ in range(3):
                    replies.append(await send(client, peer))
                    await sleep(0.1)
                return replies

        return run(main)

    def test_a_reply_after_its_time_is_not_that_of_the_next_group(self):
        async def late(sock, number, data):
            if number == 0:
                await sleep(1.25 * self.TIMEOUT)
            await sock.sendall(data)

        self.assertEqual(self.replies(late), [None, b"1", b"2"])

    def test_a_second_reply_is_not_that_of_the_next_group(self):
        async def with_reply(sock, number, data):
            await sock.sendall(data + data)

        async def while_idle(sock, number, data):
            await sock.sendall(data)
            await sleep(0.02)
            await sock.sendall(data)

        async def fragment(sock, number, data):
            await sock.sendall(data)
            await sleep(0.02)
            await sock.sendall(data[:9])

        for reply in (with_reply, while_idle, fragment):
            with self.subTest(reply.__name__):
                self.assertEqual(self.replies(reply), [b"0", b"1", b"2"])


def _reply_bytes(number):
    return b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d" % number
