"""Tests of the rate limit of a backend server with several instances, on loopback."""

from contextlib import AsyncExitStack
from json import loads
from time import monotonic
from unittest import TestCase

from curio import TaskGroup, run, sleep, timeout_after

from savorypond.http.client import HttpConnection
from savorypond.http.messages import Header, HttpRequest
from savorypond.platform.names import HEADERS
from tests.gateway_loopback import (
    FakeServer,
    FakeStore,
    RemoteServer,
    configuration,
    make_gateway,
    route,
)

HOSTS = ("127.0.0.2", "127.0.0.3", "127.0.0.4")
LIMIT = 5.0  # requests a second
TOLERANCE = 5  # requests
BURST_FACTOR = 1.5
A_LACK_OF_TOKENS = ("rate-limited", "not-run")  # reason and execution of a refusal
READ = route("r", "/r/", backend="s1")
QUERY = route("q", "/q/", gather=["s1"], top_k=2, min_version=1.0)


class Fleet(AsyncExitStack):
    """A store, backend servers and three gateways that know each other."""

    def __init__(self, *routes, servers, data_centres=("a", "a", "a")):
        super().__init__()
        self.data_centres = data_centres
        self.routes = routes
        self.servers = servers

    async def __aenter__(self):
        await super().__aenter__()
        store = self.store = await self.enter_async_context(FakeStore())
        for server in self.servers:
            await self.enter_async_context(server)
            store.put(f"servers/{server.name}", server.entry())
        store.put("op/config", configuration(*self.routes))
        self.gateways = [
            await self.enter_async_context(
                make_gateway(
                    store, name=host, host=host, seeds=HOSTS, data_centre=data_centre
                )
            )
            for host, data_centre in zip(HOSTS, self.data_centres, strict=True)
        ]
        await self.wait_until(lambda: all(map(self.is_complete, self.gateways)))
        return self

    def is_complete(self, gateway):
        """Return whether ``gateway`` knows the others and their data centres."""
        known = sorted(peer.data_centre for peer in gateway.peers())
        own = self.data_centres[self.gateways.index(gateway)]
        return gateway.ready and sorted([own, *known]) == sorted(self.data_centres)

    async def ask(self, gateway, path, request_id):
        headers = {
            "host": "shop.example",
            HEADERS.request_id: request_id,
            HEADERS.time_left: "15000",
        }
        request = HttpRequest(
            method="GET",
            path=path,
            headers=tuple(Header(name=n, value=v) for n, v in headers.items()),
        )
        async with HttpConnection(address=gateway.caller_address) as connection:
            return await connection.request(request)

    async def ask_until_sent(self, gateway, path, request_id):
        """Ask again, when told to, while a limit leaves no token for the request."""
        async with timeout_after(60):
            while True:
                response = await self.ask(gateway, path, request_id)
                if response.status != 503:
                    return response
                problem = loads(response.body)
                if (problem["reason"], problem["execution"]) != A_LACK_OF_TOKENS:
                    return response
                await sleep(float(response.header("retry-after")))

    async def wait_until(self, condition):
        async with timeout_after(60):
            while not condition():
                await sleep(0.005)

    async def ask_all(self, path, count):
        """Send ``count`` requests to each gateway; return the statuses."""
        statuses = []

        async def ask_one(gateway, number):
            for turn in range(count):
                response = await self.ask(gateway, path, f"r{number}-{turn}")
                statuses.append(response.status)

        async with TaskGroup() as group:
            for number, gateway in enumerate(self.gateways):
                await group.spawn(ask_one, gateway, number)
        return statuses


