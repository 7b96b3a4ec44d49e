"""Tests of savorypond.gateway.leaving_servers."""

from unittest import TestCase
from unittest.mock import patch

from curio import Event, TaskGroup, sleep

from savorypond.clock import SystemClock
from savorypond.gateway.connection_pool import ConnectionPools
from savorypond.gateway.leaving_servers import (
    MAX_SERVERS,
    UNREGISTERED_RETENTION,
    LeavingServer,
    LeavingServers,
)
from savorypond.gateway.server_load import DEFAULT_SERVER_LOAD
from savorypond.model import Counters
from tests.gateway_fakes import server
from tests.gateway_loopback import A_LEAVING, FakeServer, configuration, route
from tests.test_gateway_daemon import with_gateway

READ = route("r", "/r/", backend="s1", max_attempts=3)
WRITE = route("w", "/w/", backend="s1", type="unsafe", max_attempts=3)
QUERY = route("q", "/q/", gather=["s1", "s2"], top_k=2, min_version=0.5)
RECORD = b"a" * 16
REQUESTS = 8
TOGETHER = 8  # requests


def leaving(name="i1", *, started=1, service="s"):
    return LeavingServer(name=name, service=service, started=started)


class DecisionTests(TestCase):
    def setUp(self):
        self.counters = Counters()
        self.servers = LeavingServers(counters=self.counters)

    def record(self, *arguments, now=0.0, **options):
        return self.servers.record(
            leaving(*arguments, **options), source="answer", now=now
        )

    def test_only_the_server_that_said_so_is_left_out(self):
        self.assertTrue(self.record("i1"))
        servers = [server("i1"), server("i2")]
        self.assertEqual([s.name for s in self.servers.staying(servers)], ["i2"])

    def test_each_server_is_counted_and_logged_once(self):
        with self.assertLogs("absl", "INFO") as logs:
            self.record("i1")
            self.assertFalse(self.record("i1", now=1.0))
        self.assertEqual(len(logs.records), 1)
        self.assertEqual(self.counters.value("gateway_leaving_servers", "answer"), 1)

    def test_a_fresh_registration_does_not_end_it(self):
        self.record("i1", started=5)
        for number in range(3):
            self.servers.retain([server("i1", started=5)], float(number))
            self.assertTrue(self.servers.includes(server("i1", started=5)))

    def test_an_older_registration_does_not_end_it(self):
        self.record("i1", started=5)
        self.servers.retain([server("i1", started=4)], 1.0)
        self.assertTrue(self.servers.includes(server("i1", started=4)))

    def test_another_start_under_the_same_name_ends_it(self):
        self.record("i1", started=5)
        restarted = server("i1", started=6)
        self.assertFalse(self.servers.includes(restarted))
        self.servers.retain([restarted], 1.0)
        self.assertEqual(self.servers.count, 0)
        # A late answer of the previous incarnation does not concern the new one.
        self.record("i1", started=5)
        self.assertFalse(self.servers.includes(restarted))

    def test_a_server_is_left_out_while_its_registration_lapses(self):
        self.record("i1")
        self.servers.retain([], UNREGISTERED_RETENTION / 2)
        self.assertTrue(self.servers.includes(server("i1")))

    def test_the_state_is_bounded_in_time(self):
        self.record("i1")
        self.servers.retain([server("i1")], 100.0)
        self.servers.retain([], 100.0 + UNREGISTERED_RETENTION)
        self.assertEqual(self.servers.count, 0)

    def test_the_state_is_bounded_in_entries(self):
        for number in range(MAX_SERVERS):
            self.record(f"i{number}", now=number / MAX_SERVERS)
        self.servers.retain([server("i0")], 2.0)
        self.record("last", now=2.0)
        self.assertEqual(self.servers.count, MAX_SERVERS)
        self.assertTrue(self.servers.includes(server("i0")))
        self.assertFalse(self.servers.includes(server("i1")))

    def test_names_the_leaving_servers_of_services(self):
        self.record("i1", service="s1")
        self.record("i2", service="s2")
        self.assertEqual(
            self.servers.of_services(["s1", "s3"]), (leaving("i1", service="s1"),)
        )


def pair(behaviour="good", **options):
    return lambda: (
        FakeServer("i1", service="s1", body=RECORD, behaviour=behaviour, **options),
        FakeServer("i2", service="s1", body=RECORD),
    )


