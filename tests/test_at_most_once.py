"""At most once across instances, for any order of copies, faults and restarts.

The same state machine also drives three unsafe schemes, to show that it detects
duplicate dispatches and false refusals.
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
VERIFIED = Acquired(server="s1", verified=True)
UNVERIFIED = Acquired(server="s1", verified=False)
EVENTS = {
    Acquire: [VERIFIED, VERIFIED, UNVERIFIED, UNVERIFIED, NotAcquired(server="s1")],
    Probe: [Probed(alive=True), Probed(alive=False), ConnectionLost()],
    Write: [Result(result=b"12345678"), ReportedNotRun(), ConnectionLost()],
}
CHOICES = st.integers(0, 14)
STEPS = st.lists(CHOICES, min_size=1, max_size=4)


class DuplicateDispatchError(AssertionError):
    """A call was dispatched twice."""


class FalseRefusalError(AssertionError):
    """A call was refused as not run although it may have run, or ran later."""


class ReopensLostCalls(TicketLedger):
    """Unsafe: treats a call without an answer as not run."""

    def record_loss(self, ticket):
        self.record_not_run(ticket)
        self.release_claim(ticket)


class ReopensRefusedTickets(TicketLedger):
    """Unsafe: a ticket refused as not run can still be claimed."""

    def refuse(self, ticket, refusal):
        self.release_claim(ticket)
        return refusal


class Process:
    """One process of an instance."""

    def __init__(self, *, name, now, random, ledger_type):
        shared = {
            "incarnation": new_incarnation(wall=now, random=random),
            "signer": TicketSigner(key=random.randbytes(32)),
            "limits": LIMITS,
        }
        self.issuer = TicketIssuer(instance=name, fleet="baric", **shared)
        self.ledger = ledger_type(**shared)
        self.pause = PauseDetector(now=now, listeners=[self])
        self.suspected_peers = set()

    def resumed(self, paused):
        incarnation = self.ledger.incarnation + 1
        self.ledger.raise_incarnation(incarnation)
        self.issuer.raise_incarnation(incarnation)


class Copy:
    """One copy of a request, made by a balancer or a caller."""

    def __init__(self, ticket):
        self.ticket = ticket
        self.process = None
        self.run = None
        self.pending = None
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

    def responsible_process(self, ticket, at):
        """Return the process that ``at`` considers responsible for ``ticket``."""
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
        self.deliver(copy, at)
        self.advance(copy, steps)

    @rule(choice=CHOICES)
    def delay(self, choice):
        self.copies.append(Copy(self.tickets[choice % len(self.tickets)]))

    @precondition(lambda self: self.delayed_copies())
    @rule(choice=CHOICES, at=st.sampled_from(NAMES), steps=STEPS)
    def deliver_late(self, choice, at, steps):
        delayed_copies = self.delayed_copies()
        copy = delayed_copies[choice % len(delayed_copies)]
        self.deliver(copy, at)
        self.advance(copy, steps)

    def deliver(self, copy, at):
        process = self.responsible_process(copy.ticket, self.processes[at])
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
            self.apply(copy, copy.run.start(now=self.now))
        elif isinstance(claim, Refusal):
            self.record_refusal(copy, claim)

    @precondition(lambda self: self.running_copies())
    @rule(choice=CHOICES, steps=STEPS)
    def resume(self, choice, steps):
        running_copies = self.running_copies()
        self.advance(running_copies[choice % len(running_copies)], steps)

    def advance(self, copy, steps):
        for step in steps:
            if copy.pending is None:
                return
            events = EVENTS[copy.pending]
            event = events[step % len(events)]
            if copy.pending is Write and isinstance(event, ReportedNotRun):
                self.dispatches[copy.ticket] -= 1
            self.apply(copy, copy.run.handle(event, now=self.now))

    @precondition(lambda self: self.running_copies())
    @rule(choice=CHOICES)
    def close_caller(self, choice):
        running_copies = self.running_copies()
        copy = running_copies[choice % len(running_copies)]
        copy.caller_gone = True
        self.apply(copy, copy.run.handle(CallerGone(), now=self.now))

    @rule(seconds=st.sampled_from([0.1, 1.0, 5.0]))
    def pass_time(self, seconds, paused=None):
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + 1.0)
            for process in self.processes.values():
                if process is not paused:
                    process.pause.observe(self.now)
            for copy in self.running_copies():
                if copy.process is not paused:
                    self.apply(copy, copy.run.handle(Tick(), now=self.now))

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
            self.processes[name].suspected_peers ^= {other}

    def running_copies(self):
        alive = list(self.processes.values())
        return [c for c in self.copies if c.pending and c.process in alive]

    def delayed_copies(self):
        return [c for c in self.copies if c.process is None]

    def apply(self, copy, actions):
        for action in actions:
            if isinstance(action, Write):
                sent = self.dispatches.get(copy.ticket, 0)
                self.dispatches[copy.ticket] = sent + 1
            if isinstance(action, Finish):
                copy.pending = None
                if isinstance(action.outcome, Refusal):
                    self.record_refusal(copy, action.outcome)
            elif type(action) in EVENTS:
                copy.pending = type(action)

    def record_refusal(self, copy, refusal):
        if refusal.execution is Execution.NOT_RUN and not copy.caller_gone:
            self.refused.add(copy.ticket)

    @invariant()
    def dispatched_at_most_once(self):
        if any(count > 1 for count in self.dispatches.values()):
            raise DuplicateDispatchError(self.dispatches)

    @invariant()
    def not_run_refusals_are_true(self):
        contradicted = any(self.dispatches.get(ticket) for ticket in self.refused)
        if self.checks_refusals and contradicted:
            raise FalseRefusalError(self.refused)

    @invariant()
    def memory_is_bounded(self):
        for process in self.processes.values():
            assert process.ledger.entries <= LIMITS.max_entries
            assert process.ledger.result_bytes <= LIMITS.max_result_bytes


class ReopenedLostCallMachine(FleetMachine):
    ledger_type = ReopensLostCalls
    checks_refusals = False


class ReopenedRefusalMachine(FleetMachine):
    ledger_type = ReopensRefusedTickets


class KeyLedger(TicketLedger):
    """Unsafe: records the keys that it has seen and accepts all others."""

    def _check_signature(self, ticket):
        return None


class HashedKeyMachine(FleetMachine):
    """Unsafe: a hash routes each key among the instances believed to be live."""

    ledger_type = KeyLedger
    checks_refusals = False

    def responsible_process(self, ticket, at):
        believed_live = [n for n in NAMES if n not in at.suspected_peers]
        key = f"{ticket.instance}/{ticket.number}/"
        return self.processes[
            max(believed_live, key=lambda name: xxh32_intdigest((key + name).encode()))
        ]


def run_machine(machine, *, max_examples=300, phases=tuple(Phase)):
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=max_examples,
            stateful_step_count=40,
            report_multiple_bugs=False,
            phases=phases,
        ),
    )


class AtMostOnceTests(TestCase):
    def test_tickets_run_at_most_once(self):
        run_machine(FleetMachine)

    def test_unsafe_schemes_are_detected(self):
        table = [
            (ReopenedLostCallMachine, DuplicateDispatchError),
            (ReopenedRefusalMachine, FalseRefusalError),
            (HashedKeyMachine, DuplicateDispatchError),
        ]
        for machine, error in table:
            with self.subTest(machine.__name__), self.assertRaises(error):
                # 300 examples detect some schemes in only 14 of 20 seeds.
                run_machine(machine, max_examples=3000, phases=[Phase.generate])
