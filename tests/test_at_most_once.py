"""At most once across instances, for any order of copies, faults and restarts.

The same machine drives the tickets and, to prove that it can fail, three schemes
that are not safe.
"""

from random import Random
from unittest import TestCase

from hypothesis import Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from xxhash import xxh32_intdigest

from savorypond.balancing.drain_detector import DrainDetector
from savorypond.calls.events import (
    Acquire,
    Acquired,
    CallerGone,
    ConnectionLost,
    Finish,
    NotAcquired,
    Probe,
    Probed,
    ReportedNotRun,
    Result,
    Tick,
    Write,
)
from savorypond.calls.issuer import TicketIssuer, new_incarnation
from savorypond.calls.ledger import Claimed, TicketLedger
from savorypond.calls.state_machine import CallStateMachine
from savorypond.calls.tickets import Refusal, TicketLimits, TicketSigner
from savorypond.membership.pause import PauseDetector
from savorypond.reasons import Execution

NAMES = ("entry-1", "entry-2", "entry-3")
LIMITS = TicketLimits(lifetime=60.0, grace=5.0, max_entries=4, max_result_bytes=16)
TIME_LIMIT = 4.0  # seconds
PROVEN = Acquired(server="s1", verified=True)
STALE = Acquired(server="s1", verified=False)
EVENTS = {
    Acquire: [PROVEN, PROVEN, STALE, STALE, NotAcquired(server="s1")],
    Probe: [Probed(alive=True), Probed(alive=False), ConnectionLost()],
    Write: [Result(result=b"12345678"), ReportedNotRun(), ConnectionLost()],
}
CHOICES = st.integers(0, 14)
STEPS = st.lists(CHOICES, min_size=1, max_size=4)


class DuplicateError(AssertionError):
    """One piece of work was dispatched twice."""


class UntrueRefusalError(AssertionError):
    """Work was refused as not run although it may have run, or did later."""


class ForgetsLostCalls(TicketLedger):
    """Unsafe: takes a timeout for a call that did not run."""

    def record_loss(self, ticket):
        self.record_not_run(ticket)
        self.release_claim(ticket)


class ReopensRefusedTickets(TicketLedger):
    """Unsafe: a ticket refused as not run can still be claimed."""

    def refuse(self, ticket, refusal):
        self.release_claim(ticket)
        return refusal


class Process:
    """One start of an instance."""

    def __init__(self, *, name, now, random, ledger_type):
        shared = {
            "incarnation": new_incarnation(wall=now, random=random),
            "signer": TicketSigner(key=random.randbytes(32)),
            "limits": LIMITS,
        }
        self.issuer = TicketIssuer(instance=name, fleet="baric", **shared)
        self.ledger = ledger_type(**shared)
        self.pause = PauseDetector(now=now, listeners=[self])
        self.suspected = set()

    def resumed(self, paused):
        incarnation = self.ledger.incarnation + 1
        self.ledger.raise_incarnation(incarnation)
        self.issuer.raise_incarnation(incarnation)


class Copy:
    """One copy of a request; a balancer or a caller made it."""

    def __init__(self, ticket):
        self.ticket = ticket
        self.process = None
        self.run = None
        self.waits_for = None
        self.caller_gone = False


