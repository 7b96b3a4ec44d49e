"""Tests of savorypond.gateway.response_classifier."""

from unittest import TestCase

from savorypond.exceptions import ResponseError
from savorypond.gateway.response_classifier import (
    AttemptOutcome,
    ForeignBytes,
    ResponseClassifier,
    signature_problem,
)
from savorypond.http.messages import Header, HttpResponse
from savorypond.http.response_parser import ResponseParser
from savorypond.platform.names import HEADERS
from tests.gateway_loopback import FakeServer, RemoteServer, route
from tests.test_gateway_daemon import with_gateway

REJECTIONS = (300, 301, 302, 304, 307, 400, 401, 403, 404, 409, 410, 499)
QUERY = route("q", "/q/", gather=["s1", "s2"], top_k=2, min_version=0.5)
READ = route("r", "/r/", backend="s2")
RECORD = b"a" * 16
LONG_BODY = bytes(range(128, 208)) * 10
CHUNK = b"190\r\n" + LONG_BODY[:400] + b"\r\n"
OWN_FIELDS = ((HEADERS.request_id, "r1"), (HEADERS.signature, "i1.r1"))
FAILURE_TEXT = b"no such segment, its replica is newer"


def response(status=200, *, signature="i1.r1", **headers):
    fields = {"x-other": "1", **headers}
    if signature is not None:
        fields[HEADERS.signature] = signature
    return HttpResponse(
        status=status, headers=tuple(Header(name=n, value=v) for n, v in fields.items())
    )


class ForeignBytesTests(TestCase):
    def find(self, *, reused=True, request_id="r1", **changes):
        headers = () if request_id is None else ((HEADERS.request_id, request_id),)
        fields = {
            "status": 200,
            "headers": tuple(Header(name=n, value=v) for n, v in headers),
            **changes,
        }
        return ResponseClassifier(names=HEADERS).find_foreign_bytes(
            HttpResponse(**fields), request_id="r1", reused=reused
        )

    def test_an_answer_alone_has_none(self):
        self.assertIsNone(self.find(body=RECORD))
        self.assertIsNone(self.find(body=RECORD, framed=False))
        self.assertIsNone(self.find(request_id=None, reused=False))

    def test_signs_of_a_second_answer_are_told_apart(self):
        copy = f"HTTP/1.1 200 OK\r\n{HEADERS.signature}: i1.r1\r\n\r\n".encode()
        other = b"HTTP/1.1 200 OK\r\nx-other: 1\r\n\r\n"
        cases = (
            (ForeignBytes.OTHER_REQUEST, {"request_id": "r2"}),
            (ForeignBytes.NO_REQUEST, {"request_id": None}),
            (ForeignBytes.BEHIND_ANSWER, {"trailing": True}),
            (ForeignBytes.IN_HEAD, {"reason": "OHTTP/1.1 500 Error"}),
            (ForeignBytes.IN_BODY, {"body": RECORD + copy}),
            (ForeignBytes.IN_BODY, {"body": RECORD + copy[:30]}),
            (ForeignBytes.IN_BODY, {"body": RECORD + copy[:2], "trailing": True}),
            (ForeignBytes.IN_BODY, {"body": RECORD + other, "framed": False}),
            (ForeignBytes.IN_BODY, {"body": RECORD + other, "trailing": True}),
            (None, {"body": RECORD + copy[:2]}),
            (None, {"body": RECORD + other}),
        )
        for kind, changes in cases:
            with self.subTest(kind, **changes):
                self.assertEqual(self.find(**changes), kind)

    def test_every_id_must_be_that_of_the_request(self):
        ids = tuple(Header(name=HEADERS.request_id, value=v) for v in ("r1", "r2"))
        for headers in (ids, ids[::-1]):
            self.assertEqual(self.find(headers=headers), ForeignBytes.OTHER_REQUEST)

    def test_a_copy_does_not_fill_up_an_answer_that_broke_off(self):
        """In chunks, the empty line of the copy's head could end the chunk."""
        for framing, body in (
            (f"content-length: {len(LONG_BODY)}", LONG_BODY),
            ("transfer-encoding: chunked", 2 * CHUNK + b"0\r\n\r\n"),
        ):
            head = "\r\n".join(
                ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in OWN_FIELDS), framing]
            )
            answer = f"{head}\r\n\r\n".encode() + body
            for missing in range(1, len(body)):
                with self.subTest(framing, missing=missing):
                    self.check_filled(answer[:-missing] + answer)

    def check_filled(self, data):
        parser = ResponseParser(method="GET")
        try:
            parser.feed(data)
            parser.feed_eof()
        except ResponseError:
            return
        received = parser.response()
        if received.body == LONG_BODY:
            return  # only the end of the framing was missing
        kind = ResponseClassifier(names=HEADERS).find_foreign_bytes(
            received, request_id="r1", reused=True
        )
        self.assertIs(kind, ForeignBytes.IN_BODY)


