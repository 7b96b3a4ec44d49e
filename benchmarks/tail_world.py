"""A virtual fleet of backend servers for benchmarks of one query's decisions."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from heapq import heappop, heappush
from random import Random

from benchmarks.tail_recording import (
    ATTEMPT_DRAWS,
    SERVICES,
    SLOTS,
    Faults,
    Figures,
    Recording,
    make_services,
)
from benchmarks.tail_view import KnownServers
from savorypond.balancing.limiter import Granted, Refused, ServerLimiter, SlotOutcome
from savorypond.clock import VirtualClock
from savorypond.model import Counters, Holding, Preference, Priority, Query
from savorypond.protocols import ExtraAttemptBudget, HedgePolicy, ReplicaChooser
from savorypond.queries.attempts import (
    Action,
    Attempt,
    AttemptFailure,
    CancelAttempt,
    FailureKind,
    Finish,
    RejectAnswer,
    Repin,
    SendAttempt,
)
from savorypond.queries.fanout import Fanout
from savorypond.queries.fanout_policies import FanoutPolicies
from savorypond.queries.partials import ServerAnswer, ServerPartial

LINK_TIME = 0.0005  # seconds one way between instance and backend server
STRAGGLER_FACTOR = 10.0
COLD_FACTOR = 5.0
COLD_TIME = 5.0  # seconds that a cold replica takes to get warm


class Cancel(StrEnum):
    """What happens to a running attempt that is cancelled."""

    STOP = "stop"
    LET_FINISH = "let-finish"


@dataclass(slots=True, kw_only=True, eq=False)
class Work:
    """One attempt on its way through its gate, its server and back."""

    fanout: Fanout
    query: int
    attempt: Attempt
    seconds: float
    dispatched_at: float | None = None
    running: bool = False
    cancelled: bool = False
    done: bool = False


class VirtualServer:
    """A backend server that runs ``SLOTS`` requests and queues the others."""

    def __init__(self, *, name: str, faults: Faults) -> None:
        self._name = name
        self._faults = faults
        self.busy = 0
        self.queue: deque[Work] = deque()

    @property
    def lost(self) -> bool:
        return self._name == self._faults.lost

    @property
    def silent(self) -> bool:
        return self._name == self._faults.silent

    def factor(self, now: float) -> float:
        """Return how many times longer than usual a request takes now."""
        if self._name == self._faults.straggler:
            return STRAGGLER_FACTOR
        if self._name == self._faults.cold and now < COLD_TIME:
            return COLD_FACTOR
        return 1.0


class TailWorld:
    """Drives fan-outs over virtual backend servers through recorded arrivals.

    :param gated: whether a gate keeps to each server's slots; otherwise all is
        sent at once, and queues without bound at the server.
    """

    def __init__(
        self,
        *,
        recording: Recording,
        faults: Faults,
        gated: bool,
        cancel: Cancel,
        time_limit: float,
        prefer: Preference,
        learn_cancelled: bool,
        percentile: float | None,
        policies: Callable[
            [KnownServers],
            tuple[ReplicaChooser, ExtraAttemptBudget, HedgePolicy],
        ],
    ) -> None:
        self._recording = recording
        self._gated = gated
        self._cancel_mode = cancel
        self._learn_cancelled = learn_cancelled
        self._time_limit = time_limit
        self._prefer = prefer
        self._clock = VirtualClock()
        self._random = Random(1)
        self.counters = Counters()
        self.figures = Figures()
        self._services = make_services()
        self._numbers = {s.name: n for n, s in enumerate(self._services)}
        self._known = KnownServers(
            services=self._services,
            clock=self._clock,
            random=self._random,
            counters=self.counters,
            percentile=percentile,
        )
        chooser, budget, hedging = policies(self._known)
        self._policies = FanoutPolicies(
            chooser=chooser,
            budget=budget,
            hedging=hedging,
            counters=self.counters,
            random=self._random,
        )
        self._servers = {
            server.name: VirtualServer(name=server.name, faults=faults)
            for service in self._services
            for server in service.backend_servers
        }
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._timers: dict[int, float] = {}
        self._works: dict[tuple[int, int], Work] = {}
        self._received: dict[tuple[int, str], int] = {}
        self._report_holdings()
        if faults.cold:
            self._known.mark_cold(server=faults.cold)

    def run(self) -> Figures:
        """Play the recording to its end."""
        for number, at in enumerate(self._recording.arrivals):
            self._at(at, lambda number=number: self._arrive(number))
        while self._heap:
            at, _, event = heappop(self._heap)
            self._clock.advance(max(0.0, at - self._clock.now()))
            event()
        return self.figures

    def _at(self, at: float, event: Callable[[], None]) -> None:
        self._sequence += 1
        heappush(self._heap, (at, self._sequence, event))

    def _after(self, seconds: float, event: Callable[[], None]) -> None:
        self._at(self._clock.now() + seconds, event)

    def _report_holdings(self) -> None:
        for service in self._services:
            held = Holding(snapshot=1, layout=1, shards=frozenset({service.name}))
            for server in service.backend_servers:
                self._known.record_report(server=server.name, held=held)

    def _arrive(self, number: int) -> None:
        now = self._clock.now()
        choice = self._known.pin()
        assert choice is not None
        query = Query(
            request_id=str(number),
            index="boats",
            services=(),
            body=None,
            deadline=now + self._time_limit,
            prefer=self._prefer,
            priority=Priority.INTERACTIVE,
            least_coverage=0.0,
        )
        fanout = Fanout(
            query=query,
            pin=choice.pin,
            services=self._services,
            policies=self._policies,
        )
        self._apply(fanout, number, fanout.start(now))

    def _apply(self, fanout: Fanout, query: int, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendAttempt):
                self._send(fanout, query, action)
            elif isinstance(action, CancelAttempt):
                self._cancel(self._works[query, action.attempt.number])
            elif isinstance(action, Finish):
                self._finish(query, action)
            elif isinstance(action, Repin):
                self._repin(fanout, query)
            elif isinstance(action, RejectAnswer):
                raise AssertionError(f"unexpected {action}")
        self._set_timer(fanout, query)

    def _repin(self, fanout: Fanout, query: int) -> None:
        choice = self._known.pin()
        pin = choice.pin if choice else None
        self._apply(fanout, query, fanout.restart(pin, self._clock.now()))

    def _set_timer(self, fanout: Fanout, query: int) -> None:
        at = fanout.next_timer()
        if at is not None and self._timers.get(query) != at:
            self._timers[query] = at
            self._at(at, lambda: self._tick(fanout, query, at))

    def _tick(self, fanout: Fanout, query: int, at: float) -> None:
        if fanout.next_timer() == at:
            self._apply(fanout, query, fanout.tick(self._clock.now()))

    def _finish(self, query: int, action: Finish) -> None:
        taken = self._clock.now() - self._recording.arrivals[query]
        coverage = action.answer.coverage.share
        figures = self.figures
        figures.latency.record_value(max(1, round(taken * 1e6)))
        figures.queries += 1
        figures.coverage_sum += coverage
        figures.least_coverage = min(figures.least_coverage, coverage)

    def _gate(self, server: str) -> ServerLimiter:
        return self._known.gates[server]

    def _send(self, fanout: Fanout, query: int, action: SendAttempt) -> None:
        attempt = action.attempt
        times = self._recording.times[query][self._numbers[attempt.service.name]]
        work = Work(
            fanout=fanout,
            query=query,
            attempt=attempt,
            seconds=times[(attempt.number - 1) // SERVICES % ATTEMPT_DRAWS],
        )
        self._works[query, attempt.number] = work
        if not self._gated:
            self._dispatch(work)
            return
        offer = self._gate(attempt.server.name).offer(
            waiter=work,
            priority=Priority.INTERACTIVE,
            deadline=action.deadline,
            now=self._clock.now(),
        )
        if isinstance(offer, Granted):
            self._dispatch(work)
        elif isinstance(offer, Refused):
            kind, wait = FailureKind.OVERLOADED, offer.retry_after
            self._after(0.0, lambda: self._fail(work, kind, wait))

    def _dispatch(self, work: Work) -> None:
        work.dispatched_at = self._clock.now()
        name = work.attempt.server.name
        stats = self._known.board.get(server=name)
        stats.started(attempt=work, now=work.dispatched_at)
        self._apply(
            work.fanout,
            work.query,
            work.fanout.dispatched(work.attempt, work.dispatched_at),
        )
        if self._servers[name].lost:
            kind = FailureKind.CONNECTION_FAILED
            self._after(2 * LINK_TIME, lambda: self._fail(work, kind, None))
        else:
            self._after(LINK_TIME, lambda: self._receive(work))

    def _receive(self, work: Work) -> None:
        server = self._servers[work.attempt.server.name]
        key = (work.query, work.attempt.service.name)
        before = self._received.get(key, 0)
        self._received[key] = before + 1
        if server.silent:
            return
        counts = self.figures.extras if before else self.figures.firsts
        name = work.attempt.server.name
        counts[name] = counts.get(name, 0) + 1
        if server.busy < SLOTS:
            self._work(server, work)
        else:
            server.queue.append(work)

    def _work(self, server: VirtualServer, work: Work) -> None:
        server.busy += 1
        work.running = True
        seconds = work.seconds * server.factor(self._clock.now())
        self._after(seconds, lambda: self._worked(server, work))

    def _worked(self, server: VirtualServer, work: Work) -> None:
        if work.done:
            return
        self._free(server, work)
        self._after(LINK_TIME, lambda: self._answer(work))

    def _free(self, server: VirtualServer, work: Work) -> None:
        work.done = True
        server.busy -= 1
        while server.queue and server.busy < SLOTS:
            following = server.queue.popleft()
            if not following.done:
                self._work(server, following)

    def _release(self, work: Work, outcome: SlotOutcome) -> float:
        now = self._clock.now()
        assert work.dispatched_at is not None
        seconds = now - work.dispatched_at
        if self._gated:
            gate = self._gate(work.attempt.server.name)
            change = gate.release(now=now, service_time=seconds, outcome=outcome)
            for granted in change.granted:
                self._dispatch(granted)
            for expired in change.expired:
                self._fail(expired, FailureKind.OVERLOADED, None)
        return seconds

    def _answer(self, work: Work) -> None:
        name = work.attempt.server.name
        outcome = SlotOutcome.CANCELLED if work.cancelled else SlotOutcome.SUCCESS
        seconds = self._release(work, outcome)
        self._known.record_success(server=name, seconds=seconds)
        if work.cancelled:
            return
        now = self._clock.now()
        stats = self._known.board.get(server=name)
        stats.finished(attempt=work, now=now, ok=True)
        partial = ServerPartial(shard=work.attempt.service.name, count=0, results=())
        answer = ServerAnswer(
            request_id=str(work.query),
            snapshot=work.attempt.pin.snapshot,
            layout=work.attempt.pin.layout,
            partials=(partial,),
        )
        self._known.record_answer(
            server=name,
            pin=work.attempt.pin,
            shards=work.attempt.shards,
        )
        fanout = work.fanout
        self._apply(fanout, work.query, fanout.answered(work.attempt, answer, now))

    def _fail(self, work: Work, kind: FailureKind, wait: float | None) -> None:
        now = self._clock.now()
        if kind is FailureKind.CONNECTION_FAILED:
            name = work.attempt.server.name
            self._release(work, SlotOutcome.FAILED)
            self._known.record_failure(server=name)
            if not work.cancelled:
                stats = self._known.board.get(server=name)
                stats.finished(attempt=work, now=now, ok=False)
        if work.cancelled:
            return
        failure = AttemptFailure(kind=kind, not_run=True, retry_after=wait)
        fanout = work.fanout
        self._apply(fanout, work.query, fanout.failed(work.attempt, failure, now))

    def _cancel(self, work: Work) -> None:
        work.cancelled = True
        name = work.attempt.server.name
        if work.dispatched_at is None:
            if self._gated:
                self._gate(name).cancel(waiter=work)
            return
        stats = self._known.board.get(server=name)
        stats.cancelled(attempt=work, now=self._clock.now())
        if self._cancel_mode is Cancel.STOP:
            self._after(LINK_TIME, lambda: self._stop(work))

    def _stop(self, work: Work) -> None:
        """Stop a cancelled attempt at its server, which then confirms it."""
        server = self._servers[work.attempt.server.name]
        if work.done or server.lost:
            return
        if work.running:
            self._free(server, work)
        work.done = True
        self._after(LINK_TIME, lambda: self._stopped(work))

    def _stopped(self, work: Work) -> None:
        name = work.attempt.server.name
        seconds = self._release(work, SlotOutcome.CANCELLED)
        if self._servers[name].silent:
            self._known.record_failure(server=name)
        elif self._learn_cancelled:
            self._known.record_cancelled(server=name, seconds=seconds)
