"""Compares the latency of the rules that choose among the replicas of a service.

Every instance sends independently and knows only its own requests; each backend
server queues the requests that exceed its slots. One instance sees what an owner
sees. An arrival that a full wait queue refuses counts as a latency of one minute.
"""

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random

from defopt import run
from hdrh.histogram import HdrHistogram

from benchmarks.event_loop import EventLoop, Traffic, record
from benchmarks.limiter_view import make_service
from benchmarks.sender import Outcome, Sender
from savorypond.balancing.balancer import ChoiceRule
from savorypond.balancing.latency import MAX_LATENCY_US, new_histogram

SLOTS = 2
MEAN_WORK = 0.01  # seconds
LOAD = 0.45  # of the capacity; the other replicas can carry it while one stalls
ANY_TIME = 1e9  # seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """The service times of the first replica, as a multiple of the usual ones."""

    name: str
    slow_factor: Callable[[float], float]


def _stalls(now: float) -> float:
    return 10.0 if now % 10.0 > 8.0 else 1.0


SCENARIOS = (
    Scenario(name="equal", slow_factor=lambda now: 1.0),
    Scenario(name="one 3x slower", slow_factor=lambda now: 3.0),
    Scenario(name="one stalls 2 s in 10", slow_factor=_stalls),
)


class QueueingServer:
    """A backend server that runs SLOTS requests and queues further ones."""

    def __init__(
        self, *, loop: EventLoop, slow_factor: Callable[[float], float]
    ) -> None:
        self._loop = loop
        self._slow_factor = slow_factor
        self._busy = 0
        self._queue: deque[tuple[float, Callable[[bool], None]]] = deque()

    def send(self, work: float, answer: Callable[[bool], None]) -> None:
        self._queue.append((work, answer))
        self._serve()

    def _serve(self) -> None:
        while self._busy < SLOTS and self._queue:
            work, answer = self._queue.popleft()
            self._busy += 1
            elapsed = work * self._slow_factor(self._loop.now)
            self._loop.at(self._loop.now + elapsed, partial(self._finish, answer))

    def _finish(self, answer: Callable[[bool], None]) -> None:
        self._busy -= 1
        answer(True)
        self._serve()


def measure(
    *, scenario: Scenario, replicas: int, instances: int, rule: ChoiceRule, seed: int
) -> HdrHistogram:
    """Return the latencies in microseconds of one run at LOAD."""
    capacity = SLOTS / MEAN_WORK * (replicas - 1 + 1 / scenario.slow_factor(0.0))
    traffic = Traffic(
        rate=LOAD * capacity,
        variation=1.0,
        parts=1,
        mean_work=MEAN_WORK,
        work_sigma=0.8,
        seconds=60.0,
        seed=seed,
        classes=((0.0, ANY_TIME), (1.0, ANY_TIME), (0.0, ANY_TIME)),
    )
    loop = EventLoop()
    service = make_service("s", replicas=replicas, slots=SLOTS)
    servers = {
        server.name: QueueingServer(
            loop=loop,
            slow_factor=scenario.slow_factor if not number else lambda now: 1.0,
        )
        for number, server in enumerate(service.backend_servers)
    }
    outcomes: Counter[Outcome] = Counter()
    latencies = new_histogram(significant_figures=2)
    senders = [
        Sender(
            loop=loop,
            service=service,
            servers=servers,
            rule=rule,
            seed=number,
            outcomes=outcomes,
            latencies=latencies,
        )
        for number in range(instances)
    ]
    router = Random(seed)
    for arrival in record(traffic):
        loop.at(arrival.time, partial(router.choice(senders).arrive, arrival))
    loop.run(until=traffic.seconds + 10.0)
    for _ in range(outcomes[Outcome.REFUSED]):
        latencies.record_value(MAX_LATENCY_US)
    return latencies


def main(*, seed: int = 1) -> None:
    """Compare the choice rules on recorded arrivals.

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
                    latencies = measure(
                        scenario=scenario,
                        replicas=replicas,
                        instances=instances,
                        rule=rule,
                        seed=seed,
                    )
                    times = " ".join(
                        f"{latencies.get_value_at_percentile(p) / 1000:8.1f}"
                        for p in (50.0, 99.0, 99.9)
                    )
                    print(
                        f"{scenario.name:21} {replicas:8} {instances:9} "
                        f"{rule.value:21} {times}"
                    )


if __name__ == "__main__":
    run(main)
