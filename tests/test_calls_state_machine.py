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
VERIFIED = Acquired(server="s1", verified=True)
UNVERIFIED = Acquired(server="s1", verified=False)
ALIVE = Probed(alive=True)
SILENT = Probed(alive=False)
OTHER_SERVER = Acquired(server="s2", verified=True)
NONE_LEFT = NotAcquired(server="")
RESULT = Result(result=b"stamped")
LEAVES = "s1 leaves"
SHED = ReportedNotRun()
CONNECT_FAILED = NotAcquired(server="s1")
BROKEN = ConnectionLost()
TICK = Tick()
CALLER_LEFT = CallerGone()
TOO_LATE = (RefusalReason.TIME_TOO_SHORT, NOT_RUN)
NO_SERVER = (RefusalReason.NO_BACKEND_SERVER, NOT_RUN)
NO_CALLER = (RefusalReason.CALLER_GONE, NOT_RUN)
TIMEOUT = (RefusalReason.TIMED_OUT, UNKNOWN)
VOID = RefusalReason.TICKET_VOID
LOST = (RefusalReason.CONNECTION_LOST, UNKNOWN)


class PauseListener:
    def __init__(self, ledger):
        self._ledger = ledger

    def resumed(self, paused):
        self._ledger.raise_incarnation(self._ledger.incarnation + 1)


class Harness:
    """One claimed ticket; gaps of more than 2 s between events are pauses."""

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
        self.pause = PauseDetector(now=0.0, listeners=[PauseListener(self.ledger)])
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

    def actions_of(self, kind):
        return [a for a in self.actions if isinstance(a, kind)]

    @property
    def outcome(self):
        (finish,) = self.actions_of(Finish)
        if isinstance(finish.outcome, Answered):
            return finish.outcome.result
        return (finish.outcome.reason, finish.outcome.execution)


