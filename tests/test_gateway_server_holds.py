"""Tests of savorypond.gateway.server_holds."""

from random import Random
from unittest import TestCase
from unittest.mock import patch

from curio import Event, TaskGroup, sleep

from savorypond.clock import SystemClock
from savorypond.exceptions import RequestRefused
from savorypond.gateway.connection_pool import ConnectionPools
from savorypond.gateway.responses import retry_delay
from savorypond.gateway.retry_after import RequestedPause
from savorypond.gateway.server_holds import (
    MAX_RETURN_TIME,
    MAX_SERVERS,
    RETURN_SHARE,
    ServerHolds,
)
from savorypond.gateway.server_load import DEFAULT_SERVER_LOAD
from savorypond.model import Counters
from savorypond.platform.names import HEADERS
from savorypond.reasons import RefusalReason
from tests.gateway_fakes import FixedRandom, server
from tests.gateway_loopback import FakeServer, route
from tests.test_gateway_daemon import with_gateway

READ = route("r", "/r/", backend="s1", max_attempts=3)
WRITE = route("w", "/w/", backend="s1", type="unsafe", max_attempts=3)
QUERY = route("q", "/q/", gather=["s1", "s2"], top_k=2, min_version=0.5)
RECORD = b"a" * 16
LONG_PAUSE = "50"  # seconds, more than a test takes
SHORT_PAUSE = 1.0  # seconds
TOGETHER = 8  # requests
ROUNDS = 6


class DecisionTests(TestCase):
    def setUp(self):
        self.counters = Counters()
        self.holds = ServerHolds(random=FixedRandom(), counters=self.counters)

    def record(self, seconds=4.0, *, name="i1", started=1, now=0.0, problem=""):
        pause = RequestedPause(seconds=seconds, problem=problem)
        self.holds.record(server(name, started=started), pause, now)

    def names(self, now, *servers):
        return [s.name for s in self.holds.admitting(servers, now)]

    def test_a_server_gets_nothing_before_the_end_of_its_pause(self):
        self.record(4.0)
        servers = server("i1"), server("i2")
        for now in (0.0, 0.5, 3.999):
            self.assertTrue(self.holds.includes(servers[0], now))
            self.assertEqual(self.names(now, *servers), ["i2"])
        self.assertEqual(self.names(10.0, *servers), ["i1", "i2"])

    def test_a_shorter_pause_does_not_end_a_longer_one(self):
        self.record(4.0)
        self.record(1.0, now=1.0)
        self.assertTrue(self.holds.includes(server("i1"), 3.9))
        self.record(4.0, now=2.0)
        self.assertTrue(self.holds.includes(server("i1"), 5.9))

    def test_a_server_that_has_started_again_is_used(self):
        self.record(started=5)
        self.assertTrue(self.holds.includes(server("i1", started=4), 1.0))
        self.assertFalse(self.holds.includes(server("i1", started=6), 1.0))
        self.record(started=6, now=1.0)
        self.record(9.0, started=5, now=1.0)
        self.assertTrue(self.holds.includes(server("i1", started=6), 1.5))

    def test_instances_return_at_different_times(self):
        ends = set()
        for seed in range(20):
            holds = ServerHolds(random=Random(seed), counters=Counters())
            holds.record(server("i1"), RequestedPause(seconds=4.0), 0.0)
            end = holds.wait([server("i1")], 0.0)
            self.assertTrue(4.0 <= end <= 4.0 + MAX_RETURN_TIME)
            ends.add(round(end, 1))
        self.assertGreater(len(ends), 5)

    def test_the_share_of_a_server_rises_after_its_pause(self):
        holds = ServerHolds(random=Random(1), counters=Counters())
        holds.record(server("i1"), RequestedPause(seconds=8.0), 0.0)
        end = holds.wait([server("i1")], 0.0)
        counts = []
        for elapsed in (0.0, 0.25, 0.5, 0.75, 1.0):
            now = end + elapsed * MAX_RETURN_TIME
            admitted = [holds.admitting([server("i1")], now) for _ in range(1000)]
            counts.append(sum(map(len, admitted)))
        self.assertEqual(counts, sorted(counts))
        self.assertTrue(50 <= counts[0] <= 150)
        self.assertEqual(counts[-1], 1000)

    def test_the_wait_for_a_service_is_that_for_its_first_server(self):
        self.record(4.0, name="i1")
        servers = [server("i1"), server("i2")]
        self.assertEqual(self.holds.wait(servers, 1.0), 0.0)
        self.record(9.0, name="i2")
        self.assertTrue(3.0 <= self.holds.wait(servers, 1.0) <= 4.0)
        self.assertEqual(self.holds.wait([], 1.0), 0.0)

    def test_what_many_requests_find_is_logged_once(self):
        with self.assertLogs("absl", "INFO") as logs:
            for number in range(100):
                self.record(4.0, now=number / 1000)
                self.holds.wait([server("i1")], number / 1000)
            self.holds.retain(9.0)
        events = [record.savorypond_event for record in logs.records]
        self.assertEqual(
            events, ["server-on-hold", "service-on-hold", "server-hold-ended"]
        )
        count = self.counters.value
        self.assertEqual(count("gateway_server_holds", "began"), 1)
        self.assertEqual(count("gateway_server_holds", "whole-service"), 1)

    def test_problems_are_counted(self):
        self.record(problem="too long")
        self.assertEqual(self.counters.value("gateway_server_holds", "too-long"), 1)

    def test_the_state_is_bounded(self):
        for number in range(MAX_SERVERS + 1):
            self.record(1.0 + number / MAX_SERVERS, name=f"i{number}")
        self.assertEqual(self.holds.count, MAX_SERVERS)
        self.assertFalse(self.holds.includes(server("i0"), 0.0))
        self.holds.retain(2.0 * (1.0 + 2 * RETURN_SHARE))
        self.assertEqual(self.holds.count, 0)


