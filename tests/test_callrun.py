from random import Random
from unittest import TestCase

from savorypond.callrun import CallRun
from savorypond.callsteps import (
    Acquire,
    Acquired,
    Answered,
    CallerGone,
    ConnectionLost,
    Finish,
    HandBack,
    NotAcquired,
    Probe,
    Probed,
    Result,
    SaidNotRun,
    Tick,
    Write,
)
from savorypond.issuer import TicketIssuer
from savorypond.leaving import ServerDrain
from savorypond.ledger import TicketLedger
from savorypond.pause import PauseDetector
from savorypond.pool import Release
from savorypond.reasons import Execution, RefusalReason
from savorypond.tickets import TicketLimits, TicketSeal

NOT_RUN = Execution.NOT_RUN
UNKNOWN = Execution.UNKNOWN
PROVEN = Acquired(server="s1", proven=True)
STALE = Acquired(server="s1", proven=False)
ALIVE = Probed(alive=True)
SILENT = Probed(alive=False)
OTHER = Acquired(server="s2", proven=True)
NOBODY = NotAcquired(server="")
DONE = Result(result=b"stamped")
LEAVES = "s1 leaves"
DRAIN = SaidNotRun()
BEATS = 0.5  # seconds between heartbeats


class Raiser:
    def __init__(self, ledger):
        self._ledger = ledger

    def woke(self, paused):
        self._ledger.raise_incarnation(self._ledger.incarnation + 1)


