"""What a soak does to its site from outside."""

from signal import SIGCONT, SIGHUP, SIGKILL, SIGSTOP, SIGTERM
from time import monotonic

from curio import sleep, spawn

from tests.soak.proxy import Weather
from tests.soak.records import Leaving


class Faults:
    """Random faults, each while others may still last."""

    def __init__(self, *, site, random):
        self._site = site
        self._random = random

    async def run(self, seconds):
        """Inject faults one after the other, each while others may still last."""
        kinds = [
            self._kill,
            self._pause,
            self._stop,
            self._reload,
            self._store_fails,
            self._store_cut,
            self._store_forgets,
            self._weather,
            self._mute,
            self._reset,
            self._mood,
            self._service_mood,
            self._slow,
            self._server_leaves,
            self._server_restarts,
            self._reconfigure,
        ]
        end = monotonic() + seconds
        tasks = []
        while monotonic() < end:
            kind = self._random.choice(kinds)
            length = min(self._random.uniform(0.3, 4.0), end - monotonic() + 0.3)
            tasks.append(await spawn(kind, length))
            await sleep(self._random.choice((0.05, 0.4, 1.0, 2.5)))
        for task in tasks:
            await task.join()

    def _instance(self):
        site = self._site
        return self._random.choice(site.instances)

    def _server(self):
        """Return a server; those that are not of shards are few and as important."""
        site = self._site
        kind = self._random.choice(("shard", "plain", "once"))
        servers = [one for one in site.servers.values() if one.service.startswith(kind)]
        return self._random.choice(servers or list(site.servers.values()))

    async def _kill(self, length):
        site = self._site
        for instance in self._random.sample(
            site.instances, self._random.choice((1, 1, 2, len(site.instances)))
        ):
            site.note(instance.ip, "kill", 2.0)
            instance.stopping = True
            instance.send(SIGKILL)

    async def _pause(self, length):
        site = self._site
        instance = self._instance()
        site.note(instance.ip, "pause", length + 0.5)
        instance.send(SIGSTOP)
        await sleep(length)
        instance.send(SIGCONT)

    async def _stop(self, length):
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
            site.note(instance.ip, "kill", 1.0)
            instance.send(SIGKILL)

    async def _reload(self, length):
        instance = self._instance()
        instance.write_settings(slack=self._random.choice((9.0, 9.5, 10.0)))
        # The interpreter itself takes no signal in the first moments of a process.
        begun = monotonic() - instance.started > 0.2
        if self._random.random() < 0.7 and begun:
            instance.send(SIGHUP)

    async def _store_fails(self, length):
        site = self._site
        site.note("", "store", length)
        status = self._random.choice((503, 429, 500))
        end = monotonic() + length
        while monotonic() < end:
            site.store.statuses = [status] * 3
            await sleep(0.05)
        site.store.statuses = []

    async def _store_cut(self, length):
        site = self._site
        ip, proxy = self._random.choice(list(site.store_proxies.items()))
        site.note(ip, "store cut", length)
        weathers = (
            Weather(cut_back=True),
            Weather(cut_out=True),
            Weather(refuse=True),
            Weather(delay=0.5),
            Weather(cut_off=0.5),
        )
        proxy.weather = self._random.choice(weathers)
        if proxy.weather.refuse:
            proxy.reset(1.0)
        await sleep(length)
        proxy.weather = Weather()
        proxy.reset(1.0)

    async def _store_forgets(self, length):
        site = self._site
        site.note("", "store forgets", 0.5)
        site.store.drop_history()

    async def _weather(self, length):
        proxy = self._server().proxy
        weathers = (
            Weather(delay=0.1),
            Weather(cut_out=True),
            Weather(cut_back=True),
            Weather(refuse=True),
            Weather(cut_off=0.3),
            Weather(stray=0.3),
        )
        proxy.weather = self._random.choice(weathers)
        await sleep(length)
        proxy.weather = Weather()
        proxy.reset(1.0)

    async def _mute(self, length):
        self._server().proxy.mute()

    async def _reset(self, length):
        site = self._site
        for server in self._random.sample(list(site.servers.values()), 4):
            server.proxy.reset(0.7)

    async def _mood(self, length):
        server = self._server()
        server.mood = self._random.choice(("failing", "shedding", "losing"))
        await sleep(length)
        server.mood = "good"

    async def _service_mood(self, length):
        """Let every server of a service fail alike."""
        site = self._site
        service = self._server().service
        servers = [one for one in site.servers.values() if one.service == service]
        mood = self._random.choice(("failing", "shedding", "losing"))
        for server in servers:
            server.mood = mood
        await sleep(length)
        for server in servers:
            server.mood = "good"

    async def _slow(self, length):
        server = self._server()
        server.slowness = self._random.choice((4.0, 10.0, 40.0))
        await sleep(length)
        server.slowness = 1.0

    async def _server_leaves(self, length):
        """Replace a server: the new one starts first, the old one drains."""
        site = self._site
        old = self._server()
        if old.leaving:
            return
        await site.add_server(old.service)
        old.leaving = True
        site.register(old)
        site.records.leavings.append(Leaving(server=old.name, at=monotonic()))
        await sleep(site.bounds.drain + 2.0)
        del site.servers[old.name]
        site.store.remove(f"servers/{old.name}")

    async def _server_restarts(self, length):
        """Let a server die and come back under its name at another address."""
        site = self._site
        server = self._server()
        if server.leaving:
            return
        del site.servers[server.name]
        server.proxy.weather = Weather(refuse=True)
        server.proxy.reset(1.0)
        await sleep(min(length, 1.0))
        await site.start_server(server.name, server.service, born=server.born + 1)

    async def _reconfigure(self, length):
        """Move a route to a new service, or gather from a new set of shards."""
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
