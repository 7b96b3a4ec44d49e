"""A small deployment on loopback: instances as processes, the rest as stand-ins.

The instances run the command of the deploy file with the settings file of DEPLOY.md.
"""

import asyncio
import signal
import socket
import subprocess
import sys
import traceback
from itertools import count
from os import environ, getpid, urandom
from pathlib import Path
from random import Random
from shutil import rmtree
from tempfile import mkdtemp
from time import monotonic
from tomllib import loads

from http_wire import read_message, request_bytes
from store import Store

ROOT = Path(__file__).resolve().parents[1]
ZONES = ("split", "zadar", "sibenik")
HOST = "pupu76.example"
PROMISES = (408, 421, 429, 503)  # statuses that say that a request has not run
READY_WAIT = 20.0  # seconds until every instance must be ready
RUNS_OUT = 105.0  # seconds after which a run gives up

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

SETTINGS = """\
node_name = "front-{zone}-{number}"
role = "gateway"
machine_class = "front"
serves = ["front","control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "dalmatia"
internal_ports = [{internal},{internal_last}]
seeds = [{seeds}]
bootstrap = true
counts_toward_loss = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","platform"]
[zones]
split = "dalmatia"
zadar = "dalmatia"
sibenik = "dalmatia"
[listen_addrs]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu_share = 0.537
cpu_cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_window_ms = 4000
ack_ms = 5000
catch_up_s = 4
drain_ms = 3000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
downgrade_slack_ms = 250
max_stretch_ms = 12000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 54
recovery_s = 12
[platform]
address = "{store}"
form = "read"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


class Site:
    """The deployment, and the record of what was sent, answered and run.

    :param folder: folder of the case, in which ``record.txt`` is written.
    """

    # Instances of each zone; the site has three, two and two.
    instances = {"split": 1, "zadar": 1, "sibenik": 1}

    def __init__(self, folder):
        self.trouble = environ.get("TROUBLE", "1") != "0"
        self.random = Random(20261205)
        block = f"127.{40 + getpid() % 80}.{getpid() // 80 % 250}"
        self.server_host = f"{block}.200"
        self._block = block
        self.store = Store(f"{block}.100")
        self.searchers = []
        self.requests = {}
        self.runs = {}
        self.parts = {}
        self._processes = []
        self._ids = count(1)
        self._temporary = Path(mkdtemp(prefix="review-"))
        self._record = open(folder / "record.txt", "w", encoding="utf-8")
        self._began = monotonic()
        self.note(f"trouble: {'on' if self.trouble else 'off'}")

    # The record

    def note(self, text):
        self._record.write(f"{monotonic() - self._began:8.3f} {text}\n")

    def record(self, who, searcher, what, request, extra=""):
        request_id = request.header("savorypond-request-id")
        place = f"{searcher.id} ({searcher.service})"
        self.note(f"{who} {place} {what} {request_id} {extra}".rstrip())

    def record_run(self, searcher, request, stamp):
        request_id = request.header("savorypond-request-id")
        self.runs.setdefault(request_id, []).append(searcher.id)
        self.record("server", searcher, "runs", request, stamp)

    def remember_part(self, stamp, body, searcher, request_id, good=True):
        self.parts[stamp] = (searcher.service, request_id, good, body)

    # The processes

    async def start(self, routes, services):
        names = [(z, n + 1) for z in ZONES for n in range(self.instances[z])]
        self.hosts = {name: f"{self._block}.{n + 1}" for n, name in enumerate(names)}
        await self.store.start()
        self.store.put("op/config", configuration(routes, services))
        for searcher in self.searchers:
            await searcher.start()
        command = loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]
        ports = free_ports(list(self.hosts.values()))
        self.front, ready, control, internal = ports
        seeds = ",".join(f'"{ip}:{control}"' for ip in list(self.hosts.values())[:3])
        for (zone, number), ip in self.hosts.items():
            path = self._temporary / f"{zone}-{number}.toml"
            settings = SETTINGS.format(
                zone=zone,
                number=number,
                ip=ip,
                internal=internal,
                internal_last=internal + 15,
                seeds=seeds,
                front=self.front,
                ready=ready,
                control=control,
                store=f"{self.store.host}:{self.store.port}",
            )
            path.write_text(settings)
            kept = {k: environ[k] for k in ("PATH", "HOME", "LANG") if k in environ}
            log = open(self._temporary / f"{zone}-{number}.log", "wb")
            process = subprocess.Popen(
                command["run"].split(),
                cwd=ROOT,
                env={
                    **kept,
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "SAVORYPOND_NODE_FILE": str(path),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
            log.close()
            self._processes.append((f"{zone}-{number}", process))
        await asyncio.gather(*(self._wait_ready(ip, ready) for ip in self.hosts.values()))
        self.note("all instances are ready")

    async def _wait_ready(self, ip, port):
        until = monotonic() + READY_WAIT
        while monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(ip, port)
                writer.write(request_bytes("GET", "/savorypond/readyz", [("Host", ip)]))
                answer = await read_message(reader)
                writer.close()
                if answer is not None and answer.status == 200:
                    return
            except (OSError, EOFError):
                pass
            await asyncio.sleep(0.2)
        raise CouldNotRun(f"the instance at {ip} was not ready after {READY_WAIT} s")

    def check_processes(self):
        for name, process in self._processes:
            if process.poll() is not None:
                self.note(f"the instance {name} ended with {process.returncode}")

    async def stop(self):
        for _, process in self._processes:
            process.terminate()
        for _, process in self._processes:
            try:
                await asyncio.to_thread(process.wait, 8)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        for searcher in self.searchers:
            await searcher.stop()
        await self.store.stop()

    def kill(self):
        """End every process that is left; keep the instances' log beside the record."""
        for _, process in self._processes:
            if process.poll() is None:
                process.kill()
                process.wait()
        if kept := environ.get("KEEP_LOGS"):
            for path in self._temporary.glob("*.log"):
                (Path(kept) / path.name).write_bytes(path.read_bytes())
        rmtree(self._temporary, ignore_errors=True)

    # The clients

    def new_id(self):
        return f"{next(self._ids):06x}{urandom(5).hex()}"


