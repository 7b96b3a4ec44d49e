"""Compares goodput under overload with an unbounded FIFO queue and the slot limiter.

Both get the same recorded arrivals. An answer counts as goodput if all its parts are
complete by the deadline.
"""

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Protocol

from defopt import run
from hdrh.histogram import HdrHistogram

from benchmarks.event_loop import Arrival, EventLoop, Traffic, record
from benchmarks.limiter_timers import LimiterTimers
from benchmarks.limiter_view import LimiterView, make_limiters, make_service
from savorypond.balancing.admission import (
    Admission,
    AdmissionConfig,
    Admitted,
    RequestOutcome,
)
from savorypond.balancing.balancer import (
    ChoiceRule,
    LinkLatencies,
    ReplicaStatsRegistry,
    make_chooser,
)
from savorypond.balancing.latency import new_histogram
from savorypond.balancing.limiter import Granted, QueueChange, Queued, SlotOutcome
from savorypond.model import Pin, Priority, Service
from savorypond.protocols import Purpose

REPLICAS = 2
SLOTS = 2
MEAN_WORK = 0.02  # seconds
WORK_SIGMA = 0.8  # of the logarithm; coefficient of variation 0.95
LOADS = (0.5, 1.0, 2.0, 4.0)  # times capacity
PIN = Pin(snapshot=1, layout=1)


@dataclass(kw_only=True)
class RunResult:
    """The outcomes of the arrivals of one run."""

    good: Counter[Priority] = field(default_factory=Counter)
    late: Counter[Priority] = field(default_factory=Counter)
    refused: Counter[Priority] = field(default_factory=Counter)
    expired: Counter[Priority] = field(default_factory=Counter)
    offered: Counter[Priority] = field(default_factory=Counter)
    latencies: HdrHistogram = field(
        default_factory=partial(new_histogram, significant_figures=2)
    )

    def answered(self, arrival: Arrival, now: float) -> None:
        """Count one answer whose parts are all complete."""
        elapsed = now - arrival.time
        self.latencies.record_value(min(round(elapsed * 1e6), 60_000_000))
        counter = self.good if now <= arrival.deadline else self.late
        counter[arrival.priority] += 1


class Policy(Protocol):
    """Handles arrivals and answers some of them."""

    def arrive(self, arrival: Arrival) -> None:
        """Handle one arrival."""


class FifoPolicy:
    """Choose a random replica; queue without bound at each; refuse nothing."""

    def __init__(self, *, loop: EventLoop, parts: int, result: RunResult) -> None:
        self._loop = loop
        self._result = result
        self._rng = Random(7)
        servers = range(parts * REPLICAS)
        self._queues: list[deque[Callable[[], float]]] = [deque() for _ in servers]
        self._busy = [0 for _ in servers]
        self._left: dict[int, int] = {}

    def arrive(self, arrival: Arrival) -> None:
        self._left[id(arrival)] = len(arrival.work)
        for part, work in enumerate(arrival.work):
            server = part * REPLICAS + self._rng.randrange(REPLICAS)
            self._queues[server].append(partial(self._start, server, arrival, work))
            self._serve(server)

    def _serve(self, server: int) -> None:
        while self._busy[server] < SLOTS and self._queues[server]:
            self._busy[server] += 1
            self._queues[server].popleft()()

    def _start(self, server: int, arrival: Arrival, work: float) -> float:
        end = self._loop.now + work
        self._loop.at(end, partial(self._finish, server, arrival))
        return end

    def _finish(self, server: int, arrival: Arrival) -> None:
        self._busy[server] -= 1
        self._left[id(arrival)] -= 1
        if not self._left[id(arrival)]:
            self._result.answered(arrival, self._loop.now)
        self._serve(server)


@dataclass(kw_only=True, eq=False)
class Part:
    """One part of a request."""

    request: "Request"
    work: float
    server: str = ""
    started: float = 0.0
    done: bool = False


