"""One instance that sends recorded arrivals through gates of its own."""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from functools import partial
from random import Random
from typing import Protocol

from hdrh.histogram import HdrHistogram

from benchmarks.gateview import GateView, make_gates
from benchmarks.gatewatch import GateWatch
from benchmarks.virtual import Arrival, EventLoop
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
MOST_ATTEMPTS = 3


class Server(Protocol):
    """A backend server on the virtual clock."""

    def send(self, work: float, answer: Callable[[bool], None]) -> None:
        """Take ``work`` seconds; answer True when done, False for a shed."""


class End(StrEnum):
    """How an arrival ended."""

    GOOD = "good"
    LATE = "late"
    REFUSED = "refused"
    EXPIRED = "expired"
    SHED = "shed"


@dataclass(kw_only=True, eq=False)
class Call:
    """One arrival on its way."""

    arrival: Arrival
    server: str = ""
    started: float = 0.0
    attempts: int = 0


class Sender:
    """Choose a replica, wait at its gate, send, and try again after a shed."""

    def __init__(
        self,
        *,
        loop: EventLoop,
        service: Service,
        servers: Mapping[str, Server],
        seed: int,
        ends: Counter[End],
        latencies: HdrHistogram,
        rule: ChoiceRule = ChoiceRule.LEAST_EXPECTED_FINISH,
        config: LimiterConfig = DEFAULT_LIMITER,
    ) -> None:
        self._loop = loop
        self._service = service
        self._servers = servers
        self._ends = ends
        self._latencies = latencies
        self._gates = make_gates(service, config=config)
        self._watch = GateWatch(loop=loop, gates=self._gates, apply=self._apply)
        self._board = ReplicaStatsRegistry()
        self._chooser = make_chooser(
            rule=rule,
            rng=Random(seed),
            links=LinkLatencies(local="split"),
            view=GateView(gates=self._gates),
            registry=self._board,
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
            verdict = self._gates[server.name].offer(
                waiter=call,
                priority=call.arrival.priority,
                deadline=call.arrival.deadline,
                now=self._loop.now,
            )
            if isinstance(verdict, Granted):
                self._start(call)
                return
            if isinstance(verdict, Queued):
                self._watch.watch(server.name)
                return
            tried |= {server.name}
        self._ends[End.REFUSED] += 1

    def _start(self, call: Call) -> None:
        call.started = self._loop.now
        call.attempts += 1
        stats = self._board.get(server=call.server)
        stats.started(attempt=call, now=self._loop.now)
        answer = partial(self._answer, call)
        self._servers[call.server].send(call.arrival.work[0], answer)

    def _answer(self, call: Call, ok: bool) -> None:
        now = self._loop.now
        server = call.server
        stats = self._board.get(server=server)
        if ok:
            stats.finished(attempt=call, now=now, ok=True)
        else:
            stats.cancelled(attempt=call, now=now)
        change = self._gates[server].release(
            now=now,
            service_time=now - call.started,
            outcome=SlotOutcome.SUCCESS if ok else SlotOutcome.SHED,
        )
        self._apply(server, change)
        if ok:
            self._answered(call)
        elif call.attempts < MOST_ATTEMPTS:
            self._place(call)
        else:
            self._ends[End.SHED] += 1

    def _answered(self, call: Call) -> None:
        took = self._loop.now - call.arrival.time
        self._latencies.record_value(round(took * 1e6))
        in_time = self._loop.now <= call.arrival.deadline
        self._ends[End.GOOD if in_time else End.LATE] += 1

    def _apply(self, server: str, change: QueueChange) -> None:
        self._ends[End.EXPIRED] += len(change.expired)
        for call in change.granted:
            self._start(call)
        self._watch.watch(server)
