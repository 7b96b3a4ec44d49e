from random import Random
from unittest import TestCase

from hypothesis import given, strategies as st

from savorypond.calls.issuer import TicketIssuer
from savorypond.calls.ledger import Claimed, InProgress, Replay, TicketLedger
from savorypond.calls.tickets import Refusal, TicketLimits, TicketSigner
from savorypond.reasons import Execution, RefusalReason

LIMITS = TicketLimits(
    lifetime=10.0,
    grace=5.0,
    max_outstanding=1 << 16,
    max_entries=8,
    max_result_bytes=100,
)
NOT_RUN = Execution.NOT_RUN
UNKNOWN = Execution.UNKNOWN
REFUSAL = Refusal(reason=RefusalReason.SHED, execution=NOT_RUN, detail="")


def make_process(*, seed=1, incarnation=7, limits=LIMITS):
    shared = {
        "incarnation": incarnation,
        "signer": TicketSigner(key=Random(seed).randbytes(32)),
        "limits": limits,
    }
    issuer = TicketIssuer(instance="entry-1", fleet="baric", **shared)
    return issuer, TicketLedger(**shared)


class ClaimTests(TestCase):
    """Each row: the history of a ticket, the time, and what a copy of it is told."""

    def setUp(self):
        self.issuer, self.ledger = make_process()
        (self.ticket,) = self.issuer.issue(now=0.0)

    def claim(self):
        self.assertEqual(
            self.ledger.claim(self.ticket, now=1.0), Claimed(ticket=self.ticket)
        )

    def dispatch(self):
        self.claim()
        self.assertIsNone(self.ledger.try_dispatch(self.ticket, now=1.0))

    def run_to_result(self, result=b"ok"):
        self.dispatch()
        self.ledger.record_result(self.ticket, result)

    def run_and_drop_result(self):
        self.run_to_result(b"x" * 101)

    def lose_outcome(self):
        self.dispatch()
        self.ledger.record_loss(self.ticket)

    def lose_outcome_then_answer(self):
        self.lose_outcome()
        self.ledger.record_result(self.ticket, b"late")

    def abandon(self):
        self.claim()
        self.ledger.release_claim(self.ticket)

    def abandon_after_dispatch(self):
        self.dispatch()
        self.ledger.release_claim(self.ticket)

    def refuse(self):
        self.claim()
        self.ledger.refuse(self.ticket, REFUSAL)

    def revoke(self):
        self.ledger.revoke(self.ticket, now=1.0)

    def dispatch_and_revoke(self):
        self.dispatch()
        self.revoke()

    def record_not_run(self):
        self.dispatch()
        self.ledger.record_not_run(self.ticket)

    def advance_incarnation(self):
        self.ledger.raise_incarnation(8)

    def claim_and_advance_incarnation(self):
        self.claim()
        self.advance_incarnation()

    def dispatch_and_advance_incarnation(self):
        self.dispatch()
        self.advance_incarnation()

    def run_and_advance_incarnation(self):
        self.run_to_result()
        self.advance_incarnation()

    def report_not_run_in_new_incarnation(self):
        self.dispatch_and_advance_incarnation()
        self.ledger.record_not_run(self.ticket)

    def restart(self):
        _, self.ledger = make_process(seed=2, incarnation=9)

    def restart_with_clock_set_back(self):
        _, self.ledger = make_process(seed=2, incarnation=3)

    def restart_with_same_incarnation(self):
        _, self.ledger = make_process(seed=2)

    def test_table(self):
        reason = RefusalReason
        run = Claimed(ticket=self.ticket)
        table = [
            (lambda: None, 1.0, run),
            (self.claim, 1.0, InProgress(dispatched=False)),
            (self.dispatch, 1.0, InProgress(dispatched=True)),
            (self.dispatch, 14.9, InProgress(dispatched=True)),
            (self.run_to_result, 1.0, Replay(result=b"ok")),
            (self.run_to_result, 16.0, (reason.TICKET_EXPIRED, UNKNOWN)),
            (self.run_and_drop_result, 1.0, (reason.TICKET_SPENT, UNKNOWN)),
            (self.lose_outcome, 1.0, (reason.TICKET_UNRESOLVED, UNKNOWN)),
            (self.lose_outcome, 14.9, (reason.TICKET_UNRESOLVED, UNKNOWN)),
            (self.lose_outcome_then_answer, 1.0, (reason.TICKET_UNRESOLVED, UNKNOWN)),
            (self.abandon, 1.0, run),
            (self.abandon_after_dispatch, 1.0, InProgress(dispatched=True)),
            (self.refuse, 1.0, (reason.TICKET_VOID, NOT_RUN)),
            (self.revoke, 1.0, (reason.TICKET_VOID, NOT_RUN)),
            (self.dispatch_and_revoke, 1.0, InProgress(dispatched=True)),
            (self.record_not_run, 1.0, InProgress(dispatched=False)),
            (lambda: None, 10.0, (reason.TICKET_EXPIRED, NOT_RUN)),
            (lambda: None, 15.0, (reason.TICKET_EXPIRED, UNKNOWN)),
            (self.advance_incarnation, 1.0, (reason.TICKET_VOID, NOT_RUN)),
            (self.claim_and_advance_incarnation, 1.0, (reason.TICKET_VOID, NOT_RUN)),
            (self.dispatch_and_advance_incarnation, 1.0, InProgress(dispatched=True)),
            (self.run_and_advance_incarnation, 1.0, Replay(result=b"ok")),
            (
                self.report_not_run_in_new_incarnation,
                1.0,
                (reason.TICKET_VOID, NOT_RUN),
            ),
            (self.restart, 1.0, (reason.INSTANCE_GONE, UNKNOWN)),
            (self.restart_with_clock_set_back, 1.0, (reason.INSTANCE_GONE, UNKNOWN)),
            (self.restart_with_same_incarnation, 1.0, (reason.TICKET_UNKNOWN, UNKNOWN)),
        ]
        for prepare, now, expected in table:
            with self.subTest(prepare=prepare.__name__, now=now):
                self.setUp()
                prepare()
                outcome = self.ledger.claim(self.ticket, now=now)
                if isinstance(outcome, Refusal):
                    outcome = (outcome.reason, outcome.execution)
                self.assertEqual(outcome, expected)

    def test_dispatch_checks_the_ticket_again(self):
        reason = RefusalReason
        table = [
            (self.claim, 10.0, (reason.TICKET_EXPIRED, NOT_RUN)),
            (self.claim_and_advance_incarnation, 1.0, (reason.TICKET_VOID, NOT_RUN)),
            (self.abandon, 1.0, (reason.TICKET_VOID, NOT_RUN)),
            (self.dispatch, 1.0, (reason.TICKET_UNRESOLVED, UNKNOWN)),
            (self.dispatch, 10.0, (reason.TICKET_UNRESOLVED, UNKNOWN)),
            (
                self.dispatch_and_advance_incarnation,
                1.0,
                (reason.TICKET_UNRESOLVED, UNKNOWN),
            ),
            (self.run_to_result, 1.0, (reason.TICKET_SPENT, UNKNOWN)),
        ]
        for prepare, now, expected in table:
            with self.subTest(prepare=prepare.__name__, now=now):
                self.setUp()
                prepare()
                refusal = self.ledger.try_dispatch(self.ticket, now=now)
                self.assertEqual((refusal.reason, refusal.execution), expected)

    def test_a_refusal_after_dispatch_is_never_not_run(self):
        for prepare in (self.dispatch, self.lose_outcome, self.run_to_result):
            with self.subTest(prepare.__name__):
                self.setUp()
                prepare()
                returned = self.ledger.refuse(self.ticket, REFUSAL)
                self.assertEqual(returned.execution, UNKNOWN)


