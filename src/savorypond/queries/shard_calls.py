"""Sends attempts to backend servers and reports their outcome."""

from dataclasses import dataclass
from math import isfinite
from typing import Any, Protocol, Self

from absl.logging import exception as log_exception
from curio import CancelledError, sleep, spawn
from msgspec import Struct
from msgspec.json import encode

from savorypond.balancing.limiter import SlotOutcome
from savorypond.clock import Clock
from savorypond.controllers.backend_servers import BackendServers
from savorypond.controllers.connections import ConnectionLease, ServerConnections
from savorypond.controllers.slots import Slot, SlotRefused
from savorypond.exceptions import BackendServerError, WireError
from savorypond.http.messages import Header, HttpRequest, HttpResponse
from savorypond.model import Counters, Pin, Query
from savorypond.queries.attempts import Attempt, AttemptFailure, FailureKind
from savorypond.queries.partials import (
    ServerAnswer,
    decode_answer,
    decode_not_held,
    is_shed,
    names_other_request,
)
from savorypond.reasons import CancelReason

SEARCH_PATH = "/v1/search"
CANCEL_PATH = "/v1/requests/"
_JSON = Header(name="content-type", value="application/json")
_MS_PER_SECOND = 1000.0
_CANCEL_TIMEOUT = 0.05  # seconds to connect for a cancellation, and to send it
_LATE_GRACE = 0.01  # seconds after the deadline for which answers are still read
_DRAIN_POLL_INTERVAL = 0.005  # seconds


class _Search(Struct, kw_only=True):
    """The body of a search request; ``query`` may already be encoded."""

    request_id: str
    snapshot: int
    layout: int
    shards: list[str]
    query: object
    time_left_ms: float


class AttemptEvents(Protocol):
    """Receives the events of attempts."""

    async def dispatched(self, attempt: Attempt) -> None:
        """Handle that ``attempt`` got a slot and is about to be written."""

    async def answered(self, attempt: Attempt, answer: ServerAnswer) -> None:
        """Handle the answer to ``attempt``."""

    async def failed(self, attempt: Attempt, failure: AttemptFailure) -> None:
        """Handle the end of ``attempt`` without an answer."""


class ConnectionSource(Protocol):
    """Looks up the connections to a backend server."""

    def connections(self, server: str) -> ServerConnections | None:
        """Return the connections to ``server``, or None if it is not configured."""


@dataclass(slots=True, kw_only=True, eq=False)
class RunningCall:
    """A handle on a started attempt.

    :param sent: whether the request is being or has been written.
    :param cancelled: why the attempt was cancelled, or None.
    """

    attempt: Attempt
    task: Any = None
    sent: bool = False
    cancelled: CancelReason | None = None


