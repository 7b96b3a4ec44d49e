"""Tests of savorypond.queries.shard_calls."""

from dataclasses import replace
from types import SimpleNamespace
from unittest import TestCase

from curio import Queue, run
from msgspec.json import decode, encode

from savorypond.clock import SystemClock
from savorypond.http.listener import Listener
from savorypond.http.messages import Header, HttpResponse
from savorypond.model import Address, Counters
from savorypond.protocols import Purpose
from savorypond.queries.attempts import Attempt, FailureKind
from savorypond.queries.partials import ShedAnswer
from savorypond.queries.shard_calls import ShardCaller, refusal_failure
from savorypond.timeouts import timeout_after
from tests.fanout_fakes import PIN, make_answer, make_query, make_service
from tests.test_calls_connection import fake_servers, response
from tests.test_http_client import TEST_TIMEOUT, response_memory, server_connections


def shed(retry_after):
    headers = (
        () if retry_after is None else (Header(name="retry-after", value=retry_after),)
    )
    body = encode(ShedAnswer(reason="queue-full", execution="not-run"))
    return HttpResponse(status=503, headers=headers, body=body)


class RefusalTests(TestCase):
    def test_a_shed_passes_on_when_to_retry(self):
        cases = {
            "2": 2.0,
            "0.25": 0.25,
            None: None,
            "soon": None,
            "nan": None,
            "-1": None,
        }
        for value, seconds in cases.items():
            with self.subTest(value):
                failure = refusal_failure(shed(value), "a", "q0")
                self.assertEqual(failure.kind, FailureKind.SHED)
                self.assertTrue(failure.not_run)
                self.assertEqual(failure.retry_after, seconds)


SERVICE = make_service("s")
ATTEMPT = Attempt(
    number=1,
    service=SERVICE,
    server=replace(SERVICE.backend_servers[0], name="s"),
    shards=frozenset({"s-0"}),
    pin=PIN,
    purpose=Purpose.FIRST,
)


class Recorder:
    """Puts the outcome of each attempt on a queue."""

    def __init__(self):
        self.outcomes = Queue()

    async def dispatched(self, attempt):
        pass

    async def answered(self, attempt, answer):
        await self.outcomes.put(answer.request_id)

    async def failed(self, attempt, failure):
        await self.outcomes.put(failure.kind)


class StutteringServer:
    """Sends, on its first connection, each answer in place of the next one.

    The copy leaves before the answer that it comes in place of, so that no input waits
    while the connection is idle.
    """

    def __init__(self, make_response):
        self._make_response = make_response
        self._listener = Listener(
            address=Address(host="127.0.0.1", port=0), serve=self._serve
        )
        self.connections = 0

    async def __aenter__(self):
        await self._listener.__aenter__()
        return self._listener.address

    async def __aexit__(self, *reason):
        await self._listener.__aexit__()

    async def _serve(self, sock, peer):
        self.connections += 1
        stutters = self.connections == 1
        previous = None
        async with sock:
            while data := await sock.recv(65536):
                request_id = decode(data.partition(b"\r\n\r\n")[2])["request_id"]
                own = self._make_response(request_id)
                await sock.sendall(previous if stutters and previous else own)
                previous = own


def answered(request_id):
    return response(200, encode(make_answer(ATTEMPT, request_id=request_id)))


class StutteringServerTests(TestCase):
    QUERIES = ("q0", "q1", "q2", "q3")

    def outcomes(self, make_response):
        """Send one query after the other; return their outcomes."""

        async def main():
            server = StutteringServer(make_response)
            async with timeout_after(TEST_TIMEOUT), server as address:
                connections = server_connections(address, response_memory())
                clock = SystemClock()
                caller = ShardCaller(
                    servers=fake_servers(),
                    connections=SimpleNamespace(connections=lambda name: connections),
                    clock=clock,
                    counters=Counters(),
                )
                events = Recorder()
                outcomes = []
                async with caller:
                    for request_id in self.QUERIES:
                        await caller.start(
                            ATTEMPT,
                            query=replace(make_query(), request_id=request_id),
                            deadline=clock.now() + TEST_TIMEOUT,
                            events=events,
                        )
                        outcomes.append(await events.outcomes.get())
                        await caller.drain()
                await connections.close()
                return outcomes

        return run(main)

    def test_an_answer_to_another_query_ends_its_connection(self):
        """Each query got the answer to the one before, without end."""
        self.assertEqual(self.outcomes(answered), ["q0", "q0", "q2", "q3"])

    def test_a_late_refusal_of_another_query_is_not_believed(self):
        """The server seemed to lack the snapshot of a query that it answered."""
        for status, kind, body in (
            (503, FailureKind.SHED, {"execution": "not-run"}),
            (
                409,
                FailureKind.SNAPSHOT_NOT_HELD,
                {"reason": "snapshot-not-held", "held": []},
            ),
        ):

            def refuse_first(request_id, status=status, body=body):
                if request_id != "q0":
                    return answered(request_id)
                return response(status, encode({**body, "request_id": request_id}))

            with self.subTest(status):
                self.assertEqual(
                    self.outcomes(refuse_first),
                    [kind, FailureKind.INVALID_ANSWER, "q2", "q3"],
                )
