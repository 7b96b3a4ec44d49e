"""One accepted HTTP/1.1 connection: reads whole requests, writes responses."""

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from curio import (
    Event,
    TaskTimeout,
    timeout_after,
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
    RemoteProtocolError,
    Request,
    Response,
)

from savorypond.exceptions import RequestRefused
from savorypond.http.messages import (
    Header as HttpHeader,
    HttpRequest,
    HttpResponse,
)
from savorypond.http.tcp_info import round_trip_time
from savorypond.reasons import RefusalReason

_RECEIVE_BYTES = 65536
_MOST_READ_AHEAD = 65536  # bytes that a caller may send before it has its answer
_CLOSE_GRACE = 0.2  # seconds in which the other end may still read an error


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpLimits:
    """What one server accepts.

    :param header_bytes: size of the request line and headers together.
    :param body_bytes: size of a request's body.
    :param receive_time: seconds in which a request must have arrived in whole.
    :param idle_time: seconds that a connection may wait for its next request.
    :param connections_per_peer: open connections per IP number.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 1024 * 1024
    receive_time: float = 5.0
    idle_time: float = 75.0
    connections_per_peer: int = 256


class HttpChannel:
    """One accepted connection and its h11 state.

    :param limits: returns the limits in force; they may change meanwhile.
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
        self._bodiless = False
        # Opening the connection took the client a round trip before its request.
        self._network_delay = 2.0 * round_trip_time(sock)
        self._http = Connection(SERVER, max_incomplete_event_size=limits().header_bytes)

    async def wait_first_byte(self) -> bool:
        """Wait for the next request to begin; False where none will."""
        if self._http.our_state in (CLOSED, MUST_CLOSE, ERROR):
            return False
        if self._http.trailing_data[0]:
            return True
        try:
            async with timeout_after(self._limits().idle_time):
                data = await self._sock.recv(_RECEIVE_BYTES)
        except TaskTimeout:
            return False
        self._http.receive_data(data)
        return bool(data)

    async def wait_departure(self) -> None:
        """Return once the other end has closed the connection.

        What it sends meanwhile is kept for the next request.
        """
        ahead = len(self._http.trailing_data[0])
        with suppress(OSError):
            while ahead <= _MOST_READ_AHEAD:
                data = await self._sock.recv(_RECEIVE_BYTES)
                self._http.receive_data(data)
                if not data:
                    return
                ahead += len(data)
            await Event().wait()

    async def receive(self) -> HttpRequest | None:
        """Return the next whole request, or None where the other end left.

        Raises RequestRefused where it breaks a limit or the protocol.
        """
        limits = self._limits()
        try:
            async with timeout_after(limits.receive_time):
                return await self._receive_request(limits)
        except TaskTimeout as error:
            raise RequestRefused(
                reason=RefusalReason.TOO_SLOW,
                detail=f"request not whole after {limits.receive_time} s",
            ) from error
        except RemoteProtocolError as error:
            raise _malformed(error) from error

    async def _receive_request(self, limits: HttpLimits) -> HttpRequest | None:
        head: Request | None = None
        body = bytearray()
        while True:
            event = self._http.next_event()
            if event is NEED_DATA:
                await self._send_continue()
                self._http.receive_data(await self._sock.recv(_RECEIVE_BYTES))
            elif isinstance(event, Request):
                head = event
                _check_head_size(event, limits.header_bytes)
                _check_framing(event)
                _check_declared_length(event, limits.body_bytes)
            elif isinstance(event, Data):
                body += event.data
                if len(body) > limits.body_bytes:
                    raise _body_too_large(limits.body_bytes)
            elif isinstance(event, EndOfMessage) and head is not None:
                return self._build_request(head, bytes(body))
            elif isinstance(event, ConnectionClosed) or event is PAUSED:
                return None

    def _build_request(self, head: Request, body: bytes) -> HttpRequest:
        headers = tuple(
            HttpHeader(name=name.decode("ascii"), value=value.decode("latin-1"))
            for name, value in head.headers
        )
        self._bodiless = head.method == b"HEAD"
        network_delay, self._network_delay = (
            self._network_delay,
            round_trip_time(self._sock),
        )
        return HttpRequest(
            method=head.method.decode("ascii"),
            path=head.target.decode("latin-1"),
            headers=headers,
            body=body,
            peer=self._peer,
            connection_id=self._connection_id,
            network_delay=network_delay,
        )

    async def _send_continue(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            go_on = InformationalResponse(status_code=100, headers=[])
            await self._sock.sendall(self._http.send(go_on))

    async def send(self, response: HttpResponse, *, close: bool) -> bool:
        """Send ``response``; return whether another request may follow."""
        if self._http.our_state not in (IDLE, SEND_RESPONSE):
            return False
        headers = [(h.name, h.value) for h in response.headers]
        headers.append(("content-length", str(len(response.body))))
        if close:
            headers.append(("connection", "close"))
        head = Response(status_code=response.status, headers=headers)
        data = self._http.send(head) or b""
        if not self._bodiless:
            data += self._http.send(Data(data=response.body)) or b""
        data += self._http.send(EndOfMessage()) or b""
        await self._sock.sendall(data)
        if self._http.states != {CLIENT: DONE, SERVER: DONE}:
            return False
        self._http.start_next_cycle()
        return True

    async def linger(self) -> None:
        """Read on for a moment, so that closing does not cut off the answer."""
        with suppress(TaskTimeout, OSError):
            async with timeout_after(_CLOSE_GRACE):
                await self._sock.shutdown(1)
                while await self._sock.recv(_RECEIVE_BYTES):
                    pass


def _check_head_size(head: Request, most: int) -> None:
    """Bound a head that came whole; h11 only bounds one that it waits for."""
    size = len(head.method) + len(head.target)
    size += sum(len(name) + len(value) for name, value in head.headers)
    if size > most:
        raise RequestRefused(
            reason=RefusalReason.TOO_LARGE, detail=f"headers exceed {most} bytes"
        )


def _check_declared_length(head: Request, most: int) -> None:
    for name, value in head.headers:
        if name == b"content-length" and int(value) > most:
            raise _body_too_large(most)


def _check_framing(head: Request) -> None:
    """Refuse what two readers may split into requests in two ways."""
    names = {name for name, _ in head.headers}
    if b"content-length" in names and b"transfer-encoding" in names:
        raise RequestRefused(
            reason=RefusalReason.MALFORMED,
            detail="both content-length and transfer-encoding are given",
        )


def _body_too_large(most: int) -> RequestRefused:
    return RequestRefused(
        reason=RefusalReason.TOO_LARGE, detail=f"body is larger than {most} bytes"
    )


def _malformed(error: RemoteProtocolError) -> RequestRefused:
    too_large = error.error_status_hint == 431
    reason = RefusalReason.TOO_LARGE if too_large else RefusalReason.MALFORMED
    return RequestRefused(reason=reason, detail=f"not HTTP/1.1: {error}")
