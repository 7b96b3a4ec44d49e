"""A small site in one process: stand-ins and entry daemons on loopback."""

from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from time import monotonic

from curio import sleep, timeout_after
from msgspec.json import decode, encode

from savorypond.config.bundle import next_revision
from savorypond.config.publication import bundle_values
from savorypond.daemon import Daemon
from savorypond.http.client import HttpConnection
from savorypond.http.messages import HttpRequest, HttpResponse
from savorypond.model import Address, Bundle
from savorypond.services.loader import load_service_files
from savorypond.settings import load_settings
from savorypond.standins.backend_server import (
    HeldSnapshots,
    LognormalServiceTime,
    StandinBackendServer,
)
from savorypond.standins.platform import (
    ListedInstance,
    StandinConfigService,
    StandinInstanceList,
    StoredValue,
)
from savorypond.standins.site import (
    SERVICES_DIRECTORY,
    plan_site,
    settings_path,
)

TEST_TIMEOUT = 60  # seconds

SEARCH = """
service: {name}
kind: search
index: {{name: boats, snapshot: newest-complete}}
layouts:
  - layout: 1
    shards: [{{shard: {name}, keys: [{low}, {high}]}}]
backend_servers:
  - {{name: {name}-a, address: "127.0.0.1:20001", data_centre: split}}
  - {{name: {name}-b, address: "127.0.0.1:20002", data_centre: zadar}}
limits: {{slots: 2, connections: 25, connect_time: 1ms}}
priority: interactive
prefer: coverage
time_limit: 2s
least_coverage: 0.0
"""
CALLS = """
service: enquiries
kind: calls
backend_servers:
  - {name: enquiries-a, address: "127.0.0.1:20003", data_centre: split}
  - {name: enquiries-b, address: "127.0.0.1:20004", data_centre: zadar}
limits: {slots: 2, connections: 25, connect_time: 1ms}
priority: interactive
prefer: latency
time_limit: 2s
"""
SHARDS = {"boats-1": (0, 20000), "boats-2": (20000, 40000), "boats-3": (40000, 65536)}


class RunningSite:
    """Stand-ins and daemons that run while the context is entered."""

    def __init__(self, *, instances: int, placement: str = "owner") -> None:
        self._instances = instances
        self._placement = placement
        self._stack = AsyncExitStack()
        self.servers: dict[str, StandinBackendServer] = {}
        self.daemons: dict[str, Daemon] = {}
        self.bundle: Bundle | None = None

    async def __aenter__(self) -> "RunningSite":
        directory = Path(self._stack.enter_context(TemporaryDirectory()))
        source = directory / "source"
        source.mkdir()
        for name, (low, high) in SHARDS.items():
            text = SEARCH.format(name=name, low=low, high=high)
            (source / f"{name}.yaml").write_text(text)
        (source / "enquiries.yaml").write_text(CALLS)
        self._directory = directory
        self.site = plan_site(
            services=source,
            directory=directory,
            instances=self._instances,
            link_delay=0.0,
            list_lag=0.0,
            service_mean=0.002,
            service_scv=0.1,
            seed=1,
            extra_settings={"placement": self._placement, "drain_time": "2s"},
        )
        self.snapshots = HeldSnapshots()
        await self._start_platform()
        await self._start_servers()
        for instance in self.site.instances:
            await self.start(instance.name)
        return self

    async def __aexit__(self, *reason: object) -> None:
        for name in list(self.daemons):
            await self.kill(name)
        await self._stack.aclose()

    async def start(self, name: str) -> None:
        settings = load_settings(settings_path(self._directory, name))
        self.daemons[name] = await Daemon(settings=settings).__aenter__()

    async def kill(self, name: str) -> None:
        await self.daemons.pop(name).__aexit__(None, None, None)

    async def publish(self) -> None:
        services = load_service_files(self._directory / SERVICES_DIRECTORY)
        bundle = Bundle(revision=next_revision(self.bundle), services=services)
        for value in bundle_values(self.bundle, bundle):
            stored = StoredValue(revision=bundle.revision, value=decode(value.data))
            await self.config.publish(value.key, stored)
        self.bundle = bundle

    async def wait_ready(self) -> None:
        await until(
            lambda: all(
                not d.status_page.not_ready_reason() for d in self.daemons.values()
            )
        )
        peer_count = len(self.daemons) - 1
        await until(
            lambda: all(
                sum(p.state == "live" for p in d.status_page.status().peers)
                == peer_count
                for d in self.daemons.values()
            )
        )

    def all_see_leaving(self, server: str) -> bool:
        pages = [daemon.status_page for daemon in self.daemons.values()]
        return all(server in page.status().leaving for page in pages)

    def address(self, name: str) -> Address:
        addresses = {i.name: i.caller_address for i in self.site.instances}
        return addresses[name]

    async def post(self, name: str, path: str, content: object) -> HttpResponse:
        return await self.send(name, "POST", path, encode(content))

    async def send(
        self, name: str, method: str, path: str, body: bytes = b""
    ) -> HttpResponse:
        request = HttpRequest(method=method, path=path, body=body)
        async with HttpConnection(address=self.address(name)) as connection:
            return await connection.request(request)

    async def query(self, name: str) -> dict:
        response = await self.post(name, "/v1/query", {"index": "boats", "query": 1})
        return decode(response.body)

    async def _start_platform(self) -> None:
        self.config = StandinConfigService(address=self.site.config_service)
        self.instance_list = StandinInstanceList(
            address=self.site.instance_list, lag=0.0, now=monotonic
        )
        self.instance_list.replace(
            tuple(
                ListedInstance(
                    name=i.name,
                    data_centre=i.data_centre,
                    peer_address=str(i.peer_address),
                )
                for i in self.site.instances
            )
        )
        await self._stack.enter_async_context(self.config)
        await self._stack.enter_async_context(self.instance_list)

    async def _start_servers(self) -> None:
        services = load_service_files(self._directory / SERVICES_DIRECTORY)
        for service in services.values():
            for server in service.backend_servers:
                standin = StandinBackendServer(
                    name=server.name,
                    address=server.address,
                    service=service,
                    snapshots=self.snapshots,
                    random=Random(server.name),
                    service_time=LognormalServiceTime(mean=0.002, scv=0.1),
                    now=monotonic,
                )
                self.servers[server.name] = standin
                await self._stack.enter_async_context(standin)


async def until(condition: Callable[[], bool]) -> None:
    """Wait until ``condition`` holds; fail after ``TEST_TIMEOUT``."""
    async with timeout_after(TEST_TIMEOUT):
        while not condition():
            await sleep(0.02)
