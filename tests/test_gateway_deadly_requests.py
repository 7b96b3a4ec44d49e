"""Tests of instances on loopback whose backend servers end under some requests."""

from contextlib import AsyncExitStack
from functools import partial
from json import loads
from unittest import TestCase
from unittest.mock import patch

from curio import TaskGroup, run, sleep, spawn, timeout_after

from savorypond.gateway.crash_isolation import CrashIsolation, CrashIsolationConfig
from savorypond.http.channel import HttpLimits
from savorypond.http.client import HttpConnection
from savorypond.http.messages import Header, HttpRequest
from savorypond.http.server import HttpServer
from savorypond.platform.names import HEADERS
from tests.gateway_loopback import (
    DroppingServer,
    FakeServer,
    FakeStore,
    configuration,
    make_gateway,
    route,
)

HOSTS = ("127.0.0.2", "127.0.0.3")
SHARDS = 6
COPIES = 4
SPREAD = 0.015  # seconds between the times that servers take to end under a request
ISOLATION = 1.5  # seconds at most, in tests of what follows it
# Their retries fit into the budget of the two instances.
KILLED_QUERIES = 12  # in flight while servers are killed
RECORD = b"r" * 16


class EndingServer(FakeServer):
    """A backend server that ends while it runs a request to a path with ``deadly``.

    :param delay: seconds after which it ends.
    """

    def __init__(self, name, *, service, delay):
        super().__init__(name, service=service, body=RECORD)
        self.delay = delay
        self.deadly = True
        self.ran = 0
        self.ended = False

    async def __aexit__(self, *reason):
        if not self.ended:
            await super().__aexit__(*reason)

    async def end(self):
        if not self.ended:
            self.ended = True
            await super().__aexit__(None, None, None)

    async def start_again(self):
        """Listen again at the same address."""
        self._server = HttpServer(
            address=self._server.address,
            handler=self.handle,
            limits=HttpLimits(),
            cancel_on_disconnect=True,
        )
        await self._server.__aenter__()
        self.ended = False

    async def handle(self, request):
        await sleep(self.delay)
        if self.deadly and "deadly" in request.path:
            self.ran += 1
            await spawn(self.end, daemon=True)
            await sleep(60)
        return await super().handle(request)


class Deployment(AsyncExitStack):
    """A store, two instances and the servers of several services."""

    def __init__(self, *routes, servers):
        super().__init__()
        self.routes = routes
        self.servers = servers
        self.requests = 0

    async def __aenter__(self):
        await super().__aenter__()
        self.store = await self.enter_async_context(FakeStore())
        for server in self.servers:
            await self.enter_async_context(server)
            self.store.put(f"servers/{server.name}", server.entry())
        self.store.put("op/config", configuration(*self.routes))
        self.gateways = [
            await self.enter_async_context(
                make_gateway(self.store, name=host, host=host, seeds=HOSTS)
            )
            for host in HOSTS
        ]
        await self.wait_until(lambda: all(g.ready and g.peers() for g in self.gateways))
        return self

    @property
    def ended(self):
        return sum(server.ended for server in self.servers)

    async def wait_until(self, condition):
        async with timeout_after(30):
            while not condition():
                await sleep(0.005)

    async def ask(self, path, *, instance=0, method="GET"):
        self.requests += 1
        headers = {
            "host": "shop.example",
            HEADERS.request_id: f"r{self.requests}",
            HEADERS.time_left: "5000",
        }
        request = HttpRequest(
            method=method,
            path=path,
            headers=tuple(Header(name=n, value=v) for n, v in headers.items()),
        )
        address = self.gateways[instance].caller_address
        async with HttpConnection(address=address) as connection:
            return await connection.request(request)

    def counted(self, reason):
        counters = [g._metrics.counters for g in self.gateways]
        return sum(c.value("gateway_isolations", reason) for c in counters)


def shards(count=SHARDS, copies=COPIES):
    return [
        EndingServer(f"s{n}-{c}", service=f"s{n}", delay=0.01 + SPREAD * n)
        for n in range(count)
        for c in range(copies)
    ]


def single(count=8):
    return [
        EndingServer(f"i{n}", service="s0", delay=0.03 + SPREAD * n)
        for n in range(count)
    ]


def reason_of(response):
    """Return why a request was refused, or None."""
    return None if response.status == 200 else loads(response.body)["reason"]


QUERY = route("q", "/q/", gather=[f"s{n}" for n in range(SHARDS)], top_k=1)
QUERY = {**QUERY, "min_version": 0.5, "max_attempts": 3}
READ = route("r", "/r/", backend="s0", max_attempts=3)
WRITE = route("w", "/w/", backend="s0", type="unsafe")


