"""One HTTP/1.1 client connection on curio and httptools."""

from collections.abc import Coroutine
from contextlib import suppress
from select import POLLIN, poll
from socket import IPPROTO_TCP, SO_LINGER, SOL_SOCKET, TCP_NODELAY
from struct import pack
from types import TracebackType
from typing import Any, Self

from curio import TaskGroup, spawn
from curio.socket import AF_INET, SOCK_STREAM, socket

from savorypond.exceptions import BackendServerError, ResponseError
from savorypond.http.messages import HttpRequest, HttpResponse
from savorypond.http.response_parser import ResponseParser
from savorypond.model import Address

_RECEIVE_BYTES = 65536
_SEND_AT_ONCE = 8192  # bytes; fewer fit into any socket's buffer
_RESET_ON_CLOSE = pack("ii", 1, 0)  # SO_LINGER: on, 0 s


class HttpConnection:
    """An open connection that carries one request at a time.

    :param source_host: IP number to send from, or "" for any.
    """

    def __init__(self, *, address: Address, source_host: str = "") -> None:
        self._address = address
        self._source_host = source_host
        self._sock: Any = None
        self._sent = False
        self._reusable = False
        self._keep_alive_timeout: float | None = None
        self._host = f"{address.host}:{address.port}"

    @property
    def keep_alive_timeout(self) -> float | None:
        """Seconds for which the other end keeps an idle connection, if it said so."""
        return self._keep_alive_timeout

    @property
    def sent(self) -> bool:
        """Whether a byte of the last request may have left this process."""
        return self._sent

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
        """Connect; raise BackendServerError where that fails."""
        sock = socket(AF_INET, SOCK_STREAM)
        try:
            sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
            if self._source_host:
                sock.bind((self._source_host, 0))
            await sock.connect((self._address.host, self._address.port))
        except OSError as error:
            await sock.close()
            raise BackendServerError(
                server=self._host, problem=f"connect: {error}", sent=False
            ) from error
        except BaseException:
            await sock.close()
            raise
        self._sock = sock
        self._reusable = True

    async def close(self, *, abort: bool = False) -> None:
        """Close the connection.

        :param abort: reset it, so that the other end learns at once that
            nobody waits for its answer.
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
        """Return whether an idle connection has ended, or holds bytes of nobody."""
        if self._sock is None:
            return True
        readable = poll()
        readable.register(self._sock.fileno(), POLLIN)
        return bool(readable.poll(0))

    async def request(self, request: HttpRequest) -> HttpResponse:
        """Send ``request`` and return its whole response.

        Raises BackendServerError where the connection fails or the response
        breaks the protocol. After an error, or a cancellation, the connection
        is not reusable.
        """
        self._sent = False
        self._reusable = False
        data = _encode(request, self._host)
        parser = ResponseParser(method=request.method)
        try:
            self._sent = True
            whole = await self._send(data, parser)
            await self._receive(parser)
        except (OSError, ResponseError) as error:
            raise BackendServerError(
                server=self._host, problem=str(error) or repr(error), sent=True
            ) from error
        response = parser.response()
        self._reusable = whole and not parser.has_extra and not response.close
        self._keep_alive_timeout = _parse_keep_alive(response)
        return response

    async def _send(self, data: bytes, parser: ResponseParser) -> bool:
        """Send ``data``; return whether all of it left before an answer came.

        An answer to a request that has not arrived in whole ends the sending: the
        other end may take what would follow for another request.
        """
        if len(data) <= _SEND_AT_ONCE:
            await self._sock.sendall(data)
            return True
        sender = await spawn(_error_of, self._sock.sendall(data))
        received: list[bytes] = []
        receiver = await spawn(_error_of, self._receive_into(received))
        async with TaskGroup([sender, receiver], wait=any) as both:
            pass
        if both.completed.result is not None:
            raise both.completed.result
        # Both may have ended at the same moment, with the answer's bytes.
        for piece in received:
            _feed(parser, piece)
        return both.completed is sender

    async def _receive_into(self, received: list[bytes]) -> None:
        received.append(await self._sock.recv(_RECEIVE_BYTES))

    async def _receive(self, parser: ResponseParser) -> None:
        while not parser.complete:
            _feed(parser, await self._sock.recv(_RECEIVE_BYTES))


async def _error_of(step: Coroutine[Any, Any, None]) -> OSError | None:
    """Return the error that ``step`` ends with: one raised in a task is logged."""
    try:
        await step
    except OSError as error:
        return error
    return None


def _feed(parser: ResponseParser, data: bytes) -> None:
    if data:
        parser.feed(data)
    else:
        parser.feed_end()


def _encode(request: HttpRequest, host: str) -> bytes:
    """Return the bytes of ``request``; raise ValueError where it has none."""
    lines = [f"{request.method} {request.path} HTTP/1.1"]
    names = {header.name for header in request.headers}
    if "host" not in names:
        lines.append(f"host: {host}")
    lines += [f"{header.name}: {header.value}" for header in request.headers]
    if request.body and "content-length" not in names:
        lines.append(f"content-length: {len(request.body)}")
    head = "\r\n".join(lines)
    breaks = len(lines) - 1
    if head.count("\r") != breaks or head.count("\n") != breaks:
        raise ValueError("a header or the path holds a line break")
    if lines[0].count(" ") != 2:
        raise ValueError(f"method or path holds a space: {lines[0]!r}")
    return head.encode("latin-1") + b"\r\n\r\n" + request.body


def _parse_keep_alive(response: HttpResponse) -> float | None:
    """Return the seconds in the header Keep-Alive, or None."""
    value = response.header("keep-alive")
    if value is None:
        return None
    for part in value.split(","):
        name, _, number = part.strip().partition("=")
        if name.lower() == "timeout" and number.isdigit():
            return float(number)
    return None
