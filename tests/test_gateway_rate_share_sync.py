"""Tests of the claims of an instance to the coordinators of services."""

from random import Random
from time import monotonic
from types import SimpleNamespace
from unittest import TestCase

from curio import TaskGroup, run, sleep
from msgspec.msgpack import Decoder, encode

from savorypond.clock import SystemClock
from savorypond.exceptions import BackendServerError
from savorypond.gateway.rate_messages import (
    RateClaims,
    RateShare,
    RateShares,
    ServerLimit,
    ServerShare,
)
from savorypond.gateway.rate_share_sync import RateShareSync
from savorypond.http.messages import HttpResponse
from savorypond.model import Address, Counters, Instance
from tests.gateway_fakes import make_rates, server

ANSWER_TIME = 0.01  # seconds
SILENT_TIME = 10.0  # seconds


class FakeClient:
    """Answers claims as a coordinator that grants some tokens, fails or is silent."""

    def __init__(self, tokens=0, *, error=False, silent=False):
        self.tokens = tokens
        self.error = error
        self.silent = silent
        self.waiting = []

    async def send(self, peer, request):
        message = Decoder(RateClaims).decode(request.body)
        self.waiting += [claim.waiting for claim in message.claims]
        await sleep(SILENT_TIME if self.silent else ANSWER_TIME)
        if self.error:
            raise BackendServerError(server=peer.name, problem="reset", sent=True)
        shares = tuple(self.share(claim) for claim in message.claims)
        return HttpResponse(
            status=200, headers=(), body=encode(RateShares(shares=shares))
        )

    def share(self, claim):
        granted = min(self.tokens, claim.waiting)
        self.tokens -= granted
        limit = ServerLimit(name="s1", started=1, rate=5.0, age=0.0)
        servers = (ServerShare(limit=limit, tokens=granted),)
        return RateShare(service="s", servers=servers, admitted={})


class WaitForTokensTests(TestCase):
    def play(self, client, requests):
        """Let ``requests`` wait at once; return those with a token, and the seconds."""
        clock = SystemClock()
        rates = make_rates()
        limited = server("s1")
        peer = Instance(
            name="g2",
            data_centre="a",
            peer_address=Address(host="127.0.0.1", port=1),
            incarnation=1,
        )
        sync = RateShareSync(
            own_name="g1",
            data_centre="b",
            live=lambda: (peer,),
            rates=rates,
            client=client,
            registry=SimpleNamespace(servers=lambda service: (limited,)),
            instance_count=lambda: 7,
            reachable_share=lambda: 1.0,
            clock=clock,
            random=Random(1),
            counters=Counters(),
        )
        served = []

        async def ask(number):
            await sync.wait_for_tokens(
                ("s",),
                priority=1,
                lacks_token=lambda _: rates.limits.lacks_token(limited, clock.now()),
            )
            now = clock.now()
            if rates.limits.has_room(limited, now):
                rates.limits.record_sent(limited, extra=False, now=now)
                served.append(number)

        async def main():
            now = clock.now()
            rates.limits.observe(limited, 5.0, sent_at=now, now=now)
            async with TaskGroup() as group:
                for number in range(requests):
                    await group.spawn(ask, number)

        started_at = monotonic()
        run(main)
        return len(served), monotonic() - started_at

    def test_requests_that_wait_share_a_claim(self):
        client = FakeClient(10)
        served, _ = self.play(client, 4)
        self.assertEqual(served, 4)
        self.assertEqual(client.waiting, [1, 3])

    def test_requests_are_refused_at_once_where_there_is_no_token(self):
        client = FakeClient(0)
        served, _ = self.play(client, 4)
        self.assertEqual(served, 0)
        self.assertEqual(len(client.waiting), 1)

    def test_a_coordinator_that_fails_or_is_silent_delays_a_request_only_briefly(self):
        for client in (FakeClient(10, error=True), FakeClient(10, silent=True)):
            with self.subTest(vars(client)):
                served, seconds = self.play(client, 4)
                self.assertEqual(served, 0)
                self.assertLess(seconds, SILENT_TIME / 10.0)
                self.assertEqual(len(client.waiting), 1)
