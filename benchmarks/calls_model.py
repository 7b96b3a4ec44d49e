"""A simulation of callers, a load balancer and instances that handle calls."""

from collections.abc import Callable
from functools import partial
from heapq import heappop, heappush
from random import Random

from benchmarks.calls_schemes import (
    Call,
    Key,
    Scheme,
    Tally,
    key_score,
    unreachable_refusal,
)
from savorypond.balancing.drain_detector import DrainDetector
from savorypond.calls.events import (
    Acquire,
    Acquired,
    Answered,
    ConnectionLost,
    Finish,
    NotAcquired,
    Probe,
    Probed,
    Result,
    Tick,
    Write,
)
from savorypond.calls.issuer import TicketIssuer, new_incarnation
from savorypond.calls.ledger import Claimed, InProgress, Replay
from savorypond.calls.routing import Forward, route_ticket
from savorypond.calls.state_machine import CallStateMachine
from savorypond.calls.tickets import Refusal, TicketLimits, TicketSigner
from savorypond.membership.pause import PauseDetector
from savorypond.model import Address, Instance
from savorypond.reasons import Execution

INSTANCES = 200
CALLS = 3000
DURATION = 60.0  # seconds over which calls arrive
HOP = 0.003  # seconds
CONNECT = 0.006  # seconds
SERVICE_TIME = 0.020  # seconds
TIME_LIMIT = 2.0  # seconds that one request may take
BALANCER_TIMEOUT = 1.0  # seconds until the balancer sends a copy elsewhere
FORWARD_TIMEOUT = 0.9  # seconds
LOST_ANSWERS = 0.01  # share of writes whose connection breaks before the answer
NO_SERVER = 0.05  # share of attempts to get a connection that fail
MAX_ATTEMPTS = 4
MAX_TICKET_AGE = 30.0  # seconds, at most, from the issue to the first use of a ticket
CHECK_DELAY = 5.0  # seconds until an impatient caller checks whether its work ran
DETECTION_TIME = (1.0, 5.0)  # seconds until an instance suspects a failed peer


class Member:
    """One instance: its process, its suspicions and its faults."""

    def __init__(self, *, name: str, wall: float, random: Random, scheme: Scheme):
        self.name = name
        self.suspected: set[str] = set()
        self.side = 0
        self.paused = False
        self.waiting: list[Callable[[], None]] = []
        self.start(wall=wall, random=random, scheme=scheme)

    def start(self, *, wall: float, random: Random, scheme: Scheme) -> None:
        shared = {
            "incarnation": new_incarnation(wall=wall, random=random),
            "signer": TicketSigner(key=random.randbytes(32)),
            "limits": TicketLimits(),
        }
        self.process = object()
        self.alive = True
        self.issuer = TicketIssuer(instance=self.name, fleet="bench", **shared)
        self.ledger = scheme.ledger_type(**shared)
        self.pause = PauseDetector(now=wall, listeners=[self])
        self._beat_at = wall

    def beat(self, now: float) -> None:
        """Observe the heartbeats that were due since the last one."""
        while self._beat_at < now:
            self._beat_at = min(now, self._beat_at + 1.0)
            self.pause.observe(self._beat_at)

    def wake(self, now: float) -> None:
        """Observe the pause on the first heartbeat after it."""
        self._beat_at = now
        self.pause.observe(now)

    def resumed(self, paused) -> None:
        incarnation = self.issuer.incarnation + 1
        self.issuer.raise_incarnation(incarnation)
        self.ledger.raise_incarnation(incarnation)


