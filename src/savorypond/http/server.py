"""HTTP/1.1 server on curio and h11 that enforces limits on its clients."""

from collections.abc import Callable
from contextlib import suppress
from itertools import count
from typing import Any, Protocol, Self, cast

from absl.logging import exception as log_exception
from curio import (
    CancelledError,
    TaskGroup,
    TaskTimeout,
    current_task,
    sleep,
)
from h11 import (
    RemoteProtocolError,
)

from savorypond.exceptions import RequestRefused, ResponseError
from savorypond.http.channel import HttpChannel, HttpLimits as HttpLimits
from savorypond.http.listener import Listener
from savorypond.http.messages import (
    Handler,
    HttpRequest,
    HttpResponse,
    problem_response,
)
from savorypond.logs import log_event
from savorypond.model import Address
from savorypond.reasons import Execution, RefusalReason
from savorypond.timeouts import timeout_after

_MILLISECONDS = 1000.0  # per second
_MAX_LOGGED_PROBLEM = 200  # characters


class ConnectionLimiter(Protocol):
    """Decides which connections are admitted."""

    async def acquire(self, peer: str, connection_id: int) -> None:
        """Admit a new connection, or raise RequestRefused or OSError.

        ``release`` is called once for each admitted connection.
        """

    def release(self, peer: str, connection_id: int) -> None:
        """Release an admitted connection."""


class PerPeerLimiter:
    """Limits the number of open connections per IP address."""

    def __init__(self, *, max_connections: int) -> None:
        self._max_connections = max_connections
        self._counts: dict[str, int] = {}

    async def acquire(self, peer: str, connection_id: int) -> None:
        """Admit a new connection, or raise RequestRefused."""
        open_count = self._counts.get(peer, 0)
        if open_count >= self._max_connections:
            raise RequestRefused(
                reason=RefusalReason.TOO_MANY_CONNECTIONS,
                detail=f"{open_count} connections from {peer} are already open",
                retry_after=1.0,
            )
        self._counts[peer] = open_count + 1

    def release(self, peer: str, connection_id: int) -> None:
        """Release an admitted connection."""
        remaining = self._counts[peer] - 1
        if remaining:
            self._counts[peer] = remaining
        else:
            del self._counts[peer]