class CouldNotRun(Exception):
    """The case could not be run."""


class Answer:
    """How one attempt of a client ended; ``message`` is None without an answer.

    :param zone: the instance that was asked.
    :param kept: whether the connection had carried a request before.
    :param was_closed: whether the instance closed the connection without an answer.
    """

    def __init__(self, request_id, zone, message, *, kept, was_closed):
        self.request_id = request_id
        self.zone = zone
        self.message = message
        self.kept = kept
        self.was_closed = was_closed

    @property
    def status(self):
        return self.message.status if self.message is not None else 0


class Client:
    """A client of one zone, which keeps its connection and repeats as PROTOCOL.md says.

    :param number: the instance of the zone to which its connections go.
    :param retries: further attempts after the first.
    """

    def __init__(self, site, zone, number, *, retries=1):
        self.site = site
        self.address = (site.hosts[zone, number], site.front)
        self.zone = f"{zone}-{number}"
        self.retries = retries
        self._connection = None

    async def ask(self, path, *, method="GET", body=b"", deadline_ms, safe=True):
        """Send one request with its repetitions; return the answers to all attempts."""
        answers = []
        until = monotonic() + deadline_ms / 1000
        while True:
            left_ms = int((until - monotonic()) * 1000)
            if left_ms <= 0:
                return answers
            answer = await self._attempt(path, method, body, left_ms)
            answers.append(answer)
            if len(answers) > self.retries or not may_repeat(answer, safe):
                return answers
            await self._close()
            wait = answer.message and answer.message.header("retry-after")
            if wait:
                await asyncio.sleep(min(float(wait), (until - monotonic()) / 3))

    async def _attempt(self, path, method, body, left_ms):
        site, request_id = self.site, self.site.new_id()
        site.requests[request_id] = path
        headers = [
            ("Host", HOST),
            ("Savorypond-Request-Id", request_id),
            ("Savorypond-Deadline-Ms", str(left_ms)),
        ]
        message, problem, was_closed = None, "", False
        kept = self._connection is not None
        try:
            async with asyncio.timeout(left_ms / 1000 + 1.0):
                if self._connection is None:
                    self._connection = await asyncio.open_connection(*self.address)
                reader, writer = self._connection
                site.note(
                    f"client ({self.zone}) sends {request_id} {method} {path}"
                    f" deadline {left_ms} ms{' on a kept connection' if kept else ''}"
                )
                writer.write(request_bytes(method, path, headers, body))
                message = await read_message(reader)
                if message is None:
                    problem = "the connection was closed"
                    was_closed = True
        except TimeoutError:
            problem = "no answer 1 s after the deadline"
        except (OSError, EOFError) as error:
            problem = f"the connection ended: {error!r}"
            was_closed = self._connection is not None
        answer = Answer(
            request_id, self.zone, message, kept=kept, was_closed=was_closed
        )
        if problem:
            site.note(f"client ({self.zone}) gets no answer to {request_id}: {problem}")
            await self._close()
            return answer
        names = ("savorypond-response-stamp", "savorypond-not-executed", "retry-after")
        shown = {name: message.header(name) for name in names if message.header(name)}
        site.note(f"client ({self.zone}) gets {message.status} to {request_id} {shown}")
        if (message.header("connection") or "").lower() == "close":
            await self._close()
        return answer

    async def _close(self):
        if self._connection is not None:
            (_, writer), self._connection = self._connection, None
            writer.close()


def may_repeat(answer, safe):
    """Return whether a client may repeat after ``answer``."""
    if answer.message is None:
        return safe  # an instance that closed may have read the request
    if 200 <= answer.status < 300 or answer.status in (400, 401, 404, 413, 431):
        return False
    return safe or answer.status in PROMISES


def configuration(routes, services):
    return {
        "version": 7,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/healthz",
                "max_connections": connections,
                "protocol": "h1",
                "tls": False,
            }
            for name, connections in services.items()
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def route(name, prefix, **changes):
    return {
        "name": name,
        "hostname": HOST,
        "prefix": prefix,
        "type": "safe",
        "priority": 2,
        "max_attempts": 2,
        **changes,
    }


def free_ports(hosts):
    """Return three ports and the first of 16, all of them free at every host."""
    while True:
        first = Random().randrange(12_000, 30_000, 32)
        if all(_is_free(host, first + n) for host in hosts for n in range(24)):
            return first, first + 1, first + 2, first + 4


def _is_free(host, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


def play(case, folder):
    """Run ``case(site)``, an async function that returns the broken rules; then exit.

    Exit with 1 if a rule was broken, 0 if all held, 2 if the case could not run.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    site = Site(Path(folder))
    try:
        broken = asyncio.run(asyncio.wait_for(_play(case, site), RUNS_OUT))
        site.check_processes()
    except BaseException:
        site.note(traceback.format_exc())
        traceback.print_exc()
        site.kill()
        sys.exit(COULD_NOT_RUN)
    site.kill()
    for text in broken:
        print(text)
        site.note(f"BROKEN: {text}")
    print(f"{len(broken)} broken" if broken else "held")
    sys.exit(BROKEN if broken else HELD)


async def _play(case, site):
    try:
        return await case(site)
    finally:
        await site.stop()
