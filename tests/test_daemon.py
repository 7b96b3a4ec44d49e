from dataclasses import dataclass
from functools import partial, wraps
from unittest import TestCase

from curio import Event, TaskGroup, run, sleep, timeout_after
from curio.socket import AF_INET, SOCK_STREAM, socket
from msgspec.json import decode, encode

from savorypond.http.client import HttpConnection
from savorypond.http.messages import HttpRequest
from savorypond.membership.pause import Paused
from savorypond.standins.backend_server import Faults
from savorypond.standins.platform import (
    ListedInstance,
    PlatformFaults,
    StoredValue,
)
from tests.sites import SHARDS, TEST_TIMEOUT, RunningSite, until

ALL_SHARDS = len(SHARDS)
CANCEL_TIME = 2.0  # seconds


def in_site(instances):
    """Run a coroutine method in a running site whose instances are ready."""

    def wrap(method):
        @wraps(method)
        def test(self):
            async def main():
                async with (
                    timeout_after(TEST_TIMEOUT),
                    RunningSite(instances=instances) as site,
                ):
                    await site.publish()
                    await site.wait_ready()
                    await method(self, site)

            run(main)

        return test

    return wrap


@dataclass(frozen=True)
class FaultCase:
    name: str
    faults: dict
    covered: int = ALL_SHARDS


REPLICA_FAULTS = [
    FaultCase("lost replica", {"boats-1-a": Faults(lost=True)}),
    FaultCase("shed", {"boats-1-a": Faults(shed=True)}),
    FaultCase("draining", {"boats-1-a": Faults(draining=True)}),
    FaultCase(
        "draining, health lies", {"boats-1-a": Faults(draining=True, health_lies=True)}
    ),
    FaultCase("wrong snapshot", {"boats-1-a": Faults(wrong_snapshot=True)}),
    FaultCase("wrong request id", {"boats-1-a": Faults(wrong_request_id=True)}),
    FaultCase("truncated", {"boats-1-a": Faults(truncated=True)}),
    FaultCase("silent connections", {"boats-1-a": Faults(silent=True)}),
    FaultCase(
        "two faults together",
        {"boats-1-a": Faults(lost=True), "boats-2-b": Faults(truncated=True)},
    ),
    FaultCase(
        "both replicas lost",
        {"boats-1-a": Faults(lost=True), "boats-1-b": Faults(lost=True)},
        covered=ALL_SHARDS - 1,
    ),
]