class DeadlyRequestTests(TestCase):
    def play(self, test, *, servers):
        async def run_test():
            async with Deployment(QUERY, READ, WRITE, servers=servers) as deployment:
                await test(deployment)

        run(run_test)

    def test_a_deadly_query_ends_one_server_of_each_shard_at_most(self):
        async def test(deployment):
            responses = [
                await deployment.ask("/q/deadly", instance=number % 2)
                for number in range(6)
            ]
            await sleep(0.1)
            self.assertLessEqual(deployment.ended, SHARDS)
            self.assertEqual([r.status for r in responses], [502] * 6)
            for response in responses:
                self.assertEqual(reason_of(response), "isolated")
                self.assertEqual(loads(response.body)["execution"], "unknown")

        self.play(test, servers=shards())

    def test_other_queries_keep_their_servers(self):
        async def test(deployment):
            responses = []

            async def ask_others():
                for number in range(40):
                    path = f"/q/{number}"
                    responses.append(await deployment.ask(path, instance=number % 2))

            async with TaskGroup() as group:
                await group.spawn(ask_others)
                await group.spawn(deployment.ask, "/q/deadly")
                await sleep(0.1)
                await group.spawn(ask_others)
                await group.spawn(deployment.ask, "/q/deadly")
            self.assertEqual([r.status for r in responses], [200] * 80)
            self.assertLessEqual(deployment.ended, SHARDS)

        self.play(test, servers=shards())

    def test_a_deadly_read_ends_three_servers_over_all_instances(self):
        async def test(deployment):
            responses = [
                await deployment.ask("/r/deadly", instance=number % 2)
                for number in range(10)
            ]
            self.assertEqual(deployment.ended, 3)
            self.assertEqual([r.status for r in responses], [502] * 10)
            response = await deployment.ask("/r/other")
            self.assertEqual(response.status, 200)

        self.play(test, servers=single())

    def test_a_deadly_write_runs_once_and_is_isolated_in_the_end(self):
        async def test(deployment):
            for number in range(6):
                ran = sum(server.ran for server in deployment.servers)
                response = await deployment.ask(
                    "/w/deadly", instance=number % 2, method="POST"
                )
                self.assertEqual(response.status, 502)
                now_ran = sum(server.ran for server in deployment.servers)
                self.assertLessEqual(now_ran, ran + 1)
            self.assertEqual(deployment.ended, 3)

        self.play(test, servers=single())

    def test_servers_that_are_killed_at_once_isolate_nothing(self):
        async def test(deployment):
            victims = [s for s in deployment.servers if s.name.endswith("-0")]
            async with TaskGroup() as group:
                tasks = [
                    await group.spawn(
                        partial(deployment.ask, f"/q/{number}", instance=number % 2)
                    )
                    for number in range(KILLED_QUERIES)
                ]
                await sleep(0.005)
                for victim in victims:
                    await group.spawn(victim.end)
            self.assertEqual(
                [reason_of(t.result) for t in tasks], [None] * KILLED_QUERIES
            )
            self.assertEqual(deployment.counted("isolated"), 0)

        self.play(test, servers=shards())

    def test_servers_that_drop_connections_isolate_nothing(self):
        async def test(deployment):
            for number in range(6):
                await deployment.ask("/r/1", instance=number % 2)
            self.assertEqual(deployment.counted("isolated"), 0)

        dropping = [DroppingServer(f"d{n}", service="s0") for n in range(8)]
        self.play(test, servers=dropping)

    def test_servers_that_leave_isolate_nothing(self):
        async def test(deployment):
            async def leave():
                await sleep(0.02)
                for server in deployment.servers:
                    entry = server.entry(phase="draining")
                    deployment.store.put(f"servers/{server.name}", entry)
                await deployment.wait_until(
                    lambda: not any(g.servers("s0") for g in deployment.gateways)
                )
                for server in deployment.servers:
                    await server.end()
                    await sleep(0.03)

            async with TaskGroup() as group:
                await group.spawn(leave)
                tasks = [
                    await group.spawn(deployment.ask, "/r/slow") for _ in range(12)
                ]
            self.assertNotIn("isolated", [reason_of(t.result) for t in tasks])
            self.assertEqual(deployment.counted("isolated"), 0)

        slow = single()
        for server in slow:
            server.delay = 1.0
        self.play(test, servers=slow)

    def test_servers_that_said_that_they_leave_isolate_nothing(self):
        """Their registrations do not say so; they end one after the other."""

        async def test(deployment):
            leaving = deployment.gateways[0]._notices.leaving
            async with TaskGroup() as group:
                tasks = [
                    await group.spawn(deployment.ask, "/r/slow") for _ in range(12)
                ]
                await sleep(0.1)
                for server in deployment.servers:
                    server.headers = {HEADERS.leaving: "1"}
                    server.delay = 0.0
                for _ in range(4 * len(deployment.servers)):
                    await deployment.ask("/r/fast")
                names = {server.name for server in leaving.of_services(["s0"])}
                self.assertGreaterEqual(len(names), 3)
                for server in deployment.servers:
                    if server.name in names:
                        await server.end()
                        await sleep(0.03)
            self.assertNotIn("isolated", [reason_of(t.result) for t in tasks])
            self.assertEqual(deployment.counted("isolated"), 0)

        slow = single()
        for server in slow:
            server.delay = 1.0
        self.play(test, servers=slow)

    def test_it_is_tried_at_one_server_and_released_by_its_answer(self):
        async def test(deployment):
            await deployment.ask("/q/deadly")
            before = deployment.ended
            await sleep(2 * ISOLATION)
            response = await deployment.ask("/q/deadly")
            self.assertEqual(response.status, 502)
            self.assertEqual(deployment.ended, before + 1)
            for server in deployment.servers:
                server.deadly = False
                if server.ended:
                    await server.start_again()
            await sleep(3 * ISOLATION)
            response = await deployment.ask("/q/deadly")
            self.assertEqual(response.status, 200)
            await deployment.wait_until(lambda: deployment.counted("released") == 2)
            response = await deployment.ask("/q/deadly", instance=1)
            self.assertEqual(response.status, 200)
            self.assertLessEqual(deployment.counted("tried"), 2)

        isolation = partial(
            CrashIsolation, config=CrashIsolationConfig(base_isolation=ISOLATION)
        )
        with patch("savorypond.gateway.daemon.CrashIsolation", isolation):
            self.play(test, servers=shards())

    def test_unreadable_news_is_refused(self):
        async def test(deployment):
            request = HttpRequest(method="POST", path="/peer/crashes", body=b"\xff")
            address = deployment.gateways[0].peer_address
            async with HttpConnection(address=address) as connection:
                response = await connection.request(request)
            self.assertEqual(response.status, 400)
            response = await deployment.ask("/r/1")
            self.assertEqual(response.status, 200)

        self.play(test, servers=single())
