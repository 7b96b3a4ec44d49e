"""Tests of savorypond.gateway.failures."""

from unittest import TestCase

from savorypond.gateway.attempts import AttemptResult
from savorypond.gateway.failures import failure_to_pass_on, refusal_of
from savorypond.gateway.plan_types import Verdict
from savorypond.gateway.response_classifier import AttemptOutcome
from savorypond.gateway.run_types import RunResult
from savorypond.http.messages import Header, HttpResponse, refusal_status
from savorypond.platform.names import HEADERS
from savorypond.reasons import Execution
from tests.gateway_fakes import server
from tests.gateway_loopback import FakeServer, route
from tests.test_gateway_daemon import with_gateway

PROMISES = (408, 421, 429, 503)
NOT_RUN = {HEADERS.not_run: "1"}
WRITE = route("w", "/w/", backend="s1", type="unsafe")
SHORT_WRITE = route("w", "/w/", backend="s1", type="unsafe", timeout_ms=400)
READ = route("r", "/r/", backend="s1")


def result_of(status, *, may_run, signature="i1.r1"):
    fields = {} if signature is None else {HEADERS.signature: signature}
    headers = tuple(Header(name=n, value=v) for n, v in fields.items())
    failure = AttemptResult(
        outcome=AttemptOutcome.REFUSED,
        server=server("i1"),
        response=HttpResponse(status=status, headers=headers),
    )
    return RunResult(
        verdict=Verdict.UNSERVABLE,
        parts=(),
        answered=(),
        pending=(),
        response=None,
        missing=("s1",),
        last_failure=failure,
        may_run=may_run,
        reached=True,
        hedges=0,
        retries=0,
        denied=0,
        delegated=0,
        problems=(),
        rate_limited=False,
        cut_off=False,
    )


class FailureToPassOnTests(TestCase):
    def test_a_promise_is_passed_on_only_if_nothing_may_run(self):
        for status in PROMISES:
            with self.subTest(status):
                result = result_of(status, may_run=True)
                self.assertIsNone(failure_to_pass_on(result, names=HEADERS))
                result = result_of(status, may_run=False)
                passed_on = failure_to_pass_on(result, names=HEADERS)
                self.assertEqual(passed_on.status, status)

    def test_a_failure_that_promises_nothing_is_passed_on(self):
        for status in (500, 502, 504):
            with self.subTest(status):
                passed_on = failure_to_pass_on(
                    result_of(status, may_run=True), names=HEADERS
                )
                self.assertEqual(passed_on.status, status)

    def test_a_failure_without_a_signature_is_not_passed_on(self):
        result = result_of(500, may_run=True, signature=None)
        self.assertIsNone(failure_to_pass_on(result, names=HEADERS))

    def test_a_refusal_promises_nothing_if_a_server_may_run_the_request(self):
        refusal = refusal_of(result_of(503, may_run=True), ("s1",))
        self.assertIs(refusal.execution, Execution.UNKNOWN)
        self.assertNotIn(refusal_status(refusal.reason), PROMISES)


def one_server(status, **headers):
    return lambda: (FakeServer("i1", service="s1", status=status, headers=headers),)


class SheddingServer(FakeServer):
    """Refuses the first request by a signed statement, and runs the others."""

    shed = set()

    async def handle(self, request):
        if not self.shed:
            self.shed.add(self.name)
            self.status, self.headers = 503, NOT_RUN
        else:
            self.status, self.headers = 200, {}
            self.behaviour = "silent"
        return await super().handle(request)


def shedding_servers():
    SheddingServer.shed = set()
    return tuple(SheddingServer(f"i{n}", service="s1") for n in (1, 2))


class PromiseTests(TestCase):
    """Callers repeat what must not run twice after a promise that it has not run."""

    def test_the_failure_of_a_request_that_has_run_is_no_promise(self):
        for status in (408, 429, 503):
            with self.subTest(status):
                self.check(status)

    def check(self, status):
        @with_gateway(WRITE, READ, servers=one_server(status))
        async def ask(self, env):
            response = await env.ask("/w/1", method="POST", body=b"x")
            self.assertEqual(response.status, 502)
            self.assertIsNone(response.header(HEADERS.signature))
            self.assertEqual(len(env.servers[0].requests), 1)
            response = await env.ask("/r/1", request_id="r2")
            self.assertEqual(response.status, 502)

        ask(self)

    @with_gateway(WRITE, servers=one_server(503, **NOT_RUN))
    async def test_a_signed_refusal_is_passed_on(self, env):
        response = await env.ask("/w/1", method="POST", body=b"x")
        self.assertEqual(response.status, 503)
        self.assertEqual(response.header(HEADERS.signature), "i1.r1")

    @with_gateway(WRITE, servers=one_server(200, **NOT_RUN))
    async def test_a_success_that_says_that_nothing_has_run_is_not_believed(self, env):
        response = await env.ask("/w/1", method="POST", body=b"x")
        self.assertEqual(response.status, 502)

    @with_gateway(SHORT_WRITE, servers=shedding_servers)
    async def test_a_refusal_is_not_passed_on_while_a_second_attempt_runs(self, env):
        """The first server's promise was passed on at the deadline."""
        response = await env.ask("/w/1", method="POST", body=b"x")
        self.assertEqual(response.status, 504)
        self.assertIsNone(response.header(HEADERS.signature))
        self.assertEqual([len(s.requests) for s in env.servers], [1, 1])
