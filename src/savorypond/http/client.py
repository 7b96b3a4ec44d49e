"""HTTP/1.1 client connection on curio and httptools."""

from collections.abc import Callable, Coroutine
from contextlib import suppress
from select import POLLIN, poll
from socket import (
    IPPROTO_TCP,
    MSG_DONTWAIT,
    MSG_PEEK,
    SO_LINGER,
    SOL_SOCKET,
    TCP_NODELAY,
)
from struct import pack
from types import TracebackType
from typing import Any, Self

from curio import TaskGroup, TaskTimeout, spawn
from curio.socket import AF_INET, SOCK_STREAM, socket

from savorypond.exceptions import BackendServerError, ResponseError
from savorypond.http.messages import HttpRequest, HttpResponse
from savorypond.http.response_parser import MAX_BODY_BYTES, ResponseParser
from savorypond.model import Address
from savorypond.timeouts import timeout_after

_RECEIVE_BYTES = 65536
_MAX_SINGLE_SEND = 8192  # bytes; fits into any socket's send buffer
_RESET_ON_CLOSE = pack("ii", 1, 0)  # SO_LINGER: on, 0 s


class HttpConnection:
    """A client connection that carries one request at a time.

    :param source_host: local IP address to connect from, or "" for any.
    """

    def __init__(self, *, address: Address, source_host: str = "") -> None:
        self._address = address
        self._source_host = source_host
        self._sock: Any = None
        self._sent = False
        self._request_count = 0
        self._reusable = False
        self._reset: OSError | None = None
        self._keep_alive_timeout: float | None = None
        self._host = f"{address.host}:{address.port}"

    @property
    def keep_alive_timeout(self) -> float | None:
        """Idle time-out in seconds that the server announced, or None."""
        return self._keep_alive_timeout

    @property
    def sent(self) -> bool:
        """Whether a byte of the last request may have left this process."""
        return self._sent

    @property
    def was_reused(self) -> bool:
        """Whether the last request was not the first one on the connection."""
        return self._request_count > 1

    @property
    def reusable(self) -> bool:
        """Whether the connection may carry another request."""
        return self._reusable

    async def __aenter__(self) -> Self:
        await self.open()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.close()

    async def open(self) -> None:
        """Connect; raise BackendServerError on failure."""
        sock = socket(AF_INET, SOCK_STREAM)
        try:
            sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
            if self._source_host:
                sock.bind((self._source_host, 0))
            await sock.connect((self._address.host, self._address.port))
        except OSError as error:
            await sock.close()
            raise BackendServerError(
                server=self._host, problem=f"connect failed: {error}", sent=False
            ) from error
        except BaseException:
            await sock.close()
            raise
        self._sock = sock
        self._reusable = True

    async def close(self, *, abort: bool = False) -> None:
        """Close the connection.

        :param abort: reset the connection, so that the server learns at once that
            the response is no longer wanted.
        """
        self._reusable = False
        if self._sock is None:
            return
        sock, self._sock = self._sock, None
        if abort:
            with suppress(OSError):
                sock.setsockopt(SOL_SOCKET, SO_LINGER, _RESET_ON_CLOSE)
        await sock.close()

    def is_stale(self) -> bool:
        """Return whether an idle connection is closed or has unexpected input."""
        if self._sock is None:
            return True
        poller = poll()
        poller.register(self._sock.fileno(), POLLIN)
        return bool(poller.poll(0))

    def has_unread_bytes(self) -> bool:
        """Return whether bytes have arrived on an idle connection."""
        if self._sock is None:
            return False
        try:
            with self._sock.blocking() as sock:
                return bool(sock.recv(1, MSG_PEEK | MSG_DONTWAIT))
        except OSError:
            return False  # no bytes, or a connection that was reset

    async def request(
        self,
        request: HttpRequest,
        *,
        max_body_bytes: int = MAX_BODY_BYTES,
        on_bytes: Callable[[int], None] = lambda size: None,
        max_silence: float | None = None,
    ) -> HttpResponse:
        """Send ``request`` and return its response.

        After an error or a cancellation, the connection is not reusable.

        :param max_body_bytes: maximum size of the response body.
        :param on_bytes: called with the number of bytes by which the head and the body
            of the response have grown; may raise ResponseError.
        :param max_silence: maximum seconds until the first and between any two bytes
            of the response, or None for no limit. Unlike a limit on the whole request,
            it does not end a long response over a slow link.
        :raises BackendServerError: the connection failed or was silent for too long,
            or the response violates the protocol.
        """
        self._sent = False
        self._reusable = False
        self._reset = None
        self._request_count += 1
        data = _encode(request, self._host)
        parser = ResponseParser(method=request.method, max_body_bytes=max_body_bytes)
        try:
            self._sent = True
            fully_sent = await self._send(data, parser)
            on_bytes(parser.held_bytes)
            await self._receive(parser, on_bytes, max_silence)
        except (OSError, ResponseError) as error:
            raise BackendServerError(
                server=self._host, problem=str(error) or repr(error), sent=True
            ) from error
        response = parser.response()
        self._reusable = (
            fully_sent and not parser.has_trailing_data and not response.close
        )
        self._keep_alive_timeout = _parse_keep_alive(response)
        return response

    async def _send(self, data: bytes, parser: ResponseParser) -> bool:
        """Send ``data``; return whether it was sent before a response arrived.

        A response to an incomplete request ends the sending: the server may take
        the remaining bytes for another request.
        """
        if len(data) <= _MAX_SINGLE_SEND:
            await self._sock.sendall(data)
            return True
        sender = await spawn(_capture_error, self._sock.sendall(data))
        received: list[bytes] = []
        receiver = await spawn(_capture_error, self._receive_into(received))
        async with TaskGroup([sender, receiver], wait=any) as group:
            pass
        if group.completed.result is not None:
            raise group.completed.result
        if sender.exception is None and isinstance(sender.result, ConnectionResetError):
            self._reset = sender.result
        # Both tasks may finish at once: there may be a response in either case.
        for chunk in received:
            _feed(parser, chunk)
        return group.completed is sender

    async def _receive_into(self, received: list[bytes]) -> None:
        received.append(await self._sock.recv(_RECEIVE_BYTES))

    async def _receive(
        self,
        parser: ResponseParser,
        on_bytes: Callable[[int], None],
        max_silence: float | None,
    ) -> None:
        while not parser.complete:
            held = parser.held_bytes
            _feed(parser, await self._receive_bytes(max_silence))
            on_bytes(parser.held_bytes - held)

    async def _receive_bytes(self, max_silence: float | None) -> bytes:
        if max_silence is None:
            data: bytes = await self._sock.recv(_RECEIVE_BYTES)
        else:
            try:
                async with timeout_after(max_silence):
                    data = await self._sock.recv(_RECEIVE_BYTES)
            except TaskTimeout as error:
                raise ResponseError(problem=f"no bytes for {max_silence} s") from error
        if not data and self._reset is not None:
            # The kernel reports a reset once; afterwards it looks like an orderly end.
            raise self._reset
        return data