class ShardCaller:
    """Runs attempts as tasks that may outlive their query.

    A cancelled attempt that was already sent continues until the backend server
    ends it. This keeps the connection reusable and counts the slot as used until
    the server has released it.
    """

    def __init__(
        self,
        *,
        servers: BackendServers,
        connections: ConnectionSource,
        clock: Clock,
        counters: Counters,
    ) -> None:
        self._servers = servers
        self._connections = connections
        self._clock = clock
        self._counters = counters
        self._running: set[Any] = set()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *reason: object) -> None:
        for task in list(self._running):
            await task.cancel()

    async def drain(self) -> None:
        """Wait until no attempt is running."""
        while self._running:
            await sleep(_DRAIN_POLL_INTERVAL)

    async def start(
        self, attempt: Attempt, *, query: Query, deadline: float, events: AttemptEvents
    ) -> RunningCall:
        """Start ``attempt`` and return a handle for cancelling it."""
        call = RunningCall(attempt=attempt)
        call.task = await spawn(self._run, call, query, deadline, events, daemon=True)
        self._running.add(call.task)
        return call

    async def cancel(
        self, call: RunningCall, *, query: Query, reason: CancelReason
    ) -> None:
        """Remove ``call`` from the slot queue, or cancel it at the backend server."""
        if call.cancelled is not None:
            return
        call.cancelled = reason
        if not call.sent:
            await call.task.cancel(blocking=False)
            return
        self._counters.add("cancels_sent", reason)
        await spawn(self._send_cancel, call, query, daemon=True)

    async def _run(
        self, call: RunningCall, query: Query, deadline: float, events: AttemptEvents
    ) -> None:
        try:
            await self._attempt(call, query, deadline, events)
        except CancelledError:
            raise
        except Exception:
            log_exception("attempt at server %s failed", call.attempt.server.name)
            await events.failed(
                call.attempt, AttemptFailure(kind=FailureKind.CONNECTION_FAILED)
            )
        finally:
            self._running.discard(call.task)

    async def _attempt(
        self, call: RunningCall, query: Query, deadline: float, events: AttemptEvents
    ) -> None:
        attempt = call.attempt
        known = self._servers.known.get(attempt.server.name)
        connections = self._connections.connections(attempt.server.name)
        if known is None or connections is None:
            failure = AttemptFailure(kind=FailureKind.CONNECTION_FAILED, not_run=True)
            await events.failed(attempt, failure)
            return
        try:
            slot = await known.slot_pool.acquire(
                priority=query.priority, deadline=deadline
            )
        except SlotRefused as refused:
            failure = AttemptFailure(
                kind=FailureKind.OVERLOADED,
                not_run=True,
                retry_after=refused.retry_after,
            )
            await events.failed(attempt, failure)
            return
        async with slot:
            await self._send(call, query, deadline, events, slot, connections)

    async def _send(
        self,
        call: RunningCall,
        query: Query,
        deadline: float,
        events: AttemptEvents,
        slot: Slot,
        connections: ServerConnections,
    ) -> None:
        attempt = call.attempt
        stats = self._servers.stats(attempt.server.name)
        started = self._clock.now()
        stats.started(attempt=call, now=started)
        try:
            wait = deadline - started
            async with await connections.lease(seconds=wait) as lease:
                response = await self._exchange(call, query, deadline, events, lease)
                if call.cancelled is None:
                    result = _read_response(
                        response, attempt.server.name, query.request_id
                    )
                    if not _is_result_of(result, query.request_id):
                        lease.discard()
        except BackendServerError as error:
            stats.finished(attempt=call, now=self._clock.now(), ok=False)
            if call.cancelled is None:
                self._servers.record_failure(server=attempt.server.name)
            await events.failed(attempt, _connection_failure(error))
            return
        except BaseException:
            stats.cancelled(attempt=call, now=self._clock.now())
            raise
        seconds = self._clock.now() - started
        ok = response.status == 200
        stats.finished(attempt=call, now=self._clock.now(), ok=ok)
        slot.set_outcome(_slot_outcome(call, response))
        self._servers.record_response(server=attempt.server.name, response=response)
        if call.cancelled is None:
            await self._report(attempt, result, seconds, events)
        elif call.cancelled is CancelReason.LOST_RACE:
            self._servers.record_cancelled(server=attempt.server.name, seconds=seconds)

    async def _exchange(
        self,
        call: RunningCall,
        query: Query,
        deadline: float,
        events: AttemptEvents,
        lease: ConnectionLease,
    ) -> HttpResponse:
        now = self._clock.now()
        request = _search_request(call.attempt, query, deadline - now)
        call.sent = True
        await events.dispatched(call.attempt)
        return await lease.request(request, seconds=deadline - now + _LATE_GRACE)

    async def _report(
        self,
        attempt: Attempt,
        result: ServerAnswer | AttemptFailure,
        seconds: float,
        events: AttemptEvents,
    ) -> None:
        server = attempt.server.name
        if isinstance(result, ServerAnswer):
            self._record_answer(attempt, result, seconds)
            await events.answered(attempt, result)
            return
        if result.kind is FailureKind.SNAPSHOT_NOT_HELD:
            self._servers.record_refusal(
                service=attempt.service,
                server=server,
                pin=attempt.pin,
                held=result.held,
            )
        elif result.kind is not FailureKind.SHED:
            self._servers.record_failure(server=server)
        await events.failed(attempt, result)

    def _record_answer(
        self, attempt: Attempt, answer: ServerAnswer, seconds: float
    ) -> None:
        pin = Pin(snapshot=answer.snapshot, layout=answer.layout)
        if pin != attempt.pin:
            return
        server = attempt.server.name
        shards = frozenset(p.shard for p in answer.partials) & attempt.shards
        self._servers.record_answer(
            service=attempt.service, server=server, pin=pin, shards=shards
        )
        self._servers.record_success(server=server, seconds=seconds)

    async def _send_cancel(self, call: RunningCall, query: Query) -> None:
        server = call.attempt.server.name
        connections = self._connections.connections(server)
        if connections is None:
            return
        request = HttpRequest(method="DELETE", path=CANCEL_PATH + query.request_id)
        try:
            async with await connections.lease(seconds=_CANCEL_TIMEOUT) as lease:
                await lease.request(request, seconds=_CANCEL_TIMEOUT)
        except BackendServerError:
            self._counters.add("cancels_failed", "connection")


