"""Ledger of the tickets of one process, which enforces at-most-once execution."""

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum, auto

from savorypond.calls.expiry import ExpiryBuckets
from savorypond.calls.refusals import (
    ALREADY_REFUSED,
    CLAIM_RELEASED,
    EARLIER_PROCESS,
    EXPIRED,
    NOT_ISSUED,
    RECORD_EXPIRED,
    RESULT_DROPPED,
    REVOKED,
    TOO_MANY_CALLS,
    UNRESOLVED,
    VOIDED_BY_PAUSE,
)
from savorypond.calls.ticket_marks import TicketMark, TicketMarks
from savorypond.calls.tickets import Refusal, Ticket, TicketLimits, TicketSigner
from savorypond.reasons import Execution

PRUNE_INTERVAL = 1.0  # seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class Claimed:
    """The ticket is claimed: the call may be dispatched, no other request holds it."""

    ticket: Ticket


@dataclass(frozen=True, slots=True, kw_only=True)
class Replay:
    """The call ran before with this result."""

    result: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class InProgress:
    """Another request holds the ticket now.

    :param dispatched: whether a byte of the call may have been sent to a backend
        server.
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

    A ticket is claimed, then marked as dispatched immediately before the first byte
    may be sent, then finished. Records are kept for the lifetime of the ticket plus
    a grace period. Two bits per used number are kept for all of that time, while
    the results kept for repeated requests are dropped, oldest first, when they
    exceed their limits.

    When the incarnation rises, as after a pause, every ticket of an earlier one
    that was not dispatched becomes void. A request that lay unread in a socket
    during the pause looks like a new one, although its caller may have given up on
    it since; only the incarnation distinguishes the two. Because the memory of this
    process survived, each void ticket can truthfully be refused as not run. No
    other process does so: a ticket with an invalid signature is refused as unknown.
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
        self._marks = TicketMarks()
        self._expiry = ExpiryBuckets()
        self._pruned_at = float("-inf")

    @property
    def incarnation(self) -> int:
        """The incarnation whose tickets may run."""
        return self._incarnation

    @property
    def entries(self) -> int:
        """Number of calls in progress and kept results, together."""
        return len(self._entries)

    @property
    def in_progress(self) -> int:
        """Number of claimed and dispatched calls that have not ended."""
        return len(self._entries) - len(self._ran)

    @property
    def result_bytes(self) -> int:
        """Total size of the kept results in bytes."""
        return self._result_bytes

    @property
    def mark_bytes(self) -> int:
        """Size of the marks of used numbers in bytes."""
        return self._marks.size

    def raise_incarnation(self, incarnation: int) -> int:
        """Void the tickets of earlier incarnations that were not dispatched.

        :returns: the number of claimed tickets that became void.
        """
        if incarnation <= self._incarnation:
            return 0
        self._incarnation = incarnation
        voided = [
            number
            for number, entry in self._entries.items()
            if entry.state is _State.CLAIMED
        ]
        for number in voided:
            self._remove(number)
        return len(voided)

    def claim(
        self, ticket: Ticket, *, now: float
    ) -> Claimed | Replay | InProgress | Refusal:
        """Claim ``ticket`` for a run, or return what became of it."""
        self._prune(now)
        recorded = self._check_signature(ticket) or self._look_up(ticket)
        refusal = recorded or self.check_usable(ticket, now=now)
        if refusal is not None:
            return refusal
        if self.in_progress >= self._limits.max_entries:
            return self.refuse(ticket, TOO_MANY_CALLS)
        self._drop_results(reserve=1)
        entry = _Entry(forget_at=self._forget_at(ticket))
        self._entries[ticket.number] = entry
        self._expiry.add(ticket.number, expires_at=entry.forget_at)
        return Claimed(ticket=ticket)

    def revoke(self, ticket: Ticket, *, now: float) -> Replay | InProgress | Refusal:
        """Close ``ticket`` if it was not used, so that it never runs.

        This tells a caller whose request ended as unknown what became of it, or
        that the work may be done again.
        """
        claim = self.claim(ticket, now=now)
        return self.refuse(ticket, REVOKED) if isinstance(claim, Claimed) else claim

    def check_usable(self, ticket: Ticket, *, now: float) -> Refusal | None:
        """Return the reason why an unused ticket may no longer run, or None."""
        if now >= self._forget_at(ticket):
            return RECORD_EXPIRED
        if now >= ticket.expires_at:
            return EXPIRED
        return VOIDED_BY_PAUSE if ticket.incarnation < self._incarnation else None

    def try_dispatch(self, ticket: Ticket, *, now: float) -> Refusal | None:
        """Check that the ticket may run and mark it as dispatched.

        Must be called immediately before the first byte is sent.

        :returns: None if the write may start, otherwise why it must not.
        """
        entry = self._in_state(ticket, _State.CLAIMED)
        if entry is None:
            marked = self._check_mark(ticket)
            return marked or self.check_usable(ticket, now=now) or CLAIM_RELEASED
        refusal = self.check_usable(ticket, now=now)
        if refusal is not None:
            self._remove(ticket.number)
            return refusal
        entry.state = _State.DISPATCHED
        self._mark(ticket, TicketMark.DISPATCHED)
        return None

    def release_claim(self, ticket: Ticket) -> None:
        """Release a claim about which the caller is told nothing.

        No byte was sent, so the ticket can be claimed again.
        """
        if self._in_state(ticket, _State.CLAIMED) is not None:
            self._remove(ticket.number)

    def refuse(self, ticket: Ticket, refusal: Refusal) -> Refusal:
        """Release a claim, and return the refusal that its caller may receive.

        A caller that reads "not run" may do the work again under another ticket,
        while an older copy of this request may still be in transit. The ticket is
        therefore closed: it never runs after it was refused as not run.
        """
        self.release_claim(ticket)
        marked = self._check_mark(ticket)
        if marked is not None or ticket.number in self._entries:
            return marked or UNRESOLVED
        if refusal.execution is Execution.NOT_RUN:
            self._mark(ticket, TicketMark.REFUSED)
        return refusal

    def record_not_run(self, ticket: Ticket) -> None:
        """Turn a dispatch back into a claim after the backend server refused it."""
        entry = self._in_state(ticket, _State.DISPATCHED)
        if entry is None:
            return
        self._mark(ticket, TicketMark.UNUSED)
        entry.state = _State.CLAIMED
        if ticket.incarnation < self._incarnation:
            self._remove(ticket.number)

    def record_result(self, ticket: Ticket, result: bytes) -> None:
        """Keep the result of a dispatched call for repeated requests."""
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
        """End a dispatched call whose outcome will remain unknown."""
        if self._in_state(ticket, _State.DISPATCHED) is not None:
            self._remove(ticket.number)

    def _in_state(self, ticket: Ticket, state: _State) -> _Entry | None:
        entry = self._entries.get(ticket.number)
        return entry if entry is not None and entry.state is state else None

    def _check_signature(self, ticket: Ticket) -> Refusal | None:
        if self._signer.verify(ticket):
            return None
        same_incarnation = ticket.incarnation == self._incarnation
        return NOT_ISSUED if same_incarnation else EARLIER_PROCESS

    def _look_up(self, ticket: Ticket) -> Replay | InProgress | Refusal | None:
        entry = self._entries.get(ticket.number)
        if entry is None:
            return self._check_mark(ticket)
        if entry.state is _State.RAN:
            return Replay(result=entry.result)
        return InProgress(dispatched=entry.state is _State.DISPATCHED)

    def _check_mark(self, ticket: Ticket) -> Refusal | None:
        match self._marks.read(ticket.number):
            case TicketMark.RAN:
                return RESULT_DROPPED
            case TicketMark.DISPATCHED:
                return UNRESOLVED
            case TicketMark.REFUSED:
                return ALREADY_REFUSED
        return None

    def _mark(self, ticket: Ticket, mark: TicketMark) -> None:
        self._marks.mark(ticket.number, mark, forget_at=self._forget_at(ticket))

    def _forget_at(self, ticket: Ticket) -> float:
        return ticket.expires_at + self._limits.grace

    def _remove(self, number: int) -> None:
        entry = self._entries.pop(number, None)
        if entry is None:
            return
        self._expiry.discard(number, expires_at=entry.forget_at)
        self._ran.pop(number, None)
        self._result_bytes -= len(entry.result)

    def _drop_results(self, *, reserve: int = 0) -> None:
        while self._ran and (
            self.entries + reserve > self._limits.max_entries
            or self._result_bytes > self._limits.max_result_bytes
        ):
            self._remove(next(iter(self._ran)))

    def _prune(self, now: float) -> None:
        if now < self._pruned_at + PRUNE_INTERVAL:
            return
        self._pruned_at = now
        self._marks.prune(now)
        for number in self._expiry.pop_expired(now):
            self._remove(number)