async def _capture_error(operation: Coroutine[Any, Any, None]) -> OSError | None:
    """Return the OSError raised by ``operation``, or None.

    curio would log an exception that leaves a task, with its traceback.
    """
    try:
        await operation
    except OSError as error:
        return error
    return None


def _feed(parser: ResponseParser, data: bytes) -> None:
    if data:
        parser.feed(data)
    else:
        parser.feed_eof()


def _encode(request: HttpRequest, host: str) -> bytes:
    """Return ``request`` as bytes; raise ValueError if it cannot be encoded."""
    lines = [f"{request.method} {request.path} HTTP/1.1"]
    names = {header.name for header in request.headers}
    if "host" not in names:
        lines.append(f"host: {host}")
    lines += [f"{header.name}: {header.value}" for header in request.headers]
    if request.body and "content-length" not in names:
        lines.append(f"content-length: {len(request.body)}")
    head = "\r\n".join(lines)
    line_breaks = len(lines) - 1
    if head.count("\r") != line_breaks or head.count("\n") != line_breaks:
        raise ValueError("header or path contains a line break")
    if lines[0].count(" ") != 2:
        raise ValueError(f"method or path contains a space: {lines[0]!r}")
    return head.encode("latin-1") + b"\r\n\r\n" + request.body


def _parse_keep_alive(response: HttpResponse) -> float | None:
    """Return the time-out of the Keep-Alive header in seconds, or None."""
    value = response.header("keep-alive")
    if value is None:
        return None
    for part in value.split(","):
        name, _, number = part.strip().partition("=")
        is_number = number.isascii() and number.isdigit()
        if name.lower() == "timeout" and is_number:
            return float(number)
    return None
