"""The stand-ins follow the interfaces specified in docs/INTERFACES.md."""

from random import Random
from unittest import TestCase

from curio import TaskGroup, run, sleep, timeout_after
from msgspec.json import decode, encode

from savorypond.http.client import HttpConnection
from savorypond.http.messages import HttpRequest
from savorypond.model import Address
from savorypond.standins.backend_server import (
    Faults,
    HeldSnapshots,
    LognormalServiceTime,
    StandinBackendServer,
)
from savorypond.standins.platform import (
    ListedInstance,
    PlatformFaults,
    StandinConfigService,
    StandinInstanceList,
    StoredValue,
)
from tests.fanout_fakes import make_service

TEST_TIMEOUT = 30  # seconds
LOOPBACK = Address(host="127.0.0.1", port=0)
SERVICE = make_service("boats")
SHARD = SERVICE.layouts[0].shards[0].shard


async def send(address, method, path, content=None):
    body = encode(content) if content is not None else b""
    request = HttpRequest(method=method, path=path, body=body)
    async with HttpConnection(address=address) as connection:
        response = await connection.request(request)
    return response.status, decode(response.body) if response.body else None


def search(snapshot=101, request_id="q1", time_left_ms=5000.0):
    return {
        "request_id": request_id,
        "snapshot": snapshot,
        "layout": 1,
        "shards": [SHARD],
        "query": {"text": "ketch"},
        "time_left_ms": time_left_ms,
    }


def with_server(method):
    def test(self):
        async def main():
            server = StandinBackendServer(
                name="boats-a",
                address=LOOPBACK,
                service=SERVICE,
                snapshots=HeldSnapshots(),
                random=Random(1),
                service_time=LognormalServiceTime(mean=0.001, scv=0.1),
                now=lambda: 0.0,
            )
            async with timeout_after(TEST_TIMEOUT), server:
                await method(self, server)

        run(main)

    return test


class BackendServerTests(TestCase):
    @with_server
    async def test_a_search_answer_repeats_the_request_fields(self, server):
        status, answer = await send(server.address, "POST", "/v1/search", search())
        self.assertEqual(status, 200)
        self.assertEqual(answer["request_id"], "q1")
        self.assertEqual((answer["snapshot"], answer["layout"]), (101, 1))
        (partial,) = answer["partials"]
        self.assertEqual(partial["shard"], SHARD)
        self.assertEqual(partial["count"], len(partial["results"]))

    @with_server
    async def test_a_snapshot_not_held_is_409_with_those_held(self, server):
        status, answer = await send(server.address, "POST", "/v1/search", search(7))
        self.assertEqual(status, 409)
        self.assertEqual(answer["reason"], "snapshot-not-held")
        self.assertEqual([held["snapshot"] for held in answer["held"]], [100, 101])

    @with_server
    async def test_a_refused_call_is_not_run(self, server):
        for faults in (Faults(shed=True), Faults(draining=True)):
            server.set_faults(faults)
            body = {"request_id": "c1", "payload": 1, "time_left_ms": 1000.0}
            status, answer = await send(server.address, "POST", "/v1/calls", body)
            self.assertEqual(status, 503)
            self.assertEqual(answer["execution"], "not-run")
        self.assertEqual(server.call_runs["c1"], 0)

    @with_server
    async def test_a_cancelled_search_ends_and_frees_its_slot(self, server):
        server.set_faults(Faults(slow_factor=1e6))
        async with TaskGroup(wait=all) as group:
            search_task = await group.spawn(
                send, server.address, "POST", "/v1/search", search()
            )
            while not server.counts["runs"]:
                await sleep(0.001)
            status, _ = await send(server.address, "DELETE", "/v1/requests/q1")
            self.assertEqual(status, 204)
        self.assertEqual(search_task.result[0], 499)
        self.assertEqual(server.counts["cancelled"], 1)

    @with_server
    async def test_health_reports_state_and_snapshots_unless_it_lies(self, server):
        _, answer = await send(server.address, "GET", "/v1/health")
        self.assertEqual(answer["state"], "ready")
        self.assertEqual([held["snapshot"] for held in answer["held"]], [100, 101])
        server.set_faults(Faults(draining=True))
        _, answer = await send(server.address, "GET", "/v1/health")
        self.assertEqual(answer["state"], "draining")
        server.set_faults(Faults(draining=True, health_lies=True))
        _, answer = await send(server.address, "GET", "/v1/health")
        self.assertEqual(answer["state"], "ready")

    @with_server
    async def test_bad_requests_are_4xx(self, server):
        cases = [
            ("POST", "/v1/search", {"nope": 1}, 400),
            ("POST", "/v1/search", None, 400),
            ("GET", "/nope", None, 404),
        ]
        for method, path, content, expected in cases:
            with self.subTest(path=path, content=content):
                status, _ = await send(server.address, method, path, content)
                self.assertEqual(status, expected)


class ConfigServiceTests(TestCase):
    def test_values_can_be_read_and_watched(self):
        async def main():
            service = StandinConfigService(address=LOOPBACK)
            async with timeout_after(TEST_TIMEOUT), service:
                address = service.address
                path = "/v1/values/change/7"
                self.assertEqual((await send(address, "GET", path))[0], 404)
                await service.publish("change/7", StoredValue(revision=7, value=[1]))
                status, answer = await send(address, "GET", path)
                self.assertEqual((status, answer["value"]), (200, [1]))
                self.assertEqual(answer["revision"], 7)
                watch = f"{path}?after=7&wait=0.05"
                self.assertEqual((await send(address, "GET", watch))[0], 204)
                async with TaskGroup(wait=all) as group:
                    watch = f"{path}?after=7&wait=20"
                    watch_task = await group.spawn(send, address, "GET", watch)
                    reads = service.reads
                    while service.reads == reads:
                        await sleep(0.001)
                    value = StoredValue(revision=8, value=[2])
                    await service.publish("change/7", value)
                self.assertEqual(watch_task.result[1]["revision"], 8)

        run(main)

    def test_a_frozen_service_serves_its_old_values(self):
        async def main():
            service = StandinConfigService(address=LOOPBACK)
            async with timeout_after(TEST_TIMEOUT), service:
                await service.publish("head", StoredValue(revision=1, value=1))
                service.set_faults(PlatformFaults(frozen=True))
                await service.publish("head", StoredValue(revision=2, value=2))
                path = "/v1/values/head"
                self.assertEqual(
                    (await send(service.address, "GET", path))[1]["value"], 1
                )
                service.set_faults(PlatformFaults())
                self.assertEqual(
                    (await send(service.address, "GET", path))[1]["value"], 2
                )

        run(main)


class InstanceListTests(TestCase):
    def test_readers_see_changes_after_the_lag(self):
        now = [0.0]

        async def main():
            instance_list = StandinInstanceList(
                address=LOOPBACK, lag=60.0, now=lambda: now[0]
            )
            async with timeout_after(TEST_TIMEOUT), instance_list:
                instance_list.replace((ListedInstance(name="one"),))
                instance_list.replace((ListedInstance(name="two", state="leaving"),))
                seen = []
                for at in (0.0, 59.0, 60.0):
                    now[0] = at
                    _, answer = await send(
                        instance_list.address, "GET", "/v1/instances"
                    )
                    seen.append(answer["instances"][0]["name"])
                self.assertEqual(seen, ["one", "one", "two"])

        run(main)
