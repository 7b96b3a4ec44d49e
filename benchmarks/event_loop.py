"""An event loop on a virtual clock, and recorded arrivals."""

from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush
from math import log, sqrt
from random import Random

from savorypond.model import Priority


class EventLoop:
    """Run callables in the order of their virtual times."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self.now = 0.0

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Run ``action`` at ``time``, or at once if ``time`` has passed."""
        self._sequence += 1
        heappush(self._heap, (max(time, self.now), self._sequence, action))

    def run(self, *, until: float) -> None:
        """Run all events up to ``until``."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, action = heappop(self._heap)
            action()
        self.now = until


@dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """One recorded request: its time, its class and the work of each part."""

    time: float
    priority: Priority
    deadline: float
    work: tuple[float, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Traffic:
    """The parameters of an arrival process.

    :param rate: arrivals per second.
    :param variation: squared coefficient of variation of the interarrival times; 1.0
        is a Poisson process.
    :param mean_work: mean seconds of work per part.
    :param work_sigma: standard deviation of the logarithm of the work.
    :param classes: share of arrivals and seconds to the deadline, by class.
    """

    rate: float
    variation: float
    parts: int
    mean_work: float
    work_sigma: float
    seconds: float
    seed: int
    classes: tuple[tuple[float, float], ...] = ((0.1, 0.2), (0.7, 0.2), (0.2, 1.0))


def lognormal(rng: Random, mean: float, sigma: float) -> float:
    """Return a lognormal time with the given mean."""
    return rng.lognormvariate(log(mean) - sigma * sigma / 2, sigma)


def record(traffic: Traffic) -> list[Arrival]:
    """Return the arrivals, the same for the same seed."""
    rng = Random(traffic.seed)
    arrivals = []
    now = _gap(rng, traffic)
    while now < traffic.seconds:
        arrivals.append(_arrival(rng, traffic, now))
        now += _gap(rng, traffic)
    return arrivals


def _arrival(rng: Random, traffic: Traffic, now: float) -> Arrival:
    weights = [share for share, _ in traffic.classes]
    priority = rng.choices(list(Priority), weights)[0]
    work = tuple(
        lognormal(rng, traffic.mean_work, traffic.work_sigma)
        for _ in range(traffic.parts)
    )
    deadline = now + traffic.classes[priority][1]
    return Arrival(time=now, priority=priority, deadline=deadline, work=work)


def _gap(rng: Random, traffic: Traffic) -> float:
    """Return an interarrival time.

    It is exponential, or hyperexponential with balanced means.
    """
    if traffic.variation <= 1.0:
        return rng.expovariate(traffic.rate)
    skew = sqrt((traffic.variation - 1.0) / (traffic.variation + 1.0))
    share = (1.0 + skew) / 2.0
    if rng.random() >= share:
        share = 1.0 - share
    return rng.expovariate(2.0 * share * traffic.rate)
