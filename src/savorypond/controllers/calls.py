"""Non-idempotent calls: each runs at most once, under a ticket issued here."""

from dataclasses import dataclass
from random import Random
from typing import Protocol

from savorypond.calls.connection import CallConnection, CallRequest
from savorypond.calls.events import (
    Acquire,
    Action,
    Answered,
    Event,
    Finish,
    Probe,
    ReleaseConnection,
    Write,
)
from savorypond.calls.issuer import TicketIssuer, new_incarnation
from savorypond.calls.ledger import Claimed, InProgress, Replay, TicketLedger
from savorypond.calls.state_machine import CallStateMachine, LeavingServers
from savorypond.calls.tickets import (
    Refusal,
    Ticket,
    TicketLimits,
    TicketSigner,
    encode_ticket,
)
from savorypond.clock import Clock
from savorypond.controllers.active import ActiveServices
from savorypond.controllers.backend_servers import BackendServers
from savorypond.exceptions import RequestRefused
from savorypond.membership.pause import Paused, PauseDetector
from savorypond.model import Counters, Service
from savorypond.queries.shard_calls import ConnectionSource
from savorypond.reasons import Execution, RefusalReason

_SIGNING_KEY_BYTES = 32
_IN_PROGRESS_RETRY_AFTER = 0.1  # seconds


class WallClock(Protocol):
    """A clock that returns the time of day."""

    def __call__(self) -> float:
        """Return seconds since the epoch."""


@dataclass(frozen=True, slots=True, kw_only=True)
class IssuedTickets:
    """New tickets in text form.

    :param lifetime: seconds until the tickets expire.
    """

    tickets: tuple[str, ...]
    lifetime: float


class CallController:
    """Issues tickets and runs the calls that carry them."""

    def __init__(
        self,
        *,
        instance: str,
        fleet: str,
        active: ActiveServices,
        servers: BackendServers,
        leaving: LeavingServers,
        connections: ConnectionSource,
        clock: Clock,
        wall_clock: WallClock,
        rng: Random,
        counters: Counters,
        pause: PauseDetector,
    ) -> None:
        self._active = active
        self._pause = pause
        self._servers = servers
        self._leaving = leaving
        self._connections = connections
        self._clock = clock
        self._wall_clock = wall_clock
        self._rng = rng
        self._counters = counters
        self._limits = TicketLimits()
        signer = TicketSigner(key=rng.randbytes(_SIGNING_KEY_BYTES))
        incarnation = new_incarnation(wall=wall_clock(), random=rng)
        self._issuer = TicketIssuer(
            instance=instance,
            incarnation=incarnation,
            fleet=fleet,
            signer=signer,
            limits=self._limits,
        )
        self._ledger = TicketLedger(
            incarnation=incarnation, signer=signer, limits=self._limits
        )

    @property
    def ledger(self) -> TicketLedger:
        """The ledger with the state of the tickets."""
        return self._ledger

    def resumed(self, paused: Paused) -> None:
        """Void the tickets that were claimed before the pause and not sent."""
        incarnation = new_incarnation(
            wall=self._wall_clock(), random=self._rng, above=self._issuer.incarnation
        )
        self._issuer.raise_incarnation(incarnation)
        voided = self._ledger.raise_incarnation(incarnation)
        self._counters.add("tickets_voided", "pause", voided)

    def issue(self, count: int) -> IssuedTickets:
        """Return ``count`` new tickets; raise RequestRefused if these are too many."""
        issued = self._issuer.issue(now=self._clock.now(), count=count)
        self._counters.add("tickets", "issued", count)
        return IssuedTickets(
            tickets=tuple(encode_ticket(ticket) for ticket in issued),
            lifetime=self._limits.lifetime,
        )

    def revoke(self, ticket: Ticket) -> bytes:
        """Close ``ticket`` so that it never runs.

        Return the result, encoded as JSON, if the call has run already.

        :raises RequestRefused: there is no result; its execution is not-run if the
            call never ran.
        """
        claim = self._ledger.revoke(ticket, now=self._clock.now())
        self._counters.add("tickets", "revoked")
        if isinstance(claim, Replay):
            return claim.result
        if isinstance(claim, InProgress):
            raise _in_progress_error()
        raise refusal_error(claim)

    async def run(
        self, ticket: Ticket, *, service: Service, payload: object, deadline: float
    ) -> bytes:
        """Run one call under ``ticket`` and return its result, encoded as JSON.

        The result of a call that has run already is returned again for as long as
        the ledger keeps it.

        :param deadline: monotonic seconds by which the caller must have its answer.
        :raises RequestRefused: there is no result.
        """
        claim = self._ledger.claim(ticket, now=self._clock.now())
        if isinstance(claim, Replay):
            self._counters.add("tickets", "replayed")
            return claim.result
        if isinstance(claim, InProgress):
            raise _in_progress_error()
        if isinstance(claim, Refusal):
            raise refusal_error(claim)
        assert isinstance(claim, Claimed)
        return await self._run(ticket, service, payload, deadline)

    async def _run(
        self, ticket: Ticket, service: Service, payload: object, deadline: float
    ) -> bytes:
        await self._active.activate([service])
        machine = CallStateMachine(
            ticket=ticket,
            deadline=deadline,
            ledger=self._ledger,
            pause=self._pause,
            servers=self._leaving,
        )
        connection = CallConnection(
            request=CallRequest(
                request_id=f"call-{ticket.instance}-{ticket.incarnation:x}-{ticket.number:x}",
                service=service,
                payload=payload,
                deadline=deadline,
            ),
            servers=self._servers,
            connections=self._connections,
            clock=self._clock,
        )
        try:
            outcome = await self._run_machine(machine, connection)
        finally:
            machine.abandon()
            await connection.close()
        if isinstance(outcome, Answered):
            self._counters.add("tickets", "ran")
            return outcome.result
        raise refusal_error(outcome)

    async def _run_machine(
        self, machine: CallStateMachine, connection: CallConnection
    ) -> Answered | Refusal:
        actions = machine.start(now=self._clock.now())
        while True:
            event = None
            for action in actions:
                if isinstance(action, Finish):
                    return action.outcome
                event = await self._perform(action, connection)
            assert event is not None
            actions = machine.handle(event, now=self._clock.now())

    async def _perform(
        self, action: Action, connection: CallConnection
    ) -> Event | None:
        if isinstance(action, Acquire):
            return await connection.acquire(action.tried)
        if isinstance(action, Probe):
            return await connection.probe()
        if isinstance(action, Write):
            return await connection.write(action.time_left)
        assert isinstance(action, ReleaseConnection)
        await connection.release(action.outcome)
        return None


def refusal_error(refusal: Refusal) -> RequestRefused:
    """Return the error to raise for ``refusal``."""
    return RequestRefused(
        reason=refusal.reason,
        detail=refusal.detail,
        execution=refusal.execution,
        retry_after=refusal.retry_after,
    )


def _in_progress_error() -> RequestRefused:
    return RequestRefused(
        reason=RefusalReason.TICKET_IN_PROGRESS,
        detail="another request with this ticket is running",
        execution=Execution.UNKNOWN,
        retry_after=_IN_PROGRESS_RETRY_AFTER,
    )
