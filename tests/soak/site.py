"""The site of the soak: store, backend servers, proxies and gateway processes."""

from contextlib import AsyncExitStack
from os import getpid
from time import monotonic

from tests.gateway_loopback import FakeStore, configuration, route
from tests.soak.callers import HOST
from tests.soak.checker import Bounds
from tests.soak.instances import SoakInstance
from tests.soak.proxy import Proxy
from tests.soak.records import ConfigVersion, FaultWindow, Records
from tests.soak.servers import SoakServer

SHARDS = 6
REPLICAS = 2


class Site:
    """Starts the parts of the site and publishes their configuration.

    Leaving the context kills the processes and closes everything else.

    :param count: number of gateway processes.
    """

    def __init__(self, *, random, count, folder):
        self.records = Records()
        self.bounds = Bounds()
        self.store = FakeStore()
        self.servers = {}
        self.instances = []
        self.store_proxies = {}
        self.version = 0
        self._random = random
        self._count = count
        self._folder = folder
        self._server_count = 0
        self._stack = AsyncExitStack()

    async def __aenter__(self):
        try:
            await self._stack.enter_async_context(self.store)
            await self._build()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *reason):
        for instance in self.instances:
            instance.end()
        await self._stack.aclose()

    def record_fault(self, ip, kind, seconds):
        """Record a fault of an instance, or of every instance for ""."""
        now = monotonic()
        window = FaultWindow(instance=ip, kind=kind, began=now, ended=now + seconds)
        self.records.fault_windows.append(window)

    async def _build(self):
        for shard in range(SHARDS):
            await self.add_service(f"shard-{shard}")
        await self.add_service("plain-1")
        await self.add_service("once-1")
        self.publish([f"shard-{i}" for i in range(SHARDS)], "plain-1", "once-1")
        prefix = _unique_ip_prefix()
        ips = [f"{prefix}.{i + 1}" for i in range(self._count)]
        for number, ip in enumerate(ips):
            proxy = Proxy(target=self.store.address, random=self._random)
            await self._stack.enter_async_context(proxy)
            self.store_proxies[ip] = proxy
            instance = SoakInstance(
                name=f"gateway-{number + 1}",
                ip=ip,
                data_centre="abc"[number % 3],
                seeds=ips[:3],
                store=str(proxy.address),
                folder=self._folder,
                bounds=self.bounds,
            )
            self.instances.append(instance)
            instance.start()

    async def add_service(self, name):
        """Start the servers of a new service."""
        for _ in range(REPLICAS):
            await self.add_server(name)

    async def add_server(self, service):
        """Start and register a server; return it."""
        self._server_count += 1
        return await self.start_server(f"i-{self._server_count}", service)

    async def start_server(self, name, service, *, born=1):
        """Start and register a server under a name; return it."""
        server = SoakServer(
            name=name, service=service, random=self._random, records=self.records
        )
        server.born = born
        await self._stack.enter_async_context(server)
        self.servers[server.name] = server
        self.register(server)
        return server

    def register(self, server):
        """Write a server's registration to the store."""
        self.store.put(f"servers/{server.name}", server.entry())

    def publish(self, shards, safe, once):
        """Publish the next configuration."""
        self.version += self._random.randint(1, 3)
        limit = {"timeout_ms": 2500, "target_latency_ms": 400, "max_attempts": 2}
        routes = (
            route("g", "/g/", gather=shards, top_k=5, min_version=0.75, **limit),
            route("s", "/s/", backend=safe, **limit),
            route("o", "/o/", backend=once, type="unsafe", **limit),
        )
        for one in routes:
            one["hostname"] = HOST
        self.store.put("op/config", configuration(*routes, version=self.version))
        self.records.versions.append(
            ConfigVersion(
                number=self.version,
                shards=tuple(shards),
                safe=safe,
                once=once,
                published=monotonic(),
            )
        )


def _unique_ip_prefix():
    """Return the first three octets of the IP addresses of this run.

    They are derived from the process id, so that concurrent runs differ.
    """
    high, low = divmod(getpid(), 230)
    return f"127.{20 + low}.{1 + high % 250}"