class RequestTests(TestCase):
    async def tell(self, env, path="/r/1", **options):
        """Send a request to server i1 while it is the only one of its service."""
        others = env.servers[1:2]
        for other in others:
            env.store.remove(f"servers/{other.name}")
        await env.wait_until(lambda: len(env.gateway.servers("s1")) == 1)
        await env.ask(path, request_id="first", **options)
        await env.wait_until_idle()
        self.assertTrue(env.servers[0].requests)
        for other in others:
            env.store.put(f"servers/{other.name}", other.entry())
        await env.wait_until(lambda: len(env.gateway.servers("s1")) == 1 + len(others))

    async def leave_only(self, env):
        """Let server i1 be the only one, work again and say nothing more."""
        first, second = env.servers
        first.behaviour = "good"
        first.headers = {}
        env.store.remove(f"servers/{second.name}")
        await env.wait_until(lambda: len(env.gateway.servers("s1")) == 1)
        await sleep(2 * DEFAULT_SERVER_LOAD.base_ejection)

    async def check_avoided(self, env, path="/r/1", status=200, **options):
        """Check that further requests are served, and not by server i1."""
        told = len(env.servers[0].requests)
        for attempt in range(REQUESTS):
            statuses = await self.ask_together(env, path, f"next-{attempt}", options)
            self.assertEqual(statuses, [status] * TOGETHER)
        self.assertEqual(len(env.servers[0].requests), told)

    async def ask_together(self, env, path, name, options):
        """Ask several times at once, so that no server is idle; return the statuses."""
        async with TaskGroup() as group:
            for number in range(TOGETHER):
                await group.spawn(self.ask, env, path, f"{name}-{number}", options)
        return [response.status for response in group.results]

    async def ask(self, env, path, request_id, options):
        return await env.ask(path, request_id=request_id, **options)

    @with_gateway(READ, servers=pair(headers=A_LEAVING))
    async def test_a_server_that_says_that_it_leaves_gets_nothing_more(self, env):
        await self.tell(env)
        await self.check_avoided(env)

    @with_gateway(READ, servers=pair("failing", headers=A_LEAVING))
    async def test_an_error_that_says_so_counts(self, env):
        await self.tell(env)
        await self.leave_only(env)
        await self.check_avoided(env, status=503)

    @with_gateway(WRITE, servers=pair("full", headers=A_LEAVING))
    async def test_a_refusal_that_says_so_counts(self, env):
        await self.tell(env, "/w/1", method="POST", body=b"x")
        await self.leave_only(env)
        await self.check_avoided(env, "/w/1", status=503, method="POST", body=b"x")

    @with_gateway(READ, servers=pair(status=404, headers=A_LEAVING))
    async def test_an_answer_that_is_passed_on_as_it_is_counts(self, env):
        await self.tell(env)
        await self.check_avoided(env)

    @with_gateway(
        QUERY,
        servers=lambda: (
            *pair(headers=A_LEAVING)(),
            FakeServer("j1", service="s2", body=RECORD),
        ),
    )
    async def test_a_part_of_a_merged_answer_that_says_so_counts(self, env):
        await self.tell(env, "/q/1")
        await self.check_avoided(env, "/q/1")

    @with_gateway(READ, servers=pair(headers=A_LEAVING))
    async def test_renewed_registrations_and_a_lost_store_do_not_end_it(self, env):
        await self.tell(env)
        first = env.servers[0]
        env.store.put(f"servers/{first.name}", first.entry(sequence=2))
        env.store.put("op/config", configuration(READ, version=2))
        await env.wait_until(lambda: env.gateway.version == 2)
        env.gateway._notices.retain(env.gateway._registry.all(), SystemClock().now())
        await self.check_avoided(env)
        env.store.rejected_hosts.add("127.0.0.1")
        await self.check_avoided(env)

    @with_gateway(READ, servers=pair(headers=A_LEAVING))
    async def test_a_server_that_has_started_again_is_used(self, env):
        await self.tell(env)
        first, second = env.servers
        first.headers = {}
        told = len(first.requests)
        env.store.put(f"servers/{first.name}", first.entry(born=2))
        env.store.remove(f"servers/{second.name}")
        await env.wait_until(
            lambda: [s.started for s in env.gateway.servers("s1")] == [2]
        )
        response = await env.ask("/r/1", request_id="again")
        self.assertEqual(response.status, 200)
        self.assertEqual(len(first.requests), told + 1)

    @with_gateway(READ, servers=pair("other", headers=A_LEAVING))
    async def test_the_answer_of_another_server_at_the_address_does_not_count(
        self, env
    ):
        await self.tell(env)
        self.assertEqual(env.gateway._notices.leaving.count, 0)

    @with_gateway(READ, servers=pair("crossed", headers=A_LEAVING))
    async def test_the_answer_to_another_request_does_not_count(self, env):
        await self.tell(env)
        self.assertEqual(env.gateway._notices.leaving.count, 0)

    @with_gateway(
        READ,
        servers=lambda: (
            FakeServer("i1", service="s1", body=RECORD, headers=A_LEAVING),
        ),
    )
    async def test_without_another_server_requests_are_refused_at_once(self, env):
        await self.tell(env)
        await self.check_avoided(env, status=503)

    @with_gateway(WRITE, servers=pair())
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
                env.gateway._notices.leaving.record(
                    leaving("i1", service="s1"), source="answer", now=0.0
                )
                await may_connect.set()
        statuses = [response.status for response in group.results]
        self.assertEqual(statuses, [200] * TOGETHER)
        self.assertEqual([len(s.requests) for s in env.servers], [0, TOGETHER])
