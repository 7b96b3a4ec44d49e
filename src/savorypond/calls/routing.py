"""Finds the instance that answers for a ticket."""

from dataclasses import dataclass
from typing import Protocol

from savorypond.calls.tickets import Refusal, Ticket, fleet_hash
from savorypond.model import Instance, InstanceState
from savorypond.reasons import Execution, RefusalReason


@dataclass(frozen=True, slots=True, kw_only=True)
class RunLocally:
    """The ticket names this instance; its ledger decides."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Forward:
    """The ticket names ``instance``, and only that one can answer for it."""

    instance: Instance


class InstanceLookup(Protocol):
    """Finds peers by name."""

    def find(self, name: str) -> Instance | None:
        """Return what is known of the instance called ``name``, or None."""


def route_ticket(
    *, ticket: Ticket, fleet: str, instance: str, peers: InstanceLookup
) -> RunLocally | Forward | Refusal:
    """Tell who answers for ``ticket``.

    A peer is asked whichever incarnation it has now: one that woke from a pause
    still knows what became of the tickets of its earlier incarnations. Where it
    cannot be asked the answer is "unknown", because a copy of the same request may
    have reached it before.
    """
    if ticket.fleet != fleet_hash(fleet):
        return Refusal(
            reason=RefusalReason.TICKET_FOREIGN,
            execution=Execution.UNKNOWN,
            detail="the ticket was issued by another fleet",
        )
    if ticket.instance == instance:
        return RunLocally()
    peer = peers.find(ticket.instance)
    if peer is None or peer.state is InstanceState.DEAD:
        return unreachable_issuer(ticket)
    return Forward(instance=peer)


def unreachable_issuer(ticket: Ticket) -> Refusal:
    """Return the refusal for a ticket whose instance cannot be asked."""
    return Refusal(
        reason=RefusalReason.INSTANCE_GONE,
        execution=Execution.UNKNOWN,
        detail=f"instance {ticket.instance}, which issued the ticket, cannot be asked",
    )
