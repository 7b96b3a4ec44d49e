"""Tests of savorypond.gateway.daemon over loopback."""

from contextlib import AsyncExitStack
from unittest import TestCase
from unittest.mock import patch

from curio import run, sleep, spawn, timeout_after

from savorypond.clock import SystemClock
from savorypond.gateway.attempts import ForwardedRequest
from savorypond.gateway.delegation import Group
from savorypond.gateway.routes import Route
from savorypond.http.client import HttpConnection
from savorypond.http.messages import Header, HttpRequest
from savorypond.platform.names import HEADERS, READY_PATH
from tests.gateway_loopback import (
    BreakingServer,
    FakeServer,
    FakeStore,
    configuration,
    make_gateway,
    route,
)

A_RECORD = b"a" * 16
B_RECORD = b"b" * 16
C_RECORD = b"c" * 16


class World(AsyncExitStack):
    """A store, backend servers and one gateway that has read it."""

    def __init__(self, *routes, servers=()):
        super().__init__()
        self.routes = routes
        self.servers = servers

    async def __aenter__(self):
        await super().__aenter__()
        self.store = await self.enter_async_context(FakeStore())
        for server in self.servers:
            await self.enter_async_context(server)
            self.store.put(f"servers/{server.name}", server.entry())
        if self.routes:
            self.store.put("op/config", configuration(*self.routes))
        self.gateway = await self.enter_async_context(make_gateway(self.store))
        if self.routes:
            await self.until(lambda: self.gateway.ready)
        return self

    async def until(self, holds):
        async with timeout_after(60):
            while not holds():
                await sleep(0.005)

    def request(self, path="/q/1", *, method="GET", body=b"", request_id="r1", **more):
        headers = {
            "host": "shop.example",
            HEADERS.request_id: request_id,
            HEADERS.time_left: "15000",
            **more,
        }
        return HttpRequest(
            method=method,
            path=path,
            headers=tuple(Header(name=n, value=v) for n, v in headers.items()),
            body=body,
        )

    async def ask(self, *arguments, **more):
        address = self.gateway.caller_address
        async with HttpConnection(address=address) as connection:
            return await connection.request(self.request(*arguments, **more))


def in_world(*routes, servers=tuple):
    """Run the test inside a world."""

    def wrap(test):
        def wrapped(self):
            async def play():
                async with World(*routes, servers=servers()) as world:
                    await test(self, world)

            run(play)

        return wrapped

    return wrap


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