@dataclass(kw_only=True, eq=False)
class Request:
    """One admitted request."""

    arrival: Arrival
    parts: list[Part] = field(default_factory=list)
    left: int = 0
    over: bool = False


class LimiterPolicy:
    """Use admission, least expected finish and a limiter for each backend server."""

    def __init__(self, *, loop: EventLoop, parts: int, result: RunResult) -> None:
        self._loop = loop
        self._result = result
        self._admission = self._make_admission()
        self._services = [
            make_service(f"s{number}", replicas=REPLICAS, slots=SLOTS)
            for number in range(parts)
        ]
        self._limiters = {}
        for service in self._services:
            self._limiters |= make_limiters(service)
        self._timers = LimiterTimers(
            loop=loop, limiters=self._limiters, apply=self._apply
        )
        self._registry = ReplicaStatsRegistry()
        self._chooser = make_chooser(
            rule=ChoiceRule.LEAST_EXPECTED_FINISH,
            rng=Random(7),
            links=LinkLatencies(local="split"),
            view=LimiterView(limiters=self._limiters),
            registry=self._registry,
        )

    def arrive(self, arrival: Arrival) -> None:
        decision = self._admission.offer(
            priority=arrival.priority, deadline=arrival.deadline, now=self._loop.now
        )
        if not isinstance(decision, Admitted):
            self._result.refused[arrival.priority] += 1
            return
        request = Request(arrival=arrival, left=len(arrival.work))
        for service, work in zip(self._services, arrival.work, strict=True):
            part = Part(request=request, work=work)
            request.parts.append(part)
            if not self._place(part, service):
                self._abort(request, self._result.refused)
                return

    def _make_admission(self) -> Admission:
        return Admission()

    def _place(self, part: Part, service: Service) -> bool:
        """Offer ``part`` to the replicas, the best one first."""
        tried: frozenset[str] = frozenset()
        while server := self._chooser.choose(
            service=service,
            pin=PIN,
            tried=tried,
            now=self._loop.now,
            purpose=Purpose.FIRST,
        ):
            part.server = server.name
            decision = self._limiters[server.name].offer(
                waiter=part,
                priority=part.request.arrival.priority,
                deadline=part.request.arrival.deadline,
                now=self._loop.now,
            )
            if isinstance(decision, Granted):
                self._start(part)
                return True
            if isinstance(decision, Queued):
                self._timers.schedule(server.name)
                return True
            tried |= {server.name}
        part.done = True
        return False

    def _start(self, part: Part) -> None:
        part.started = self._loop.now
        stats = self._registry.get(server=part.server)
        stats.started(attempt=part, now=self._loop.now)
        self._loop.at(self._loop.now + part.work, partial(self._finish, part))

    def _finish(self, part: Part) -> None:
        part.done = True
        request = part.request
        stats = self._registry.get(server=part.server)
        stats.finished(attempt=part, now=self._loop.now, ok=True)
        change = self._limiters[part.server].release(
            now=self._loop.now, service_time=part.work, outcome=SlotOutcome.SUCCESS
        )
        request.left -= 1
        if not request.left and not request.over:
            self._answer(request)
        self._apply(part.server, change)

    def _answer(self, request: Request) -> None:
        request.over = True
        self._result.answered(request.arrival, self._loop.now)
        on_time = self._loop.now <= request.arrival.deadline
        outcome = RequestOutcome.ANSWERED if on_time else RequestOutcome.OVERLOADED
        self._leave(request, outcome)

    def _abort(self, request: Request, count: Counter[Priority]) -> None:
        """End a request that has lost one of its parts.

        Running parts continue to their end; waiting parts leave their queues.
        """
        if request.over:
            return
        request.over = True
        count[request.arrival.priority] += 1
        for part in request.parts:
            if not part.done:
                self._limiters[part.server].cancel(waiter=part)
        self._leave(request, RequestOutcome.OVERLOADED)

    def _leave(self, request: Request, outcome: RequestOutcome) -> None:
        self._admission.finish(
            priority=request.arrival.priority,
            now=self._loop.now,
            elapsed=self._loop.now - request.arrival.time,
            outcome=outcome,
        )

    def _apply(self, server: str, change: QueueChange) -> None:
        for waiter in change.expired:
            waiter.done = True
            self._abort(waiter.request, self._result.expired)
        for waiter in change.granted:
            self._start(waiter)
        self._timers.schedule(server)


