"""Tests of savorypond.gateway.daemon over loopback."""

from contextlib import AsyncExitStack
from itertools import count
from json import loads
from socket import SO_LINGER, SOL_SOCKET
from struct import pack
from time import monotonic, sleep as block
from unittest import TestCase
from unittest.mock import patch

from curio import Event, TaskGroup, run, sleep, spawn, timeout_after
from curio.socket import AF_INET, SOCK_STREAM, socket

from savorypond.clock import SystemClock
from savorypond.gateway.answer_timing import AnswerTiming
from savorypond.gateway.attempts import ForwardedRequest
from savorypond.gateway.connection_pool import ConnectionPools
from savorypond.gateway.delegation import ShardGroup
from savorypond.gateway.gather_plan import GatherPlan
from savorypond.gateway.leaving_servers import LeavingServer
from savorypond.gateway.routes import Route
from savorypond.gateway.servers import LAPSE_GRACE
from savorypond.http.client import HttpConnection
from savorypond.http.messages import Header, HttpRequest
from savorypond.platform.names import HEADERS, READY_PATH
from tests.gateway_loopback import (
    A_LEAVING,
    SLOW_TIME,
    DroppingServer,
    FakeServer,
    FakeStore,
    configuration,
    make_gateway,
    route,
)

BUSY_CONNECTIONS = 9
ANSWER_TIME = 1.0  # seconds after a stop for a client to read its answer
DOWNGRADE_TIME = 2.0  # seconds, as allowed on a slowed machine
MAX_LATENESS = 0.25  # seconds; a read of the store takes twice as long to come
BUSY_TIME = 0.5  # seconds for which the event loop is blocked
A_RECORD = b"a" * 16
B_RECORD = b"b" * 16
C_RECORD = b"c" * 16


class GatewayEnvironment(AsyncExitStack):
    """A store, backend servers and one gateway that has read the store."""

    def __init__(self, *routes, servers=(), **settings):
        super().__init__()
        self.routes = routes
        self.servers = servers
        self.settings = settings

    async def __aenter__(self):
        await super().__aenter__()
        self.store = await self.enter_async_context(FakeStore())
        for server in self.servers:
            await self.enter_async_context(server)
            self.store.put(f"servers/{server.name}", server.entry())
        if self.routes:
            self.store.put("op/config", configuration(*self.routes))
        self.gateway = await self.enter_async_context(
            make_gateway(self.store, **self.settings)
        )
        if self.routes:
            await self.wait_until(lambda: self.gateway.ready)
        return self

    async def wait_until(self, condition):
        async with timeout_after(60):
            while not condition():
                await sleep(0.005)

    async def wait_until_idle(self):
        """Wait until all attempts have ended, also those of answered requests."""
        loads = self.gateway._loads._loads
        await self.wait_until(lambda: not any(x.in_flight for x in loads.values()))

    def request(self, path="/q/1", *, method="GET", body=b"", request_id="r1", **extra):
        headers = {
            "host": "shop.example",
            HEADERS.request_id: request_id,
            HEADERS.time_left: "15000",
            **extra,
        }
        return HttpRequest(
            method=method,
            path=path,
            headers=tuple(Header(name=n, value=v) for n, v in headers.items()),
            body=body,
        )

    async def ask(self, *arguments, **extra):
        address = self.gateway.caller_address
        async with HttpConnection(address=address) as connection:
            return await connection.request(self.request(*arguments, **extra))

    async def ask_after(self, delay, path, method):
        """Ask ``delay`` seconds from now."""
        await sleep(delay)
        return await self.ask(path, method=method)


def with_gateway(*routes, servers=tuple, **settings):
    """Run the test in a ``GatewayEnvironment``."""

    def decorate(test):
        def wrapper(self):
            async def run_test():
                async with GatewayEnvironment(
                    *routes, servers=servers(), **settings
                ) as env:
                    await test(self, env)

            run(run_test)

        return wrapper

    return decorate