class RateLimitTests(TestCase):
    def play(self, path, limited, others=()):
        async def main():
            async with Fleet(READ, QUERY, servers=(limited, *others)) as fleet:
                await fleet.ask_all(path, 1)
                known_at = monotonic()
                known = len(limited.requests)
                statuses = await fleet.ask_all(path, 40)
                seconds = monotonic() - known_at
                return statuses, len(limited.requests) - known, seconds

        return run(main)

    def test_instances_together_exceeded_the_rate_that_a_server_announced(self):
        for path in ("/r/1", "/q/1"):
            with self.subTest(path):
                limited = FakeServer("i1", service="s1", rate_limit=LIMIT)
                other = FakeServer("i2", service="s1")
                statuses, sent, seconds = self.play(path, limited, (other,))
                self.assertEqual(set(statuses), {200})
                self.assertLessEqual(sent, BURST_FACTOR * LIMIT * seconds + TOLERANCE)

    def test_requests_that_arrive_at_once_exceeded_a_limit(self):
        async def main():
            limited = FakeServer("i1", service="s1", rate_limit=LIMIT)
            async with Fleet(READ, QUERY, servers=(limited,)) as fleet:
                await fleet.ask_all("/r/1", 1)
                for path in ("/r/1", "/q/1"):
                    await sleep(1.0)  # each gateway holds a token
                    known = len(limited.requests)
                    started_at = monotonic()
                    async with TaskGroup() as group:
                        for number in range(120):
                            gateway = fleet.gateways[number % len(HOSTS)]
                            request_id = f"{path}{number}"
                            await group.spawn(fleet.ask, gateway, path, request_id)
                    seconds = monotonic() - started_at
                    sent = len(limited.requests) - known
                    allowed = BURST_FACTOR * LIMIT * seconds + TOLERANCE
                    self.assertLessEqual(sent, allowed)

        run(main)

    def test_a_request_without_room_is_refused_at_once_and_has_not_run(self):
        async def main():
            limited = FakeServer("i1", service="s1", rate_limit=0.5)
            async with Fleet(READ, QUERY, servers=(limited,)) as fleet:
                await fleet.ask_all("/r/1", 1)
                for path in ("/r/1", "/q/1"):
                    refused_ids, refused = set(), 0
                    for number in range(30):
                        request_id = f"{path}{number}"
                        response = await fleet.ask(fleet.gateways[0], path, request_id)
                        if response.status == 200:
                            continue
                        refused += 1
                        self.assertEqual(response.status, 503)
                        problem = loads(response.body)
                        self.assertEqual(problem["reason"], "rate-limited")
                        self.assertEqual(problem["execution"], "not-run")
                        self.assertGreater(float(response.header("retry-after")), 0.0)
                        refused_ids.add(request_id)
                    self.assertGreater(refused, 15)
                    ran = {r.header(HEADERS.request_id) for r in limited.requests}
                    self.assertFalse(ran & refused_ids)

        run(main)

    def test_an_instance_without_tokens_asks_for_one_when_a_request_needs_it(self):
        async def main():
            limited = FakeServer("i1", service="s1", rate_limit=20.0)
            async with Fleet(READ, QUERY, servers=(limited,)) as fleet:
                await fleet.ask(fleet.gateways[0], "/r/1", "first")
                await sleep(1.5)
                for path in ("/r/1", "/q/1"):
                    for number, gateway in enumerate(fleet.gateways):
                        response = await fleet.ask(gateway, path, f"{path}{number}")
                        self.assertEqual(response.status, 200)

        run(main)

    def test_a_restarted_instance_learns_limits_before_it_uses_a_server(self):
        async def main():
            limited = FakeServer("i1", service="s1", rate_limit=LIMIT)
            async with Fleet(READ, servers=(limited,)) as fleet:
                await fleet.ask(fleet.gateways[0], "/r/1", "r1")
                started = make_gateway(
                    fleet.store, name="new", host="127.0.0.5", seeds=HOSTS
                )
                async with started:
                    await fleet.wait_until(lambda: started.limited_servers == 1)
                self.assertEqual(len(limited.requests), 1)

        run(main)

    def test_instances_tell_each_other_of_limits_that_begin_and_end(self):
        async def main():
            limited = FakeServer("i1", service="s1", rate_limit=1000.0)
            async with Fleet(READ, servers=(limited,)) as fleet:
                for rate, known in ((1000.0, 1), (None, 0)):
                    limited.rate_limit = rate
                    sent = len(limited.requests)
                    # The coordinator has no token yet when it has just learned of a
                    # limit, and only an answer of the server tells that it has ended.
                    response = await fleet.ask_until_sent(
                        fleet.gateways[0], "/r/1", f"r{known}"
                    )
                    self.assertEqual(response.status, 200)
                    await fleet.wait_until(
                        lambda known=known: all(
                            gateway.limited_servers == known
                            for gateway in fleet.gateways
                        )
                    )
                    self.assertEqual(len(limited.requests), sent + 1)

        run(main)

    def test_shards_that_a_delegate_has_no_room_for_are_not_asked_instead(self):
        """The delegates are in the data centre of the servers, the origin is not."""
        services = [f"s{n}" for n in range(4)]
        query = route("q", "/q/", gather=services, top_k=2, min_version=0.5)

        async def main():
            servers = [
                RemoteServer(f"i{service}", service=service, rate_limit=0.5)
                for service in services
            ]
            fleet = Fleet(query, servers=servers, data_centres=("a", "b", "b"))
            async with fleet:
                statuses = []
                for number in range(40):
                    response = await fleet.ask(fleet.gateways[0], "/q/1", f"r{number}")
                    statuses.append(response.status)
                self.assertEqual(set(statuses), {200, 503})
                self.assertLess(statuses.count(200), 10)
                peers = {r.peer for server in servers for r in server.requests}
                self.assertLessEqual(peers, set(HOSTS[1:]))

        run(main)
