"""Tests of savorypond.platform."""

from base64 import b64encode
from contextlib import suppress
from json import dumps
from pathlib import Path
from re import findall
from time import monotonic
from unittest import TestCase

from curio import run, sleep

from savorypond.exceptions import HistoryLost, PublishedStateError, SettingsError
from savorypond.gateway.published_state import Position
from savorypond.http.listener import Listener
from savorypond.http.messages import HttpRequest
from savorypond.model import Address
from savorypond.platform.documents import read_registration, read_route_table
from savorypond.platform.node_file import parse_node_file
from savorypond.platform.store import PlatformStore
from savorypond.timeouts import timeout_after
from tests.gateway_loopback import LOOPBACK, FakeStore, configuration, route
from tests.test_http_client import TEST_TIMEOUT, fake_server

SOURCES = Path(__file__).parent.parent / "src" / "savorypond"
# Names that are specific to the platform; its other names are too generic to check.
PLATFORM_NAMES = (
    "savorypond-(request-id|deadline|response-stamp|target-instance|not-executed)"
    "|savorypond-(part-stamps|missing-parts)|kv-(key|range|watch)|op/config"
    "|warmup_left_ms|min_version|target_latency_ms|traffic_split|max_concurrency"
    "|store-era|listen_addrs|retry_budget_ratio|SAVORYPOND_NODE_FILE"
)
NODE_FILE = """
node_name = "front-a-1"
ip = "10.1.0.9"
zone = "a"
internal_ports = [7380,7395]
seeds = ["10.1.0.9:8106","10.2.0.21:8106"]
unknown = 1
[listen_addrs]
front = "10.1.0.9:8104"
ready = "10.1.0.9:8108"
[limits]
max_fds = 4100
[bounds]
grace_s = 6
retry_budget_ratio = 0.2
retry_budget_slack = 54
[platform]
address = "10.200.1.7:8102"
"""


class BoundaryTests(TestCase):
    def test_platform_names_occur_only_in_the_adapter(self):
        for path in SOURCES.rglob("*.py"):
            if path.is_relative_to(SOURCES / "platform"):
                continue
            with self.subTest(path.name):
                self.assertEqual(findall(PLATFORM_NAMES, path.read_text()), [])


REGISTRATION = {
    "backend": "s",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "max_concurrency": 2,
    "phase": "draining",
    "warmup_left_ms": 1500,
    "sequence": 4,
    "born": 12,
}


class DocumentTests(TestCase):
    def test_routes_are_decoded(self):
        table = read_route_table(
            dumps(
                configuration(
                    route("q", "/q/", gather=["x", "y"], top_k=5, min_version=0.75),
                    route(
                        "w",
                        "/w/",
                        type="unsafe",
                        traffic_split=[
                            {"backend": "x", "weight": 1},
                            {"backend": "y", "weight": 3},
                        ],
                    ),
                    version=7,
                )
            ).encode()
        )
        query = table.match(host="shop.example", path="/q/1")
        write = table.match(host="shop.example", path="/w/1")
        self.assertEqual(table.version, 7)
        self.assertEqual((query.shards, query.top), (("x", "y"), 5))
        self.assertEqual((query.least_share, query.time_limit), (0.75, 20.0))
        self.assertEqual([part.weight for part in write.split], [1.0, 3.0])
        self.assertEqual((query.idempotent, write.idempotent), (True, False))
        self.assertEqual(table.limits.idle_time, 60.0)
        self.assertEqual(table.max_connections("x"), 100)

    def test_time_outs_with_fractions_are_in_force(self):
        for milliseconds, seconds in (
            (700, 0.7),
            (700.0, 0.7),
            (1e3, 1.0),
            (0.5, 5e-4),
        ):
            with self.subTest(milliseconds):
                changed = route("r", "/r/", backend="s1", timeout_ms=milliseconds)
                data = dumps(configuration(changed)).encode()
                self.assertEqual(read_route_table(data).routes[0].time_limit, seconds)

    def test_invalid_configuration_is_an_error(self):
        for data in (b"", b"[]", b'{"version":"x"}', b'{"version":1,"routes":[{}]}'):
            with self.subTest(data), self.assertRaises(ValueError):
                read_route_table(data)

    def test_registration_is_decoded(self):
        server = read_registration(name="i", data=dumps(REGISTRATION).encode())
        self.assertEqual(server.address, Address(host="10.0.0.1", port=80))
        self.assertTrue(server.leaving)
        self.assertEqual((server.cold_for, server.started), (1.5, 12))

    def test_an_incomplete_registration_names_no_server(self):
        """An entry of another writer made requests run at a wrong service."""
        for name in REGISTRATION.keys() - {"born"}:
            entry = {n: v for n, v in REGISTRATION.items() if n != name}
            with self.subTest(name), self.assertRaises(ValueError):
                read_registration(name="i", data=dumps(entry).encode())

    def test_a_registration_with_a_field_of_another_type_names_no_server(self):
        for name, value in REGISTRATION.items():
            other = 7 if isinstance(value, str) else "7"
            for wrong in (other, None, [value]):
                data = dumps({**REGISTRATION, name: wrong}).encode()
                with self.subTest(name), self.assertRaises(ValueError):
                    read_registration(name="i", data=data)

    def test_a_registration_may_lack_the_start_of_the_server(self):
        entry = {n: v for n, v in REGISTRATION.items() if n != "born"}
        server = read_registration(name="i", data=dumps(entry).encode())
        self.assertEqual(server.started, 0)


