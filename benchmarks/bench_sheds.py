"""Measures sheds and goodput while several instances send to servers that shed.

A backend server immediately sheds a request that finds no free slot. The limiter of an
instance does not know the requests of the other instances.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random

from defopt import run

from benchmarks.event_loop import EventLoop, Traffic, record
from benchmarks.limiter_view import make_service
from benchmarks.sender import Outcome, Sender
from savorypond.balancing.latency import new_histogram
from savorypond.balancing.limiter import DEFAULT_LIMITER, LimiterConfig

REPLICAS = 2
SLOTS = 2
MEAN_WORK = 0.02  # seconds
ROUND_TRIP = 0.0005  # seconds from sending to a shed
LOADS = (0.5, 1.0, 2.0, 4.0)  # times capacity


@dataclass(frozen=True, slots=True, kw_only=True)
class Fleet:
    """How many instances share the servers, and how their limiters back off."""

    name: str
    instances: int
    config: LimiterConfig = DEFAULT_LIMITER


FLEETS = (
    Fleet(name="one owner", instances=1),
    Fleet(name="two owners", instances=2),
    Fleet(name="seven", instances=7),
    Fleet(name="seven, no hold", instances=7, config=LimiterConfig(max_hold=0.0)),
    Fleet(
        name="seven, no back-off",
        instances=7,
        config=LimiterConfig(max_hold=0.0, decrease=1.0),
    ),
)


class SheddingServer:
    """A backend server that runs SLOTS requests and sheds further ones."""

    def __init__(self, *, loop: EventLoop) -> None:
        self._loop = loop
        self._busy = 0
        self.sheds = 0

    def send(self, work: float, answer: Callable[[bool], None]) -> None:
        if self._busy >= SLOTS:
            self.sheds += 1
            self._loop.at(self._loop.now + ROUND_TRIP, partial(answer, False))
            return
        self._busy += 1
        self._loop.at(self._loop.now + work, partial(self._finish, answer))

    def _finish(self, answer: Callable[[bool], None]) -> None:
        self._busy -= 1
        answer(True)


def measure(*, fleet: Fleet, load: float, seconds: float, seed: int) -> None:
    """Run one fleet at one load and print its results."""
    traffic = Traffic(
        rate=load * REPLICAS * SLOTS / MEAN_WORK,
        variation=1.0,
        parts=1,
        mean_work=MEAN_WORK,
        work_sigma=0.8,
        seconds=seconds,
        seed=seed,
    )
    loop = EventLoop()
    service = make_service("s", replicas=REPLICAS, slots=SLOTS)
    servers = {s.name: SheddingServer(loop=loop) for s in service.backend_servers}
    outcomes: Counter[Outcome] = Counter()
    latencies = new_histogram(significant_figures=2)
    senders = [
        Sender(
            loop=loop,
            service=service,
            servers=servers,
            seed=number,
            outcomes=outcomes,
            latencies=latencies,
            config=fleet.config,
        )
        for number in range(fleet.instances)
    ]
    router = Random(seed)
    arrivals = record(traffic)
    for arrival in arrivals:
        loop.at(arrival.time, partial(router.choice(senders).arrive, arrival))
    loop.run(until=seconds + 2.0)
    sheds = sum(server.sheds for server in servers.values())
    p99 = latencies.get_value_at_percentile(99.0) / 1000
    counts = " ".join(f"{outcomes[outcome] / seconds:8.1f}" for outcome in Outcome)
    print(
        f"{load:>4}x {fleet.name:20} {len(arrivals) / seconds:8.1f} {counts} "
        f"{sheds / max(1, outcomes[Outcome.GOOD]):8.2f} {p99:8.1f}"
    )


def main(*, seed: int = 1, seconds: float = 20.0) -> None:
    """Compare fleets whose servers shed.

    :param seed: seed of the recorded arrivals
    :param seconds: virtual seconds of arrivals in each run
    """
    print(
        " load instances             offered     good     late  refused  expired"
        "     shed sheds/good p99 ms"
    )
    for load in LOADS:
        for fleet in FLEETS:
            measure(fleet=fleet, load=load, seconds=seconds, seed=seed)


if __name__ == "__main__":
    run(main)
