"""Tests of savorypond.controllers.health."""

from unittest import TestCase

from msgspec import DecodeError

from savorypond.controllers.health import read_health_answer
from savorypond.http.messages import HttpResponse, json_response

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
