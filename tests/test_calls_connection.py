"""Tests of savorypond.calls.connection."""

from types import SimpleNamespace
from unittest import TestCase
from unittest.mock import AsyncMock, MagicMock

from curio import run

from savorypond.balancing.pool import ConnectionOutcome
from savorypond.calls.connection import CallConnection, CallRequest
from savorypond.calls.events import ConnectionLost, ReportedNotRun, Result
from savorypond.clock import SystemClock
from savorypond.timeouts import timeout_after
from tests.test_http_client import (
    TEST_TIMEOUT,
    fake_server,
    response_memory,
    server_connections,
)


def response(status, body):
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body)


def refusal(request_id=None):
    named = b"" if request_id is None else b', "request_id": "%b"' % request_id
    return response(503, b'{"execution": "not-run"%b}' % named)


def answer(request_id):
    return response(200, b'{"request_id": "%b", "result": 1}' % request_id)


def fake_servers():
    """Return a stand-in for the controller of the one backend server."""
    known = SimpleNamespace(slot_pool=MagicMock(acquire=AsyncMock()))
    known.slot_pool.acquire.return_value = MagicMock(release=AsyncMock())
    servers = MagicMock(known={"s": known})
    servers.chooser.choose.return_value = SimpleNamespace(name="s")
    return servers


class RefusedCallTests(TestCase):
    def calls(self, *responses):
        """Send one call for each response, on one connection; return the events."""

        async def main():
            async with (
                timeout_after(TEST_TIMEOUT),
                fake_server(*([one] for one in responses)) as address,
            ):
                connections = server_connections(address, response_memory())
                events = []
                for number in range(len(responses)):
                    events.append(await self.call(f"c{number}", connections))
                await connections.close()
                return events

        return run(main)

    async def call(self, request_id, connections):
        clock = SystemClock()
        connection = CallConnection(
            request=CallRequest(
                request_id=request_id,
                service=SimpleNamespace(priority=0),
                payload={},
                deadline=clock.now() + TEST_TIMEOUT,
            ),
            servers=fake_servers(),
            connections=SimpleNamespace(connections=lambda name: connections),
            clock=clock,
        )
        await connection.acquire(frozenset())
        event = await connection.write(TEST_TIMEOUT)
        await connection._lease.release(ConnectionOutcome.ANSWERED)
        return event

    def test_a_late_refusal_is_not_taken_for_that_of_the_next_call(self):
        """The call was sent to another server although this one ran it."""
        first, second = self.calls(answer(b"c0"), refusal())
        self.assertIsInstance(first, Result)
        self.assertIsInstance(second, ConnectionLost)
        _, second = self.calls(answer(b"c0"), refusal(b"c0"))
        self.assertIsInstance(second, ConnectionLost)

    def test_a_refusal_of_the_call_is_believed(self):
        _, second = self.calls(answer(b"c0"), refusal(b"c1"))
        self.assertIsInstance(second, ReportedNotRun)

    def test_the_first_refusal_on_a_connection_needs_no_id(self):
        (first,) = self.calls(refusal())
        self.assertIsInstance(first, ReportedNotRun)