QUERY = route("q", "/q/", gather=["s1", "s2"], top_k=2, min_version=0.5)
WRITE = route("w", "/w/", backend="s1", type="unsafe")
READ = route("r", "/r/", backend="s1")


def shards(first="good", second="good"):
    return lambda: (
        FakeServer("i1", service="s1", body=A_RECORD + C_RECORD, behaviour=first),
        FakeServer("i2", service="s2", body=B_RECORD, behaviour=second),
    )


def replicas(first, second):
    return lambda: (
        FakeServer("i1", service="s1", behaviour=first, body=b"one"),
        FakeServer("i2", service="s1", behaviour=second, body=b"two"),
    )


def request_head(request_id, *, path="/r/1", time_left=15000):
    """Return the bytes of a request without a body."""
    head = (
        f"GET {path} HTTP/1.1\r\nhost: shop.example\r\n"
        f"{HEADERS.request_id}: {request_id}\r\n"
        f"{HEADERS.time_left}: {time_left}\r\n\r\n"
    )
    return head.encode()


class QueryTests(TestCase):
    @with_gateway(QUERY, servers=shards())
    async def test_merges_the_greatest_records_of_all_shards(self, env):
        response = await env.ask()
        self.assertEqual(response.status, 200)
        self.assertEqual(response.body, C_RECORD + B_RECORD)
        signatures = response.header(HEADERS.part_signatures).split(", ")
        self.assertEqual(set(signatures), {"i1.r1", "i2.r1"})
        self.assertEqual(response.header(HEADERS.missing_parts), "0")

    @with_gateway(QUERY, servers=shards())
    async def test_forwards_the_request_unchanged(self, env):
        await env.ask("/q/x?y=%2F", **{"x-more": "z", "te": "trailers"})
        (request,) = env.servers[0].requests
        self.assertEqual((request.method, request.path), ("GET", "/q/x?y=%2F"))
        self.assertEqual(request.header("host"), "shop.example")
        self.assertEqual(request.header("x-more"), "z")
        self.assertIsNone(request.header("te"))
        self.assertEqual(request.header(HEADERS.request_id), "r1")
        self.assertEqual(request.header(HEADERS.expected_server), "i1")
        self.assertLessEqual(int(request.header(HEADERS.time_left)), 15000)

    @with_gateway(QUERY, servers=shards(second="failing"))
    async def test_a_failed_shard_is_missing(self, env):
        response = await env.ask()
        self.assertEqual(response.header(HEADERS.part_signatures), "i1.r1")
        self.assertEqual(response.header(HEADERS.missing_parts), "1")

    @with_gateway(QUERY, servers=shards("failing", "failing"))
    async def test_logs_why_a_query_failed(self, env):
        with patch("savorypond.gateway.handler.log_event") as log:
            response = await env.ask()
        self.assertEqual(response.status, 502)
        given_up, refused = log.call_args_list
        self.assertEqual(given_up.args, ("given-up",))
        self.assertEqual(given_up.kwargs["request"], "r1")
        self.assertEqual(set(given_up.kwargs["missing"]), {"s1", "s2"})
        problems = {"i1: status 500", "i2: status 500"}
        self.assertEqual(set(given_up.kwargs["problems"]), problems)
        self.assertEqual(refused.args, ("refused",))

    @with_gateway(QUERY, servers=shards(second="crossed"))
    async def test_an_answer_to_another_request_is_discarded(self, env):
        response = await env.ask()
        self.assertEqual(response.header(HEADERS.missing_parts), "1")

    @with_gateway(
        route("q", "/q/", gather=["s1", "s2"], top_k=2, min_version=1.0),
        servers=shards(second="failing"),
    )
    async def test_too_few_parts_are_reported_as_possibly_run(self, env):
        response = await env.ask()
        self.assertEqual(response.status, 502)
        self.assertIsNone(response.header(HEADERS.signature))

    @with_gateway(
        route("q", "/q/", gather=["s1", "s9"], top_k=2, min_version=1.0),
        servers=shards(),
    )
    async def test_a_missing_shard_is_refused_before_anything_is_sent(self, env):
        response = await env.ask()
        self.assertEqual(response.status, 503)
        self.assertGreater(float(response.header("retry-after")), 0.0)
        self.assertEqual(env.servers[0].requests, [])


