"""Runs the soak: python -m tests.soak.run --seeds 1-50."""

from contextlib import AsyncExitStack, suppress
from os import getpid
from pathlib import Path
from random import Random
from shutil import rmtree
from signal import SIGCONT, SIGHUP, SIGKILL, SIGSTOP, SIGTERM
from sys import exit as sys_exit
from tempfile import mkdtemp
from time import monotonic

from curio import TaskGroup, TaskTimeout, run as run_curio, sleep, spawn, timeout_after
from defopt import run as run_command

from savorypond.exceptions import BackendServerError
from savorypond.http.httpclient import HttpConnection
from savorypond.http.httptypes import HttpRequest
from savorypond.model import Address
from savorypond.platform.names import READY_PATH
from tests.gateway_world import FakeStore, configuration, route
from tests.soak.callers import HOST, Caller
from tests.soak.instances import SoakInstance
from tests.soak.judge import Bounds, Judge
from tests.soak.proxy import Proxy, Weather
from tests.soak.records import Kind, Leaving, Records, Trouble, Version
from tests.soak.servers import SoakServer

READY_PORT = 8108
START_TIME = 30.0  # seconds that the first instance may take on a busy computer
CALM_TIME = 7.0  # seconds without faults at the end
SHARDS = 6
REPLICAS = 2
BEAT = 1.0  # seconds between two registrations of a server