class FaultTests(TestCase):
    def test_faults(self):
        ok = b"stamped"
        shed_on = [(0.1 * n, e) for n in range(1, 9) for e in (VERIFIED, SHED)]
        elsewhere = [(0.7, OTHER_SERVER), (0.8, RESULT)]
        table = [
            ("no fault", [(0.1, VERIFIED), (0.2, RESULT)], 1, ok),
            ("probed first", [(0.1, UNVERIFIED), (0.2, ALIVE), (0.3, RESULT)], 1, ok),
            (
                "silent before the write: replaced",
                [(0.1, UNVERIFIED), (0.6, SILENT), (0.7, VERIFIED), (0.8, RESULT)],
                1,
                ok,
            ),
            (
                "silent during or after the write",
                [(0.1, VERIFIED), (2.0, TICK)],
                1,
                TIMEOUT,
            ),
            ("early tick", [(0.1, VERIFIED), (1.0, TICK), (1.1, RESULT)], 1, ok),
            ("lost after the write", [(0.1, VERIFIED), (0.2, BROKEN)], 1, LOST),
            ("late answer", [(0.1, VERIFIED), (2.0, TICK), (2.1, RESULT)], 1, TIMEOUT),
            (
                "shed, then run elsewhere",
                [(0.1, VERIFIED), (0.2, SHED), (0.3, OTHER_SERVER), (0.4, RESULT)],
                2,
                ok,
            ),
            (
                "shed everywhere",
                [(0.1, VERIFIED), (0.2, SHED), (0.3, NONE_LEFT)],
                1,
                NO_SERVER,
            ),
            ("shed repeatedly", shed_on, 3, (RefusalReason.SHED, NOT_RUN)),
            ("shed, then no time", [(0.1, VERIFIED), (2.0, SHED)], 1, TOO_LATE),
            (
                "server leaves before the write",
                [(0.1, LEAVES), (0.1, VERIFIED), (0.2, OTHER_SERVER), (0.3, RESULT)],
                1,
                ok,
            ),
            (
                "server leaves later",
                [(0.1, VERIFIED), (0.2, LEAVES), (0.3, RESULT)],
                1,
                ok,
            ),
            ("no server", [(0.1, NONE_LEFT)], 0, NO_SERVER),
            (
                "a connect fails",
                [(0.1, CONNECT_FAILED), (0.2, OTHER_SERVER), (0.3, RESULT)],
                1,
                ok,
            ),
            ("paused 30 s before the write", [(30.0, VERIFIED)], 0, TOO_LATE),
            (
                "paused 30 s while probing",
                [(0.1, UNVERIFIED), (30.0, ALIVE)],
                0,
                TOO_LATE,
            ),
            ("paused, answer in the socket", [(0.1, VERIFIED), (30.0, RESULT)], 1, ok),
            ("connected too late", [(2.0, TICK), (2.1, VERIFIED)], 0, TOO_LATE),
            (
                "probed until the deadline",
                [(0.1, UNVERIFIED), (2.0, TICK)],
                0,
                TOO_LATE,
            ),
            (
                "caller gone before the write",
                [(0.1, UNVERIFIED), (0.2, CALLER_LEFT)],
                0,
                NO_CALLER,
            ),
            (
                "caller gone later",
                [(0.1, VERIFIED), (0.2, CALLER_LEFT), (0.3, RESULT)],
                1,
                ok,
            ),
            (
                "two faults: silent connection, then leaving server",
                [
                    (0.1, UNVERIFIED),
                    (0.5, SILENT),
                    (0.5, LEAVES),
                    (0.6, VERIFIED),
                    *elsewhere,
                ],
                1,
                ok,
            ),
            (
                "two faults: shed, then next connection lost",
                [(0.1, VERIFIED), (0.2, SHED), (0.3, OTHER_SERVER), (0.4, BROKEN)],
                2,
                LOST,
            ),
        ]
        for name, script, writes, outcome in table:
            with self.subTest(name):
                harness = Harness().play(script)
                self.assertEqual(len(harness.actions_of(Write)), writes)
                self.assertEqual(harness.outcome, outcome)
                acquired = [e for _, e in script if isinstance(e, Acquired)]
                self.assertEqual(
                    len(harness.actions_of(ReleaseConnection)), len(acquired)
                )

    def test_a_pause_voids_the_ticket_even_with_time_left(self):
        harness = Harness(deadline=60.0).play(
            [(0.1, VERIFIED), (0.2, SHED), (30.0, OTHER_SERVER)]
        )
        self.assertEqual(len(harness.actions_of(Write)), 1)
        self.assertEqual(harness.outcome, (RefusalReason.TICKET_VOID, NOT_RUN))
        self.assertEqual(
            harness.actions_of(ReleaseConnection)[-1].outcome, ConnectionOutcome.UNUSED
        )

    def test_a_cancelled_call_leaves_its_ticket_in_a_consistent_state(self):
        unresolved = RefusalReason.TICKET_UNRESOLVED
        for name, script, expected in [
            ("not sent", [(0.1, UNVERIFIED)], Claimed),
            ("sent", [(0.1, VERIFIED)], unresolved),
            ("answered", [(0.1, VERIFIED), (0.2, RESULT)], Replay),
        ]:
            with self.subTest(name):
                harness = Harness().play(script)
                harness.run.abandon()
                self.assertEqual(harness.run.handle(RESULT, now=0.3), ())
                claim = harness.ledger.claim(harness.ticket, now=0.4)
                self.assertEqual(getattr(claim, "reason", type(claim)), expected)

    def test_a_late_copy_of_a_refusal_meets_no_further_attempt_at_its_ticket(self):
        """The same id came again; the copy sent a call that ran to another server."""
        refused = [(0.1, VERIFIED), (0.2, SHED)]
        for name, script in (
            ("caller gone", [*refused, (0.3, CALLER_LEFT)]),
            ("caller gone while probing", [*refused, (0.3, UNVERIFIED)]),
            ("cancelled", refused),
        ):
            with self.subTest(name):
                harness = Harness().play(script)
                if name != "cancelled":
                    harness.run.handle(CALLER_LEFT, now=0.4)
                harness.run.abandon()
                claim = harness.ledger.claim(harness.ticket, now=0.5)
                self.assertEqual(getattr(claim, "reason", type(claim)), VOID)
                self.assertIs(claim.execution, NOT_RUN)

    def test_failed_servers_are_passed_to_the_next_acquire(self):
        script = [(0.1, CONNECT_FAILED), (0.2, OTHER_SERVER), (0.3, SHED)]
        harness = Harness().play(script)
        tried = [sorted(acquire.tried) for acquire in harness.actions_of(Acquire)]
        self.assertEqual(tried, [[], ["s1"], ["s1", "s2"]])

    def test_a_ticket_that_expires_while_waiting_is_not_run(self):
        harness = Harness(lifetime=1.0).play([(1.0, VERIFIED)])
        self.assertEqual(harness.actions_of(Write), [])
        self.assertEqual(harness.outcome, (RefusalReason.TICKET_EXPIRED, NOT_RUN))

    def test_a_deadline_of_zero_requests_no_connection(self):
        harness = Harness(deadline=0.0).play([])
        self.assertEqual(harness.actions_of(Acquire) + harness.actions_of(Probe), [])
        self.assertEqual(harness.outcome, (RefusalReason.TIME_TOO_SHORT, NOT_RUN))

    def test_write_has_the_time_left_and_connections_are_released(self):
        harness = Harness().play([(0.5, UNVERIFIED), (0.6, SILENT), (1.5, VERIFIED)])
        self.assertEqual(harness.actions_of(Write), [Write(time_left=0.5)])
        self.assertEqual(
            harness.actions_of(ReleaseConnection),
            [ReleaseConnection(outcome=ConnectionOutcome.TIMED_OUT)],
        )
        harness.actions += harness.run.handle(TICK, now=2.0)
        self.assertEqual(
            harness.actions_of(ReleaseConnection),
            [ReleaseConnection(outcome=ConnectionOutcome.TIMED_OUT)] * 2,
        )