class SingleServerTests(TestCase):
    # The retry budget allows a retry of every request, however often the failing
    # server is chosen first.
    @with_gateway(READ, servers=replicas("failing", "good"), retry_slack=1000.0)
    async def test_retries_an_idempotent_request(self, env):
        for number in range(6):
            response = await env.ask("/r/1", request_id=f"r{number}")
            self.assertEqual((response.status, response.body), (200, b"two"))

    @with_gateway(WRITE, servers=replicas("failing", "failing"))
    async def test_forwards_a_server_error(self, env):
        response = await env.ask("/w/1", method="POST", body=b"x")
        self.assertEqual(response.status, 500)
        self.assertIsNotNone(response.header(HEADERS.signature))
        self.assertEqual(sum(len(s.requests) for s in env.servers), 1)

    @with_gateway(WRITE, servers=replicas("full", "full"))
    async def test_a_request_that_no_server_ran_is_refused_as_not_run(self, env):
        response = await env.ask("/w/1", method="POST", body=b"x")
        self.assertEqual(response.status, 503)
        self.assertIsNotNone(response.header("retry-after"))
        self.assertEqual(sum(len(s.requests) for s in env.servers), 2)

    @with_gateway(WRITE, servers=replicas("other", "good"))
    async def test_retries_after_a_misdirected_request(self, env):
        response = await env.ask("/w/1", method="POST", body=b"x")
        self.assertEqual(response.status, 200)
        self.assertEqual(env.servers[-1].requests[0].body, b"x")

    @with_gateway(
        WRITE,
        servers=lambda: (
            DroppingServer("i1", service="s1"),
            DroppingServer("i2", service="s1"),
        ),
    )
    async def test_a_request_that_may_have_run_is_not_retried_or_reported_as_not_run(
        self, env
    ):
        response = await env.ask("/w/1", method="POST", body=b"x")
        self.assertEqual(response.status, 502)
        self.assertEqual(sum(len(s.requests) for s in env.servers), 1)

    @with_gateway(READ, servers=replicas("silent", "silent"))
    async def test_a_disconnected_caller_cancels_its_request(self, env):
        address = env.gateway.caller_address
        connection = HttpConnection(address=address)
        await connection.open()
        task = await spawn(connection.request, env.request("/r/1"), daemon=True)
        await env.wait_until(lambda: any(s.requests for s in env.servers))
        await connection.close(abort=True)
        (busy,) = (s for s in env.servers if s.requests)
        async with timeout_after(60):
            await busy.cancelled.wait()
        await task.cancel()

    @with_gateway(WRITE, servers=replicas("good", "good"))
    async def test_nothing_is_sent_after_the_caller_has_left(self, env):
        is_connecting, may_connect = Event(), Event()
        lease = ConnectionPools.lease

        async def slow_lease(pools, server, **options):
            await is_connecting.set()
            await may_connect.wait()
            return await lease(pools, server, **options)

        address = env.gateway.caller_address
        with patch.object(ConnectionPools, "lease", slow_lease):
            async with socket(AF_INET, SOCK_STREAM) as sock:
                await sock.connect((address.host, address.port))
                await sock.sendall(request_head("r1", path="/w/1"))
                await is_connecting.wait()
            await env.wait_until(lambda: not env.gateway._caller_server.in_flight)
            await may_connect.set()
            await sleep(0.1)
        self.assertEqual([len(server.requests) for server in env.servers], [0, 0])