class Model:
    """Runs one scheme under one kind of fault on a virtual clock."""

    def __init__(self, *, scheme: Scheme, seed: int) -> None:
        self.scheme = scheme
        self.random = Random(seed)
        self.now = 0.0
        self.tally = Tally()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = 0
        self.members = {
            f"entry-{n}": Member(
                name=f"entry-{n}", wall=0.0, random=self.random, scheme=scheme
            )
            for n in range(INSTANCES)
        }

    def at(self, when: float, event: Callable[[], None]) -> None:
        self._serial += 1
        heappush(self._events, (when, self._serial, event))

    def after(self, seconds: float, event: Callable[[], None]) -> None:
        self.at(self.now + seconds, event)

    def run(self) -> Tally:
        calls = [Call(number=n) for n in range(CALLS)]
        for call in calls:
            begin = self.random.uniform(MAX_TICKET_AGE, MAX_TICKET_AGE + DURATION)
            taken = begin - self.random.uniform(0, MAX_TICKET_AGE)
            self.at(taken, partial(self.get_ticket, call))
            self.at(begin, partial(self.attempt, call))
        while self._events:
            self.now, _, event = heappop(self._events)
            event()
        return self.tally

    # Faults

    def kill(self, name: str) -> None:
        member = self.members[name]
        member.alive = False
        self.notify_peers(name, failed=True)
        self.after(10.0, partial(self.restart, name))

    def restart(self, name: str) -> None:
        member = self.members[name]
        member.start(wall=self.now, random=self.random, scheme=self.scheme)
        self.notify_peers(name, failed=False)

    def suspend(self, name: str) -> None:
        self.members[name].beat(self.now)
        self.members[name].paused = True
        self.notify_peers(name, failed=True)
        self.after(30.0, partial(self.resume, name))

    def resume(self, name: str) -> None:
        member = self.members[name]
        member.paused = False
        member.wake(self.now)
        waiting, member.waiting = member.waiting, []
        for event in waiting:
            event()
        self.notify_peers(name, failed=False)

    def split(self, *, heal: bool) -> None:
        for n, member in enumerate(self.members.values()):
            member.side = 0 if heal else n % 2
        for n, member in enumerate(self.members.values()):
            others = {f"entry-{m}" for m in range(INSTANCES) if m % 2 != n % 2}
            change = partial(self.set_suspected, member, others, not heal)
            self.after(self.random.uniform(*DETECTION_TIME), change)

    def notify_peers(self, name: str, *, failed: bool) -> None:
        for member in self.members.values():
            if member.name != name:
                change = partial(self.set_suspected, member, {name}, failed)
                self.after(self.random.uniform(*DETECTION_TIME), change)

    def set_suspected(self, member: Member, names: set[str], failed: bool) -> None:
        member.suspected = (
            member.suspected | names if failed else member.suspected - names
        )

    # Callers and load balancer

    def attempt(self, call: Call) -> None:
        if call.ended:
            return
        call.attempts += 1
        call.serial += 1
        if call.ticket is None:
            self.get_ticket(call)
        self.send(call, call.serial)
        self.after(BALANCER_TIMEOUT, partial(self.send_elsewhere, call, call.serial))
        give_up = partial(self.answered, call, call.serial, None)
        self.after(TIME_LIMIT + 2 * HOP, give_up)

    def get_ticket(self, call: Call) -> None:
        if self.scheme.by_key:
            call.ticket = Key(number=call.number)
            return
        member = self.pick(lambda m: m.alive and not m.paused)
        (call.ticket,) = member.issuer.issue(now=self.now)

    def pick(self, usable: Callable[[Member], bool]) -> Member:
        return self.random.choice([m for m in self.members.values() if usable(m)])

    def send(self, call: Call, serial: int) -> None:
        member = self.pick(lambda m: m.alive)
        self.after(HOP, partial(self.arrive, member, call, serial, call.ticket))

    def send_elsewhere(self, call: Call, serial: int) -> None:
        """Send a copy to another instance after the balancer's time-out."""
        if call.serial == serial and not call.ended:
            self.tally.counts["resent"] += 1
            self.send(call, serial)

    def answered(self, call: Call, serial: int, outcome) -> None:
        if call.ended or call.serial != serial:
            return
        call.serial += 1
        if isinstance(outcome, Answered | Replay):
            call.ended = True
            self.tally.counts["replayed"] += isinstance(outcome, Replay)
            return
        self.refused(call, outcome)

    def refused(self, call: Call, refusal: Refusal | None) -> None:
        if refusal is not None and refusal.execution is Execution.NOT_RUN:
            self.tally.counts["not-run"] += 1
            self.tally.counts["disproved"] += self.tally.runs[call.number] > 0
            call.ticket = None
        else:
            self.tally.counts["unknown"] += 1
        if call.attempts < MAX_ATTEMPTS:
            self.after(0.5, partial(self.attempt, call))
        elif not call.outcome_checked:
            call.outcome_checked = True
            self.resolve_outcome(call)
        else:
            call.ended = True

    def resolve_outcome(self, call: Call) -> None:
        """Find out whether the work ran; if it did not, start it again."""
        if self.scheme.impatient or self.scheme.by_key or call.ticket is None:
            self.after(CHECK_DELAY, partial(self.check_outcome, call))
        elif self.revoke(call):
            self.tally.counts["revoked"] += 1
            self.check_outcome(call)
        else:
            self.tally.counts["waited"] += 1
            self.at(
                max(self.now, call.ticket.expires_at), partial(self.check_outcome, call)
            )

    def check_outcome(self, call: Call) -> None:
        """Check at the backend server whether the work ran; if not, start it again."""
        if self.tally.runs[call.number]:
            call.ended = True
            return
        call.ticket = None
        call.attempts = 0
        self.attempt(call)

    def revoke(self, call: Call) -> bool:
        """Ask the issuer, through any instance, to close the ticket."""
        entry = self.pick(lambda m: m.alive and not m.paused)
        issuer = self.responsible_member(entry, call.ticket)
        if issuer is None or not issuer.alive or issuer.paused:
            return False
        if issuer.side != entry.side:
            return False
        issuer.beat(self.now)
        answer = issuer.ledger.revoke(call.ticket, now=self.now)
        return isinstance(answer, Refusal) and answer.execution is Execution.NOT_RUN

    # Instances

    def arrive(self, member: Member, call: Call, serial: int, ticket) -> None:
        if not member.alive:
            if call.serial == serial and not call.ended:
                self.send(call, serial)
            return
        if member.paused:
            delayed = partial(self.arrive, member, call, serial, ticket)
            member.waiting.append(delayed)
            return
        target = self.responsible_member(member, ticket)
        if target is member:
            self.claim(member, call, serial, ticket)
        elif target is None or not target.alive or target.side != member.side:
            self.reply(call, serial, unreachable_refusal(ticket))
        else:
            self.after(HOP, partial(self.forwarded, target, call, serial, ticket))
            no_answer = partial(self.reply, call, serial, unreachable_refusal(ticket))
            self.after(FORWARD_TIMEOUT, no_answer)

    def forwarded(self, member: Member, call: Call, serial: int, ticket) -> None:
        if member.paused:
            delayed = partial(self.forwarded, member, call, serial, ticket)
            member.waiting.append(delayed)
        elif member.alive:
            self.claim(member, call, serial, ticket)

    def responsible_member(self, member: Member, ticket) -> Member | None:
        if self.scheme.by_key:
            names = [n for n in self.members if n not in member.suspected]
            return self.members[max(names, key=lambda n: key_score(n, ticket.number))]
        route = route_ticket(
            ticket=ticket,
            fleet="bench",
            instance=member.name,
            peers=_View(member=member),
        )
        if isinstance(route, Forward):
            return self.members[route.instance.name]
        return None if isinstance(route, Refusal) else member

    def claim(self, member: Member, call: Call, serial: int, ticket) -> None:
        member.beat(self.now)
        claim = member.ledger.claim(ticket, now=self.now)
        if isinstance(claim, InProgress):
            return
        if not isinstance(claim, Claimed):
            self.reply(call, serial, claim)
            return
        run = CallStateMachine(
            ticket=ticket,
            deadline=self.now + TIME_LIMIT,
            ledger=member.ledger,
            pause=member.pause,
            servers=DrainDetector(),
        )
        step = partial(self.step, member, member.process, run, call, serial)
        self.after(TIME_LIMIT, partial(step, Tick()))
        self.act(step, run.start(now=self.now), call, serial)

    def step(self, member: Member, process, run, call, serial, event) -> None:
        if member.process is not process or not member.alive:
            return
        step = partial(self.step, member, process, run, call, serial)
        if member.paused:
            member.waiting.append(partial(step, event))
            return
        member.beat(self.now)
        self.act(step, run.handle(event, now=self.now), call, serial)

    def act(self, step, actions, call: Call, serial: int) -> None:
        for action in actions:
            match action:
                case Acquire():
                    event = Acquired(server="s1", verified=self.random.random() < 0.9)
                    if self.random.random() < NO_SERVER:
                        event = NotAcquired(server="")
                    self.after(CONNECT, partial(step, event))
                case Probe():
                    self.after(HOP, partial(step, Probed(alive=True)))
                case Write():
                    self.tally.runs[call.number] += 1
                    lost = self.random.random() < LOST_ANSWERS
                    event = ConnectionLost() if lost else Result(result=b"stamped")
                    self.after(SERVICE_TIME, partial(step, event))
                case Finish(outcome=outcome):
                    self.reply(call, serial, outcome)

    def reply(self, call: Call, serial: int, outcome) -> None:
        self.after(HOP, partial(self.answered, call, serial, outcome))


class _View:
    def __init__(self, *, member: Member) -> None:
        self._member = member

    def find(self, name: str) -> Instance | None:
        if name in self._member.suspected:
            return None
        address = Address(host="127.0.0.1", port=1)
        return Instance(name=name, data_centre="a", peer_address=address, incarnation=0)