class QueryTests(TestCase):
    @in_world(QUERY, servers=shards())
    async def test_merges_the_greatest_records_of_all_shards(self, world):
        response = await world.ask()
        self.assertEqual(response.status, 200)
        self.assertEqual(response.body, C_RECORD + B_RECORD)
        signatures = response.header(HEADERS.part_signatures).split(", ")
        self.assertEqual(set(signatures), {"i1.r1", "i2.r1"})
        self.assertEqual(response.header(HEADERS.missing_parts), "0")

    @in_world(QUERY, servers=shards())
    async def test_servers_get_the_request_unchanged(self, world):
        await world.ask("/q/x?y=%2F", **{"x-more": "z", "te": "trailers"})
        (request,) = world.servers[0].requests
        self.assertEqual((request.method, request.path), ("GET", "/q/x?y=%2F"))
        self.assertEqual(request.header("host"), "shop.example")
        self.assertEqual(request.header("x-more"), "z")
        self.assertIsNone(request.header("te"))
        self.assertEqual(request.header(HEADERS.request_id), "r1")
        self.assertEqual(request.header(HEADERS.expected_server), "i1")
        self.assertLessEqual(int(request.header(HEADERS.time_left)), 15000)

    @in_world(QUERY, servers=shards(second="failing"))
    async def test_a_failure_is_no_part(self, world):
        response = await world.ask()
        self.assertEqual(response.header(HEADERS.part_signatures), "i1.r1")
        self.assertEqual(response.header(HEADERS.missing_parts), "1")

    @in_world(QUERY, servers=shards("failing", "failing"))
    async def test_the_log_tells_why_a_query_was_given_up(self, world):
        with patch("savorypond.gateway.handler.log_event") as log:
            response = await world.ask()
        self.assertEqual(response.status, 502)
        given_up, refused = log.call_args_list
        self.assertEqual(given_up.args, ("given-up",))
        self.assertEqual(given_up.kwargs["request"], "r1")
        self.assertEqual(set(given_up.kwargs["missing"]), {"s1", "s2"})
        problems = {"i1: status 500", "i2: status 500"}
        self.assertEqual(set(given_up.kwargs["problems"]), problems)
        self.assertEqual(refused.args, ("refused",))

    @in_world(QUERY, servers=shards(second="crossed"))
    async def test_an_answer_to_another_request_is_no_part(self, world):
        response = await world.ask()
        self.assertEqual(response.header(HEADERS.missing_parts), "1")

    @in_world(
        route("q", "/q/", gather=["s1", "s2"], top_k=2, min_version=1.0),
        servers=shards(second="failing"),
    )
    async def test_too_few_parts_are_refused_as_perhaps_run(self, world):
        response = await world.ask()
        self.assertEqual(response.status, 502)
        self.assertIsNone(response.header(HEADERS.signature))

    @in_world(
        route("q", "/q/", gather=["s1", "s9"], top_k=2, min_version=1.0),
        servers=shards(),
    )
    async def test_a_shard_without_servers_is_refused_before_anything_is_sent(
        self, world
    ):
        response = await world.ask()
        self.assertEqual(response.status, 503)
        self.assertGreater(float(response.header("retry-after")), 0.0)
        self.assertEqual(world.servers[0].requests, [])


class PlainTests(TestCase):
    @in_world(READ, servers=replicas("failing", "good"))
    async def test_an_idempotent_request_is_tried_again(self, world):
        for number in range(6):
            response = await world.ask("/r/1", request_id=f"r{number}")
            self.assertEqual((response.status, response.body), (200, b"two"))

    @in_world(WRITE, servers=replicas("failing", "failing"))
    async def test_a_failure_of_the_server_is_passed_on(self, world):
        response = await world.ask("/w/1", method="POST", body=b"x")
        self.assertEqual(response.status, 500)
        self.assertIsNotNone(response.header(HEADERS.signature))
        self.assertEqual(sum(len(s.requests) for s in world.servers), 1)

    @in_world(WRITE, servers=replicas("full", "full"))
    async def test_what_no_server_ran_is_refused_as_not_run(self, world):
        response = await world.ask("/w/1", method="POST", body=b"x")
        self.assertEqual(response.status, 503)
        self.assertIsNotNone(response.header("retry-after"))
        self.assertEqual(sum(len(s.requests) for s in world.servers), 2)

    @in_world(WRITE, servers=replicas("other", "good"))
    async def test_a_server_at_anothers_address_did_not_run_it(self, world):
        response = await world.ask("/w/1", method="POST", body=b"x")
        self.assertEqual(response.status, 200)
        self.assertEqual(world.servers[-1].requests[0].body, b"x")

    @in_world(
        WRITE,
        servers=lambda: (
            BreakingServer("i1", service="s1"),
            BreakingServer("i2", service="s1"),
        ),
    )
    async def test_what_may_have_run_is_neither_repeated_nor_denied(self, world):
        response = await world.ask("/w/1", method="POST", body=b"x")
        self.assertEqual(response.status, 502)
        self.assertEqual(sum(len(s.requests) for s in world.servers), 1)

    @in_world(READ, servers=replicas("silent", "silent"))
    async def test_a_caller_that_leaves_ends_the_work(self, world):
        address = world.gateway.caller_address
        connection = HttpConnection(address=address)
        await connection.open()
        task = await spawn(connection.request, world.request("/r/1"), daemon=True)
        await world.until(lambda: any(s.requests for s in world.servers))
        await connection.close(abort=True)
        (busy,) = (s for s in world.servers if s.requests)
        async with timeout_after(60):
            await busy.left.wait()
        await task.cancel()