class Soak:
    """One site and what befalls it.

    :param seconds: how long faults are injected.
    """

    def __init__(self, *, seed, seconds, instances, callers, folder):
        self.records = Records()
        self._random = Random(seed)
        self._seconds = seconds
        self._callers = callers
        self._folder = folder
        self._bounds = Bounds()
        self._store = FakeStore()
        self._servers = {}
        self._instances = []
        self._count = instances
        self._ready = set()
        self._version = 0
        self._names = 0
        self._stack = AsyncExitStack()
        self._store_proxies = {}

    async def play(self):
        """Start the site, trouble it, heal it, and stop it."""
        async with self._stack:
            await self._stack.enter_async_context(self._store)
            await self._build()
            try:
                await self._play()
            finally:
                for instance in self._instances:
                    instance.end()
        return self.records

    async def _build(self):
        for shard in range(SHARDS):
            await self._add_service(f"shard-{shard}")
        await self._add_service("plain-1")
        await self._add_service("once-1")
        self._publish([f"shard-{i}" for i in range(SHARDS)], "plain-1", "once-1")
        base = _own_base()
        ips = [f"{base}.{i + 1}" for i in range(self._count)]
        for number, ip in enumerate(ips):
            proxy = Proxy(target=self._store.address, random=self._random)
            await self._stack.enter_async_context(proxy)
            self._store_proxies[ip] = proxy
            instance = SoakInstance(
                name=f"gateway-{number + 1}",
                ip=ip,
                data_centre="abc"[number % 3],
                seeds=ips[:3],
                store=str(proxy.address),
                folder=self._folder,
                bounds=self._bounds,
            )
            self._instances.append(instance)
            instance.start()

    async def _add_service(self, name):
        for _ in range(REPLICAS):
            await self._add_server(name)

    async def _add_server(self, service):
        self._names += 1
        server = SoakServer(
            name=f"i-{self._names}",
            service=service,
            random=self._random,
            records=self.records,
        )
        await self._stack.enter_async_context(server)
        self._servers[server.name] = server
        self._register(server)
        return server

    def _register(self, server):
        self._store.put(f"servers/{server.name}", server.entry())

    def _publish(self, shards, safe, once):
        self._version += self._random.randint(1, 3)
        limit = {"timeout_ms": 2500, "target_latency_ms": 400, "max_attempts": 2}
        routes = (
            route("g", "/g/", gather=shards, top_k=5, min_version=0.75, **limit),
            route("s", "/s/", backend=safe, **limit),
            route("o", "/o/", backend=once, type="unsafe", **limit),
        )
        for one in routes:
            one["hostname"] = HOST
        self._store.put("op/config", configuration(*routes, version=self._version))
        self.records.versions.append(
            Version(
                number=self._version,
                shards=tuple(shards),
                safe=safe,
                once=once,
                published=monotonic(),
            )
        )

    async def _play(self):
        async with TaskGroup() as group:
            await group.spawn(self._watch_instances)
            await group.spawn(self._watch_ready)
            await group.spawn(self._beat)
            await self._wait_ready()
            for number in range(self._callers):
                caller = self._caller(number)
                await group.spawn(caller.run)
            await sleep(1.0)
            await self._trouble()
            await sleep(CALM_TIME)
            await self._probe()
            await group.cancel_remaining()
        await self._stop_all()

    def _caller(self, number):
        return Caller(
            number=number,
            pick=self._pick,
            records=self.records,
            random=Random(self._random.random()),
        )

    def _pick(self):
        ready = [i for i in self._instances if i.name in self._ready]
        return self._random.choice(ready or self._instances)

    async def _wait_ready(self):
        async with timeout_after(START_TIME):
            while len(self._ready) < len(self._instances):
                await sleep(0.1)

    async def _watch_instances(self):
        """Start again what has ended, and note what ended by itself."""
        while True:
            for instance in self._instances:
                if instance.running or not instance.wanted:
                    continue
                if not instance.stopping:
                    how = f"{instance.boot} ended with {instance.status}"
                    self.records.exits.append(how)
                elif instance.status not in (0, -SIGKILL):
                    how = f"{instance.boot} stopped with {instance.status}"
                    self.records.exits.append(how)
                await sleep(0.2)
                self._note(instance.ip, "start", 3.0)
                instance.start()
            await sleep(0.1)

    async def _watch_ready(self):
        """Ask each second who takes callers, and drop who does not twice."""
        misses = {}
        while True:
            for instance in self._instances:
                if await self._is_ready(instance.ip):
                    misses[instance.name] = 0
                    self._ready.add(instance.name)
                else:
                    misses[instance.name] = misses.get(instance.name, 0) + 1
                    if misses[instance.name] >= 2:
                        self._ready.discard(instance.name)
            await sleep(1.0)

    async def _is_ready(self, ip):
        address = Address(host=ip, port=READY_PORT)
        with suppress(BackendServerError, TaskTimeout):
            async with timeout_after(0.5), HttpConnection(address=address) as link:
                answer = await link.request(HttpRequest(method="GET", path=READY_PATH))
                return answer.status == 200
        return False

    async def _beat(self):
        while True:
            await sleep(BEAT)
            for server in list(self._servers.values()):
                server.beats += 1
                self._register(server)

    def _note(self, ip, kind, seconds):
        now = monotonic()
        trouble = Trouble(instance=ip, kind=kind, began=now, ended=now + seconds)
        self.records.troubles.append(trouble)

    async def _trouble(self):
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
        end = monotonic() + self._seconds
        tasks = []
        while monotonic() < end:
            kind = self._random.choice(kinds)
            length = min(self._random.uniform(0.3, 4.0), end - monotonic() + 0.3)
            tasks.append(await spawn(kind, length))
            await sleep(self._random.choice((0.05, 0.4, 1.0, 2.5)))
        for task in tasks:
            await task.join()

    def _instance(self):
        return self._random.choice(self._instances)

    def _server(self):
        """Return a server; those that are not of shards are few and as important."""
        kind = self._random.choice(("shard", "plain", "once"))
        servers = [
            one for one in self._servers.values() if one.service.startswith(kind)
        ]
        return self._random.choice(servers or list(self._servers.values()))

    async def _kill(self, length):
        for instance in self._random.sample(
            self._instances, self._random.choice((1, 1, 2, len(self._instances)))
        ):
            self._note(instance.ip, "kill", 2.0)
            instance.stopping = True
            instance.send(SIGKILL)

    async def _pause(self, length):
        instance = self._instance()
        self._note(instance.ip, "pause", length + 0.5)
        instance.send(SIGSTOP)
        await sleep(length)
        instance.send(SIGCONT)

    async def _stop(self, length):
        instance = self._instance()
        if instance.paused or instance.stopping:
            return
        boot = instance.boot
        instance.stopping = True
        self.records.stops[boot] = monotonic()
        instance.send(SIGTERM)
        await sleep(self._bounds.grace)
        if instance.boot == boot and instance.running:
            self._note(instance.ip, "kill", 1.0)
            instance.send(SIGKILL)

    async def _reload(self, length):
        instance = self._instance()
        instance.write_settings(slack=self._random.choice((9.0, 9.5, 10.0)))
        # The interpreter itself takes no signal in the first moments of a process.
        begun = monotonic() - instance.started > 0.2
        if self._random.random() < 0.7 and begun:
            instance.send(SIGHUP)

    async def _store_fails(self, length):
        self._note("", "store", length)
        status = self._random.choice((503, 429, 500))
        end = monotonic() + length
        while monotonic() < end:
            self._store.statuses = [status] * 3
            await sleep(0.05)
        self._store.statuses = []

    async def _store_cut(self, length):
        ip, proxy = self._random.choice(list(self._store_proxies.items()))
        self._note(ip, "store cut", length)
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
        self._note("", "store forgets", 0.5)
        self._store.forget()

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
        for server in self._random.sample(list(self._servers.values()), 4):
            server.proxy.reset(0.7)

    async def _mood(self, length):
        server = self._server()
        server.mood = self._random.choice(("failing", "shedding", "losing"))
        await sleep(length)
        server.mood = "good"

    async def _service_mood(self, length):
        """Let every server of a service fail alike."""
        service = self._server().service
        servers = [one for one in self._servers.values() if one.service == service]
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
        old = self._server()
        if old.leaving:
            return
        await self._add_server(old.service)
        old.leaving = True
        self._register(old)
        self.records.leavings.append(Leaving(server=old.name, at=monotonic()))
        await sleep(self._bounds.drain + 2.0)
        del self._servers[old.name]
        self._store.remove(f"servers/{old.name}")

    async def _server_restarts(self, length):
        """Let a server die and come back under its name at another address."""
        server = self._server()
        if server.leaving:
            return
        del self._servers[server.name]
        server.proxy.weather = Weather(refuse=True)
        server.proxy.reset(1.0)
        await sleep(min(length, 1.0))
        again = SoakServer(
            name=server.name,
            service=server.service,
            random=self._random,
            records=self.records,
        )
        again.born = server.born + 1
        await self._stack.enter_async_context(again)
        self._servers[again.name] = again
        self._register(again)

    async def _reconfigure(self, length):
        """Move a route to a new service, or gather from a new set of shards."""
        last = self.records.versions[-1]
        shards, once = list(last.shards), last.once
        number = self._version + 1
        if self._random.random() < 0.5:
            once = f"once-{number}"
            await self._add_service(once)
        else:
            replaced = self._random.randrange(len(shards))
            shards[replaced] = f"shard-{replaced}-{number}"
            await self._add_service(shards[replaced])
        await sleep(1.5)
        if self._version < number:
            self._publish(shards, last.safe, once)

    async def _probe(self):
        """Ask once everything has healed, when most must be served again."""
        for number in range(12):
            caller = self._caller(1000 + number)
            self.records.probes += 1
            self.records.probes_failed += not await caller.ask(Kind.SAFE)

    async def _stop_all(self):
        for instance in self._instances:
            instance.wanted = False
            instance.send(SIGCONT)
            instance.send(SIGTERM)
        end = monotonic() + 2 * self._bounds.grace
        while monotonic() < end and any(i.running for i in self._instances):
            await sleep(0.1)
        for instance in self._instances:
            if instance.running:
                self.records.exits.append(f"{instance.boot} did not stop in time")
            elif instance.status not in (0, -SIGKILL):
                how = f"{instance.boot} stopped with {instance.status}"
                self.records.exits.append(how)