class RetryDelayTests(TestCase):
    def test_a_caller_is_not_told_to_return_before_it_can_be_served(self):
        random = Random(1)
        refusal = RequestRefused(
            reason=RefusalReason.SHED, detail="", retry_after=4.3, retry_from=4.0
        )
        for time_left in (None, 0.5, 60.0):
            delays = {retry_delay(refusal, time_left, random) for _ in range(50)}
            self.assertGreaterEqual(min(delays), 4.0)
            self.assertLessEqual(max(delays), 4.3)


def pausing(name="i1", *, service="s1", pause=LONG_PAUSE):
    return FakeServer(
        name, service=service, body=RECORD, behaviour="full", retry_after=pause
    )


def pausing_and_good(pause=LONG_PAUSE):
    return lambda: (pausing(pause=pause), FakeServer("i2", service="s1", body=RECORD))


class RequestTests(TestCase):
    async def ask(self, env, path, request_id, options):
        return await env.ask(path, request_id=request_id, **options)

    async def ask_together(self, env, path, name, **options):
        """Ask several times at once, so that no server is idle."""
        async with TaskGroup() as group:
            for number in range(TOGETHER):
                await group.spawn(self.ask, env, path, f"{name}-{number}", options)
        return group.results

    async def ask_until_on_hold(self, env, count, path="/r/1", **options):
        """Ask until ``count`` servers have asked for a pause."""
        for attempt in range(ROUNDS):
            await env.wait_until_idle()
            if env.gateway._notices.holds.count >= count:
                return
            await self.ask_together(env, path, f"first-{attempt}", **options)
        await env.wait_until_idle()
        self.assertEqual(env.gateway._notices.holds.count, count)

    def let_work(self, env):
        """Let all servers answer from now on."""
        for one in env.servers:
            one.behaviour = "good"

    @with_gateway(READ, servers=pausing_and_good())
    async def test_a_server_that_wants_a_pause_gets_nothing_until_its_end(self, env):
        first, second = env.servers
        env.store.remove(f"servers/{second.name}")
        await env.wait_until(lambda: len(env.gateway.servers("s1")) == 1)
        await self.ask_until_on_hold(env, 1)
        self.let_work(env)
        env.store.put(f"servers/{second.name}", second.entry())
        await env.wait_until(lambda: len(env.gateway.servers("s1")) == 2)
        told = len(first.requests)
        for attempt in range(ROUNDS):
            responses = await self.ask_together(env, "/r/1", f"next-{attempt}")
            self.assertEqual([r.status for r in responses], [200] * TOGETHER)
        self.assertEqual(len(first.requests), told)
        env.store.remove(f"servers/{second.name}")
        await env.wait_until(lambda: len(env.gateway.servers("s1")) == 1)
        await sleep(2 * DEFAULT_SERVER_LOAD.base_ejection)
        responses = await self.ask_together(env, "/r/1", "alone")
        self.assertEqual([r.status for r in responses], [503] * TOGETHER)
        self.assertEqual(len(first.requests), told)

    @with_gateway(WRITE, servers=lambda: (pausing("i1"), pausing("i2")))
    async def test_callers_are_refused_at_once_until_the_first_pause_ends(self, env):
        options = {"method": "POST", "body": b"x"}
        await self.ask_until_on_hold(env, 2, "/w/1", **options)
        told = sum(len(one.requests) for one in env.servers)
        servers = env.gateway.servers("s1")
        left = env.gateway._notices.wait(servers, SystemClock().now())
        for attempt in range(ROUNDS):
            for response in await self.ask_together(
                env, "/w/1", f"next-{attempt}", **options
            ):
                self.assertEqual(response.status, 503)
                told_wait = float(response.header("retry-after"))
                self.assertTrue(left / 2 < told_wait < left + 1.0)
        self.assertEqual(sum(len(one.requests) for one in env.servers), told)

    @with_gateway(READ, servers=lambda: (pausing(pause=str(SHORT_PAUSE)),))
    async def test_a_server_is_used_again_after_its_pause(self, env):
        await self.ask_until_on_hold(env, 1)
        (only,) = env.servers
        self.let_work(env)
        told = len(only.requests)
        async with TaskGroup() as group:
            task = await group.spawn(self.ask, env, "/r/1", "next", {})
        self.assertEqual(task.result.status, 503)
        self.assertEqual(len(only.requests), told)
        await env.wait_until(lambda: not env.gateway._notices.holds.count)
        self.assertEqual((await env.ask("/r/1", request_id="last")).status, 200)

    @with_gateway(
        WRITE,
        servers=lambda: (
            FakeServer(
                "i1", service="s1", status=503, headers={"retry-after": LONG_PAUSE}
            ),
        ),
    )
    async def test_only_what_was_never_sent_is_refused_as_not_run(self, env):
        options = {"method": "POST", "body": b"x"}
        first = await env.ask("/w/1", request_id="r1", **options)
        self.assertEqual(first.status, 502)
        second = await env.ask("/w/1", request_id="r2", **options)
        self.assertEqual(second.status, 503)
        self.assertEqual(len(env.servers[0].requests), 1)

    @with_gateway(
        QUERY,
        servers=lambda: (
            FakeServer("i1", service="s1", body=RECORD),
            pausing("j1", service="s2"),
        ),
    )
    async def test_a_shard_that_wants_a_pause_is_left_out(self, env):
        await self.ask_until_on_hold(env, 1, "/q/1")
        shard = env.servers[1]
        self.let_work(env)
        told = len(shard.requests)
        for attempt in range(ROUNDS):
            for response in await self.ask_together(env, "/q/1", f"next-{attempt}"):
                self.assertEqual(response.status, 200)
                self.assertEqual(response.header(HEADERS.missing_parts), "1")
        self.assertEqual(len(shard.requests), told)

    @with_gateway(
        route("q", "/q/", gather=["s1", "s2"], top_k=2, min_version=1.0),
        servers=lambda: (
            FakeServer("i1", service="s1", body=RECORD),
            pausing("j1", service="s2"),
        ),
    )
    async def test_nothing_is_sent_for_a_query_that_lacks_a_shard(self, env):
        await self.ask_until_on_hold(env, 1, "/q/1")
        told = [len(one.requests) for one in env.servers]
        for response in await self.ask_together(env, "/q/1", "next"):
            self.assertEqual(response.status, 503)
            self.assertGreater(float(response.header("retry-after")), 1.0)
        self.assertEqual([len(one.requests) for one in env.servers], told)

    @with_gateway(
        READ,
        servers=lambda: (
            FakeServer(
                "i1",
                service="s1",
                behaviour="other",
                headers={"retry-after": LONG_PAUSE},
            ),
            FakeServer("i2", service="s1", status=200),
        ),
    )
    async def test_the_answer_of_another_server_at_the_address_does_not_count(
        self, env
    ):
        await self.ask_together(env, "/r/1", "r")
        self.assertTrue(env.servers[0].requests)
        self.assertEqual(env.gateway._notices.holds.count, 0)

    @with_gateway(WRITE, servers=pausing_and_good())
    async def test_a_request_that_still_connects_is_sent_elsewhere(self, env):
        is_connecting, may_connect = Event(), Event()
        lease = ConnectionPools.lease

        async def slow_lease(pools, chosen, **options):
            if chosen.name == "i1":
                await is_connecting.set()
                await may_connect.wait()
            return await lease(pools, chosen, **options)

        with patch.object(ConnectionPools, "lease", slow_lease):
            async with TaskGroup() as group:
                for number in range(TOGETHER):
                    await group.spawn(self.ask, env, "/w/1", f"r{number}", {})
                await is_connecting.wait()
                env.gateway._notices.holds.record(
                    server("i1", service="s1"),
                    RequestedPause(seconds=50.0),
                    SystemClock().now(),
                )
                await may_connect.set()
        self.assertEqual([r.status for r in group.results], [200] * TOGETHER)
        self.assertEqual([len(s.requests) for s in env.servers], [0, TOGETHER])