class MemoryTests(TestCase):
    def test_an_unclaimed_ticket_uses_no_memory(self):
        issuer, ledger = make_process()
        tickets = issuer.issue(now=0.0, count=10_000)
        ledger.claim(tickets[5], now=0.0)
        self.assertEqual((ledger.entries, ledger.mark_bytes), (1, 0))

    def test_calls_in_progress_are_bounded_by_refusals(self):
        issuer, ledger = make_process()
        claims = [ledger.claim(t, now=0.0) for t in issuer.issue(now=0.0, count=9)]
        self.assertEqual(claims[8].reason, RefusalReason.OVERLOADED)
        self.assertEqual(ledger.entries, 8)

    @given(st.lists(st.tuples(st.integers(0, 60), st.floats(0.0, 3.0)), max_size=60))
    def test_bounds_hold_and_no_ticket_runs_twice(self, calls):
        issuer, ledger = make_process()
        ran = set()
        now = 0.0
        for size, wait in calls:
            now += wait
            (ticket,) = issuer.issue(now=now)
            for copy in (ticket, ticket):
                if not isinstance(ledger.claim(copy, now=now), Claimed):
                    continue
                self.assertIsNone(ledger.try_dispatch(copy, now=now))
                self.assertNotIn(copy.number, ran)
                ran.add(copy.number)
                ledger.record_result(copy, b"x" * size)
            self.assertLessEqual(ledger.entries, LIMITS.max_entries)
            self.assertLessEqual(ledger.result_bytes, LIMITS.max_result_bytes)
        self.assertEqual(len(ran), len(calls))
        (last,) = issuer.issue(now=now + 20.0)
        ledger.claim(last, now=now + 20.0)
        self.assertEqual((ledger.entries, ledger.result_bytes), (1, 0))
        self.assertEqual(ledger.mark_bytes, 0)
