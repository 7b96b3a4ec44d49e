"""Runs the soak: python -m tests.soak.run --seeds 1-50."""

from contextlib import suppress
from pathlib import Path
from random import Random
from shutil import rmtree
from signal import SIGCONT, SIGTERM
from sys import exit as sys_exit
from tempfile import mkdtemp
from time import monotonic

from curio import TaskGroup, TaskTimeout, run as run_curio, sleep, timeout_after
from defopt import run as run_command

from savorypond.exceptions import BackendServerError
from savorypond.http.client import HttpConnection
from savorypond.http.messages import HttpRequest
from savorypond.model import Address
from savorypond.platform.names import READY_PATH
from tests.soak.callers import Caller
from tests.soak.checker import Bounds, Checker
from tests.soak.faults import FaultInjector
from tests.soak.records import RequestKind
from tests.soak.site import Site

READY_PORT = 8108
START_TIMEOUT = 30.0  # seconds until all are ready, also on a busy computer
SETTLE_TIME = 7.0  # seconds without faults before the probes
HEARTBEAT_INTERVAL = 1.0  # seconds between two registrations of a server


class Soak:
    """Runs callers against one site while faults are injected.

    :param seconds: how long faults are injected.
    """

    def __init__(self, *, seed, seconds, instances, callers, folder):
        self._random = Random(seed)
        self._seconds = seconds
        self._callers = callers
        self._site = Site(random=self._random, count=instances, folder=folder)
        self._ready = set()

    async def run(self):
        """Start the site, inject faults, let it recover and stop it.

        Returns the records.
        """
        async with self._site:
            await self._run()
        return self._site.records

    async def _run(self):
        async with TaskGroup() as group:
            await group.spawn(self._watch_instances)
            await group.spawn(self._watch_ready)
            await group.spawn(self._send_heartbeats)
            await self._wait_ready()
            for number in range(self._callers):
                caller = self._caller(number)
                await group.spawn(caller.run)
            await sleep(1.0)
            injector = FaultInjector(site=self._site, random=self._random)
            await injector.run(self._seconds)
            await sleep(SETTLE_TIME)
            await self._probe()
            await group.cancel_remaining()
        await self._stop_all()

    def _caller(self, number):
        return Caller(
            number=number,
            pick_instance=self._pick_instance,
            records=self._site.records,
            random=Random(self._random.random()),
        )

    def _pick_instance(self):
        ready = [i for i in self._site.instances if i.name in self._ready]
        return self._random.choice(ready or self._site.instances)

    async def _wait_ready(self):
        async with timeout_after(START_TIMEOUT):
            while len(self._ready) < len(self._site.instances):
                await sleep(0.1)

    async def _watch_instances(self):
        """Restart instances that have ended, and record unexpected exits."""
        while True:
            for instance in self._site.instances:
                if instance.running or not instance.restart_on_exit:
                    continue
                if not instance.stopping:
                    description = f"{instance.boot} ended with {instance.status}"
                    self._site.records.exits.append(description)
                elif not instance.exited_cleanly:
                    description = f"{instance.boot} stopped with {instance.status}"
                    self._site.records.exits.append(description)
                await sleep(0.2)
                self._site.record_fault(instance.ip, "start", 3.0)
                instance.start()
            await sleep(0.1)

    async def _watch_ready(self):
        """Poll readiness every second; two failures in a row make one not ready."""
        misses = {}
        while True:
            for instance in self._site.instances:
                if await self._is_ready(instance.ip):
                    misses[instance.name] = 0
                    instance.was_ready = True
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

    async def _send_heartbeats(self):
        while True:
            await sleep(HEARTBEAT_INTERVAL)
            for server in list(self._site.servers.values()):
                server.heartbeats += 1
                self._site.register(server)

    async def _probe(self):
        """Send requests after all faults have ended, when most must succeed."""
        for number in range(12):
            caller = self._caller(1000 + number)
            self._site.records.probes += 1
            self._site.records.probes_failed += not await caller.send_request(
                RequestKind.SAFE
            )

    async def _stop_all(self):
        for instance in self._site.instances:
            instance.restart_on_exit = False
            instance.send(SIGCONT)
            instance.send(SIGTERM)
        end = monotonic() + 2 * self._site.bounds.grace
        while monotonic() < end and any(i.running for i in self._site.instances):
            await sleep(0.1)
        for instance in self._site.instances:
            if instance.running:
                self._site.records.exits.append(f"{instance.boot} did not stop in time")
            elif not instance.exited_cleanly:
                description = f"{instance.boot} stopped with {instance.status}"
                self._site.records.exits.append(description)


def run_seed(seed, *, seconds, instances=4, callers=24, timed=True):
    """Run the soak with one seed; return violations, log folder and records."""
    folder = Path(mkdtemp(prefix=f"soak-{seed}-"))
    soak = Soak(
        seed=seed,
        seconds=seconds,
        instances=instances,
        callers=callers,
        folder=folder,
    )
    records = run_curio(soak.run)
    violations = Checker(records=records, bounds=Bounds(), timed=timed).violations()
    if not violations:
        rmtree(folder)
    return violations, folder, records


def soak(
    *, seeds: str = "1-5", seconds: float = 15.0, instances: int = 4, callers: int = 24
) -> int:
    """Run the soak with each seed in turn and print the violations.

    :param seeds: numbers or ranges, separated by commas.
    :param seconds: how long faults are injected in each.
    :param instances: gateway processes.
    :param callers: callers, each with one request at a time.
    """
    failed = []
    numbers = [n for part in seeds.split(",") for n in _range(part)]
    for seed in numbers:
        violations, folder, records = run_seed(
            seed, seconds=seconds, instances=instances, callers=callers
        )
        served = sum(200 <= one.status < 300 for one in records.attempts)
        print(
            f"seed {seed}: {len(records.attempts)} requests, {served} served,"
            f" {len(records.runs)} attempts at servers, {len(violations)} violations",
            flush=True,
        )
        for line in violations[:10]:
            print(f"  {line}", flush=True)
        if violations:
            failed.append(seed)
            print(f"  logs: {folder}", flush=True)
    print(f"{len(numbers) - len(failed)} passed, {len(failed)} failed")
    return 1 if failed else 0


def _range(text):
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


if __name__ == "__main__":
    sys_exit(run_command(soak))