class ConnectionTests(TestCase):
    @with_gateway(READ, servers=replicas("silent", "silent"))
    async def test_the_local_connection_limit_does_not_eject_a_server(self, env):
        for server in env.servers:
            server.behaviour = "silent"
        tasks = [await spawn(self.ask, env, f"r{n}", daemon=True) for n in range(60)]
        await env.wait_until(lambda: sum(len(s.requests) for s in env.servers) >= 20)
        for server in env.servers:
            server.behaviour = "good"
        for task in tasks:
            await task.cancel()
        self.assertEqual((await env.ask("/r/1", request_id="last")).status, 200)

    async def ask(self, env, request_id):
        await env.ask("/r/1", request_id=request_id)


class ResponseMemoryTests(TestCase):
    @with_gateway(QUERY, servers=shards())
    async def test_the_memory_of_responses_is_released_with_the_request(self, env):
        memory = env.gateway._response_memory
        for number in range(3):
            self.assertEqual((await env.ask(request_id=f"r{number}")).status, 200)
        await env.wait_until(lambda: memory.held == 0)

    @with_gateway(QUERY, servers=shards())
    async def test_it_is_released_after_an_unexpected_error(self, env):
        def fail(plan, now):
            if plan.answered:
                raise ZeroDivisionError("unexpected")

        memory = env.gateway._response_memory
        with patch.object(GatherPlan, "verdict", fail):
            self.assertEqual((await env.ask()).status, 500)
        await env.wait_until(lambda: memory.held == 0)
        self.assertEqual((await env.ask(request_id="r2")).status, 200)


class UnreadRequestTests(TestCase):
    """An overloaded instance reads requests late; their deadlines run meanwhile."""

    async def ask_busy(self, env, *, time_left):
        """Return the response to a request that arrives while the loop is blocked."""
        address = env.gateway.caller_address
        async with socket(AF_INET, SOCK_STREAM) as sock:
            await sock.connect((address.host, address.port))
            await sock.sendall(request_head("r1", time_left=time_left))
            block(BUSY_TIME)
            return await sock.recv(65536)

    @with_gateway(READ, servers=replicas("good", "good"))
    async def test_servers_get_the_time_that_is_left(self, env):
        self.assertIn(b" 200 ", await self.ask_busy(env, time_left=15000))
        (request,) = (r for server in env.servers for r in server.requests)
        time_left = int(request.header(HEADERS.time_left))
        self.assertLessEqual(time_left, 15000 - 800 * BUSY_TIME)

    @with_gateway(READ, servers=replicas("good", "good"))
    async def test_a_request_whose_deadline_has_passed_is_not_run(self, env):
        time_left = int(500 * BUSY_TIME)
        self.assertIn(b" 503 ", await self.ask_busy(env, time_left=time_left))
        self.assertEqual([len(server.requests) for server in env.servers], [0, 0])

    @with_gateway(READ, servers=replicas("good", "good"))
    async def test_a_request_whose_caller_has_left_is_not_run(self, env):
        for number in range(4):  # opens connections to the servers
            await env.ask("/r/1", request_id=f"r{number}")
        sent = sum(len(server.requests) for server in env.servers)
        for is_reset in (False, True):
            with self.subTest(is_reset=is_reset):
                await self.leave_before_read(env, is_reset=is_reset)
                await sleep(0.1)
                requests = sum(len(server.requests) for server in env.servers)
                self.assertEqual(requests, sent)

    async def leave_before_read(self, env, *, is_reset):
        """Send a request and close its connection while the loop is blocked."""
        address = env.gateway.caller_address
        async with socket(AF_INET, SOCK_STREAM) as sock:
            await sock.connect((address.host, address.port))
            await sleep(0.05)
            sock.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", is_reset, 0))
            await sock.sendall(request_head("r9"))
        block(BUSY_TIME)


