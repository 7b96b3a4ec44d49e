"""What became of the tickets of this process: the record behind at most once."""

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum, auto

from savorypond.calls.expiry import ExpiryBuckets
from savorypond.calls.refusals import (
    EARLIER_START,
    EXPIRED,
    FORGOTTEN,
    FULL,
    GIVEN_UP,
    NOT_ISSUED,
    PAUSED,
    REFUSED_BEFORE,
    RESULT_DROPPED,
    REVOKED,
    UNRESOLVED,
)
from savorypond.calls.ticket_marks import TicketMark, TicketMarks
from savorypond.calls.tickets import Refusal, Ticket, TicketLimits, TicketSigner
from savorypond.reasons import Execution

FORGET_INTERVAL = 1.0  # seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class Claimed:
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
    forget_at: float
    state: _State = _State.CLAIMED
    result: bytes = b""


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
        self, *, incarnation: int, signer: TicketSigner, limits: TicketLimits
    ) -> None:
        self._incarnation = incarnation
        self._signer = signer
        self._limits = limits
        self._entries: dict[int, _Entry] = {}
        self._ran: OrderedDict[int, None] = OrderedDict()
        self._result_bytes = 0
        self._spent = TicketMarks()
        self._ends = ExpiryBuckets()
        self._forgot_at = float("-inf")

    @property
    def incarnation(self) -> int:
        """The incarnation whose tickets may run."""
        return self._incarnation

    @property
    def entries(self) -> int:
        """Calls in progress and kept results, together."""
        return len(self._entries)

    @property
    def in_progress(self) -> int:
        """Claimed and dispatched calls that have not ended."""
        return len(self._entries) - len(self._ran)

    @property
    def result_bytes(self) -> int:
        """Bytes of all kept results."""
        return self._result_bytes

    @property
    def mark_bytes(self) -> int:
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
            for number, entry in self._entries.items()
            if entry.state is _State.CLAIMED
        ]
        for number in claimed:
            self._remove(number)
        return len(claimed)

    def claim(
        self, ticket: Ticket, *, now: float
    ) -> Claimed | Replay | InProgress | Refusal:
        """Take the right to run ``ticket``, or tell what became of it."""
        self._forget(now)
        known = self._refuse_stranger(ticket) or self._recall(ticket)
        refusal = known or self.check_usable(ticket, now=now)
        if refusal is not None:
            return refusal
        if self.in_progress >= self._limits.max_entries:
            return self.refuse(ticket, FULL)
        self._drop_results(room=1)
        entry = _Entry(forget_at=self._forget_at(ticket))
        self._entries[ticket.number] = entry
        self._ends.add(ticket.number, ends_at=entry.forget_at)
        return Claimed(ticket=ticket)

    def revoke(self, ticket: Ticket, *, now: float) -> Replay | InProgress | Refusal:
        """Close ``ticket`` if it was not used, so that it never runs.

        A caller whose request ended as unknown learns from this what became of it,
        or that it may do the work anew.
        """
        claim = self.claim(ticket, now=now)
        return self.refuse(ticket, REVOKED) if isinstance(claim, Claimed) else claim

    def check_usable(self, ticket: Ticket, *, now: float) -> Refusal | None:
        """Return why a ticket that was not used may no longer run, or None."""
        if now >= self._forget_at(ticket):
            return FORGOTTEN
        if now >= ticket.expires_at:
            return EXPIRED
        return PAUSED if ticket.incarnation < self._incarnation else None

    def try_dispatch(self, ticket: Ticket, *, now: float) -> Refusal | None:
        """Check the right to run and spend it; call right before the first byte.

        :returns: None where the write may start, else why it must not.
        """
        entry = self._in_state(ticket, _State.CLAIMED)
        if entry is None:
            marked = self._refuse_marked(ticket)
            return marked or self.check_usable(ticket, now=now) or GIVEN_UP
        refusal = self.check_usable(ticket, now=now)
        if refusal is not None:
            self._remove(ticket.number)
            return refusal
        entry.state = _State.DISPATCHED
        self._mark(ticket, TicketMark.DISPATCHED)
        return None

    def release_claim(self, ticket: Ticket) -> None:
        """Give a claim back of which the caller is told nothing.

        No byte left, so that the ticket can be claimed again.
        """
        if self._in_state(ticket, _State.CLAIMED) is not None:
            self._remove(ticket.number)

    def refuse(self, ticket: Ticket, refusal: Refusal) -> Refusal:
        """Give a claim back, and return what its caller may be told.

        A caller who reads "not run" may do the work anew under another ticket,
        while an older copy of this request may still be on its way. The ticket is
        therefore closed: it never runs after it was refused as not run.
        """
        self.release_claim(ticket)
        marked = self._refuse_marked(ticket)
        if marked is not None or ticket.number in self._entries:
            return marked or UNRESOLVED
        if refusal.execution is Execution.NOT_RUN:
            self._mark(ticket, TicketMark.REFUSED)
        return refusal

    def record_not_run(self, ticket: Ticket) -> None:
        """Turn a dispatch back into a claim: the backend server refused the work."""
        entry = self._in_state(ticket, _State.DISPATCHED)
        if entry is None:
            return
        self._mark(ticket, TicketMark.UNUSED)
        entry.state = _State.CLAIMED
        if ticket.incarnation < self._incarnation:
            self._remove(ticket.number)

    def record_result(self, ticket: Ticket, result: bytes) -> None:
        """Keep the result of a dispatched call for callers who ask again."""
        entry = self._in_state(ticket, _State.DISPATCHED)
        if entry is None:
            return
        self._mark(ticket, TicketMark.RAN)
        entry.state = _State.RAN
        entry.result = result
        self._ran[ticket.number] = None
        self._result_bytes += len(result)
        self._drop_results()

    def record_loss(self, ticket: Ticket) -> None:
        """End a dispatched call whose outcome will not be known."""
        if self._in_state(ticket, _State.DISPATCHED) is not None:
            self._remove(ticket.number)

    def _in_state(self, ticket: Ticket, state: _State) -> _Entry | None:
        entry = self._entries.get(ticket.number)
        return entry if entry is not None and entry.state is state else None

    def _refuse_stranger(self, ticket: Ticket) -> Refusal | None:
        if self._signer.verify(ticket):
            return None
        same_start = ticket.incarnation == self._incarnation
        return NOT_ISSUED if same_start else EARLIER_START

    def _recall(self, ticket: Ticket) -> Replay | InProgress | Refusal | None:
        entry = self._entries.get(ticket.number)
        if entry is None:
            return self._refuse_marked(ticket)
        if entry.state is _State.RAN:
            return Replay(result=entry.result)
        return InProgress(dispatched=entry.state is _State.DISPATCHED)

    def _refuse_marked(self, ticket: Ticket) -> Refusal | None:
        match self._spent.read(ticket.number):
            case TicketMark.RAN:
                return RESULT_DROPPED
            case TicketMark.DISPATCHED:
                return UNRESOLVED
            case TicketMark.REFUSED:
                return REFUSED_BEFORE
        return None

    def _mark(self, ticket: Ticket, mark: TicketMark) -> None:
        self._spent.mark(ticket.number, mark, forget_at=self._forget_at(ticket))

    def _forget_at(self, ticket: Ticket) -> float:
        return ticket.expires_at + self._limits.grace

    def _remove(self, number: int) -> None:
        entry = self._entries.pop(number, None)
        if entry is None:
            return
        self._ends.discard(number, ends_at=entry.forget_at)
        self._ran.pop(number, None)
        self._result_bytes -= len(entry.result)

    def _drop_results(self, *, room: int = 0) -> None:
        while self._ran and (
            self.entries + room > self._limits.max_entries
            or self._result_bytes > self._limits.max_result_bytes
        ):
            self._remove(next(iter(self._ran)))

    def _forget(self, now: float) -> None:
        if now < self._forgot_at + FORGET_INTERVAL:
            return
        self._forgot_at = now
        self._spent.forget(now)
        for number in self._ends.take_ended(now):
            self._remove(number)
