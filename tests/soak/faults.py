"""Fault injection of the soak."""

from base64 import b64decode
from signal import SIGCONT, SIGHUP, SIGKILL, SIGSTOP, SIGTERM
from time import monotonic

from curio import sleep, spawn

from tests.soak.proxy import ProxyFaults
from tests.soak.records import DrainStart, RateLimitPeriod
from tests.soak.servers import FAULTY_MODES

LAPSE_TIME = 3.0  # seconds after which a registration lapses that is not renewed
# A server that refuses requests wants none for so long; None: it does not say.
PAUSES = (None, 0.8, 1.5, 3.0)  # seconds
LIMITED_TIME = 6.0  # seconds for which a server announces a rate limit, at least


class FaultInjector:
    """Injects random faults, which may overlap."""

    def __init__(self, *, site, random):
        self._site = site
        self._random = random

    async def run(self, seconds):
        """Inject faults for ``seconds``, then wait until the last one has ended."""
        kinds = [
            self._kill_instances,
            self._pause_instance,
            self._stop_instance,
            self._reload_instance,
            self._store_fails,
            self._store_unreachable,
            self._store_loses_history,
            self._store_is_restored,
            self._fail_proxy,
            self._silence,
            self._reset_connections,
            self._fail_server,
            self._fail_service,
            self._slow_server,
            self._limit_servers,
            self._drain_server,
            self._restart_server,
            self._reconfigure,
        ]
        end = monotonic() + seconds
        tasks = []
        while monotonic() < end:
            kind = self._random.choice(kinds)
            duration = min(self._random.uniform(0.3, 4.0), end - monotonic() + 0.3)
            tasks.append(await spawn(kind, duration))
            await sleep(self._random.choice((0.05, 0.4, 1.0, 2.5)))
        for task in tasks:
            await task.join()

    def _instance(self):
        site = self._site
        return self._random.choice(site.instances)

    def _server(self):
        """Return a server, with equal chances for the three kinds of service.

        Most servers serve shards; a uniform draw would rarely pick another.
        """
        site = self._site
        kind = self._random.choice(("shard", "plain", "once"))
        servers = [one for one in site.servers.values() if one.service.startswith(kind)]
        return self._random.choice(servers or list(site.servers.values()))

    async def _kill_instances(self, duration):
        site = self._site
        for instance in self._random.sample(
            site.instances, self._random.choice((1, 1, 2, len(site.instances)))
        ):
            site.record_fault(instance.ip, "kill", 2.0)
            instance.stopping = True
            instance.send(SIGKILL)

    async def _pause_instance(self, duration):
        site = self._site
        instance = self._instance()
        site.record_fault(instance.ip, "pause", duration + 0.5)
        instance.send(SIGSTOP)
        await sleep(duration)
        instance.send(SIGCONT)

    async def _stop_instance(self, duration):
        site = self._site
        instance = self._instance()
        if instance.paused or instance.stopping:
            return
        boot = instance.boot
        instance.stopping = True
        site.records.stops[boot] = monotonic()
        instance.send(SIGTERM)
        await sleep(site.bounds.grace)
        if instance.boot == boot and instance.running:
            site.record_fault(instance.ip, "kill", 1.0)
            instance.send(SIGKILL)

    async def _reload_instance(self, duration):
        instance = self._instance()
        instance.write_settings(slack=self._random.choice((9.0, 9.5, 10.0)))
        # The interpreter does not handle signals in its first moments.
        signals_handled = monotonic() - instance.started > 0.2
        if self._random.random() < 0.7 and signals_handled:
            instance.send(SIGHUP)

    async def _store_fails(self, duration):
        site = self._site
        site.record_fault("", "store", duration)
        status = self._random.choice((503, 429, 500))
        end = monotonic() + duration
        while monotonic() < end:
            site.store.statuses = [status] * 3
            await sleep(0.05)
        site.store.statuses = []

    async def _store_unreachable(self, duration):
        site = self._site
        ip, proxy = self._random.choice(list(site.store_proxies.items()))
        site.record_fault(ip, "store unreachable", duration)
        choices = (
            ProxyFaults(drop_to_client=True),
            ProxyFaults(drop_to_server=True),
            ProxyFaults(refuse=True),
            ProxyFaults(delay=0.5),
            ProxyFaults(truncate_share=0.5),
        )
        proxy.faults = self._random.choice(choices)
        if proxy.faults.refuse:
            proxy.reset(1.0)
        await sleep(duration)
        proxy.faults = ProxyFaults()
        proxy.reset(1.0)

    async def _store_loses_history(self, duration):
        site = self._site
        site.record_fault("", "store history lost", 0.5)
        site.store.drop_history()

    async def _store_is_restored(self, duration):
        """Return the store from an older copy; its writers then write again."""
        site = self._site
        copy = site.store.copy()
        await sleep(duration)
        site.record_fault("", "store restored", LAPSE_TIME)
        configuration = site.store.items["op/config"]
        site.store.restore(copy)
        if site.store.items["op/config"] != configuration:
            site.store.put_bytes("op/config", b64decode(configuration["value"]))
        for server in list(site.servers.values()):
            site.register(server)
        await sleep(LAPSE_TIME)
        for key in list(site.store.items):
            name = key.removeprefix("servers/")
            if name != key and name not in site.servers:
                site.store.remove(key)

    async def _fail_proxy(self, duration):
        proxy = self._server().proxy
        choices = (
            ProxyFaults(delay=0.1),
            ProxyFaults(drop_to_server=True),
            ProxyFaults(drop_to_client=True),
            ProxyFaults(refuse=True),
            ProxyFaults(truncate_share=0.3),
            ProxyFaults(stray_share=0.3),
        )
        proxy.faults = self._random.choice(choices)
        await sleep(duration)
        proxy.faults = ProxyFaults()
        proxy.reset(1.0)

    async def _silence(self, duration):
        self._server().proxy.silence()

    async def _reset_connections(self, duration):
        site = self._site
        for server in self._random.sample(list(site.servers.values()), 4):
            server.proxy.reset(0.7)

    async def _fail_server(self, duration):
        server = self._server()
        server.mode = self._random.choice(FAULTY_MODES)
        server.pause = self._random.choice(PAUSES)
        await sleep(duration)
        server.mode = "good"
        server.pause = None

    async def _fail_service(self, duration):
        """Let all servers of a service fail in the same way."""
        site = self._site
        service = self._server().service
        servers = [one for one in site.servers.values() if one.service == service]
        mode = self._random.choice(FAULTY_MODES)
        pause = self._random.choice(PAUSES)
        for server in servers:
            server.mode = mode
            server.pause = pause
        await sleep(duration)
        for server in servers:
            server.mode = "good"
            server.pause = None

    async def _slow_server(self, duration):
        server = self._server()
        server.slow_factor = self._random.choice((4.0, 10.0, 40.0))
        await sleep(duration)
        server.slow_factor = 1.0

    async def _limit_servers(self, duration):
        """Let one server or all servers of a service announce rate limits."""
        site = self._site
        server = self._server()
        servers = [server]
        if self._random.random() < 0.3:
            service = server.service
            servers = [one for one in site.servers.values() if one.service == service]
        for one in servers:
            if one.rate_limit is None:
                one.rate_limit = self._random.choice((0.5, 2.0, 6.0))
                await spawn(self._end_limit, one, duration + LIMITED_TIME, daemon=True)
        await sleep(duration + LIMITED_TIME)

    async def _end_limit(self, server, duration):
        began, rate = monotonic(), server.rate_limit
        while (
            monotonic() < began + duration
            and self._site.servers.get(server.name) is server
        ):
            await sleep(0.05)
        server.rate_limit = None
        self._site.records.rate_limits.append(
            RateLimitPeriod(
                server=server.name, rate=rate, began=began, ended=monotonic()
            )
        )

    async def _drain_server(self, duration):
        """Replace a server: start the new one, then drain the old one."""
        site = self._site
        old = self._server()
        if old.draining:
            return
        await site.add_server(old.service)
        old.draining = True
        old.says_leaving = True
        # Its answers may be the first sign.
        await sleep(self._random.choice((0.0, 0.5, 2.0)))
        site.register(old)
        site.records.drain_starts.append(DrainStart(server=old.name, at=monotonic()))
        await sleep(site.bounds.drain_time + 2.0)
        del site.servers[old.name]
        if f"servers/{old.name}" in site.store.items:
            site.store.remove(f"servers/{old.name}")

    async def _restart_server(self, duration):
        """Restart a server under the same name at another address."""
        site = self._site
        server = self._server()
        if server.draining:
            return
        del site.servers[server.name]
        server.proxy.faults = ProxyFaults(refuse=True)
        server.proxy.reset(1.0)
        await sleep(min(duration, 1.0))
        await site.start_server(server.name, server.service, born=server.born + 1)

    async def _reconfigure(self, duration):
        """Route to a new service, or gather from a new set of shards."""
        site = self._site
        last = site.records.versions[-1]
        shards, once = list(last.shards), last.once
        number = site.version + 1
        if self._random.random() < 0.5:
            once = f"once-{number}"
            await site.add_service(once)
        else:
            replaced = self._random.randrange(len(shards))
            shards[replaced] = f"shard-{replaced}-{number}"
            await site.add_service(shards[replaced])
        await sleep(1.5)
        if site.version < number:
            site.publish(shards, last.safe, once)
