"""Sends attempts to backend servers and classifies their results."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from math import isfinite

from absl.logging import exception as log_exception
from curio import CancelledError, TaskTimeout

from savorypond.clock import Clock
from savorypond.exceptions import BackendServerError, PoolExhausted
from savorypond.gateway.answer_framing import AnswerFraming
from savorypond.gateway.connection_pool import ConnectionPools
from savorypond.gateway.crash_reports import CrashReports
from savorypond.gateway.foreign_bytes import ForeignBytesHistory
from savorypond.gateway.headers import CONNECTION_HEADERS, HeaderNames
from savorypond.gateway.response_classifier import (
    AttemptOutcome,
    ForeignBytes,
    ResponseClassifier,
)
from savorypond.gateway.server_load import ServerLoadTracker
from savorypond.gateway.server_notices import ServerNotices
from savorypond.gateway.server_rate_limits import ServerRateLimits
from savorypond.gateway.servers import RegisteredServer
from savorypond.http.messages import Header, HttpRequest, HttpResponse
from savorypond.http.response_memory import ResponseMemory, ResponseReservation
from savorypond.http.response_parser import MAX_BODY_BYTES
from savorypond.logs import log_event
from savorypond.model import Counters
from savorypond.timeouts import timeout_after

_MILLISECONDS = 1000.0  # per second
# A server that runs a request and reports a failure has not crashed.
_RAN_OUTCOMES = frozenset(
    {AttemptOutcome.USABLE, AttemptOutcome.FAILED, AttemptOutcome.REJECTED}
)


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptResult:
    """The result of one attempt.

    :param problem: description of the failure, empty for a usable answer.
    :param response: the server's response to this request, if any.
    :param reservation: the memory that the response occupies; released by the receiver
        of the result.
    :param crashed: whether the server crashed before it had answered.
    """

    outcome: AttemptOutcome
    server: RegisteredServer
    crashed: bool = False
    problem: str = ""
    response: HttpResponse | None = None
    reservation: ResponseReservation | None = None

    @property
    def sent(self) -> bool:
        """Whether the server may have received the request."""
        return self.outcome not in (
            AttemptOutcome.NOT_SENT,
            AttemptOutcome.NO_CONNECTION,
            AttemptOutcome.ENDED,
            AttemptOutcome.WITHDRAWN,
        )

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have run the request, or may still run it."""
        return self.sent and self.outcome not in (
            AttemptOutcome.REFUSED,
            AttemptOutcome.MISDIRECTED,
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardedRequest:
    """A caller's request in the form that all attempts share.

    :param headers: headers that are the same for each attempt.
    :param caller_deadline: monotonic seconds until which the caller waits.
    :param route: name of the route, or "".
    :param is_part: whether a server's response is merged with those of other shards.
    :param max_response_bytes: maximum size of the body of a server's response.
    :param fingerprint: what requests that do the same to a server have in common.
    """

    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    request_id: str
    caller_deadline: float
    repeatable: bool
    route: str = ""
    is_part: bool = False
    max_response_bytes: int = MAX_BODY_BYTES
    fingerprint: bytes = b""


def forward_headers(request: HttpRequest, names: HeaderNames) -> tuple[Header, ...]:
    """Return the headers of ``request`` that are forwarded unchanged."""
    connection_tokens = request.header("connection") or ""
    dropped = {token.strip().lower() for token in connection_tokens.split(",")}
    dropped |= CONNECTION_HEADERS
    dropped |= {"expect", names.time_left, names.expected_server}
    if request.body:
        dropped.add("content-length")
    return tuple(h for h in request.headers if h.name not in dropped)


class AttemptRunner:
    """Sends attempts and records their results in the servers' load."""

    def __init__(
        self,
        *,
        names: HeaderNames,
        pools: ConnectionPools,
        loads: ServerLoadTracker,
        rate_limits: ServerRateLimits,
        notices: ServerNotices,
        memory: ResponseMemory,
        crashes: CrashReports,
        clock: Clock,
        counters: Counters,
    ) -> None:
        self._names = names
        self._crashes = crashes
        self._classifier = ResponseClassifier(names=names)
        self._foreign_bytes = ForeignBytesHistory()
        self._framing = AnswerFraming()
        self._memory = memory
        self._pools = pools
        self._loads = loads
        self._rate_limits = rate_limits
        self._notices = notices
        self._clock = clock
        self._counters = counters

    async def run(
        self,
        request: ForwardedRequest,
        server: RegisteredServer,
        *,
        mean_latency: float,
        is_wanted: Callable[[], bool],
    ) -> AttemptResult:
        """Send ``request`` to ``server`` and return the result.

        The attempt has been counted against the server's rate limit; if it is not
        sent, this is taken back.

        :param mean_latency: mean latency of the route in seconds.
        :param is_wanted: whether the request still goes on once there is a connection.
        """
        sent_at = self._clock.now()
        number = self._loads.begin(server, sent_at)
        try:
            async with timeout_after(
                max(0.0, request.caller_deadline - self._clock.now())
            ):
                result = await self._send(request, server, is_wanted)
            result = await self._observe_crash(request, result)
        except TaskTimeout:
            result = AttemptResult(
                outcome=AttemptOutcome.SILENT,
                server=server,
                problem="no answer in time",
            )
        except Exception as error:
            # Without a result the request would wait for it until its deadline.
            log_exception("attempt at server %s failed", server.name)
            result = AttemptResult(
                outcome=AttemptOutcome.BROKEN, server=server, problem=repr(error)
            )
        except CancelledError:
            now = self._clock.now()
            self._loads.record_abandoned(
                server, number, mean_latency=mean_latency, now=now
            )
            raise
        self._record(result, number, mean_latency)
        self._observe_rate_limit(result, sent_at)
        self._observe_notices(result)
        if not result.sent:
            self._rate_limits.record_unsent(server, self._clock.now())
        if result.outcome is AttemptOutcome.MISDIRECTED:
            await self._pools.close_idle_to(server)
        return result

    async def _send(
        self,
        request: ForwardedRequest,
        server: RegisteredServer,
        is_wanted: Callable[[], bool],
    ) -> AttemptResult:
        try:
            lease = await self._pools.lease(
                server, fresh=not request.repeatable, on_unread=self._record_unread
            )
        except PoolExhausted as error:
            return AttemptResult(
                outcome=AttemptOutcome.NO_CONNECTION, server=server, problem=str(error)
            )
        except BackendServerError as error:
            return AttemptResult(
                outcome=AttemptOutcome.NOT_SENT, server=server, problem=str(error)
            )
        reservation = ResponseReservation(memory=self._memory)
        try:
            async with lease as connection:
                if not is_wanted():
                    return AttemptResult(
                        outcome=AttemptOutcome.ENDED,
                        server=server,
                        problem="the request ended while connecting",
                    )
                if not self._notices.accepts(server, self._clock.now()):
                    return AttemptResult(
                        outcome=AttemptOutcome.WITHDRAWN,
                        server=server,
                        problem="the server asked for no requests while connecting",
                    )
                response = await connection.request(
                    self._encode(request, server),
                    max_body_bytes=request.max_response_bytes,
                    on_bytes=reservation.grow,
                )
                foreign = self._classifier.find_foreign_bytes(
                    response, request_id=request.request_id, reused=lease.reused
                )
                if foreign is not None:
                    self._record_foreign_bytes(
                        foreign, response, request, server, reused=lease.reused
                    )
                mismatch = self._classifier.mismatch(
                    response,
                    foreign,
                    doubted=self._is_doubted(request, response, server),
                )
                if mismatch is not None:
                    await connection.close(abort=True)
        except BackendServerError as error:
            reservation.release()
            outcome = AttemptOutcome.BROKEN if error.sent else AttemptOutcome.NOT_SENT
            return AttemptResult(outcome=outcome, server=server, problem=error.problem)
        except BaseException:
            reservation.release()
            raise
        if mismatch is not None:
            reservation.release()
            return AttemptResult(
                outcome=mismatch.outcome, server=server, problem=mismatch.problem
            )
        classification = self._classifier.classify(response, is_part=request.is_part)
        return AttemptResult(
            outcome=classification.outcome,
            server=server,
            problem=classification.problem,
            response=response,
            reservation=reservation,
        )

    async def _observe_crash(
        self, request: ForwardedRequest, result: AttemptResult
    ) -> AttemptResult:
        if result.outcome in _RAN_OUTCOMES:
            try:
                await self._crashes.record_answer(request.fingerprint, result.server)
            except BaseException:
                if result.reservation is not None:
                    result.reservation.release()
                raise
        if result.outcome is not AttemptOutcome.BROKEN:
            return result
        ended_at = self._clock.now()
        if not await self._crashes.has_crashed(result.server):
            return result
        await self._crashes.record_crash(
            request.fingerprint,
            result.server,
            request_id=request.request_id,
            path=request.path,
            ended_at=ended_at,
        )
        return replace(result, crashed=True)

    def _encode(
        self, request: ForwardedRequest, server: RegisteredServer
    ) -> HttpRequest:
        time_left = max(
            1, int((request.caller_deadline - self._clock.now()) * _MILLISECONDS)
        )
        added = (
            Header(name=self._names.time_left, value=str(time_left)),
            Header(name=self._names.expected_server, value=server.name),
        )
        return HttpRequest(
            method=request.method,
            path=request.path,
            headers=request.headers + added,
            body=request.body,
        )

    def _is_doubted(
        self,
        request: ForwardedRequest,
        response: HttpResponse,
        server: RegisteredServer,
    ) -> bool:
        """Return whether ``response`` must state where it ends."""
        is_odd = self._framing.is_odd(
            response, service=server.service, route=request.route
        )
        return is_odd or self._foreign_bytes.doubts(server, self._clock.now())

    def _record_unread(self, server: RegisteredServer) -> None:
        self._counters.add("gateway_foreign_bytes", ForeignBytes.WHILE_IDLE)
        self._foreign_bytes.record(server, self._clock.now())
        log_event("foreign-bytes", server=server.name, kind=ForeignBytes.WHILE_IDLE)

    def _record_foreign_bytes(
        self,
        kind: ForeignBytes,
        response: HttpResponse,
        request: ForwardedRequest,
        server: RegisteredServer,
        *,
        reused: bool,
    ) -> None:
        self._counters.add("gateway_foreign_bytes", kind)
        self._foreign_bytes.record(server, self._clock.now())
        log_event(
            "foreign-bytes",
            request=request.request_id,
            server=server.name,
            kind=kind,
            status=response.status,
            framed=response.framed,
            reused=reused,
        )

    def _observe_rate_limit(self, result: AttemptResult, sent_at: float) -> None:
        response, server = result.response, result.server
        if response is None or result.outcome is AttemptOutcome.MISDIRECTED:
            return
        text = response.header(self._names.rate_limit)
        rate = _parse_rate(text) if text is not None else None
        if text is not None and rate is None:
            self._counters.add("gateway_rate_limits", "unreadable")
            log_event("rate-limit-unreadable", server=server.name, value=text[:40])
            return
        if rate is None and response.header(self._names.signature) is None:
            return  # only signed answers are known to be complete
        self._rate_limits.observe(server, rate, sent_at=sent_at, now=self._clock.now())

    def _observe_notices(self, result: AttemptResult) -> None:
        response, server = result.response, result.server
        if response is None or result.outcome is AttemptOutcome.MISDIRECTED:
            return
        if (
            result.outcome is AttemptOutcome.FOREIGN
            and response.header(self._names.request_id) is None
        ):
            return  # neither an id nor a signature shows whose answer it is
        self._notices.observe(server, response, self._clock.now())

    def _record(self, result: AttemptResult, number: int, mean_latency: float) -> None:
        self._counters.add("gateway_attempts", result.outcome)
        now = self._clock.now()
        server = result.server
        if result.outcome is AttemptOutcome.USABLE:
            self._loads.record_answer(
                server, number, mean_latency=mean_latency, now=now
            )
        elif result.outcome in (AttemptOutcome.REFUSED, AttemptOutcome.UNIDENTIFIED):
            # A server that is full may not repeat the id of what it refuses.
            self._loads.record_refusal(server, number, now=now)
        elif result.crashed:
            # The request may be at fault; the server may be back in a moment.
            self._loads.record_crash(server, number, now=now)
        elif result.outcome in (AttemptOutcome.REJECTED, AttemptOutcome.OVERLAPPED):
            # A server may echo a caller's text that reads like an answer.
            self._loads.record_rejection(server, number, now=now)
        elif not result.sent and result.outcome is not AttemptOutcome.NOT_SENT:
            # What kept the attempt from being sent tells nothing of the server's load.
            self._loads.forget(server, number, now=now)
        else:
            unreachable = result.outcome in (
                AttemptOutcome.NOT_SENT,
                AttemptOutcome.MISDIRECTED,
            )
            self._loads.record_failure(server, number, unreachable=unreachable, now=now)


def _parse_rate(text: str) -> float | None:
    """Return the requests a second in ``text``, or None if it is not a valid rate."""
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if isfinite(rate) and rate >= 0.0 else None