class HttpServer:
    """Accepts connections and hands each request to a handler.

    Entering the context binds the address and starts accepting; leaving it closes
    every connection. ``drain`` lets requests in flight finish first.

    :param limits: limits, or a function that returns the limits in force.
    :param on_refusal: called with the reason of each request that the server
        refuses or whose handler raises RequestRefused.
    :param limiter: decides which connections are admitted; by default a
        PerPeerLimiter with the initial ``connections_per_peer``.
    :param cancel_on_disconnect: whether to cancel the handler of a request if its
        client closes the connection, for all requests or for each one.
    """

    def __init__(
        self,
        *,
        address: Address,
        handler: Handler,
        limits: HttpLimits | Callable[[], HttpLimits],
        on_refusal: Callable[[RefusalReason], None] | None = None,
        limiter: ConnectionLimiter | None = None,
        cancel_on_disconnect: bool | Callable[[HttpRequest], bool] = False,
    ) -> None:
        self._handler = handler
        self._limits = _constant(limits) if isinstance(limits, HttpLimits) else limits
        self._limiter = limiter or PerPeerLimiter(
            max_connections=self._limits().connections_per_peer
        )
        self._cancel_on_disconnect = (
            _always(cancel_on_disconnect)
            if isinstance(cancel_on_disconnect, bool)
            else cancel_on_disconnect
        )
        self._connection_ids = count(1)
        self._on_refusal = on_refusal
        self._draining = False
        self._in_flight = 0
        self._closing = 0
        self._idle_channels: dict[Any, HttpChannel] = {}
        self._listener = Listener(address=address, serve=self._serve_connection)

    @property
    def address(self) -> Address:
        """The bound address; port 0 is replaced by the port that was assigned."""
        return self._listener.address

    @property
    def in_flight(self) -> int:
        """Number of requests whose response has not been sent yet."""
        return self._in_flight

    async def __aenter__(self) -> Self:
        await self._listener.__aenter__()
        return self

    async def __aexit__(self, *reason: object) -> None:
        await self._listener.__aexit__()

    def disable_keep_alive(self) -> None:
        """Close each connection after its next response from now on."""
        self._draining = True

    async def drain(self, *, seconds: float) -> bool:
        """Close idle connections and wait for the requests in flight.

        A connection with unread input is not idle: its request is answered first.

        :param seconds: maximum time to wait.
        :return: whether every request in flight was answered.
        """
        self._draining = True
        for task, channel in list(self._idle_channels.items()):
            if not channel.has_input():
                await task.cancel(blocking=False)
        with suppress(TaskTimeout):
            async with timeout_after(seconds):
                while self._in_flight or self._closing or self._has_unread_request():
                    await sleep(0.005)
        return self._in_flight == 0

    def _has_unread_request(self) -> bool:
        return any(channel.has_input() for channel in self._idle_channels.values())

    async def _serve_connection(self, sock: Any, peer: str) -> None:
        connection_id = next(self._connection_ids)
        try:
            async with sock:
                channel = HttpChannel(
                    sock=sock,
                    peer=peer,
                    connection_id=connection_id,
                    limits=self._limits,
                )
                await self._admit(channel, peer, connection_id)
        except (OSError, RemoteProtocolError):
            pass  # the client has disconnected; no response can be sent
        except CancelledError:
            raise
        except Exception:
            log_exception("connection from %s failed", peer)

    async def _admit(self, channel: HttpChannel, peer: str, connection_id: int) -> None:
        try:
            await self._limiter.acquire(peer, connection_id)
        except RequestRefused as refusal:
            await self._refuse(channel, refusal)
            await self._close(channel)
            return
        try:
            await self._serve_requests(channel)
        finally:
            self._limiter.release(peer, connection_id)

    async def _serve_requests(self, channel: HttpChannel) -> None:
        task = await current_task()
        while True:
            self._idle_channels[task] = channel
            try:
                if not await channel.wait_first_byte():
                    return
            finally:
                del self._idle_channels[task]
            self._in_flight += 1
            try:
                is_reusable = await self._serve_one(channel)
            finally:
                self._in_flight -= 1
            if not is_reusable:
                await self._close(channel)
                return

    async def _close(self, channel: HttpChannel) -> None:
        """Close a connection once its client has had the time to read the response."""
        self._closing += 1
        try:
            await channel.linger()
        finally:
            self._closing -= 1

    async def _serve_one(self, channel: HttpChannel) -> bool:
        try:
            request = await channel.receive()
        except RequestRefused as refusal:
            await self._refuse(channel, refusal)
            return False
        if request is None:
            return False
        response = await self._await_response(channel, request)
        if response is None:
            return False
        try:
            return await channel.send(response, close=response.close or self._draining)
        except ResponseError as error:
            log_event(
                "response-invalid",
                client=request.peer,
                path=request.path,
                why=error.problem[:_MAX_LOGGED_PROBLEM],
            )
            return await channel.send(self._internal_error(), close=True)

    async def _await_response(
        self, channel: HttpChannel, request: HttpRequest
    ) -> HttpResponse | None:
        """Return the response, or None if the client has disconnected."""
        if not self._cancel_on_disconnect(request):
            return await self._respond(request)
        # An overloaded process may read a request long after its client has left.
        if await channel.has_disconnected():
            log_event(
                "client-left-unread",
                client=request.peer,
                path=request.path,
                ms=round(request.unread_time * _MILLISECONDS, 1),
            )
            self._report_refusal(RefusalReason.CALLER_GONE)
            return None
        async with TaskGroup(wait=any) as group:
            handler = await group.spawn(self._respond, request)
            await group.spawn(channel.wait_disconnect)
        if group.completed is not handler:
            self._report_refusal(RefusalReason.CALLER_GONE)
            return None
        return cast(HttpResponse, handler.result)

    async def _respond(self, request: HttpRequest) -> HttpResponse:
        try:
            return await self._handler(request)
        except RequestRefused as refusal:
            self._report_refusal(refusal.reason)
            return problem_response(refusal)
        except Exception:
            log_exception("handler failed on %s %s", request.method, request.path)
            return self._internal_error()

    def _internal_error(self) -> HttpResponse:
        self._report_refusal(RefusalReason.INTERNAL)
        return problem_response(
            RequestRefused(
                reason=RefusalReason.INTERNAL,
                detail="internal error of the instance",
                execution=Execution.UNKNOWN,
            )
        )

    def _report_refusal(self, reason: RefusalReason) -> None:
        if self._on_refusal is not None:
            self._on_refusal(reason)

    async def _refuse(self, channel: HttpChannel, refusal: RequestRefused) -> None:
        self._report_refusal(refusal.reason)
        await channel.send(problem_response(refusal), close=True)


def _always(value: bool) -> Callable[[HttpRequest], bool]:
    return lambda request: value


def _constant(limits: HttpLimits) -> Callable[[], HttpLimits]:
    return lambda: limits
