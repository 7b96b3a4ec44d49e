"""Server side of one HTTP/1.1 connection: reads requests, writes responses."""

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from select import POLLIN, poll
from typing import Any

from curio import (
    Event,
    TaskTimeout,
)
from h11 import (
    CLIENT,
    CLOSED,
    DONE,
    ERROR,
    IDLE,
    MUST_CLOSE,
    NEED_DATA,
    PAUSED,
    SEND_RESPONSE,
    SERVER,
    Connection,
    ConnectionClosed,
    Data,
    EndOfMessage,
    InformationalResponse,
    LocalProtocolError,
    RemoteProtocolError,
    Request,
    Response,
)

from savorypond.exceptions import RequestRefused, ResponseError
from savorypond.http.messages import (
    Header as HttpHeader,
    HttpRequest,
    HttpResponse,
)
from savorypond.http.tcp_info import tcp_times
from savorypond.reasons import RefusalReason
from savorypond.timeouts import timeout_after

_RECEIVE_BYTES = 65536
_MAX_READ_AHEAD = 65536  # bytes buffered while the current request is handled
_LINGER_TIMEOUT = 0.2  # seconds for the client to read an error response


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpLimits:
    """Limits that a server enforces on its clients.

    :param header_bytes: maximum size of the request line and headers together.
    :param body_bytes: maximum size of a request body.
    :param receive_time: seconds within which a request must arrive completely.
    :param idle_time: seconds that a connection may stay idle between requests.
    :param connections_per_peer: maximum number of open connections per IP address.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 1024 * 1024
    receive_time: float = 5.0
    idle_time: float = 75.0
    connections_per_peer: int = 256


class HttpChannel:
    """One accepted connection and its h11 state.

    :param limits: returns the limits in force, which may change at run time.
    """

    def __init__(
        self,
        *,
        sock: Any,
        peer: str,
        connection_id: int,
        limits: Callable[[], HttpLimits],
    ) -> None:
        self._sock = sock
        self._peer = peer
        self._connection_id = connection_id
        self._limits = limits
        self._omit_body = False
        # Before its first request, the client also spent a round trip on connecting.
        self._network_delay = 2.0 * tcp_times(sock).round_trip
        self._http = self._new_connection()

    async def wait_first_byte(self) -> bool:
        """Wait for the next request; return False on idle time-out or disconnect."""
        if self._http.our_state in (CLOSED, MUST_CLOSE, ERROR):
            return False
        if self._skip_empty_lines():
            return True
        try:
            async with timeout_after(self._limits().idle_time):
                while data := await self._sock.recv(_RECEIVE_BYTES):
                    self._http.receive_data(data)
                    if self._skip_empty_lines():
                        return True
        except TaskTimeout:
            pass
        return False

    def _skip_empty_lines(self) -> bool:
        """Skip empty lines before a request; return whether other input is buffered.

        h11 refuses them, and some clients send one behind a body (RFC 9112, section
        2.2). Such a refusal would be taken for the response to the next request.
        """
        received, has_ended = self._http.trailing_data
        if received[:1] not in (b"\r", b"\n"):
            return bool(received)
        self._http = self._new_connection()
        request = received.lstrip(b"\r\n")
        if request:
            self._http.receive_data(request)
        if has_ended:
            self._http.receive_data(b"")
        return bool(request)

    def _new_connection(self) -> Connection:
        max_head_bytes = self._limits().header_bytes
        return Connection(SERVER, max_incomplete_event_size=max_head_bytes)

    def has_input(self) -> bool:
        """Return whether bytes of the client, or its disconnect, wait to be read."""
        if self._sock.fileno() < 0:
            return False
        poller = poll()
        poller.register(self._sock.fileno(), POLLIN)
        return bool(poller.poll(0))

    async def has_disconnected(self) -> bool:
        """Return whether the client has closed the connection, without waiting."""
        while self._may_read_ahead() and self.has_input():
            if not await self._read_ahead():
                return True
        return False

    async def wait_disconnect(self) -> None:
        """Return once the client has closed the connection.

        Data received meanwhile is buffered for the next request. After more than
        ``_MAX_READ_AHEAD`` bytes, reading stops and a disconnect goes unnoticed.
        """
        while self._may_read_ahead():
            if not await self._read_ahead():
                return
        await Event().wait()

    def _may_read_ahead(self) -> bool:
        return len(self._http.trailing_data[0]) <= _MAX_READ_AHEAD

    async def _read_ahead(self) -> bool:
        """Buffer input for the next request; return False after a disconnect."""
        try:
            data = await self._sock.recv(_RECEIVE_BYTES)
        except OSError:
            return False
        self._http.receive_data(data)
        return bool(data)

    async def receive(self) -> HttpRequest | None:
        """Return the next request, or None if the client closed the connection.

        :raises RequestRefused: the request violates a limit or the protocol.
        """
        limits = self._limits()
        try:
            async with timeout_after(limits.receive_time):
                return await self._receive_request(limits)
        except TaskTimeout as error:
            raise RequestRefused(
                reason=RefusalReason.TOO_SLOW,
                detail=f"request incomplete after {limits.receive_time} s",
            ) from error
        except RemoteProtocolError as error:
            raise _protocol_refusal(error) from error

    async def _receive_request(self, limits: HttpLimits) -> HttpRequest | None:
        head: Request | None = None
        body = bytearray()
        self._omit_body = False
        while True:
            event = self._http.next_event()
            if event is NEED_DATA:
                await self._send_continue()
                self._http.receive_data(await self._sock.recv(_RECEIVE_BYTES))
            elif isinstance(event, Request):
                head = event
                self._omit_body = head.method == b"HEAD"
                _check_version(event)
                _check_head_size(event, limits.header_bytes)
                _check_framing(event)
                _check_declared_length(event, limits.body_bytes)
            elif isinstance(event, Data):
                body += event.data
                if len(body) > limits.body_bytes:
                    raise _body_refusal(limits.body_bytes)
            elif isinstance(event, EndOfMessage) and head is not None:
                return self._build_request(head, bytes(body))
            elif isinstance(event, ConnectionClosed) or event is PAUSED:
                return None

    def _build_request(self, head: Request, body: bytes) -> HttpRequest:
        headers = tuple(
            HttpHeader(name=name.decode("ascii"), value=value.decode("latin-1"))
            for name, value in head.headers
        )
        times = tcp_times(self._sock)
        network_delay, self._network_delay = self._network_delay, times.round_trip
        return HttpRequest(
            method=head.method.decode("ascii"),
            path=head.target.decode("latin-1"),
            headers=headers,
            body=body,
            peer=self._peer,
            connection_id=self._connection_id,
            network_delay=network_delay,
            unread_time=times.since_data,
        )

    async def _send_continue(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            informational = InformationalResponse(status_code=100, headers=[])
            await self._sock.sendall(self._http.send(informational))

    async def send(self, response: HttpResponse, *, close: bool) -> bool:
        """Send ``response``; return whether the connection can be reused.

        :raises ResponseError: the response is not valid, and nothing was sent of it.
        """
        if self._http.our_state not in (IDLE, SEND_RESPONSE):
            return False
        head = response_head(response, close=close)
        data = self._http.send(head) or b""
        if not self._omit_body:
            data += self._http.send(Data(data=response.body)) or b""
        data += self._http.send(EndOfMessage()) or b""
        await self._sock.sendall(data)
        if self._http.states != {CLIENT: DONE, SERVER: DONE}:
            return False
        self._http.start_next_cycle()
        return True

    async def linger(self) -> None:
        """Shut down sending and discard input until the client closes.

        Closing with unread input would reset the connection, and the client could
        lose the response.
        """
        with suppress(TaskTimeout, OSError):
            async with timeout_after(_LINGER_TIMEOUT):
                await self._sock.shutdown(1)
                while await self._sock.recv(_RECEIVE_BYTES):
                    pass


def response_head(response: HttpResponse, *, close: bool) -> Response:
    """Return the h11 event for ``response``; raise ResponseError if it is not valid.

    Values are sent as bytes, because those of other servers may hold any byte from 0x80
    on (RFC 9110, section 5.5).
    """
    headers = [(h.name, h.value) for h in response.headers]
    headers.append(("content-length", str(len(response.body))))
    if close:
        headers.append(("connection", "close"))
    try:
        return Response(
            status_code=response.status,
            headers=[(n.encode("ascii"), v.encode("latin-1")) for n, v in headers],
        )
    except (LocalProtocolError, UnicodeEncodeError) as error:
        problem = f"response with status {response.status} cannot be sent: {error}"
        raise ResponseError(problem=problem) from error


def _check_version(head: Request) -> None:
    """Refuse other major versions; h11 accepts any version number."""
    if not head.http_version.startswith(b"1."):
        version = head.http_version.decode("ascii")
        raise RequestRefused(
            reason=RefusalReason.UNSUPPORTED_VERSION,
            detail=f"HTTP/{version} is not supported",
        )


def _check_head_size(head: Request, max_bytes: int) -> None:
    """Limit the size of a complete head; h11 limits only incomplete ones."""
    size = len(head.method) + len(head.target)
    size += sum(len(name) + len(value) for name, value in head.headers)
    if size > max_bytes:
        raise RequestRefused(
            reason=RefusalReason.TOO_LARGE, detail=f"headers exceed {max_bytes} bytes"
        )


def _check_declared_length(head: Request, max_bytes: int) -> None:
    for name, value in head.headers:
        if name == b"content-length" and int(value) > max_bytes:
            raise _body_refusal(max_bytes)


def _check_framing(head: Request) -> None:
    """Refuse ambiguous message framing, which allows request smuggling."""
    names = {name for name, _ in head.headers}
    if b"content-length" in names and b"transfer-encoding" in names:
        raise RequestRefused(
            reason=RefusalReason.MALFORMED,
            detail="request has both content-length and transfer-encoding",
        )


def _body_refusal(max_bytes: int) -> RequestRefused:
    return RequestRefused(
        reason=RefusalReason.TOO_LARGE, detail=f"body exceeds {max_bytes} bytes"
    )


def _protocol_refusal(error: RemoteProtocolError) -> RequestRefused:
    too_large = error.error_status_hint == 431
    reason = RefusalReason.TOO_LARGE if too_large else RefusalReason.MALFORMED
    return RequestRefused(reason=reason, detail=f"invalid HTTP/1.1 request: {error}")
