"""The HTTP interface for tickets and for non-idempotent calls."""

from typing import Any

from msgspec import Raw
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from savorypond.calls.paths import with_unknown_execution
from savorypond.calls.routing import (
    Forward,
    InstanceLookup,
    RunLocally,
    route_ticket,
    unreachable_issuer,
)
from savorypond.calls.tickets import Refusal, Ticket, decode_ticket
from savorypond.clock import Clock
from savorypond.controllers.calls import CallController, refusal_error
from savorypond.exceptions import RequestRefused, TicketError
from savorypond.http.messages import HttpRequest, HttpResponse, json_response
from savorypond.logs import log_event
from savorypond.metrics import Metrics
from savorypond.model import Instance, Service, ServiceKind
from savorypond.peers.link import LinkError, PeerLinks
from savorypond.peers.link_messages import (
    ForwardCall,
    ForwardRefusal,
    ForwardResult,
    ForwardRevoke,
)
from savorypond.protocols import ConfigView
from savorypond.reasons import RefusalReason
from savorypond.services.request_validation import body_refusal

MAX_TICKETS_PER_REQUEST = 1000
MAX_TIME_LIMIT_MS = 60_000.0
_MS_PER_SECOND = 1000.0
REVOKE_TIMEOUT = 1.0  # seconds for an issuer to answer a revocation
_FORWARD_MARGIN = 0.005  # seconds reserved for the answer of another instance


class TicketsBody(BaseModel):
    """The JSON body of a request for tickets."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    count: int = Field(default=1, ge=1, le=MAX_TICKETS_PER_REQUEST)


class CallBody(BaseModel):
    """The JSON body of a non-idempotent call.

    :param time_limit_ms: milliseconds from arrival until the answer must be sent.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    ticket: str = Field(min_length=1, max_length=256)
    payload: Any
    time_limit_ms: float | None = Field(default=None, ge=0.0, le=MAX_TIME_LIMIT_MS)


