from random import Random
from unittest import TestCase

from savorypond.balancing.drain_detector import DrainDetector
from savorypond.balancing.pool import ConnectionOutcome
from savorypond.calls.events import (
    Acquire,
    Acquired,
    Answered,
    CallerGone,
    ConnectionLost,
    Finish,
    NotAcquired,
    Probe,
    Probed,
    ReleaseConnection,
    ReportedNotRun,
    Result,
    Tick,
    Write,
)
from savorypond.calls.issuer import TicketIssuer
from savorypond.calls.ledger import Claimed, Replay, TicketLedger
from savorypond.calls.state_machine import CallStateMachine
from savorypond.calls.tickets import TicketLimits, TicketSigner
from savorypond.membership.pause import PauseDetector
from savorypond.reasons import Execution, RefusalReason

NOT_RUN = Execution.NOT_RUN
UNKNOWN = Execution.UNKNOWN
PROVEN = Acquired(server="s1", verified=True)
STALE = Acquired(server="s1", verified=False)
ALIVE = Probed(alive=True)
SILENT = Probed(alive=False)
OTHER = Acquired(server="s2", verified=True)
NOBODY = NotAcquired(server="")
DONE = Result(result=b"stamped")
LEAVES = "s1 leaves"
SHED = ReportedNotRun()
FAILED = NotAcquired(server="s1")
BREAK = ConnectionLost()
TICK = Tick()
GONE = CallerGone()
LATE = (RefusalReason.TIME_TOO_SHORT, NOT_RUN)
NONE = (RefusalReason.NO_BACKEND_SERVER, NOT_RUN)
UNHEARD = (RefusalReason.CALLER_GONE, NOT_RUN)
TIMEOUT = (RefusalReason.TIMED_OUT, UNKNOWN)
LOST = (RefusalReason.CONNECTION_LOST, UNKNOWN)


class Raiser:
    def __init__(self, ledger):
        self._ledger = ledger

    def resumed(self, paused):
        self._ledger.raise_incarnation(self._ledger.incarnation + 1)


class Bench:
    """One claimed ticket, and a process whose heartbeat runs unless it sleeps."""

    def __init__(self, *, deadline=2.0, lifetime=100.0):
        shared = {
            "incarnation": 1,
            "signer": TicketSigner(key=Random(1).randbytes(32)),
            "limits": TicketLimits(lifetime=lifetime),
        }
        issuer = TicketIssuer(instance="entry-1", fleet="baric", **shared)
        self.ledger = TicketLedger(**shared)
        (self.ticket,) = issuer.issue(now=0.0)
        self.ledger.claim(self.ticket, now=0.0)
        self.pause = PauseDetector(now=0.0, listeners=[Raiser(self.ledger)])
        self.servers = DrainDetector()
        self.run = CallStateMachine(
            ticket=self.ticket,
            deadline=deadline,
            ledger=self.ledger,
            pause=self.pause,
            servers=self.servers,
        )
        self.actions = []
        self.now = 0.0

    def play(self, script):
        self.actions += self.run.start(now=0.0)
        for at, event in script:
            if event == LEAVES:
                self.servers.record_drain_refusal(server="s1", now=at)
                continue
            if at - self.now <= 2.0:
                self.pause.observe(at)
            self.now = at
            self.actions += self.run.handle(event, now=at)
        return self

    def of(self, kind):
        return [a for a in self.actions if isinstance(a, kind)]

    @property
    def outcome(self):
        (finish,) = self.of(Finish)
        if isinstance(finish.outcome, Answered):
            return finish.outcome.result
        return (finish.outcome.reason, finish.outcome.execution)