class FleetMachine(RuleBasedStateMachine):
    ledger_type = TicketLedger
    checks_refusals = True

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.random = Random(5)
        self.processes = {name: self.start(name) for name in NAMES}
        self.tickets = []
        self.copies = []
        self.dispatches = {}
        self.refused = set()

    def start(self, name):
        return Process(
            name=name, now=self.now, random=self.random, ledger_type=self.ledger_type
        )

    def answering(self, ticket, at):
        """Return the process that ``at`` takes to answer for ``ticket``."""
        return self.processes[ticket.instance]

    @initialize(name=st.sampled_from(NAMES))
    def issue_first(self, name):
        self.tickets += self.processes[name].issuer.issue(now=self.now)

    @rule(name=st.sampled_from(NAMES))
    def issue(self, name):
        self.tickets = self.tickets[-2:]
        self.tickets += self.processes[name].issuer.issue(now=self.now)

    @rule(choice=CHOICES, at=st.sampled_from(NAMES), steps=STEPS)
    def send(self, choice, at, steps):
        copy = Copy(self.tickets[choice % len(self.tickets)])
        self.copies.append(copy)
        self.arrive(copy, at)
        self.go_on(copy, steps)

    @rule(choice=CHOICES)
    def delay(self, choice):
        self.copies.append(Copy(self.tickets[choice % len(self.tickets)]))

    @precondition(lambda self: self.delayed())
    @rule(choice=CHOICES, at=st.sampled_from(NAMES), steps=STEPS)
    def arrive_late(self, choice, at, steps):
        delayed = self.delayed()
        copy = delayed[choice % len(delayed)]
        self.arrive(copy, at)
        self.go_on(copy, steps)

    def arrive(self, copy, at):
        process = self.answering(copy.ticket, self.processes[at])
        process.pause.observe(self.now)
        copy.process = process
        claim = process.ledger.claim(copy.ticket, now=self.now)
        if isinstance(claim, Claimed):
            copy.run = CallStateMachine(
                ticket=copy.ticket,
                deadline=self.now + TIME_LIMIT,
                ledger=process.ledger,
                pause=process.pause,
                servers=DrainDetector(),
            )
            self.take(copy, copy.run.start(now=self.now))
        elif isinstance(claim, Refusal):
            self.tell(copy, claim)

    @precondition(lambda self: self.running())
    @rule(choice=CHOICES, steps=STEPS)
    def resume(self, choice, steps):
        running = self.running()
        self.go_on(running[choice % len(running)], steps)

    def go_on(self, copy, steps):
        for step in steps:
            if copy.waits_for is None:
                return
            events = EVENTS[copy.waits_for]
            event = events[step % len(events)]
            if copy.waits_for is Write and isinstance(event, ReportedNotRun):
                self.dispatches[copy.ticket] -= 1
            self.take(copy, copy.run.handle(event, now=self.now))

    @precondition(lambda self: self.running())
    @rule(choice=CHOICES)
    def caller_leaves(self, choice):
        running = self.running()
        copy = running[choice % len(running)]
        copy.caller_gone = True
        self.take(copy, copy.run.handle(CallerGone(), now=self.now))

    @rule(seconds=st.sampled_from([0.1, 1.0, 5.0]))
    def pass_time(self, seconds, paused=None):
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + 1.0)
            for process in self.processes.values():
                if process is not paused:
                    process.pause.observe(self.now)
            for copy in self.running():
                if copy.process is not paused:
                    self.take(copy, copy.run.handle(Tick(), now=self.now))

    @rule(name=st.sampled_from(NAMES), seconds=st.sampled_from([3.5, 30.0]))
    def pause(self, name, seconds):
        self.pass_time(seconds, paused=self.processes[name])

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name):
        self.now += 0.1
        self.processes[name] = self.start(name)

    @rule(name=st.sampled_from(NAMES), other=st.sampled_from(NAMES))
    def change_view(self, name, other):
        if name != other:
            self.processes[name].suspected ^= {other}

    def running(self):
        alive = list(self.processes.values())
        return [c for c in self.copies if c.waits_for and c.process in alive]

    def delayed(self):
        return [c for c in self.copies if c.process is None]

    def take(self, copy, actions):
        for action in actions:
            if isinstance(action, Write):
                sent = self.dispatches.get(copy.ticket, 0)
                self.dispatches[copy.ticket] = sent + 1
            if isinstance(action, Finish):
                copy.waits_for = None
                if isinstance(action.outcome, Refusal):
                    self.tell(copy, action.outcome)
            elif type(action) in EVENTS:
                copy.waits_for = type(action)

    def tell(self, copy, refusal):
        if refusal.execution is Execution.NOT_RUN and not copy.caller_gone:
            self.refused.add(copy.ticket)

    @invariant()
    def dispatched_at_most_once(self):
        if any(count > 1 for count in self.dispatches.values()):
            raise DuplicateError(self.dispatches)

    @invariant()
    def not_run_stays_true(self):
        untrue = any(self.dispatches.get(ticket) for ticket in self.refused)
        if self.checks_refusals and untrue:
            raise UntrueRefusalError(self.refused)

    @invariant()
    def memory_is_bounded(self):
        for process in self.processes.values():
            assert process.ledger.entries <= LIMITS.max_entries
            assert process.ledger.result_bytes <= LIMITS.max_result_bytes


class ForgetfulMachine(FleetMachine):
    ledger_type = ForgetsLostCalls
    checks_refusals = False


class ReopeningMachine(FleetMachine):
    ledger_type = ReopensRefusedTickets


class KeyLedger(TicketLedger):
    """Unsafe: remembers the keys that it has seen and accepts every other."""

    def _refuse_stranger(self, ticket):
        return None


class HashedKeyMachine(FleetMachine):
    """Unsafe: a key goes to the instance that a hash names among those believed."""

    ledger_type = KeyLedger
    checks_refusals = False

    def answering(self, ticket, at):
        believed = [n for n in NAMES if n not in at.suspected]
        key = f"{ticket.instance}/{ticket.number}/"
        return self.processes[
            max(believed, key=lambda name: xxh32_intdigest((key + name).encode()))
        ]


def drive(machine, *, phases=tuple(Phase)):
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=300,
            stateful_step_count=40,
            report_multiple_bugs=False,
            phases=phases,
        ),
    )


class AtMostOnceTests(TestCase):
    def test_tickets_are_safe(self):
        drive(FleetMachine)

    def test_schemes_that_are_not_safe_are_found_out(self):
        table = [
            (ForgetfulMachine, DuplicateError),
            (ReopeningMachine, UntrueRefusalError),
            (HashedKeyMachine, DuplicateError),
        ]
        for machine, error in table:
            with self.subTest(machine.__name__), self.assertRaises(error):
                drive(machine, phases=[Phase.generate])
