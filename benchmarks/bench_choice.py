"""Latency by rule of choice among the replicas of one service.

Every instance sends by itself and knows only its own requests; the backend
servers queue what exceeds their slots. With one instance this is the view of
an owner.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random

from defopt import run
from hdrh.histogram import HdrHistogram

from benchmarks.gateview import GateView, make_gates, make_service
from benchmarks.virtual import Arrival, EventLoop, Traffic, record
from savorypond.balancer import ChoiceRule, LinkTimes, ReplicaBoard, make_chooser
from savorypond.latency import new_histogram
from savorypond.limiter import GateChange, Granted, Outcome, Refused
from savorypond.model import Pin, Service
from savorypond.protocols import Purpose

SLOTS = 2
MEAN_WORK = 0.01  # seconds
PIN = Pin(snapshot=1, layout=1)
LOAD = 0.45  # of the capacity; the rest must do while one replica stalls
NO_DEADLINE = 1e9  # seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """How much slower than usual the first replica is."""

    name: str
    slowness: Callable[[float], float]


def _stalls(now: float) -> float:
    return 10.0 if now % 10.0 > 8.0 else 1.0


SCENARIOS = (
    Scenario(name="alike", slowness=lambda now: 1.0),
    Scenario(name="one 3x slower", slowness=lambda now: 3.0),
    Scenario(name="one stalls 2 s in 10", slowness=_stalls),
)


class Server:
    """A backend server that runs SLOTS requests and queues the rest."""

    def __init__(self, *, loop: EventLoop, slowness: Callable[[float], float]) -> None:
        self._loop = loop
        self._slowness = slowness
        self._busy = 0
        self._queue: deque[tuple[float, Callable[[], None]]] = deque()

    def send(self, work: float, answer: Callable[[], None]) -> None:
        self._queue.append((work, answer))
        self._serve()

    def _serve(self) -> None:
        while self._busy < SLOTS and self._queue:
            work, answer = self._queue.popleft()
            self._busy += 1
            took = work * self._slowness(self._loop.now)
            self._loop.at(self._loop.now + took, partial(self._finish, answer))

    def _finish(self, answer: Callable[[], None]) -> None:
        self._busy -= 1
        answer()
        self._serve()


class Sender:
    """One instance: a chooser and a gate for each backend server."""

    def __init__(
        self,
        *,
        loop: EventLoop,
        service: Service,
        servers: dict[str, Server],
        rule: ChoiceRule,
        seed: int,
        latencies: HdrHistogram,
    ) -> None:
        self._loop = loop
        self._service = service
        self._servers = servers
        self._latencies = latencies
        self._gates = make_gates(service)
        self._board = ReplicaBoard()
        self._chooser = make_chooser(
            rule=rule,
            rng=Random(seed),
            links=LinkTimes(own="split"),
            view=GateView(gates=self._gates),
            board=self._board,
        )

    def arrive(self, arrival: Arrival) -> None:
        server = self._chooser.choose(
            service=self._service,
            pin=PIN,
            tried=frozenset(),
            now=self._loop.now,
            purpose=Purpose.FIRST,
        )
        assert server is not None
        verdict = self._gates[server.name].offer(
            waiter=(server.name, arrival),
            priority=arrival.priority,
            deadline=NO_DEADLINE,
            now=self._loop.now,
        )
        if isinstance(verdict, Granted):
            self._start(server.name, arrival)
        elif isinstance(verdict, Refused):
            self._latencies.record_value(60_000_000)

    def _start(self, server: str, arrival: Arrival) -> None:
        self._board.get(server=server).started(attempt=arrival, now=self._loop.now)
        answer = partial(self._answer, server, arrival, self._loop.now)
        self._servers[server].send(arrival.work[0], answer)

    def _answer(self, server: str, arrival: Arrival, started: float) -> None:
        now = self._loop.now
        self._latencies.record_value(round((now - arrival.time) * 1e6))
        stats = self._board.get(server=server)
        stats.finished(attempt=arrival, now=now, ok=True)
        change: GateChange = self._gates[server].release(
            now=now, service_time=now - started, outcome=Outcome.SUCCESS
        )
        for name, waiting in change.granted:
            self._start(name, waiting)


def measure(
    *, scenario: Scenario, replicas: int, instances: int, rule: ChoiceRule, seed: int
) -> HdrHistogram:
    """Return the latencies in microseconds of one run at LOAD."""
    capacity = SLOTS / MEAN_WORK * (replicas - 1 + 1 / scenario.slowness(0.0))
    traffic = Traffic(
        rate=LOAD * capacity,
        variation=1.0,
        parts=1,
        mean_work=MEAN_WORK,
        work_sigma=0.8,
        seconds=60.0,
        seed=seed,
    )
    loop = EventLoop()
    service = make_service("s", replicas=replicas, slots=SLOTS)
    servers = {
        server.name: Server(
            loop=loop,
            slowness=scenario.slowness if not number else lambda now: 1.0,
        )
        for number, server in enumerate(service.backend_servers)
    }
    latencies = new_histogram(significant_figures=2)
    senders = [
        Sender(
            loop=loop,
            service=service,
            servers=servers,
            rule=rule,
            seed=number,
            latencies=latencies,
        )
        for number in range(instances)
    ]
    spread = Random(seed)
    for arrival in record(traffic):
        loop.at(arrival.time, partial(spread.choice(senders).arrive, arrival))
    loop.run(until=traffic.seconds + 10.0)
    return latencies


def main(*, seed: int = 1) -> None:
    """Compare the rules of choice on recorded arrivals.

    :param seed: seed of the recorded arrivals
    """
    print(
        "scenario              replicas instances rule"
        "                    p50 ms   p99 ms p99.9 ms"
    )
    for scenario in SCENARIOS:
        for replicas in (2, 3):
            for instances in (1, 7):
                for rule in ChoiceRule:
                    found = measure(
                        scenario=scenario,
                        replicas=replicas,
                        instances=instances,
                        rule=rule,
                        seed=seed,
                    )
                    times = " ".join(
                        f"{found.get_value_at_percentile(p) / 1000:8.1f}"
                        for p in (50.0, 99.0, 99.9)
                    )
                    print(
                        f"{scenario.name:21} {replicas:8} {instances:9} "
                        f"{rule.value:21} {times}"
                    )


if __name__ == "__main__":
    run(main)
