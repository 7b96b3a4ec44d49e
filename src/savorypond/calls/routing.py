"""Routing of tickets to the instances that issued them."""

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
    """The ticket names ``instance``, the only one that can process it."""

    instance: Instance


class InstanceLookup(Protocol):
    """Finds peers by name."""

    def find(self, name: str) -> Instance | None:
        """Return the instance called ``name``, or None if it is unknown."""


def route_ticket(
    *, ticket: Ticket, fleet: str, instance: str, peers: InstanceLookup
) -> RunLocally | Forward | Refusal:
    """Return where ``ticket`` must be processed, or a refusal.

    A peer is asked whatever its current incarnation is: one that resumed from a
    pause still has the records of the tickets of its earlier incarnations. If it
    cannot be reached, the execution is "unknown", because a copy of the same
    request may have reached it before.

    :param instance: name of this instance.
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
    """Return the refusal of a ticket whose issuer cannot be reached."""
    return Refusal(
        reason=RefusalReason.INSTANCE_GONE,
        execution=Execution.UNKNOWN,
        detail=f"instance {ticket.instance}, the issuer of the ticket, is unreachable",
    )
