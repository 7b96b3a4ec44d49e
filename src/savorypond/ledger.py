"""What became of the tickets of this process: the record behind at most once."""

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum, auto

from savorypond.reasons import Execution, RefusalReason
from savorypond.spent import Mark, SpentNumbers
from savorypond.tickets import Refuse, Ticket, TicketLimits, TicketSeal

SWEEP_INTERVAL = 1.0  # seconds
BUSY_RETRY_AFTER = 1.0  # seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """The call may go on to its dispatch; nobody else holds the ticket."""

    ticket: Ticket


@dataclass(frozen=True, slots=True, kw_only=True)
class Replay:
    """The call ran before and this was its result."""

    result: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class InProgress:
    """Another request holds the ticket now.

    :param dispatched: whether a byte of it may have left for a backend server.
    """

    dispatched: bool


class _State(Enum):
    CLAIMED = auto()
    DISPATCHED = auto()
    RAN = auto()


@dataclass(slots=True, kw_only=True)
class _Entry:
    ticket: Ticket
    forget_at: float
    state: _State = _State.CLAIMED
    result: bytes = b""


_UNRESOLVED = Refuse(
    reason=RefusalReason.TICKET_UNRESOLVED,
    execution=Execution.UNKNOWN,
    detail="the call was sent before and its outcome is not known",
)
_RESULT_DROPPED = Refuse(
    reason=RefusalReason.TICKET_SPENT,
    execution=Execution.UNKNOWN,
    detail="the call already ran; its result is no longer kept",
)
_REFUSED_BEFORE = Refuse(
    reason=RefusalReason.TICKET_VOID,
    execution=Execution.NOT_RUN,
    detail="the ticket was refused before, as not run",
)
_FULL = Refuse(
    reason=RefusalReason.OVERLOADED,
    execution=Execution.NOT_RUN,
    detail="too many calls are in progress",
    retry_after=BUSY_RETRY_AFTER,
)
_GIVEN_UP = Refuse(
    reason=RefusalReason.TICKET_VOID,
    execution=Execution.NOT_RUN,
    detail="the claim on the ticket was given up before it was used",
)