class ConnectionTests(TestCase):
    @in_world(READ, servers=replicas("silent", "silent"))
    async def test_its_own_bound_does_not_rest_a_server(self, world):
        for server in world.servers:
            server.behaviour = "silent"
        tasks = [await spawn(self.ask, world, f"r{n}", daemon=True) for n in range(60)]
        await world.until(lambda: sum(len(s.requests) for s in world.servers) >= 20)
        for server in world.servers:
            server.behaviour = "good"
        for task in tasks:
            await task.cancel()
        self.assertEqual((await world.ask("/r/1", request_id="last")).status, 200)

    async def ask(self, world, request_id):
        await world.ask("/r/1", request_id=request_id)


class InterfaceTests(TestCase):
    @in_world()
    async def test_before_a_configuration_nothing_is_denied(self, world):
        self.assertEqual((await world.ask()).status, 503)
        address = world.gateway.ready_address
        async with HttpConnection(address=address) as connection:
            request = HttpRequest(method="GET", path=READY_PATH)
            self.assertEqual((await connection.request(request)).status, 503)

    @in_world(READ, servers=replicas("good", "good"))
    async def test_unknown_hosts_and_paths_have_no_route(self, world):
        self.assertEqual((await world.ask("/x/")).status, 404)
        self.assertEqual((await world.ask("/r/", host="x.example")).status, 404)

    @in_world(READ, servers=replicas("good", "good"))
    async def test_a_request_without_id_or_with_bad_time_is_malformed(self, world):
        self.assertEqual((await world.ask("/r/", request_id="")).status, 400)
        bad = {HEADERS.time_left: "soon"}
        self.assertEqual((await world.ask("/r/", **bad)).status, 400)

    @in_world(READ, servers=replicas("good", "good"))
    async def test_oversize_heads_and_bodies_are_refused(self, world):
        response = await world.ask("/r/", **{"x-large": "x" * 8000})
        self.assertEqual(response.status, 413)
        response = await world.ask("/r/", method="POST", body=b"x" * 70000)
        self.assertEqual(response.status, 413)

    @in_world(READ, servers=replicas("good", "good"))
    async def test_a_stop_answers_and_ends_connections(self, world):
        address = world.gateway.caller_address
        async with HttpConnection(address=address) as connection:
            await connection.request(world.request("/r/"))
            stopping = await spawn(world.gateway.stop)
            await sleep(0)
            response = await connection.request(world.request("/r/"))
            self.assertEqual(response.status, 200)
            self.assertTrue(response.close)
            await stopping.join()


class PublishedTests(TestCase):
    @in_world(READ, servers=replicas("good", "good"))
    async def test_a_leaving_server_gets_nothing_more(self, world):
        first, second = world.servers
        world.store.put(f"servers/{first.name}", first.entry(phase="draining"))
        await world.until(lambda: len(world.gateway.servers("s1")) == 1)
        before = len(first.requests)
        for number in range(5):
            await world.ask("/r/1", request_id=f"r{number}")
        self.assertEqual(len(first.requests), before)
        self.assertEqual(len(second.requests), 5 - before)

    @in_world(READ, servers=replicas("good", "good"))
    async def test_an_older_configuration_is_not_taken(self, world):
        world.store.put("op/config", configuration(READ, version=9))
        await world.until(lambda: world.gateway.version == 9)
        world.store.put("op/config", configuration(version=8))
        world.store.put("op/config", configuration(READ, WRITE, version=10))
        await world.until(lambda: world.gateway.version == 10)

    @in_world(READ, servers=replicas("good", "good"))
    async def test_forgotten_history_and_refused_reads_are_overcome(self, world):
        world.store.statuses = [429, 503, 500]
        world.store.put("op/config", configuration(READ, version=9))
        world.store.drop_history()
        await world.until(lambda: world.gateway.version == 9)
        self.assertEqual(len(world.gateway.servers("s1")), 2)

    @in_world(READ, servers=replicas("good", "good"))
    async def test_what_cannot_be_read_names_no_server(self, world):
        first, _ = world.servers
        store = world.store
        store.put_bytes("servers/x1", b"\xff{")
        store.put("servers/x2", first.entry(phase="sleeping"))
        store.put("servers/x3", first.entry(address=7))
        store.put("servers/x4", ["a list"])
        store.put("servers/x5", first.entry())
        await world.until(lambda: len(world.gateway.servers("s1")) == 3)
        self.assertEqual((await world.ask("/r/1")).status, 200)


