"""One HTTP/1.1 client connection on curio and h11."""

from contextlib import suppress
from functools import lru_cache
from select import POLLIN, poll
from socket import IPPROTO_TCP, SO_LINGER, SOL_SOCKET, TCP_NODELAY
from struct import pack
from types import TracebackType
from typing import Any, Self

from curio import TaskGroup, spawn
from curio.socket import AF_INET, SOCK_STREAM, socket
from h11 import (
    CLIENT,
    DONE,
    NEED_DATA,
    Connection,
    ConnectionClosed,
    Data,
    EndOfMessage,
    LocalProtocolError,
    RemoteProtocolError,
    Request,
    Response,
)

from savorypond.exceptions import BackendServerError
from savorypond.http.httptypes import Header, HttpRequest, HttpResponse
from savorypond.model import Address

_RECEIVE_BYTES = 65536
_SEND_AT_ONCE = 8192  # bytes; fewer fit into any socket's buffer
_MOST_BODY_BYTES = 16 * 1024 * 1024
_HEADS_KEPT = 4096  # request heads that were checked and may recur
_RESET_ON_CLOSE = pack("ii", 1, 0)  # SO_LINGER: on, 0 s


class HttpConnection:
    """An open connection that carries one request at a time.

    :param source_host: IP number to send from, or "" for any.
    """

    def __init__(self, *, address: Address, source_host: str = "") -> None:
        self._address = address
        self._source_host = source_host
        self._sock: Any = None
        self._http = Connection(CLIENT)
        self._sent = False
        self._reusable = False
        self._keep_alive: float | None = None
        self._host = f"{address.host}:{address.port}"

    @property
    def keep_alive(self) -> float | None:
        """Seconds for which the other end keeps an idle connection, if it said so."""
        return self._keep_alive

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
        data = self._encode(request)
        try:
            self._sent = True
            whole = await self._exchange(data)
            response = await self._receive()
        except (OSError, RemoteProtocolError) as error:
            raise BackendServerError(
                server=self._host, problem=str(error) or repr(error), sent=True
            ) from error
        self._reusable = whole and self._ready_for_next(response)
        self._keep_alive = _keep_alive(response)
        return response

    async def _exchange(self, data: bytes) -> bool:
        """Send ``data``; return whether all of it left before an answer came.

        An answer to a request that has not arrived in whole ends the sending: the
        other end may take what would follow for another request.
        """
        if len(data) <= _SEND_AT_ONCE:
            await self._sock.sendall(data)
            return True
        sender = await spawn(self._sock.sendall, data)
        receiver = await spawn(self._sock.recv, _RECEIVE_BYTES)
        async with TaskGroup([sender, receiver], wait=any) as both:
            pass
        if both.completed is sender:
            _ = sender.result
            return True
        self._http.receive_data(receiver.result)
        return False

    def _encode(self, request: HttpRequest) -> bytes:
        head = _build_head(
            request.method, request.path, self._host, request.headers, len(request.body)
        )
        data = self._http.send(head) or b""
        if request.body:
            data += self._http.send(Data(data=request.body)) or b""
        return data + (self._http.send(EndOfMessage()) or b"")

    async def _receive(self) -> HttpResponse:
        head: Response | None = None
        body = bytearray()
        while True:
            event = self._http.next_event()
            if event is NEED_DATA:
                self._http.receive_data(await self._sock.recv(_RECEIVE_BYTES))
            elif isinstance(event, Response):
                head = event
            elif isinstance(event, Data):
                body += event.data
                if len(body) > _MOST_BODY_BYTES:
                    raise RemoteProtocolError("response body is too large")
            elif isinstance(event, EndOfMessage) and head is not None:
                return _build_response(head, bytes(body))
            elif isinstance(event, ConnectionClosed):
                raise RemoteProtocolError("connection closed before the response")

    def _ready_for_next(self, response: HttpResponse) -> bool:
        if response.close or self._http.our_state is not DONE:
            return False
        try:
            self._http.start_next_cycle()
        except LocalProtocolError:
            return False
        return not self._http.trailing_data[0]


@lru_cache(maxsize=_HEADS_KEPT)
def _build_head(
    method: str, path: str, host: str, headers: tuple[Header, ...], body_bytes: int
) -> Request:
    """Return a checked request line and headers; most recur many times."""
    fields = [(header.name, header.value) for header in headers]
    if not any(header.name == "host" for header in headers):
        fields.insert(0, ("host", host))
    if body_bytes:
        fields.append(("content-length", str(body_bytes)))
    return Request(method=method, target=path, headers=fields)


def _build_response(head: Response, body: bytes) -> HttpResponse:
    headers = tuple(
        Header(name=name.decode("ascii"), value=value.decode("latin-1"))
        for name, value in head.headers
    )
    close = any(h.name == "connection" and "close" in h.value.lower() for h in headers)
    return HttpResponse(
        status=head.status_code, headers=headers, body=body, close=close
    )


def _keep_alive(response: HttpResponse) -> float | None:
    """Return the seconds in the header Keep-Alive, or None."""
    value = response.header("keep-alive")
    if value is None:
        return None
    for part in value.split(","):
        name, _, number = part.strip().partition("=")
        if name.lower() == "timeout" and number.isdigit():
            return float(number)
    return None
