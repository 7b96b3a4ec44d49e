"""Tests of savorypond.controllers.health."""

from random import Random
from types import SimpleNamespace
from unittest import TestCase
from unittest.mock import MagicMock

from curio import run
from msgspec import DecodeError

from savorypond.clock import SystemClock
from savorypond.controllers.health import (
    HealthInterval,
    HealthPoller,
    read_health_answer,
)
from savorypond.http.messages import HttpResponse, json_response
from savorypond.model import Counters
from savorypond.timeouts import timeout_after
from tests.fanout_fakes import make_service
from tests.test_http_client import (
    OK,
    TEST_TIMEOUT,
    fake_server,
    response_memory,
    server_connections,
)

READY = {"state": "ready", "held": [{"snapshot": 7, "layout": 1, "shards": ["a"]}]}


class HealthAnswerTests(TestCase):
    def test_a_success_says_what_a_server_holds(self):
        answer = read_health_answer(json_response(READY))
        self.assertEqual((answer.state, len(answer.held)), ("ready", 1))

    def test_a_failure_is_no_evidence_that_a_server_is_ready(self):
        """A body such as that of a success counted with any status."""
        for status in (302, 404, 429, 500, 503):
            with self.subTest(status):
                self.assertIsNone(
                    read_health_answer(json_response(READY, status=status))
                )

    def test_a_server_may_say_with_any_status_that_it_drains(self):
        answer = read_health_answer(json_response({"state": "draining"}, status=503))
        self.assertEqual(answer.state, "draining")

    def test_another_body_is_malformed(self):
        with self.assertRaises(DecodeError):
            read_health_answer(HttpResponse(status=503, body=b"unavailable"))


class PollTests(TestCase):
    def test_an_answer_to_another_request_ends_its_connection(self):
        """The answer to the poll came later, in place of that of the next request."""

        async def main():
            async with timeout_after(TEST_TIMEOUT), fake_server([OK]) as address:
                connections = server_connections(address, response_memory())
                counters = Counters()
                poller = HealthPoller(
                    servers=MagicMock(known={"s/0": MagicMock()}),
                    pools=SimpleNamespace(connections=lambda name: connections),
                    drain_detector=MagicMock(),
                    clock=SystemClock(),
                    rng=Random(1),
                    counters=counters,
                    interval=HealthInterval(),
                    owns=lambda service: True,
                )
                await poller.poll_now([make_service("s", replicas=1)])
                return counters.value("health_failures", "malformed"), connections.pool

        malformed, pool = run(main)
        self.assertEqual((malformed, pool.open), (1, 0))