class NodeFileTests(TestCase):
    def test_settings_are_parsed(self):
        settings = parse_node_file(NODE_FILE)
        self.assertEqual(settings.caller_address, Address(host="10.1.0.9", port=8104))
        self.assertEqual(settings.seeds, ("10.1.0.9", "10.2.0.21"))
        self.assertEqual(settings.operator_address.port, 7380)
        self.assertEqual((settings.retry_ratio, settings.retry_slack), (0.2, 54.0))

    def test_errors_name_file_and_field(self):
        for text, field in (
            ("x = ", "file"),
            (NODE_FILE.replace("10.1.0.9:8104", "nowhere"), "address"),
            (NODE_FILE.replace('ip = "10.1.0.9"', ""), "ip"),
        ):
            with self.subTest(field), self.assertRaises(SettingsError) as caught:
                parse_node_file(text, path="node.toml")
            self.assertEqual(caught.exception.field, field)


def watch_answer(table):
    """Return the answer of a watch with a configuration, as bytes."""
    value = b64encode(dumps(table).encode()).decode()
    item = {"key": "op/config", "value": value, "revision": 8}
    body = dumps({"events": [item], "as_of": 8}).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


class SlowLinkTests(TestCase):
    """Reads the store while the answers that follow a failure may take 0.6 s."""

    WAIT = 0.1  # seconds

    def read(self, *, pause):
        """Return the changes, of which a tenth arrives every ``pause`` seconds."""
        data = watch_answer({"version": 4, "routes": []})
        size = -(-len(data) // 10)
        packets = [data[start : start + size] for start in range(0, len(data), size)]

        async def main():
            async with fake_server(packets, pause=pause) as address:
                store = PlatformStore(address=address, source_host="")
                try:
                    return await store.changes(
                        after=Position(era=0, revision=7), wait=self.WAIT
                    )
                finally:
                    await store.close()

        return run(main)

    def test_a_long_answer_over_a_slow_link_is_read(self):
        self.assertEqual(self.read(pause=0.1).table.version, 4)

    def test_an_answer_that_breaks_off_is_given_up(self):
        started = monotonic()
        with self.assertRaises(PublishedStateError):
            self.read(pause=1.5)
        self.assertLess(monotonic() - started, 1.4)


class StutteringStore(FakeStore):
    """Repeats answers on its first connection.

    :param copy_after: seconds after which each answer is sent again, or None for not.
    :param lag: number of further answers after which one takes the place of another, or
        0 for never.
    """

    def __init__(self, *, copy_after=None, lag=0):
        super().__init__()
        self._copy_after = copy_after
        self._lag = lag
        self._server = Listener(address=LOOPBACK, serve=self._serve)
        self.connections = 0

    async def _serve(self, sock, peer):
        self.connections += 1
        stutters = self.connections == 1
        answers = []
        # A client resets a connection with an answer that it does not read.
        async with sock:
            with suppress(ConnectionError):
                while data := await sock.recv(65536):
                    path = data.split(b" ")[1].decode()
                    request = HttpRequest(method="GET", path=path)
                    answers.append(_encode(await self.handle(request)))
                    if stutters and 0 < self._lag < len(answers):
                        await sock.sendall(answers[-1 - self._lag])
                    else:
                        await sock.sendall(answers[-1])
                    if stutters and self._copy_after is not None:
                        await sleep(self._copy_after)
                        await sock.sendall(answers[-1])


def _encode(response):
    lines = [f"HTTP/1.1 {response.status} X", f"Content-Length: {len(response.body)}"]
    lines += [f"{header.name}: {header.value}" for header in response.headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + response.body


class StutteringStoreTests(TestCase):
    """A second answer of the store was taken for that to the next read."""

    def run_with_store(self, method, **stutter):
        async def main():
            fake = StutteringStore(**stutter)
            fake.put("op/config", configuration(version=4))
            async with timeout_after(TEST_TIMEOUT), fake:
                store = PlatformStore(address=fake.address, source_host="")
                try:
                    return await method(fake, store)
                finally:
                    await store.close()

        return run(main)

    def register(self, fake, phase, name="i"):
        fake.put(f"servers/{name}", {**REGISTRATION, "phase": phase})

    async def watch(self, store, position):
        """Return the new position, and whether the server leaves if it changed."""
        changes = await store.changes(after=position, wait=0.1)
        return changes.position, [c.server.leaving for c in changes.servers]

    def test_a_second_answer_while_idle_is_not_that_to_the_next_read(self):
        async def leaving(fake, store):
            position = Position(era=fake.era, revision=fake.revision)
            self.register(fake, "ready")
            position, _ = await self.watch(store, position)
            self.register(fake, "draining")
            await sleep(0.1)
            return (await self.watch(store, position))[1]

        self.assertEqual(self.run_with_store(leaving, copy_after=0.02), [True])

    def test_older_changes_do_not_become_current(self):
        """A server that drains seemed ready again; its entry was not read again."""

        async def read(fake, store):
            position = Position(era=fake.era, revision=fake.revision)
            self.register(fake, "ready")
            position, first = await self.watch(store, position)
            self.register(fake, "draining")
            position, second = await self.watch(store, position)
            fake.put("other", {})
            with self.assertRaises(PublishedStateError):
                await self.watch(store, position)
            return first, second, (await self.watch(store, position))[0].revision

        first, second, revision = self.run_with_store(read, lag=2)
        self.assertEqual((first, second, revision), ([False], [True], 5))

    def test_another_page_is_not_taken_for_the_next_one(self):
        """Each page came twice, and then no read of everything succeeded."""

        async def names(fake, store):
            for name in "abcde":
                self.register(fake, "ready", name)
            with self.assertRaises(PublishedStateError):
                await store.read_all()
            return [server.name for server in (await store.read_all()).servers]

        self.assertEqual(self.run_with_store(names, lag=1), list("abcde"))

    def test_everything_is_read_anew_on_a_new_connection(self):
        """An older configuration came again, and later changes do not repeat it."""

        async def version(fake, store):
            await store.read_all()
            fake.put("op/config", configuration(version=5))
            return (await store.read_all()).table.version

        self.assertEqual(self.run_with_store(version, lag=2), 5)

    def test_an_answer_without_a_document_ends_its_connection(self):
        """It has no revision that tells it from a copy of an earlier one."""

        async def connections(fake, store):
            fake.statuses = [410, 503]
            for error in (HistoryLost, PublishedStateError):
                with self.assertRaises(error):
                    await self.watch(store, Position(era=fake.era, revision=2))
            fake.remove("op/config")
            state = await store.read_all()
            await self.watch(store, state.position)
            return fake.connections, state.table

        self.assertEqual(self.run_with_store(connections), (4, None))