class FaultTableTests(TestCase):
    def test_faults(self):
        ok = b"stamped"
        shed_on = [(0.1 * n, e) for n in range(1, 9) for e in (PROVEN, SHED)]
        elsewhere = [(0.7, OTHER), (0.8, DONE)]
        table = [
            ("calm", [(0.1, PROVEN), (0.2, DONE)], 1, ok),
            ("probed first", [(0.1, STALE), (0.2, ALIVE), (0.3, DONE)], 1, ok),
            (
                "silent before the request: replaced",
                [(0.1, STALE), (0.6, SILENT), (0.7, PROVEN), (0.8, DONE)],
                1,
                ok,
            ),
            ("silent in the middle or after", [(0.1, PROVEN), (2.0, TICK)], 1, TIMEOUT),
            ("early tick", [(0.1, PROVEN), (1.0, TICK), (1.1, DONE)], 1, ok),
            ("lost after the write", [(0.1, PROVEN), (0.2, BREAK)], 1, LOST),
            ("late answer", [(0.1, PROVEN), (2.0, TICK), (2.1, DONE)], 1, TIMEOUT),
            (
                "shed, then run elsewhere",
                [(0.1, PROVEN), (0.2, SHED), (0.3, OTHER), (0.4, DONE)],
                2,
                ok,
            ),
            ("shed everywhere", [(0.1, PROVEN), (0.2, SHED), (0.3, NOBODY)], 1, NONE),
            ("shed again and again", shed_on, 3, (RefusalReason.SHED, NOT_RUN)),
            ("shed, then no time", [(0.1, PROVEN), (2.0, SHED)], 1, LATE),
            (
                "server leaves before the write",
                [(0.1, LEAVES), (0.1, PROVEN), (0.2, OTHER), (0.3, DONE)],
                1,
                ok,
            ),
            ("server leaves later", [(0.1, PROVEN), (0.2, LEAVES), (0.3, DONE)], 1, ok),
            ("no server", [(0.1, NOBODY)], 0, NONE),
            ("a connect fails", [(0.1, FAILED), (0.2, OTHER), (0.3, DONE)], 1, ok),
            ("paused 30 s before the write", [(30.0, PROVEN)], 0, LATE),
            ("paused 30 s while probing", [(0.1, STALE), (30.0, ALIVE)], 0, LATE),
            ("paused, answer in the socket", [(0.1, PROVEN), (30.0, DONE)], 1, ok),
            ("connected too late", [(2.0, TICK), (2.1, PROVEN)], 0, LATE),
            ("probed until the deadline", [(0.1, STALE), (2.0, TICK)], 0, LATE),
            ("caller gone before the write", [(0.1, STALE), (0.2, GONE)], 0, UNHEARD),
            ("caller gone later", [(0.1, PROVEN), (0.2, GONE), (0.3, DONE)], 1, ok),
            (
                "two faults: silent connection, then a leaving server",
                [(0.1, STALE), (0.5, SILENT), (0.5, LEAVES), (0.6, PROVEN), *elsewhere],
                1,
                ok,
            ),
            (
                "two faults: shed, then the next connection is lost",
                [(0.1, PROVEN), (0.2, SHED), (0.3, OTHER), (0.4, BREAK)],
                2,
                LOST,
            ),
        ]
        for name, script, writes, outcome in table:
            with self.subTest(name):
                bench = Bench().play(script)
                self.assertEqual(len(bench.of(Write)), writes)
                self.assertEqual(bench.outcome, outcome)
                taken = [e for _, e in script if isinstance(e, Acquired)]
                self.assertEqual(len(bench.of(ReleaseConnection)), len(taken))

    def test_a_pause_takes_the_right_even_with_time_left(self):
        bench = Bench(deadline=60.0).play([(0.1, PROVEN), (0.2, SHED), (30.0, OTHER)])
        self.assertEqual(len(bench.of(Write)), 1)
        self.assertEqual(bench.outcome, (RefusalReason.TICKET_VOID, NOT_RUN))
        self.assertEqual(
            bench.of(ReleaseConnection)[-1].outcome, ConnectionOutcome.UNUSED
        )

    def test_a_cancelled_call_leaves_its_ticket_in_a_true_state(self):
        spent = RefusalReason.TICKET_UNRESOLVED
        for name, script, expected in [
            ("not sent", [(0.1, STALE)], Claimed),
            ("sent", [(0.1, PROVEN)], spent),
            ("answered", [(0.1, PROVEN), (0.2, DONE)], Replay),
        ]:
            with self.subTest(name):
                bench = Bench().play(script)
                bench.run.abandon()
                self.assertEqual(bench.run.handle(DONE, now=0.3), ())
                claim = bench.ledger.claim(bench.ticket, now=0.4)
                self.assertEqual(getattr(claim, "reason", type(claim)), expected)

    def test_a_server_that_failed_is_named_to_the_next_acquire(self):
        script = [(0.1, FAILED), (0.2, OTHER), (0.3, SHED)]
        bench = Bench().play(script)
        tried = [sorted(acquire.tried) for acquire in bench.of(Acquire)]
        self.assertEqual(tried, [[], ["s1"], ["s1", "s2"]])

    def test_a_ticket_that_expires_while_waiting_is_not_run(self):
        bench = Bench(lifetime=1.0).play([(1.0, PROVEN)])
        self.assertEqual(bench.of(Write), [])
        self.assertEqual(bench.outcome, (RefusalReason.TICKET_EXPIRED, NOT_RUN))

    def test_a_deadline_of_zero_starts_nothing(self):
        bench = Bench(deadline=0.0).play([])
        self.assertEqual(bench.of(Acquire) + bench.of(Probe), [])
        self.assertEqual(bench.outcome, (RefusalReason.TIME_TOO_SHORT, NOT_RUN))

    def test_the_write_names_the_time_left_and_connections_end_right(self):
        bench = Bench().play([(0.5, STALE), (0.6, SILENT), (1.5, PROVEN)])
        self.assertEqual(bench.of(Write), [Write(time_left=0.5)])
        self.assertEqual(
            bench.of(ReleaseConnection),
            [ReleaseConnection(outcome=ConnectionOutcome.TIMED_OUT)],
        )
        bench.actions += bench.run.handle(TICK, now=2.0)
        self.assertEqual(
            bench.of(ReleaseConnection),
            [ReleaseConnection(outcome=ConnectionOutcome.TIMED_OUT)] * 2,
        )