class TicketLedger:
    """Lets each ticket of this process be dispatched at most once.

    A ticket is claimed, then marked as dispatched right before the first byte may
    leave, then finished. What is remembered ends with the lifetime of the ticket
    and a grace; two bits per used number last that long, while the results kept
    for repeats are dropped, oldest first, when they need too much room.

    When the incarnation rises, as after a pause, every ticket of an earlier one
    that was not dispatched is void. A request that lay unread in a socket through
    the pause looks like a new one, and its caller may have moved on since; the
    incarnation is all that tells them apart. Because the memory of this process
    survived, each void ticket can truthfully be refused as not run. No other
    process ever says so: a ticket whose seal does not fit is refused as unknown.
    """

    def __init__(
        self,
        *,
        incarnation: int,
        seal: TicketSeal,
        limits: TicketLimits,
    ) -> None:
        self._incarnation = incarnation
        self._seal = seal
        self._limits = limits
        self._active: dict[int, _Entry] = {}
        self._results: OrderedDict[int, _Entry] = OrderedDict()
        self._result_bytes = 0
        self._spent = SpentNumbers()
        self._swept_at = 0.0

    @property
    def incarnation(self) -> int:
        """The incarnation whose tickets may run."""
        return self._incarnation

    @property
    def entries(self) -> int:
        """Calls in progress and kept results, together."""
        return len(self._active) + len(self._results)

    @property
    def result_bytes(self) -> int:
        """Bytes of all kept results."""
        return self._result_bytes

    @property
    def spent_bytes(self) -> int:
        """Bytes of the marks of used numbers."""
        return self._spent.size

    def raise_incarnation(self, incarnation: int) -> int:
        """Void the tickets of earlier incarnations that were not dispatched.

        :returns: how many claimed ones lost their right to run.
        """
        if incarnation <= self._incarnation:
            return 0
        self._incarnation = incarnation
        claimed = [
            number
            for number, entry in self._active.items()
            if entry.state is _State.CLAIMED
        ]
        for number in claimed:
            del self._active[number]
        return len(claimed)

    def right(self, ticket: Ticket, *, now: float) -> Refuse | None:
        """Return why a claimed ticket may no longer run, or None."""
        return self._refuse_right(ticket, now)

    def claim(
        self, ticket: Ticket, *, now: float
    ) -> Run | Replay | InProgress | Refuse:
        """Take the right to run ``ticket``, or tell what became of it."""
        self._sweep(now)
        stranger = self._refuse_stranger(ticket)
        if stranger is not None:
            return stranger
        known = self._recall(ticket)
        if known is not None:
            return known
        refusal = self._refuse_right(ticket, now)
        if refusal is not None:
            return refusal
        if len(self._active) >= self._limits.max_entries:
            return self.refused(ticket, _FULL)
        self._drop_results(room=1)
        self._active[ticket.number] = _Entry(
            ticket=ticket, forget_at=ticket.expires_at + self._limits.grace
        )
        return Run(ticket=ticket)

    def dispatched(self, ticket: Ticket, *, now: float) -> Refuse | None:
        """Check the right to run and spend it; call right before the first byte.

        :returns: None where the write may start, else why it must not.
        """
        entry = self._active.get(ticket.number)
        if entry is None or entry.state is not _State.CLAIMED:
            marked = self._refuse_marked(ticket)
            return marked or self._refuse_right(ticket, now) or _GIVEN_UP
        refusal = self._refuse_right(ticket, now)
        if refusal is not None:
            del self._active[ticket.number]
            return refusal
        entry.state = _State.DISPATCHED
        self._mark(ticket, Mark.DISPATCHED)
        return None

    def abandoned_before_send(self, ticket: Ticket) -> None:
        """Give a claim back of which the caller is told nothing.

        No byte left, so that the ticket can be claimed again.
        """
        entry = self._active.get(ticket.number)
        if entry is not None and entry.state is _State.CLAIMED:
            del self._active[ticket.number]

    def refused(self, ticket: Ticket, refusal: Refuse) -> Refuse:
        """Give a claim back, and return what its caller may be told.

        A caller who reads "not run" may do the work anew under another ticket,
        while an older copy of this request may still be on its way. The ticket is
        therefore closed: it never runs after it was refused as not run.
        """
        entry = self._active.get(ticket.number)
        if entry is not None and entry.state is _State.DISPATCHED:
            return _UNRESOLVED
        self._active.pop(ticket.number, None)
        marked = self._refuse_marked(ticket)
        if marked is None and refusal.execution is Execution.NOT_RUN:
            self._mark(ticket, Mark.REFUSED)
        return marked or refusal

    def said_not_run(self, ticket: Ticket) -> None:
        """Turn a dispatch back into a claim: the backend server refused the work."""
        entry = self._active.get(ticket.number)
        if entry is None or entry.state is not _State.DISPATCHED:
            return
        self._mark(ticket, Mark.UNUSED)
        entry.state = _State.CLAIMED
        if ticket.incarnation < self._incarnation:
            del self._active[ticket.number]

    def finished(self, ticket: Ticket, result: bytes) -> None:
        """Keep the result of a dispatched call for callers who ask again."""
        entry = self._active.get(ticket.number)
        if entry is None or entry.state is not _State.DISPATCHED:
            return
        del self._active[ticket.number]
        self._mark(ticket, Mark.RAN)
        entry.state = _State.RAN
        if len(result) <= self._limits.max_result_bytes:
            entry.result = result
            self._results[ticket.number] = entry
            self._result_bytes += len(result)
        self._drop_results()

    def lost(self, ticket: Ticket) -> None:
        """End a dispatched call whose outcome will not be known."""
        entry = self._active.get(ticket.number)
        if entry is not None and entry.state is _State.DISPATCHED:
            del self._active[ticket.number]

    def _refuse_stranger(self, ticket: Ticket) -> Refuse | None:
        if self._seal.verify(ticket):
            return None
        if ticket.incarnation != self._incarnation:
            return Refuse(
                reason=RefusalReason.INSTANCE_GONE,
                execution=Execution.UNKNOWN,
                detail="the ticket was issued by an earlier start of this instance",
            )
        return Refuse(
            reason=RefusalReason.TICKET_UNKNOWN,
            execution=Execution.UNKNOWN,
            detail="this instance issued no such ticket",
        )

    def _recall(self, ticket: Ticket) -> Replay | InProgress | Refuse | None:
        kept = self._results.get(ticket.number)
        if kept is not None:
            return Replay(result=kept.result)
        active = self._active.get(ticket.number)
        if active is not None:
            return InProgress(dispatched=active.state is _State.DISPATCHED)
        return self._refuse_marked(ticket)

    def _refuse_marked(self, ticket: Ticket) -> Refuse | None:
        match self._spent.read(ticket.number):
            case Mark.RAN:
                return _RESULT_DROPPED
            case Mark.DISPATCHED:
                return _UNRESOLVED
            case Mark.REFUSED:
                return _REFUSED_BEFORE
        return None

    def _mark(self, ticket: Ticket, mark: Mark) -> None:
        forget_at = ticket.expires_at + self._limits.grace
        self._spent.mark(ticket.number, mark, forget_at=forget_at)

    def _refuse_right(self, ticket: Ticket, now: float) -> Refuse | None:
        if now >= ticket.expires_at + self._limits.grace:
            return Refuse(
                reason=RefusalReason.TICKET_EXPIRED,
                execution=Execution.UNKNOWN,
                detail="the ticket expired too long ago to know whether it ran",
            )
        if now >= ticket.expires_at:
            return Refuse(
                reason=RefusalReason.TICKET_EXPIRED,
                execution=Execution.NOT_RUN,
                detail="the ticket expired before it was used",
            )
        if ticket.incarnation < self._incarnation:
            return Refuse(
                reason=RefusalReason.TICKET_VOID,
                execution=Execution.NOT_RUN,
                detail="the instance was paused before the ticket was used",
            )
        return None

    def _drop_results(self, *, room: int = 0) -> None:
        while self._results and (
            self.entries + room > self._limits.max_entries
            or self._result_bytes > self._limits.max_result_bytes
        ):
            _, oldest = self._results.popitem(last=False)
            self._result_bytes -= len(oldest.result)

    def _sweep(self, now: float) -> None:
        if now < self._swept_at + SWEEP_INTERVAL:
            return
        self._swept_at = now
        self._spent.forget(now)
        for number in [n for n, e in self._active.items() if e.forget_at <= now]:
            del self._active[number]
        for number in [n for n, e in self._results.items() if e.forget_at <= now]:
            self._result_bytes -= len(self._results.pop(number).result)