class QueryTests(TestCase):
    @in_site(instances=2)
    async def test_every_instance_answers_in_full_from_one_snapshot(self, site):
        for name in site.daemons:
            answer = await site.query(name)
            self.assertEqual(answer["snapshot"], site.snapshots.newest())
            self.assertEqual(answer["coverage"]["covered"], ALL_SHARDS)
            shards = {one["shard"] for one in answer["results"]}
            self.assertEqual(shards, set(SHARDS))
            for one in answer["results"]:
                for result in one["results"]:
                    self.assertIn(f"/{answer['snapshot']}/", result)

    def test_replica_faults(self):
        for case in REPLICA_FAULTS:
            with self.subTest(case.name):
                # Each case needs its own site, because the extra attempts of one
                # case would use up the retry budget of the next.
                check = partial(QueryTests.check_fault, case=case)
                in_site(instances=2)(check)(self)

    async def check_fault(self, site, case):
        await site.query("entry-1")
        for server, faults in case.faults.items():
            site.servers[server].set_faults(faults)
        for name in site.daemons:
            answer = await site.query(name)
            coverage = answer["coverage"]
            self.assertEqual(coverage["covered"], case.covered, coverage)
            self.assertEqual(coverage["covered"] + len(coverage["missing"]), ALL_SHARDS)

    @in_site(instances=2)
    async def test_results_of_a_dropped_snapshot_are_never_mixed_in(self, site):
        await site.query("entry-1")
        site.snapshots.numbers[:] = [200, 201]
        answer = await site.query("entry-1")
        self.assertEqual(answer["snapshot"], 201)
        self.assertEqual(answer["coverage"]["covered"], ALL_SHARDS)

    @in_site(instances=2)
    async def test_a_killed_owner_is_replaced(self, site):
        await site.kill("entry-2")
        answer = await site.query("entry-1")
        self.assertEqual(answer["coverage"]["covered"], ALL_SHARDS)

    @in_site(instances=2)
    async def test_a_published_change_reaches_every_instance(self, site):
        await site.publish()
        await until(
            lambda: all(d.config.bundle.revision == 2 for d in site.daemons.values())
        )

    @in_site(instances=2)
    async def test_a_graceful_stop_finishes_all_requests(self, site):
        answers = []

        async def query():
            answers.append(await site.query("entry-2"))

        async with TaskGroup() as group:
            drain_task = await group.spawn(site.daemons["entry-2"].drain)
            for _ in range(5):
                await group.spawn(query)
            await drain_task.join()
        covered = [answer["coverage"]["covered"] for answer in answers]
        self.assertEqual(covered, [ALL_SHARDS] * 5)

    @in_site(instances=2)
    async def test_a_query_of_a_caller_that_has_left_is_cancelled(self, site):
        await site.query("entry-1")
        for server in site.servers.values():
            server.set_faults(Faults(slow_factor=5000.0))  # about 10 s
        body = encode({"index": "boats", "query": 1, "time_limit_ms": 9000})
        head = f"POST /v1/query HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}"
        address = site.address("entry-1")
        async with socket(AF_INET, SOCK_STREAM) as sock:
            await sock.connect((address.host, address.port))
            await sock.sendall(f"{head}\r\n\r\n".encode() + body)
            await until(lambda: sum(s.running for s in site.servers.values()) > 0)
        async with timeout_after(CANCEL_TIME):
            await until(lambda: not any(s.running for s in site.servers.values()))

    @in_site(instances=2)
    async def test_a_stop_tells_each_connection_once_and_cuts_no_request(self, site):
        """Refusals during a stop left connections open, and its end cut them."""
        stopping, stopped = Event(), Event()
        async with TaskGroup() as group:
            for _ in range(3):
                await group.spawn(self.keep_asking, site, stopping, stopped)
            await sleep(0.1)
            await stopping.set()
            await site.daemons["entry-2"].drain()
            await stopped.set()
        self.assertEqual(group.exceptions, [None] * 3)

    async def keep_asking(self, site, stopping, stopped):
        """Send queries, on a new connection after each response that closes one.

        A request without a response raises BackendServerError.
        """
        body = encode({"index": "boats", "query": 1})
        request = HttpRequest(method="POST", path="/v1/query", body=body)
        while not stopped.is_set():
            async with HttpConnection(address=site.address("entry-2")) as connection:
                closes = False
                while not closes and not stopped.is_set():
                    sent_in_stop = stopping.is_set()
                    closes = (await connection.request(request)).close
                    self.assertEqual(closes, sent_in_stop or closes)


class CallTests(TestCase):
    async def get_ticket(self, site, name):
        response = await site.post(name, "/v1/tickets", {})
        return decode(response.body)["tickets"][0]

    async def call(self, site, name, ticket):
        body = {"ticket": ticket, "payload": {"boat": 7}}
        return await site.post(name, "/v1/services/enquiries/calls", body)

    def count_runs(self, site):
        servers = site.servers.values()
        return sum(count for s in servers for count in s.call_runs.values())

    @in_site(instances=2)
    async def test_a_call_resent_to_every_instance_runs_once(self, site):
        ticket = await self.get_ticket(site, "entry-1")
        bodies = []
        for name in ("entry-1", "entry-2", "entry-1"):
            response = await self.call(site, name, ticket)
            self.assertEqual(response.status, 200)
            bodies.append(response.body)
        self.assertEqual(len(set(bodies)), 1)
        self.assertEqual(self.count_runs(site), 1)

    @in_site(instances=2)
    async def test_a_call_with_a_lost_answer_is_unknown_and_never_resent(self, site):
        for server in ("enquiries-a", "enquiries-b"):
            site.servers[server].set_faults(Faults(late_by=5.0))
        ticket = await self.get_ticket(site, "entry-1")
        first = decode((await self.call(site, "entry-1", ticket)).body)
        self.assertEqual(first["execution"], "unknown")
        for server in ("enquiries-a", "enquiries-b"):
            site.servers[server].set_faults(Faults())
        again = decode((await self.call(site, "entry-2", ticket)).body)
        self.assertEqual(again["execution"], "unknown")
        self.assertEqual(self.count_runs(site), 1)

    @in_site(instances=2)
    async def test_a_call_shed_by_every_server_is_not_run(self, site):
        for server in ("enquiries-a", "enquiries-b"):
            site.servers[server].set_faults(Faults(shed=True))
        ticket = await self.get_ticket(site, "entry-1")
        refusal = decode((await self.call(site, "entry-1", ticket)).body)
        self.assertEqual(refusal["execution"], "not-run")
        self.assertEqual(self.count_runs(site), 0)

    @in_site(instances=2)
    async def test_a_ticket_of_a_killed_instance_never_runs(self, site):
        ticket = await self.get_ticket(site, "entry-2")
        await site.kill("entry-2")
        refusal = decode((await self.call(site, "entry-1", ticket)).body)
        self.assertEqual(refusal["reason"], "instance-gone")
        await site.start("entry-2")
        await site.wait_ready()
        for name in site.daemons:
            response = await self.call(site, name, ticket)
            self.assertNotEqual(response.status, 200)
        self.assertEqual(self.count_runs(site), 0)