def _own_base():
    """Return the first three of four parts of IP numbers that only this run uses.

    Runs beside each other differ in their process id.
    """
    high, low = divmod(getpid(), 230)
    return f"127.{20 + low}.{1 + high % 250}"


def play_seed(seed, *, seconds, instances=4, callers=24, timed=True):
    """Play one seed; return what was found and where its logs lie."""
    folder = Path(mkdtemp(prefix=f"soak-{seed}-"))
    soak = Soak(
        seed=seed,
        seconds=seconds,
        instances=instances,
        callers=callers,
        folder=folder,
    )
    records = run_curio(soak.play)
    findings = Judge(records=records, bounds=Bounds(), timed=timed).findings()
    if not findings:
        rmtree(folder)
    return findings, folder, records


def soak(
    *, seeds: str = "1-5", seconds: float = 15.0, instances: int = 4, callers: int = 24
) -> int:
    """Play seeds one after the other and print what was found.

    :param seeds: numbers or ranges, separated by commas.
    :param seconds: how long faults are injected in each.
    :param instances: gateway processes.
    :param callers: callers, each with one request at a time.
    """
    failed = []
    numbers = [n for part in seeds.split(",") for n in _range(part)]
    for seed in numbers:
        findings, folder, records = play_seed(
            seed, seconds=seconds, instances=instances, callers=callers
        )
        served = sum(200 <= one.status < 300 for one in records.attempts)
        print(
            f"seed {seed}: {len(records.attempts)} requests, {served} served,"
            f" {len(records.runs)} sent to servers, {len(findings)} findings",
            flush=True,
        )
        for line in findings[:10]:
            print(f"  {line}", flush=True)
        if findings:
            failed.append(seed)
            print(f"  logs: {folder}", flush=True)
    print(f"{len(numbers) - len(failed)} passed, {len(failed)} failed")
    return 1 if failed else 0


def _range(text):
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


if __name__ == "__main__":
    sys_exit(run_command(soak))
