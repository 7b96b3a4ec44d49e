"""An HTTP/1.1 server on curio and h11 with limits on what callers may send."""

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from itertools import count
from socket import IPPROTO_TCP, TCP_NODELAY
from types import TracebackType
from typing import Any, Protocol, Self

from absl.logging import exception as log_exception
from curio import (
    CancelledError,
    TaskTimeout,
    current_task,
    sleep,
    spawn,
    tcp_server_socket,
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
from savorypond.httptypes import (
    Handler,
    Header as HttpHeader,
    HttpRequest,
    HttpResponse,
    problem_response,
)
from savorypond.model import Address
from savorypond.reasons import Execution, RefusalReason

_RECEIVE_BYTES = 65536
_BACKLOG = 512  # connections the kernel holds before they are accepted
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


class ConnectionGate(Protocol):
    """Decides which connections are served."""

    async def opened(self, peer: str, number: int) -> None:
        """Take a new connection, or raise RequestRefused or OSError.

        ``closed`` is called once for each connection taken.
        """

    def closed(self, peer: str, number: int) -> None:
        """Forget a connection taken before."""


class PerPeerGate:
    """Serves a bounded number of connections for each IP number."""

    def __init__(self, *, most: int) -> None:
        self._most = most
        self._counts: dict[str, int] = {}

    async def opened(self, peer: str, number: int) -> None:
        """Take a new connection, or raise RequestRefused."""
        open_now = self._counts.get(peer, 0)
        if open_now >= self._most:
            raise RequestRefused(
                reason=RefusalReason.TOO_MANY_CONNECTIONS,
                detail=f"{open_now} connections are open from {peer}",
                retry_after=1.0,
            )
        self._counts[peer] = open_now + 1

    def closed(self, peer: str, number: int) -> None:
        """Forget a connection taken before."""
        left = self._counts[peer] - 1
        if left:
            self._counts[peer] = left
        else:
            del self._counts[peer]


class HttpServer:
    """Accepts connections and hands each request to a handler.

    Entering the context binds and starts accepting; leaving it closes every
    connection. ``drain`` lets requests in flight finish first.

    :param on_refusal: called with the reason of each request refused here.
    """

    def __init__(
        self,
        *,
        address: Address,
        handler: Handler,
        limits: HttpLimits,
        on_refusal: Callable[[RefusalReason], None] | None = None,
        gate: ConnectionGate | None = None,
    ) -> None:
        self._address = address
        self._handler = handler
        self._limits = limits
        self._gate = gate or PerPeerGate(most=limits.connections_per_peer)
        self._connections = count(1)
        self._on_refusal = on_refusal
        self._draining = False
        self._busy = 0
        self._tasks: set[Any] = set()
        self._idle_tasks: set[Any] = set()
        self._listener: Any = None
        self._accept_task: Any = None

    @property
    def address(self) -> Address:
        """The bound address, with the port the system chose for port 0."""
        return self._address

    @property
    def busy(self) -> int:
        """Requests whose response has not been sent yet."""
        return self._busy

    async def __aenter__(self) -> Self:
        self._listener = tcp_server_socket(
            self._address.host, self._address.port, backlog=_BACKLOG
        )
        host, port = self._listener.getsockname()[:2]
        self._address = Address(host=host, port=port)
        self._accept_task = await spawn(self._accept)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._stop_accepting()
        for task in list(self._tasks):
            await task.cancel()

    async def drain(self, *, seconds: float) -> bool:
        """Answer what is in flight, refuse the rest, and wait.

        :param seconds: longest time to wait.
        Return whether every request in flight was answered.
        """
        self._draining = True
        for task in list(self._idle_tasks):
            await task.cancel(blocking=False)
        with suppress(TaskTimeout):
            async with timeout_after(seconds):
                while self._busy:
                    await sleep(0.005)
        return self._busy == 0

    async def _stop_accepting(self) -> None:
        if self._accept_task is not None:
            await self._accept_task.cancel()
            self._accept_task = None
        if self._listener is not None:
            await self._listener.close()
            self._listener = None

    async def _accept(self) -> None:
        while True:
            sock, peer = await self._listener.accept()
            with suppress(OSError):
                sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
            task = await spawn(self._serve, sock, peer[0], daemon=True)
            if not task.terminated:
                self._tasks.add(task)

    async def _serve(self, sock: Any, peer: str) -> None:
        task = await current_task()
        try:
            await self._serve_connection(sock, peer)
        finally:
            self._tasks.discard(task)

    async def _serve_connection(self, sock: Any, peer: str) -> None:
        number = next(self._connections)
        channel = _Channel(sock=sock, peer=peer, number=number, limits=self._limits)
        try:
            async with sock:
                await self._admit(channel, peer, number)
        except (OSError, RemoteProtocolError):
            pass  # the other end has gone; nobody is left to tell
        except CancelledError:
            raise
        except Exception:
            log_exception("connection from %s failed", peer)

    async def _admit(self, channel: "_Channel", peer: str, number: int) -> None:
        try:
            await self._gate.opened(peer, number)
        except RequestRefused as refusal:
            await self._refuse(channel, refusal)
            return
        try:
            await self._serve_requests(channel)
        finally:
            self._gate.closed(peer, number)

    async def _serve_requests(self, channel: "_Channel") -> None:
        task = await current_task()
        while True:
            self._idle_tasks.add(task)
            try:
                if not await channel.wait_first_byte():
                    return
            finally:
                self._idle_tasks.discard(task)
            self._busy += 1
            try:
                if not await self._serve_one(channel):
                    return
            finally:
                self._busy -= 1

    async def _serve_one(self, channel: "_Channel") -> bool:
        try:
            request = await channel.receive()
        except RequestRefused as refusal:
            await self._refuse(channel, refusal)
            return False
        if request is None:
            return False
        response = await self._respond(request)
        return await channel.send(response, close=response.close or self._draining)

    async def _respond(self, request: HttpRequest) -> HttpResponse:
        try:
            return await self._handler(request)
        except RequestRefused as refusal:
            return problem_response(refusal)
        except Exception:
            log_exception("handler failed on %s %s", request.method, request.path)
            return problem_response(
                RequestRefused(
                    reason=RefusalReason.INTERNAL,
                    detail="the request failed inside the instance",
                    execution=Execution.UNKNOWN,
                )
            )

    async def _refuse(self, channel: "_Channel", refusal: RequestRefused) -> None:
        if self._on_refusal is not None:
            self._on_refusal(refusal.reason)
        await channel.send(problem_response(refusal), close=True)
        await channel.linger()


class _Channel:
    """One accepted connection and its h11 state."""

    def __init__(
        self, *, sock: Any, peer: str, number: int, limits: HttpLimits
    ) -> None:
        self._sock = sock
        self._peer = peer
        self._number = number
        self._limits = limits
        self._http = Connection(SERVER, max_incomplete_event_size=limits.header_bytes)

    async def wait_first_byte(self) -> bool:
        """Wait for the next request to begin; False where none will."""
        if self._http.our_state in (CLOSED, MUST_CLOSE, ERROR):
            return False
        if self._http.trailing_data[0]:
            return True
        try:
            async with timeout_after(self._limits.idle_time):
                data = await self._sock.recv(_RECEIVE_BYTES)
        except TaskTimeout:
            return False
        self._http.receive_data(data)
        return bool(data)

    async def receive(self) -> HttpRequest | None:
        """Return the next whole request, or None where the other end left.

        Raises RequestRefused where it breaks a limit or the protocol.
        """
        try:
            async with timeout_after(self._limits.receive_time):
                return await self._receive_request()
        except TaskTimeout as error:
            raise RequestRefused(
                reason=RefusalReason.TOO_SLOW,
                detail=f"request not whole after {self._limits.receive_time} s",
            ) from error
        except RemoteProtocolError as error:
            raise _malformed(error) from error

    async def _receive_request(self) -> HttpRequest | None:
        head: Request | None = None
        body = bytearray()
        while True:
            event = self._http.next_event()
            if event is NEED_DATA:
                await self._send_continue()
                self._http.receive_data(await self._sock.recv(_RECEIVE_BYTES))
            elif isinstance(event, Request):
                head = event
                _check_head_size(event, self._limits.header_bytes)
                _check_declared_length(event, self._limits.body_bytes)
            elif isinstance(event, Data):
                body += event.data
                if len(body) > self._limits.body_bytes:
                    raise _body_too_large(self._limits.body_bytes)
            elif isinstance(event, EndOfMessage) and head is not None:
                return self._build_request(head, bytes(body))
            elif isinstance(event, ConnectionClosed) or event is PAUSED:
                return None

    def _build_request(self, head: Request, body: bytes) -> HttpRequest:
        headers = tuple(
            HttpHeader(name=name.decode("ascii"), value=value.decode("latin-1"))
            for name, value in head.headers
        )
        return HttpRequest(
            method=head.method.decode("ascii"),
            path=head.target.decode("latin-1"),
            headers=headers,
            body=body,
            peer=self._peer,
            connection=self._number,
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


def _body_too_large(most: int) -> RequestRefused:
    return RequestRefused(
        reason=RefusalReason.TOO_LARGE, detail=f"body is larger than {most} bytes"
    )


def _malformed(error: RemoteProtocolError) -> RequestRefused:
    too_large = error.error_status_hint == 431
    reason = RefusalReason.TOO_LARGE if too_large else RefusalReason.MALFORMED
    return RequestRefused(reason=reason, detail=f"not HTTP/1.1: {error}")