class ConnectionTests(TestCase):
    @in_site(instances=2)
    async def test_owners_keep_an_open_connection_for_each_slot(self, site):
        pages = [daemon.status_page for daemon in site.daemons.values()]

        def connected():
            servers = [(p.status().name, s) for p in pages for s in p.status().servers]
            owned = [s for name, s in servers if s.owner == name]
            return owned and all(s.connections >= 2 for s in owned)

        await until(connected)


class PauseTests(TestCase):
    @in_site(instances=2)
    async def test_a_ticket_unused_before_a_pause_never_runs_after_it(self, site):
        response = await site.post("entry-1", "/v1/tickets", {"count": 2})
        used, unused = decode(response.body)["tickets"]
        body = {"ticket": used, "payload": None}
        path = "/v1/services/enquiries/calls"
        first = await site.post("entry-1", path, body)
        site.daemons["entry-1"].resumed(Paused(since=0.0, now=30.0))
        again = await site.post("entry-2", path, body)
        self.assertEqual(again.body, first.body)
        body["ticket"] = unused
        refusal = decode((await site.post("entry-2", path, body)).body)
        self.assertEqual(refusal["execution"], "not-run")
        answer = await site.query("entry-1")
        self.assertEqual(answer["coverage"]["covered"], ALL_SHARDS)

    @in_site(instances=2)
    async def test_a_revoked_ticket_never_runs(self, site):
        response = await site.post("entry-1", "/v1/tickets", {})
        (ticket,) = decode(response.body)["tickets"]
        for name in ("entry-2", "entry-1"):
            revoked = await site.send(name, "DELETE", f"/v1/tickets/{ticket}")
            self.assertEqual(decode(revoked.body)["execution"], "not-run")
        body = {"ticket": ticket, "payload": None}
        refused = await site.post("entry-1", "/v1/services/enquiries/calls", body)
        self.assertNotEqual(refused.status, 200)
        runs = [sum(s.call_runs.values()) for s in site.servers.values()]
        self.assertEqual(sum(runs), 0)


class LeavingServerTests(TestCase):
    @in_site(instances=2)
    async def test_a_server_listed_as_leaving_gets_no_new_requests(self, site):
        entries = [
            *site.instance_list.listed,
            ListedInstance(name="boats-1-a", state="leaving"),
        ]
        site.instance_list.replace(tuple(entries))
        site.servers["boats-1-a"].set_faults(Faults(health_lies=True))
        await until(lambda: site.all_see_leaving("boats-1-a"))
        runs_before = site.servers["boats-1-a"].counts["runs"]
        for name in site.daemons:
            answer = await site.query(name)
            self.assertEqual(answer["coverage"]["covered"], ALL_SHARDS)
        self.assertEqual(site.servers["boats-1-a"].counts["runs"], runs_before)


class ConfigTests(TestCase):
    @in_site(instances=3)
    async def test_a_restarted_instance_gets_the_latest_revision_from_peers(self, site):
        site.config.set_faults(PlatformFaults(frozen=True))
        await site.publish()
        site.config.set_faults(PlatformFaults())
        await until(
            lambda: all(d.config.bundle.revision == 2 for d in site.daemons.values())
        )
        site.config.set_faults(PlatformFaults(down=True))
        await site.kill("entry-3")
        await site.start("entry-3")
        await site.wait_ready()
        self.assertEqual(site.daemons["entry-3"].config.bundle.revision, 2)

    @in_site(instances=2)
    async def test_an_invalid_change_is_refused_and_the_last_valid_stays(self, site):
        value = StoredValue(
            revision=9, value={"revision": 9, "digest": "x", "parts": 1}
        )
        await site.config.publish("head", value)
        daemons = site.daemons.values()
        await until(lambda: any(d.config.last_problem for d in daemons))
        self.assertEqual({d.config.bundle.revision for d in daemons}, {1})
        answer = await site.query("entry-1")
        self.assertEqual(answer["coverage"]["covered"], ALL_SHARDS)
