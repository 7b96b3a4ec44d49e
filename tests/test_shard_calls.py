"""Tests of savorypond.queries.shard_calls."""

from unittest import TestCase

from msgspec.json import encode

from savorypond.http.messages import Header, HttpResponse
from savorypond.queries.attempts import FailureKind
from savorypond.queries.partials import ShedAnswer
from savorypond.queries.shard_calls import refusal_failure


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
                failure = refusal_failure(shed(value), "a")
                self.assertEqual(failure.kind, FailureKind.SHED)
                self.assertTrue(failure.not_run)
                self.assertEqual(failure.retry_after, seconds)