class ResponseClassifierTests(TestCase):
    def setUp(self):
        self.classifier = ResponseClassifier(names=HEADERS)

    def classify(self, response, *, is_part):
        return self.classifier.classify(response, is_part=is_part).outcome

    def test_only_a_success_is_a_part(self):
        self.assertEqual(self.classify(response(), is_part=True), AttemptOutcome.USABLE)
        for status in REJECTIONS:
            with self.subTest(status):
                self.assertEqual(
                    self.classify(response(status), is_part=True),
                    AttemptOutcome.REJECTED,
                )

    def test_a_promising_status_counts_only_with_the_statement_of_the_server(self):
        """A server may answer 503 to a request that it has run."""
        for status in (408, 429, 503):
            with self.subTest(status):
                self.assertEqual(
                    self.classify(response(status), is_part=False),
                    AttemptOutcome.FAILED,
                )
                refusal = response(status, **{HEADERS.not_run: "1"})
                self.assertEqual(
                    self.classify(refusal, is_part=False), AttemptOutcome.REFUSED
                )

    def test_a_statement_that_contradicts_the_status_is_not_believed(self):
        for status in (200, 204, 301, 500, 502, 504):
            with self.subTest(status):
                contradiction = response(status, **{HEADERS.not_run: "1"})
                self.assertEqual(
                    self.classify(contradiction, is_part=False), AttemptOutcome.FAILED
                )

    def test_an_answer_to_one_server_is_passed_on_whatever_it_rejects(self):
        for status in (200, 206, 301, 400, 404):
            with self.subTest(status):
                self.assertEqual(
                    self.classify(response(status), is_part=False),
                    AttemptOutcome.USABLE,
                )

    def test_partial_or_encoded_content_is_not_a_part(self):
        encoded = {"content-encoding": "gzip"}
        for part in (response(206), response(**encoded)):
            with self.subTest(part):
                self.assertEqual(
                    self.classify(part, is_part=True), AttemptOutcome.FAILED
                )
        plain = {"content-encoding": "identity"}
        self.assertEqual(
            self.classify(response(**plain), is_part=True), AttemptOutcome.USABLE
        )


class IdentityTests(TestCase):
    def check(self, response, *, reused):
        classifier = ResponseClassifier(names=HEADERS)
        foreign = classifier.find_foreign_bytes(
            response, request_id="r1", reused=reused
        )
        found = classifier.mismatch(response, foreign)
        return found.outcome if found is not None else None

    def test_a_response_with_the_id_of_its_request_is_identified(self):
        own = response(**{HEADERS.request_id: "r1"})
        self.assertIsNone(self.check(own, reused=True))
        self.assertIsNone(self.check(own, reused=False))

    def test_a_response_to_another_request_is_not_used(self):
        other = response(503, signature=None, **{HEADERS.request_id: "r0"})
        for reused in (False, True):
            self.assertEqual(self.check(other, reused=reused), AttemptOutcome.BROKEN)

    def test_without_an_id_only_a_new_connection_identifies_a_response(self):
        refusal = response(503, signature=None, **{HEADERS.not_run: "1"})
        misdirected = response(421, signature=None)
        for unidentified in (refusal, misdirected, response(500, signature=None)):
            self.assertIsNone(self.check(unidentified, reused=False))
            self.assertEqual(
                self.check(unidentified, reused=True), AttemptOutcome.UNIDENTIFIED
            )
        self.assertEqual(self.check(response(), reused=True), AttemptOutcome.BROKEN)


class SignatureTests(TestCase):
    def problem(self, *signatures, is_listed=True):
        headers = tuple(Header(name=HEADERS.signature, value=s) for s in signatures)
        return signature_problem(
            HttpResponse(status=200, headers=headers),
            names=HEADERS,
            is_listed=is_listed,
        )

    def test_an_intact_signature_is_used(self):
        self.assertEqual(self.problem("3e1b.07.5a2.600.0.c9f2a4d1"), "")

    def test_missing_repeated_and_damaged_signatures_are_not(self):
        damaged = ("\xb3e1b.07", "3e1b\x7f07", "3e1b 07", "3e1b\t07", "")
        for signatures in ((), ("a1", "a2"), *((one,) for one in damaged)):
            with self.subTest(signatures):
                self.assertTrue(self.problem(*signatures))
                self.assertTrue(self.problem(*signatures, is_listed=False))

    def test_a_signature_in_a_list_has_no_comma(self):
        self.assertTrue(self.problem("a1,a2"))
        self.assertEqual(self.problem("a1,a2", is_listed=False), "")


def shards(status):
    return lambda: (
        FakeServer("i1", service="s1", body=RECORD),
        FakeServer("i2", service="s2", body=FAILURE_TEXT, status=status),
    )


def with_replica():
    return (*shards(404)(), RemoteServer("i3", service="s2", body=b"b" * 16))


class FailureOfAShardTests(TestCase):
    def test_the_failure_of_a_shard_is_never_merged(self):
        """A signed failure counted as a part, and its text as records."""
        for status in (206, 301, 404, 429):
            with self.subTest(status):
                self.check(status)

    def check(self, status):
        @with_gateway(QUERY, servers=shards(status))
        async def ask(self, env):
            response = await env.ask()
            self.assertEqual(response.status, 200)
            self.assertEqual(response.header(HEADERS.part_signatures), "i1.r1")
            self.assertEqual(response.header(HEADERS.missing_parts), "1")
            self.assertEqual(response.body, RECORD)

        ask(self)

    # The retry budget allows a retry of every request, however often the failing
    # server is chosen first.
    @with_gateway(QUERY, servers=with_replica, retry_slack=1000.0)
    async def test_another_server_of_the_shard_answers_instead(self, env):
        for number in range(6):
            response = await env.ask(request_id=f"r{number}")
            signatures = response.header(HEADERS.part_signatures).split(", ")
            self.assertEqual(set(signatures), {f"i1.r{number}", f"i3.r{number}"})
            self.assertEqual(response.header(HEADERS.missing_parts), "0")

    @with_gateway(READ, servers=shards(404))
    async def test_a_rejection_by_the_only_server_asked_is_passed_on(self, env):
        response = await env.ask("/r/1")
        self.assertEqual((response.status, response.body), (404, FAILURE_TEXT))
        self.assertEqual(response.header(HEADERS.signature), "i2.r1")