class ProtocolTests(TestCase):
    @with_gateway()
    async def test_is_not_ready_before_the_first_configuration(self, env):
        self.assertEqual((await env.ask()).status, 503)
        address = env.gateway.ready_address
        async with HttpConnection(address=address) as connection:
            request = HttpRequest(method="GET", path=READY_PATH)
            self.assertEqual((await connection.request(request)).status, 503)

    @with_gateway(READ, servers=replicas("good", "good"))
    async def test_unknown_hosts_and_paths_have_no_route(self, env):
        self.assertEqual((await env.ask("/x/")).status, 404)
        self.assertEqual((await env.ask("/r/", host="x.example")).status, 404)

    @with_gateway(READ, servers=replicas("good", "good"))
    async def test_a_request_without_an_id_or_with_an_invalid_time_is_malformed(
        self, env
    ):
        self.assertEqual((await env.ask("/r/", request_id="")).status, 400)
        for text in ("soon", "nan", "inf", "-inf", ""):
            bad = {HEADERS.time_left: text}
            self.assertEqual((await env.ask("/r/", **bad)).status, 400)

    @with_gateway(READ, servers=replicas("good", "good"))
    async def test_oversized_headers_and_bodies_are_refused(self, env):
        response = await env.ask("/r/", **{"x-large": "x" * 8000})
        self.assertEqual(response.status, 413)
        response = await env.ask("/r/", method="POST", body=b"x" * 70000)
        self.assertEqual(response.status, 413)

    @with_gateway(READ, servers=replicas("good", "good"))
    async def test_a_stop_answers_requests_and_closes_connections(self, env):
        address = env.gateway.caller_address
        async with HttpConnection(address=address) as connection:
            await connection.request(env.request("/r/"))
            stopping = await spawn(env.gateway.stop)
            await sleep(0)
            response = await connection.request(env.request("/r/"))
            self.assertEqual(response.status, 200)
            self.assertTrue(response.close)
            await stopping.join()

    @with_gateway(READ, servers=replicas("good", "good"))
    async def test_a_stop_cuts_no_request_of_busy_connections(self, env):
        numbers = count()
        stopping = Event()

        async def keep_asking():
            async with HttpConnection(address=env.gateway.caller_address) as connection:
                while True:
                    sent_in_stop = stopping.is_set()
                    request = env.request("/r/", request_id=f"r{next(numbers)}")
                    response = await connection.request(request)
                    self.assertEqual(response.status, 200)
                    self.assertEqual(response.close, sent_in_stop or response.close)
                    if response.close:
                        return

        async with TaskGroup() as group:
            for _ in range(BUSY_CONNECTIONS):
                await group.spawn(keep_asking)
            await sleep(0.1)
            await stopping.set()
            await env.gateway.stop()
        self.assertEqual(group.exceptions, [None] * BUSY_CONNECTIONS)

    async def check_silent_servers_in_a_stop(self, env, path, method):
        """The request was cut off without an answer at the end of the stop."""
        async with TaskGroup() as group:
            asking = await group.spawn(env.ask_after, 0.0, path, method)
            await env.wait_until(lambda: any(s.requests for s in env.servers))
            await env.gateway.stop()
            async with timeout_after(ANSWER_TIME):
                response = await asking.join()
        self.assertEqual(response.status, 504)

    @with_gateway(WRITE, servers=replicas("silent", "silent"), termination_grace=2.0)
    async def test_a_stop_answers_an_unsafe_request_to_a_silent_server(self, env):
        await self.check_silent_servers_in_a_stop(env, "/w/1", "POST")

    @with_gateway(READ, servers=replicas("silent", "silent"), termination_grace=2.0)
    async def test_a_stop_answers_a_safe_request_to_silent_servers(self, env):
        await self.check_silent_servers_in_a_stop(env, "/r/1", "GET")

    async def check_late_request_in_a_stop(self, env, path, method):
        """The request was passed on and cut off without an answer."""
        self.assertEqual((await env.ask(path, method=method)).status, 200)
        sent = sum(len(server.requests) for server in env.servers)
        async with TaskGroup() as group:
            asking = await group.spawn(env.ask_after, 0.9, path, method)
            await env.gateway.stop()
            async with timeout_after(ANSWER_TIME):
                response = await asking.join()
        self.assertEqual(response.status, 503)
        self.assertEqual(loads(response.body)["execution"], "not-run")
        self.assertLess(float(response.header("retry-after")), 0.1)
        self.assertTrue(response.close)
        self.assertEqual(sum(len(server.requests) for server in env.servers), sent)

    @with_gateway(WRITE, servers=replicas("slow", "slow"), termination_grace=2.0)
    async def test_a_stop_refuses_an_unsafe_request_that_comes_too_late(self, env):
        await self.check_late_request_in_a_stop(env, "/w/1", "POST")

    @with_gateway(READ, servers=replicas("slow", "slow"), termination_grace=2.0)
    async def test_a_stop_refuses_a_safe_request_that_comes_too_late(self, env):
        await self.check_late_request_in_a_stop(env, "/r/1", "GET")