class PeerTests(TestCase):
    """Two gateways in two data centres; every server is in the second."""

    def play(self, test, *, behaviour="good"):
        async def play():
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
                query = route("q", "/q/", gather=names, top_k=2, min_version=0.5)
                store.put("op/config", configuration(query))
                near = await stack.enter_async_context(
                    make_gateway(store, name="near", host="127.0.0.2", data_centre="b")
                )
                far = await stack.enter_async_context(
                    make_gateway(
                        store, name="far", host="127.0.0.3", seeds=("127.0.0.2",)
                    )
                )
                world = World()
                world.gateway, world.servers, world.store = far, servers, store
                await world.until(lambda: near.ready and far.ready)
                await world.until(lambda: far.peers() and near.peers())
                await test(world, near)

        run(play)

    def test_far_shards_are_gathered_by_the_peer_beside_them(self):
        async def test(world, near):
            response = await world.ask()
            self.assertEqual(response.body, b"d" * 16 + b"c" * 16)
            signatures = response.header(HEADERS.part_signatures).split(", ")
            self.assertEqual(set(signatures), {f"i{n}.r1" for n in range(4)})
            for server in world.servers:
                (request,) = server.requests
                self.assertEqual(request.path, "/q/1")
                self.assertEqual(request.peer, "127.0.0.2")

        self.play(test)

    def test_a_peer_gathers_by_a_version_that_it_does_not_know(self):
        async def test(world, near):
            later = Route(
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
                ends=SystemClock().now() + 15.0,
                repeatable=True,
            )
            (peer,) = world.gateway.peers()
            result = await world.gateway._handover.run(
                Group(peer=peer, shards=(0, 1)),
                request,
                route=later,
                version=99,
                answer_at=request.ends,
                give_up=False,
            )
            self.assertEqual(result.answered, (0, 1))
            self.assertEqual(set(result.part.signatures), {"i0.r9", "i1.r9"})

        self.play(test)

    def test_the_peer_says_what_it_lacks(self):
        async def test(world, near):
            response = await world.ask()
            self.assertEqual(response.header(HEADERS.missing_parts), "1")
            self.assertEqual(response.body, b"c" * 16 + b"b" * 16)
            self.assertEqual(len(world.servers[3].requests), 1)

        self.play(test, behaviour="failing")

    def test_a_peer_that_is_gone_is_done_without(self):
        async def test(world, near):
            await near.__aexit__(None, None, None)
            response = await world.ask()
            self.assertEqual(response.header(HEADERS.missing_parts), "0")
            self.assertEqual(world.servers[0].requests[0].peer, "127.0.0.3")

        self.play(test)

    def test_a_store_that_turns_an_instance_away_is_done_without(self):
        async def test(world, near):
            store = world.store
            store.turned_away = {"127.0.0.3"}
            names = [server.service for server in world.servers]
            query = route("p", "/p/", gather=names, top_k=2, min_version=0.5)
            store.put("op/config", configuration(query, version=5))
            await world.until(lambda: world.gateway.version == 5)
            self.assertEqual((await world.ask("/p/1")).status, 200)

        self.play(test)