class CallApi:
    """Issues tickets, and runs calls here or on the instance that issued the ticket."""

    def __init__(
        self,
        *,
        instance: str,
        calls: CallController,
        config: ConfigView,
        fleet: str,
        peers: InstanceLookup,
        links: PeerLinks,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._instance = instance
        self._calls = calls
        self._config = config
        self._fleet = fleet
        self._peers = peers
        self._links = links
        self._clock = clock
        self._metrics = metrics

    async def tickets(self, request: HttpRequest) -> HttpResponse:
        """Issue tickets and return them."""
        try:
            body = TicketsBody.model_validate_json(request.body or b"{}")
        except ValidationError as error:
            raise body_refusal(error) from error
        issued = self._calls.issue(body.count)
        return json_response(
            {"tickets": issued.tickets, "lifetime_ms": issued.lifetime * _MS_PER_SECOND}
        )

    async def call(self, request: HttpRequest, service_name: str) -> HttpResponse:
        """Run one call and return its result."""
        arrived_at = self._clock.now()
        try:
            body = CallBody.model_validate_json(request.body)
        except ValidationError as error:
            raise body_refusal(error) from error
        service = self._service_for_ticket(service_name)
        limit = service.time_limit
        if body.time_limit_ms is not None:
            limit = body.time_limit_ms / _MS_PER_SECOND
        try:
            result = await self._run(body, service, arrived_at + limit)
        except RequestRefused as refusal:
            self._log_refusal(refusal, service_name)
            raise
        self._metrics.latency("call").record(self._clock.now() - arrived_at)
        self._metrics.counters.add("answers", "call")
        return json_response({"ticket": body.ticket, "result": Raw(result)})

    async def run_forwarded(self, message: ForwardCall) -> ForwardResult:
        """Run a call that a peer forwarded because its ticket was issued here."""
        ticket = _parse_ticket(message.ticket)
        service = self._service(message.service)
        deadline = self._clock.now() + message.time_left
        result = await self._calls.run(
            ticket, service=service, payload=message.payload, deadline=deadline
        )
        return ForwardResult(ticket=message.ticket, result=result)

    async def revoke(self, text: str) -> HttpResponse:
        """Revoke a ticket and return the result of its call, if it ran.

        :raises RequestRefused: there is no result; its execution is not-run if the
            call never ran.
        """
        ticket = _parse_ticket(text)
        route = self._route(ticket)
        if isinstance(route, Forward):
            time_left = REVOKE_TIMEOUT
            message = ForwardRevoke(ticket=text)
            result = await self._ask_issuer(route.instance, ticket, message, time_left)
        else:
            result = self._calls.revoke(ticket)
        return json_response({"ticket": text, "result": Raw(result)})

    def revoke_forwarded(self, message: ForwardRevoke) -> ForwardResult:
        """Revoke, on behalf of a peer, a ticket that was issued here."""
        result = self._calls.revoke(_parse_ticket(message.ticket))
        return ForwardResult(ticket=message.ticket, result=result)

    def _route(self, ticket: Ticket) -> Forward | RunLocally:
        route = route_ticket(
            ticket=ticket, fleet=self._fleet, instance=self._instance, peers=self._peers
        )
        if isinstance(route, Refusal):
            raise refusal_error(route)
        return route

    async def _run(self, body: CallBody, service: Service, deadline: float) -> bytes:
        ticket = _parse_ticket(body.ticket)
        route = self._route(ticket)
        if isinstance(route, Forward):
            return await self._forward(route.instance, ticket, body, service, deadline)
        return await self._calls.run(
            ticket, service=service, payload=body.payload, deadline=deadline
        )

    async def _forward(
        self,
        issuer: Instance,
        ticket: Ticket,
        body: CallBody,
        service: Service,
        deadline: float,
    ) -> bytes:
        time_left = deadline - self._clock.now()
        message = ForwardCall(
            ticket=body.ticket,
            service=service.name,
            payload=body.payload,
            time_left=time_left - _FORWARD_MARGIN,
        )
        return await self._ask_issuer(issuer, ticket, message, time_left)

    async def _ask_issuer(
        self,
        issuer: Instance,
        ticket: Ticket,
        message: ForwardCall | ForwardRevoke,
        seconds: float,
    ) -> bytes:
        self._metrics.counters.add("tickets", "forwarded")
        try:
            reply = await self._links.request(
                issuer.peer_address, message, timeout=seconds
            )
        except LinkError as error:
            raise refusal_error(unreachable_issuer(ticket)) from error
        if isinstance(reply, ForwardResult):
            return reply.result
        if isinstance(reply, ForwardRefusal):
            raise RequestRefused(
                reason=reply.reason,
                detail=reply.detail,
                execution=reply.execution,
                retry_after=reply.retry_after,
            )
        raise refusal_error(unreachable_issuer(ticket))

    def _service(self, name: str) -> Service:
        bundle = self._config.bundle
        if bundle is None:
            raise RequestRefused(
                reason=RefusalReason.NOT_READY,
                detail="no configuration is in force yet",
                retry_after=1.0,
            )
        service = bundle.services.get(name)
        if service is None or service.kind is not ServiceKind.CALLS:
            raise RequestRefused(
                reason=RefusalReason.UNKNOWN_SERVICE,
                detail=f"no call service {name!r} is in force",
            )
        return service

    def _service_for_ticket(self, name: str) -> Service:
        """Return the service; a refusal leaves the outcome of the ticket unknown."""
        try:
            return self._service(name)
        except RequestRefused as refusal:
            raise with_unknown_execution(refusal) from refusal

    def _log_refusal(self, refusal: RequestRefused, service: str) -> None:
        log_event(
            "call-refused",
            service=service,
            reason=refusal.reason,
            execution=refusal.execution,
            detail=refusal.detail,
        )


def _parse_ticket(text: str) -> Ticket:
    try:
        return decode_ticket(text)
    except TicketError as error:
        raise RequestRefused(
            reason=RefusalReason.TICKET_UNKNOWN, detail=str(error)
        ) from error