class PublishedTests(TestCase):
    @with_gateway(READ, servers=replicas("good", "good"))
    async def test_a_leaving_server_gets_no_more_requests(self, env):
        first, second = env.servers
        env.store.put(f"servers/{first.name}", first.entry(phase="draining"))
        await env.wait_until(lambda: len(env.gateway.servers("s1")) == 1)
        before = len(first.requests)
        for number in range(5):
            await env.ask("/r/1", request_id=f"r{number}")
        self.assertEqual(len(first.requests), before)
        self.assertEqual(len(second.requests), 5 - before)

    @with_gateway(READ, servers=replicas("good", "good"))
    async def test_an_older_configuration_is_ignored(self, env):
        env.store.put("op/config", configuration(READ, version=9))
        await env.wait_until(lambda: env.gateway.version == 9)
        env.store.put("op/config", configuration(version=8))
        env.store.put("op/config", configuration(READ, WRITE, version=10))
        await env.wait_until(lambda: env.gateway.version == 10)

    @with_gateway(READ, servers=replicas("good", "good"))
    async def test_recovers_from_lost_history_and_failed_reads(self, env):
        env.store.statuses = [429, 503, 500]
        env.store.put("op/config", configuration(READ, version=9))
        env.store.drop_history()
        await env.wait_until(lambda: env.gateway.version == 9)
        self.assertEqual(len(env.gateway.servers("s1")), 2)

    @with_gateway(READ, servers=replicas("good", "good"))
    async def test_invalid_registrations_are_ignored(self, env):
        first, _ = env.servers
        store = env.store
        store.put_bytes("servers/x1", b"\xff{")
        store.put("servers/x2", first.entry(phase="sleeping"))
        store.put("servers/x3", first.entry(address=7))
        store.put("servers/x4", ["a list"])
        store.put("servers/x5", first.entry())
        await env.wait_until(lambda: len(env.gateway.servers("s1")) == 3)
        self.assertEqual((await env.ask("/r/1")).status, 200)