class LimiterOnlyPolicy(LimiterPolicy):
    """Like ``LimiterPolicy``, but without admission."""

    def _make_admission(self) -> Admission:
        unlimited = 10**9
        config = AdmissionConfig(
            initial=unlimited, min_limit=unlimited, max_limit=unlimited
        )
        return Admission(config=config)


POLICIES: dict[str, type[FifoPolicy] | type[LimiterPolicy]] = {
    "fifo": FifoPolicy,
    "limiter": LimiterOnlyPolicy,
    "lim+adm": LimiterPolicy,
}


def measure(name: str, arrivals: list[Arrival], traffic: Traffic) -> RunResult:
    """Return the outcomes of ``arrivals`` under one policy."""
    loop = EventLoop()
    result = RunResult()
    policy: Policy = POLICIES[name](loop=loop, parts=traffic.parts, result=result)
    for arrival in arrivals:
        result.offered[arrival.priority] += 1
        loop.at(arrival.time, partial(policy.arrive, arrival))
    loop.run(until=traffic.seconds + 2.0)
    return result


def report(load: float, name: str, result: RunResult, seconds: float) -> None:
    """Print the results of one run."""
    times = [
        result.latencies.get_value_at_percentile(percentile) / 1000
        for percentile in (50.0, 99.0, 99.9)
    ]
    shares = " ".join(
        f"{_percent(result.good[p], result.offered[p]):>4}" for p in Priority
    )
    counts = (result.refused, result.expired, result.late)
    columns = " ".join(f"{count.total() / seconds:7.1f}" for count in counts)
    print(
        f"{load:>4}x {name:8} {result.offered.total() / seconds:8.1f} "
        f"{result.good.total() / seconds:8.1f}  "
        f"{times[0]:8.1f} {times[1]:8.1f} {times[2]:8.1f}  {columns}  {shares}"
    )


def _percent(count: int, total: int) -> str:
    return f"{100 * count / total:.0f}%" if total else "-"


def compare(*, parts: int, variation: float, seconds: float, seed: int) -> None:
    """Print the results of all loads and policies for one kind of traffic."""
    capacity = REPLICAS * SLOTS / MEAN_WORK
    kind = "Poisson" if variation <= 1.0 else f"bursty (SCV {variation:g})"
    print(f"\n{kind} arrivals, {parts} parts a request, capacity {capacity:g}/s")
    print(
        " load policy    offered  goodput    p50 ms   p99 ms p99.9 ms  "
        "refused expired    late  good of urgent/interactive/background"
    )
    for load in LOADS:
        traffic = Traffic(
            rate=load * capacity,
            variation=variation,
            parts=parts,
            mean_work=MEAN_WORK,
            work_sigma=WORK_SIGMA,
            seconds=seconds,
            seed=seed,
        )
        arrivals = record(traffic)
        for name in POLICIES:
            report(load, name, measure(name, arrivals, traffic), seconds)


def main(*, seed: int = 1, seconds: float = 20.0) -> None:
    """Compare goodput under overload.

    :param seed: seed of the recorded arrivals
    :param seconds: virtual seconds of arrivals in each run
    """
    for parts in (1, 20):
        for variation in (1.0, 5.0):
            length = seconds if parts == 1 else seconds / 4
            compare(parts=parts, variation=variation, seconds=length, seed=seed)


if __name__ == "__main__":
    run(main)
