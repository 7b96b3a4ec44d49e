"""The slot and the connection of one non-idempotent call, and its HTTP request."""

from dataclasses import dataclass

from msgspec import DecodeError, Raw, Struct
from msgspec.json import Decoder, encode

from savorypond.balancing.limiter import SlotOutcome
from savorypond.balancing.pool import ConnectionOutcome
from savorypond.calls.events import (
    Acquired,
    ConnectionLost,
    Event,
    NotAcquired,
    Probed,
    ReportedNotRun,
    Result,
    Tick,
)
from savorypond.clock import Clock
from savorypond.controllers.backend_servers import BackendServers
from savorypond.controllers.connections import ConnectionLease
from savorypond.controllers.slots import Slot, SlotRefused
from savorypond.exceptions import BackendServerError
from savorypond.http.messages import Header, HttpRequest, HttpResponse
from savorypond.model import Pin, Service
from savorypond.protocols import Purpose
from savorypond.queries.partials import is_shed_of
from savorypond.queries.shard_calls import ConnectionSource

CALLS_PATH = "/v1/calls"
_NO_PIN = Pin(snapshot=0, layout=0)
_JSON = Header(name="content-type", value="application/json")
_MS_PER_SECOND = 1000.0
_SLOT_OUTCOMES = {
    ConnectionOutcome.ANSWERED: SlotOutcome.SUCCESS,
    ConnectionOutcome.UNUSED: SlotOutcome.CANCELLED,
    ConnectionOutcome.CLOSED: SlotOutcome.FAILED,
    ConnectionOutcome.TIMED_OUT: SlotOutcome.FAILED,
}


class CallAnswer(Struct, frozen=True, kw_only=True):
    """The body of a backend server's answer to a call."""

    request_id: str
    result: Raw


@dataclass(frozen=True, slots=True, kw_only=True)
class CallRequest:
    """One call as it is sent to a backend server.

    :param deadline: monotonic seconds.
    """

    request_id: str
    service: Service
    payload: object
    deadline: float


_decoder = Decoder(CallAnswer)


class CallConnection:
    """The slot and the connection that one call holds, if any."""

    def __init__(
        self,
        *,
        request: CallRequest,
        servers: BackendServers,
        connections: ConnectionSource,
        clock: Clock,
    ) -> None:
        self._request = request
        self._servers = servers
        self._connections = connections
        self._clock = clock
        self._server = ""
        self._slot: Slot | None = None
        self._lease: ConnectionLease | None = None
        self._started_at = 0.0

    async def acquire(self, tried: frozenset[str]) -> Event:
        """Acquire a slot and a recently verified connection."""
        request = self._request
        server = self._servers.chooser.choose(
            service=request.service,
            pin=_NO_PIN,
            tried=tried,
            now=self._clock.now(),
            purpose=Purpose.RETRY if tried else Purpose.FIRST,
        )
        if server is None:
            return NotAcquired(server="")
        known = self._servers.known.get(server.name)
        connections = self._connections.connections(server.name)
        if known is None or connections is None:
            return NotAcquired(server=server.name)
        self._server = server.name
        try:
            self._slot = await known.slot_pool.acquire(
                priority=request.service.priority, deadline=request.deadline
            )
            self._lease = await connections.lease(
                seconds=self._time_left(), verified=True
            )
        except SlotRefused as refused:
            await self._release_slot(SlotOutcome.CANCELLED)
            return NotAcquired(server=server.name, retry_after=refused.retry_after)
        except BackendServerError:
            await self._release_slot(SlotOutcome.FAILED)
            self._servers.record_failure(server=server.name)
            return NotAcquired(server=server.name)
        return Acquired(server=server.name, verified=self._lease.verified)

    async def probe(self) -> Event:
        """Send a harmless request on the connection to see if it is alive."""
        assert self._lease is not None
        return Probed(alive=await self._lease.probe())

    async def write(self, time_left: float) -> Event:
        """Send the call and wait for its answer, until the deadline."""
        assert self._lease is not None
        self._started_at = self._clock.now()
        stats = self._servers.stats(self._server)
        stats.started(attempt=self, now=self._started_at)
        try:
            response = await self._lease.request(
                self._make_request(time_left), seconds=time_left
            )
        except BackendServerError:
            stats.finished(attempt=self, now=self._clock.now(), ok=False)
            self._servers.record_failure(server=self._server)
            return Tick() if self._time_left() <= 0.0 else ConnectionLost()
        seconds = self._clock.now() - self._started_at
        ok = response.status == 200
        stats.finished(attempt=self, now=self._clock.now(), ok=ok)
        self._servers.record_response(server=self._server, response=response)
        return self._read(response, seconds, reused=self._lease.was_reused)

    async def release(self, outcome: ConnectionOutcome) -> None:
        """Release the connection and the slot."""
        lease, self._lease = self._lease, None
        if lease is not None:
            await lease.release(outcome)
        await self._release_slot(_SLOT_OUTCOMES[outcome])

    async def close(self) -> None:
        """Release what is still held, for instance after a cancellation."""
        if self._lease is not None or self._slot is not None:
            await self.release(ConnectionOutcome.CLOSED)

    def _read(self, response: HttpResponse, seconds: float, *, reused: bool) -> Event:
        request_id = self._request.request_id
        if response.status == 503 and is_shed_of(
            response.body, request_id=request_id, reused=reused
        ):
            return ReportedNotRun()
        if response.status != 200:
            self._servers.record_failure(server=self._server)
            return ConnectionLost()
        try:
            answer = _decoder.decode(response.body)
        except DecodeError:
            return ConnectionLost()
        if answer.request_id != request_id:
            return ConnectionLost()
        self._servers.record_success(server=self._server, seconds=seconds)
        return Result(result=bytes(answer.result))

    def _make_request(self, time_left: float) -> HttpRequest:
        request = self._request
        milliseconds = round(time_left * _MS_PER_SECOND, 3)
        body = encode(
            {
                "request_id": request.request_id,
                "payload": request.payload,
                "time_left_ms": milliseconds,
            }
        )
        return HttpRequest(method="POST", path=CALLS_PATH, headers=(_JSON,), body=body)

    async def _release_slot(self, outcome: SlotOutcome) -> None:
        slot, self._slot = self._slot, None
        if slot is not None:
            slot.set_outcome(outcome)
            await slot.release()

    def _time_left(self) -> float:
        return max(self._request.deadline - self._clock.now(), 0.0)