class PeerTests(TestCase):
    """Two gateways in two data centres; all servers are in that of the delegate."""

    def run_test(self, test, *, behaviour="good", **route_changes):
        async def run_test():
            async with AsyncExitStack() as stack:
                store = await stack.enter_async_context(FakeStore())
                names = [f"s{n}" for n in range(4)]
                servers = [
                    await stack.enter_async_context(
                        FakeServer(
                            f"i{n}",
                            service=name,
                            body=bytes([97 + n]) * 16,
                            behaviour=behaviour if n == 3 else "good",
                        )
                    )
                    for n, name in enumerate(names)
                ]
                for server in servers:
                    entry = server.entry(zone="b")
                    store.put(f"servers/{server.name}", entry)
                changes = {"min_version": 0.5, **route_changes}
                query = route("q", "/q/", gather=names, top_k=2, **changes)
                store.put("op/config", configuration(query))
                delegate = await stack.enter_async_context(
                    make_gateway(
                        store, name="delegate", host="127.0.0.2", data_centre="b"
                    )
                )
                origin = await stack.enter_async_context(
                    make_gateway(
                        store, name="origin", host="127.0.0.3", seeds=("127.0.0.2",)
                    )
                )
                env = GatewayEnvironment()
                env.gateway, env.servers, env.store = origin, servers, store
                await env.wait_until(lambda: delegate.ready and origin.ready)
                await env.wait_until(lambda: origin.peers() and delegate.peers())
                await test(env, delegate)

        run(run_test)

    def test_a_peer_gathers_the_shards_of_its_data_centre(self):
        async def test(env, delegate):
            response = await env.ask()
            self.assertEqual(response.body, b"d" * 16 + b"c" * 16)
            signatures = response.header(HEADERS.part_signatures).split(", ")
            self.assertEqual(set(signatures), {f"i{n}.r1" for n in range(4)})
            for server in env.servers:
                (request,) = server.requests
                self.assertEqual(request.path, "/q/1")
                self.assertEqual(request.peer, "127.0.0.2")

        self.run_test(test)

    def test_a_peer_that_gathers_by_a_newer_version_uses_it_for_its_own_callers(self):
        """Backend servers have seen that version from it."""

        async def test(env, delegate):
            env.store.rejected_hosts.add("127.0.0.2")
            await env.wait_until(lambda: delegate._feed._failures)
            names = [server.service for server in env.servers]
            query = route("q", "/q/", gather=names, top_k=2, min_version=0.5)
            env.store.put("op/config", configuration(query, version=2))
            await env.wait_until(lambda: env.gateway.version == 2)
            self.assertEqual(delegate.version, 1)
            self.assertEqual((await env.ask()).status, 200)
            async with timeout_after(DOWNGRADE_TIME):
                await env.wait_until(lambda: delegate.version == 2)

        feed = "savorypond.gateway.published_feed"
        with (
            patch(f"{feed}.BASE_BACKOFF", 60.0),
            patch(f"{feed}.MAX_BACKOFF", 60.0),
            patch(f"{feed}.PEER_INTERVAL", 60.0),
        ):
            self.run_test(test)

    def test_a_peer_gathers_for_an_unknown_configuration_version(self):
        async def test(env, delegate):
            newer_route = Route(
                name="later",
                host="shop.example",
                prefix="/later/",
                idempotent=True,
                time_limit=15.0,
                goal=10.0,
                shards=("s0", "s1"),
                top=1,
            )
            request = ForwardedRequest(
                method="GET",
                path="/later/1",
                headers=(Header(name=HEADERS.request_id, value="r9"),),
                body=b"",
                request_id="r9",
                caller_deadline=SystemClock().now() + 15.0,
                repeatable=True,
            )
            (peer,) = env.gateway.peers()
            result = await env.gateway._delegation_client.gather(
                ShardGroup(peer=peer, shards=(0, 1)),
                request,
                route=newer_route,
                version=99,
                partial_after=request.caller_deadline,
            )
            self.assertEqual(result.answered, (0, 1))
            self.assertEqual(set(result.part.signatures), {"i0.r9", "i1.r9"})

        self.run_test(test)

    def test_a_peer_reports_missing_shards(self):
        async def test(env, delegate):
            response = await env.ask()
            self.assertEqual(response.header(HEADERS.missing_parts), "1")
            self.assertEqual(response.body, b"c" * 16 + b"b" * 16)
            self.assertEqual(len(env.servers[3].requests), 1)

        self.run_test(test, behaviour="failing")

    def test_a_peer_does_not_merge_the_rejection_of_a_shard(self):
        """A signed 404 counted as a part at the instance that gathers, too."""

        async def test(env, delegate):
            env.servers[3].status = 404
            response = await env.ask()
            self.assertEqual(response.header(HEADERS.missing_parts), "1")
            self.assertEqual(response.body, b"c" * 16 + b"b" * 16)
            (request,) = env.servers[3].requests
            self.assertEqual(request.peer, "127.0.0.2")

        self.run_test(test)

    def test_an_answer_that_lacks_too_much_waits_for_a_slow_server(self):
        async def test(env, delegate):
            for number in range(3):
                response = await env.ask(request_id=f"r{number}")
                self.assertEqual(response.status, 200)
                self.assertEqual(response.header(HEADERS.missing_parts), "0")
                self.assertEqual(response.body, b"d" * 16 + b"c" * 16)
                signatures = response.header(HEADERS.part_signatures).split(", ")
                self.assertEqual(set(signatures), {f"i{n}.r{number}" for n in range(4)})

        self.run_test(test, behaviour="slow", min_version=1.0, target_latency_ms=300)

    def test_time_spent_on_a_slow_server_is_not_taken_for_time_to_merge(self):
        delays = []

        def record(timing, *, due, now):
            delays.append(now - due)

        async def test(env, delegate):
            await env.ask()

        with patch.object(AnswerTiming, "record_merge", record):
            self.run_test(
                test, behaviour="slow", min_version=1.0, target_latency_ms=300
            )
        self.assertLess(max(delays), 0.3 * SLOW_TIME)

    def test_a_partial_answer_does_not_wait_for_a_slow_server(self):
        async def test(env, delegate):
            response = await env.ask()
            self.assertEqual(response.status, 200)
            self.assertEqual(response.header(HEADERS.missing_parts), "1")

        self.run_test(test, behaviour="slow", min_version=0.5, target_latency_ms=300)

    def test_a_server_that_leaves_gets_nothing_by_way_of_another_instance(self):
        """It says so to the delegate, whose answer passes through the origin."""

        async def test(env, delegate):
            env.servers[3].headers = A_LEAVING
            response = await env.ask()
            self.assertEqual(response.header(HEADERS.missing_parts), "0")
            await delegate.__aexit__(None, None, None)
            for number in range(4):
                response = await env.ask(request_id=f"r{number + 2}")
                self.assertEqual(response.header(HEADERS.missing_parts), "1")
            self.assertEqual(len(env.servers[3].requests), 1)

        self.run_test(test)

    def test_a_server_that_leaves_gets_nothing_that_is_delegated(self):
        """It has said so to the origin only."""

        async def test(env, delegate):
            leaving = LeavingServer(name="i3", service="s3", started=1)
            env.gateway._notices.leaving.record(leaving, source="answer", now=0.0)
            for number in range(4):
                response = await env.ask(request_id=f"r{number}")
                self.assertEqual(response.header(HEADERS.missing_parts), "1")
            self.assertEqual(env.servers[0].requests[0].peer, "127.0.0.2")
            self.assertEqual(env.servers[3].requests, [])

        self.run_test(test)

    def test_falls_back_to_direct_requests_without_the_peer(self):
        async def test(env, delegate):
            await delegate.__aexit__(None, None, None)
            response = await env.ask()
            self.assertEqual(response.header(HEADERS.missing_parts), "0")
            self.assertEqual(env.servers[0].requests[0].peer, "127.0.0.3")

        self.run_test(test)

    def test_reads_from_a_peer_while_the_store_rejects_the_instance(self):
        async def test(env, delegate):
            store = env.store
            store.rejected_hosts = {"127.0.0.3"}
            names = [server.service for server in env.servers]
            query = route("p", "/p/", gather=names, top_k=2, min_version=0.5)
            store.put("op/config", configuration(query, version=5))
            await env.wait_until(lambda: env.gateway.version == 5)
            self.assertEqual((await env.ask("/p/1")).status, 200)

        self.run_test(test)


class LapseTests(TestCase):
    @with_gateway(
        READ,
        servers=lambda: [FakeServer(f"i{n}", service="s1") for n in range(6)],
    )
    async def test_lapsed_servers_get_nothing_after_their_grace_period(self, env):
        """They were dropped with the next read, after up to half a second more."""
        registry = env.gateway._registry
        for server in env.servers[1:]:
            env.store.remove(f"servers/{server.name}")
        await env.wait_until(lambda: len(registry.registered()) == 1)
        lapsed_at = monotonic()
        await env.wait_until(lambda: len(env.gateway.servers("s1")) == 1)
        self.assertGreater(monotonic() - lapsed_at, LAPSE_GRACE - 0.1)
        self.assertLess(monotonic() - lapsed_at, LAPSE_GRACE + MAX_LATENESS)