def _search_request(attempt: Attempt, query: Query, time_left: float) -> HttpRequest:
    milliseconds = round(time_left * _MS_PER_SECOND, 3)
    body = encode(
        _Search(
            request_id=query.request_id,
            snapshot=attempt.pin.snapshot,
            layout=attempt.pin.layout,
            shards=sorted(attempt.shards),
            query=query.body,
            time_left_ms=milliseconds,
        )
    )
    return HttpRequest(method="POST", path=SEARCH_PATH, headers=(_JSON,), body=body)


def _connection_failure(error: BackendServerError) -> AttemptFailure:
    timed_out = error.problem == "timed out"
    kind = FailureKind.TIMED_OUT if timed_out else FailureKind.CONNECTION_FAILED
    return AttemptFailure(kind=kind, not_run=not error.sent)


def _read_response(
    response: HttpResponse, server: str, request_id: str
) -> ServerAnswer | AttemptFailure:
    if response.status != 200:
        return refusal_failure(response, server, request_id)
    try:
        return decode_answer(response.body, server=server)
    except WireError:
        return AttemptFailure(kind=FailureKind.INVALID_ANSWER)


def _is_result_of(result: ServerAnswer | AttemptFailure, request_id: str) -> bool:
    """Return whether ``result`` may be that of ``request_id``."""
    if isinstance(result, ServerAnswer):
        return result.request_id == request_id
    return result.kind is not FailureKind.INVALID_ANSWER


def refusal_failure(
    response: HttpResponse, server: str, request_id: str
) -> AttemptFailure:
    """Return how an attempt failed that ``server`` answered with an error status."""
    if names_other_request(response.body, request_id=request_id):
        return AttemptFailure(kind=FailureKind.INVALID_ANSWER)
    if response.status == 503 and is_shed(response.body):
        return AttemptFailure(
            kind=FailureKind.SHED, not_run=True, retry_after=_retry_after(response)
        )
    if response.status == 409:
        try:
            held = decode_not_held(response.body, server=server)
        except WireError:
            return AttemptFailure(kind=FailureKind.INVALID_ANSWER)
        return AttemptFailure(
            kind=FailureKind.SNAPSHOT_NOT_HELD, not_run=True, held=held
        )
    return AttemptFailure(kind=FailureKind.INVALID_ANSWER)


def _retry_after(response: HttpResponse) -> float | None:
    """Return the seconds in the Retry-After header; None without a usable number."""
    try:
        seconds = float(response.header("retry-after") or "")
    except ValueError:
        return None
    return seconds if isfinite(seconds) and seconds >= 0.0 else None


def _slot_outcome(call: RunningCall, response: HttpResponse) -> SlotOutcome:
    if call.cancelled is not None:
        return SlotOutcome.CANCELLED
    if response.status == 200:
        return SlotOutcome.SUCCESS
    if response.status == 503 and is_shed(response.body):
        return SlotOutcome.SHED
    return SlotOutcome.FAILED