class Bench:
    """One claimed ticket, and a process whose heartbeat runs unless it sleeps."""

    def __init__(self, *, deadline=2.0, lifetime=100.0):
        shared = {
            "incarnation": 1,
            "seal": TicketSeal(key=Random(1).randbytes(32)),
            "limits": TicketLimits(lifetime=lifetime),
        }
        issuer = TicketIssuer(instance="entry-1", fleet="baric", **shared)
        self.ledger = TicketLedger(**shared)
        (self.ticket,) = issuer.issue(now=0.0)
        self.ledger.claim(self.ticket, now=0.0)
        self.pause = PauseDetector(now=0.0, listeners=[Raiser(self.ledger)])
        self.servers = ServerDrain()
        self.run = CallRun(
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
                self.servers.refused_as_draining(server="s1", now=at)
                continue
            if at - self.now <= 2.0:
                self.pause.observe(at)
            self.now = at
            self.actions += self.run.on(event, now=at)
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
        reason = RefusalReason
        ok = b"stamped"
        table = [
            ("calm", [(0.1, PROVEN), (0.2, DONE)], 1, ok),
            ("probed first", [(0.1, STALE), (0.2, ALIVE), (0.3, DONE)], 1, ok),
            (
                "silent before the request: replaced",
                [(0.1, STALE), (0.6, SILENT), (0.7, PROVEN), (0.8, DONE)],
                1,
                ok,
            ),
            (
                "silent in the middle or after: never sent again",
                [(0.1, PROVEN), (1.0, Tick()), (2.0, Tick())],
                1,
                (reason.TIMED_OUT, UNKNOWN),
            ),
            (
                "connection lost after the write",
                [(0.1, PROVEN), (0.2, ConnectionLost())],
                1,
                (reason.CONNECTION_LOST, UNKNOWN),
            ),
            (
                "late answer",
                [(0.1, PROVEN), (2.0, Tick()), (2.1, DONE)],
                1,
                (reason.TIMED_OUT, UNKNOWN),
            ),
            (
                "shed, then run elsewhere",
                [(0.1, PROVEN), (0.2, SaidNotRun()), (0.3, OTHER), (0.4, DONE)],
                2,
                ok,
            ),
            (
                "shed everywhere",
                [(0.1, PROVEN), (0.2, SaidNotRun()), (0.3, NOBODY)],
                1,
                (reason.NO_BACKEND_SERVER, NOT_RUN),
            ),
            (
                "shed again and again",
                [(0.1 * n, e) for n in range(1, 9) for e in (PROVEN, SaidNotRun())],
                3,
                (reason.SHED, NOT_RUN),
            ),
            (
                "shed, then no time",
                [(0.1, PROVEN), (2.0, SaidNotRun())],
                1,
                (reason.TIME_TOO_SHORT, NOT_RUN),
            ),
            (
                "server leaves before the write",
                [(0.1, LEAVES), (0.1, PROVEN), (0.2, OTHER), (0.3, DONE)],
                1,
                ok,
            ),
            (
                "server leaves after the write",
                [(0.1, PROVEN), (0.2, LEAVES), (0.3, DONE)],
                1,
                ok,
            ),
            ("no server", [(0.1, NOBODY)], 0, (reason.NO_BACKEND_SERVER, NOT_RUN)),
            (
                "one connect fails",
                [(0.1, NotAcquired(server="s1")), (0.2, OTHER), (0.3, DONE)],
                1,
                ok,
            ),
            (
                "paused 30 s before the write",
                [(30.0, PROVEN)],
                0,
                (reason.TIME_TOO_SHORT, NOT_RUN),
            ),
            (
                "paused 30 s while probing",
                [(0.1, STALE), (30.0, ALIVE)],
                0,
                (reason.TIME_TOO_SHORT, NOT_RUN),
            ),
            (
                "paused 30 s after the write, answer waits in the socket",
                [(0.1, PROVEN), (30.0, DONE)],
                1,
                ok,
            ),
            (
                "no connection by the deadline, then one comes",
                [(2.0, Tick()), (2.1, PROVEN)],
                0,
                (reason.TIME_TOO_SHORT, NOT_RUN),
            ),
            (
                "probe still out at the deadline",
                [(0.1, STALE), (2.0, Tick())],
                0,
                (reason.TIME_TOO_SHORT, NOT_RUN),
            ),
            (
                "caller gone before the write",
                [(0.1, STALE), (0.2, CallerGone())],
                0,
                (reason.CALLER_GONE, NOT_RUN),
            ),
            (
                "caller gone after the write: the result is kept",
                [(0.1, PROVEN), (0.2, CallerGone()), (0.3, DONE)],
                1,
                ok,
            ),
            (
                "two faults: silent connection, then a leaving server",
                [
                    (0.1, STALE),
                    (0.5, SILENT),
                    (0.5, LEAVES),
                    (0.6, PROVEN),
                    (0.7, OTHER),
                    (0.8, DONE),
                ],
                1,
                ok,
            ),
            (
                "two faults: shed, then the next connection is lost",
                [(0.1, PROVEN), (0.2, DRAIN), (0.3, OTHER), (0.4, ConnectionLost())],
                2,
                (reason.CONNECTION_LOST, UNKNOWN),
            ),
        ]
        for name, script, writes, outcome in table:
            with self.subTest(name):
                bench = Bench().play(script)
                self.assertEqual(len(bench.of(Write)), writes)
                self.assertEqual(bench.outcome, outcome)
                taken = [e for _, e in script if isinstance(e, Acquired)]
                self.assertEqual(len(bench.of(HandBack)), len(taken))

    def test_a_pause_takes_the_right_even_with_time_left(self):
        bench = Bench(deadline=60.0).play([(0.1, PROVEN), (0.2, DRAIN), (30.0, OTHER)])
        self.assertEqual(len(bench.of(Write)), 1)
        self.assertEqual(bench.outcome, (RefusalReason.TICKET_VOID, NOT_RUN))
        self.assertEqual(bench.of(HandBack)[-1].how, Release.UNUSED)

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
        self.assertEqual(bench.of(HandBack), [HandBack(how=Release.TIMED_OUT)])
        bench.actions += bench.run.on(Tick(), now=2.0)
        self.assertEqual(bench.of(HandBack), [HandBack(how=Release.TIMED_OUT)] * 2)
