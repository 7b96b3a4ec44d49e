"""A simulated instance that sends recorded arrivals through its own limiters."""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from functools import partial
from random import Random
from typing import Protocol

from hdrh.histogram import HdrHistogram

from benchmarks.event_loop import Arrival, EventLoop
from benchmarks.limiter_timers import LimiterTimers
from benchmarks.limiter_view import LimiterView, make_limiters
from savorypond.balancing.balancer import (
    ChoiceRule,
    LinkLatencies,
    ReplicaStatsRegistry,
    make_chooser,
)
from savorypond.balancing.limiter import (
    DEFAULT_LIMITER,
    Granted,
    LimiterConfig,
    QueueChange,
    Queued,
    SlotOutcome,
)
from savorypond.model import Pin, Service
from savorypond.protocols import Purpose

PIN = Pin(snapshot=1, layout=1)
MAX_ATTEMPTS = 3


class Server(Protocol):
    """A backend server on the virtual clock."""

    def send(self, work: float, answer: Callable[[bool], None]) -> None:
        """Run for ``work`` seconds; answer True when done, False for a shed."""


class Outcome(StrEnum):
    """The outcome of an arrival."""

    GOOD = "good"
    LATE = "late"
    REFUSED = "refused"
    EXPIRED = "expired"
    SHED = "shed"


@dataclass(kw_only=True, eq=False)
class Call:
    """One arrival and its attempts."""

    arrival: Arrival
    server: str = ""
    started: float = 0.0
    attempts: int = 0


class Sender:
    """Chooses a replica, waits for its limiter, sends, and retries after a shed."""

    def __init__(
        self,
        *,
        loop: EventLoop,
        service: Service,
        servers: Mapping[str, Server],
        seed: int,
        outcomes: Counter[Outcome],
        latencies: HdrHistogram,
        rule: ChoiceRule = ChoiceRule.LEAST_EXPECTED_FINISH,
        config: LimiterConfig = DEFAULT_LIMITER,
    ) -> None:
        self._loop = loop
        self._service = service
        self._servers = servers
        self._outcomes = outcomes
        self._latencies = latencies
        self._limiters = make_limiters(service, config=config)
        self._timers = LimiterTimers(
            loop=loop, limiters=self._limiters, apply=self._apply
        )
        self._registry = ReplicaStatsRegistry()
        self._chooser = make_chooser(
            rule=rule,
            rng=Random(seed),
            links=LinkLatencies(local="split"),
            view=LimiterView(limiters=self._limiters),
            registry=self._registry,
        )

    def arrive(self, arrival: Arrival) -> None:
        self._place(Call(arrival=arrival))

    def _place(self, call: Call) -> None:
        tried: frozenset[str] = frozenset()
        while server := self._chooser.choose(
            service=self._service,
            pin=PIN,
            tried=tried,
            now=self._loop.now,
            purpose=Purpose.RETRY if call.attempts else Purpose.FIRST,
        ):
            call.server = server.name
            decision = self._limiters[server.name].offer(
                waiter=call,
                priority=call.arrival.priority,
                deadline=call.arrival.deadline,
                now=self._loop.now,
            )
            if isinstance(decision, Granted):
                self._start(call)
                return
            if isinstance(decision, Queued):
                self._timers.schedule(server.name)
                return
            tried |= {server.name}
        self._outcomes[Outcome.REFUSED] += 1

    def _start(self, call: Call) -> None:
        call.started = self._loop.now
        call.attempts += 1
        stats = self._registry.get(server=call.server)
        stats.started(attempt=call, now=self._loop.now)
        answer = partial(self._answer, call)
        self._servers[call.server].send(call.arrival.work[0], answer)

    def _answer(self, call: Call, ok: bool) -> None:
        now = self._loop.now
        server = call.server
        stats = self._registry.get(server=server)
        if ok:
            stats.finished(attempt=call, now=now, ok=True)
        else:
            stats.cancelled(attempt=call, now=now)
        change = self._limiters[server].release(
            now=now,
            service_time=now - call.started,
            outcome=SlotOutcome.SUCCESS if ok else SlotOutcome.SHED,
        )
        self._apply(server, change)
        if ok:
            self._answered(call)
        elif call.attempts < MAX_ATTEMPTS:
            self._place(call)
        else:
            self._outcomes[Outcome.SHED] += 1

    def _answered(self, call: Call) -> None:
        elapsed = self._loop.now - call.arrival.time
        self._latencies.record_value(round(elapsed * 1e6))
        on_time = self._loop.now <= call.arrival.deadline
        self._outcomes[Outcome.GOOD if on_time else Outcome.LATE] += 1

    def _apply(self, server: str, change: QueueChange) -> None:
        self._outcomes[Outcome.EXPIRED] += len(change.expired)
        for call in change.granted:
            self._start(call)
        self._timers.schedule(server)
