"""An HTTP/1.1 server on curio and h11 with limits on what callers may send."""

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
    timeout_after,
)
from h11 import (
    RemoteProtocolError,
)

from savorypond.exceptions import RequestRefused
from savorypond.http.httpchannel import HttpChannel, HttpLimits as HttpLimits
from savorypond.http.httptypes import (
    Handler,
    HttpRequest,
    HttpResponse,
    problem_response,
)
from savorypond.http.listener import Listener
from savorypond.model import Address
from savorypond.reasons import Execution, RefusalReason

_BACKLOG = 512  # connections the kernel holds before they are accepted


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

    :param limits: limits, or a function that returns those in force.
    :param on_refusal: called with the reason of each request that is refused
        here or by a RequestRefused of the handler.
    :param notice_departure: cancel the handler of a request whose caller closes
        the connection.
    """

    def __init__(
        self,
        *,
        address: Address,
        handler: Handler,
        limits: HttpLimits | Callable[[], HttpLimits],
        on_refusal: Callable[[RefusalReason], None] | None = None,
        gate: ConnectionGate | None = None,
        notice_departure: bool = False,
    ) -> None:
        self._handler = handler
        self._limits = _constant(limits) if isinstance(limits, HttpLimits) else limits
        self._gate = gate or PerPeerGate(most=self._limits().connections_per_peer)
        self._notice_departure = notice_departure
        self._connections = count(1)
        self._on_refusal = on_refusal
        self._draining = False
        self._busy = 0
        self._idle_tasks: set[Any] = set()
        self._listener = Listener(address=address, serve=self._serve_connection)

    @property
    def address(self) -> Address:
        """The bound address, with the port the system chose for port 0."""
        return self._listener.address

    @property
    def busy(self) -> int:
        """Requests whose response has not been sent yet."""
        return self._busy

    async def __aenter__(self) -> Self:
        await self._listener.__aenter__()
        return self

    async def __aexit__(self, *reason: object) -> None:
        await self._listener.__aexit__()

    def announce_stop(self) -> None:
        """End each connection with its next response from now on."""
        self._draining = True

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

    async def _serve_connection(self, sock: Any, peer: str) -> None:
        number = next(self._connections)
        try:
            async with sock:
                channel = HttpChannel(
                    sock=sock, peer=peer, number=number, limits=self._limits
                )
                await self._admit(channel, peer, number)
        except (OSError, RemoteProtocolError):
            pass  # the other end has gone; nobody is left to tell
        except CancelledError:
            raise
        except Exception:
            log_exception("connection from %s failed", peer)

    async def _admit(self, channel: HttpChannel, peer: str, number: int) -> None:
        try:
            await self._gate.opened(peer, number)
        except RequestRefused as refusal:
            await self._refuse(channel, refusal)
            return
        try:
            await self._serve_requests(channel)
        finally:
            self._gate.closed(peer, number)

    async def _serve_requests(self, channel: HttpChannel) -> None:
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
        return await channel.send(response, close=response.close or self._draining)

    async def _await_response(
        self, channel: HttpChannel, request: HttpRequest
    ) -> HttpResponse | None:
        """Return the response, or None where the caller has left."""
        if not self._notice_departure:
            return await self._respond(request)
        async with TaskGroup(wait=any) as group:
            handler = await group.spawn(self._respond, request)
            await group.spawn(channel.wait_departure)
        if group.completed is not handler:
            self._note(RefusalReason.CALLER_GONE)
            return None
        return cast(HttpResponse, handler.result)

    async def _respond(self, request: HttpRequest) -> HttpResponse:
        try:
            return await self._handler(request)
        except RequestRefused as refusal:
            self._note(refusal.reason)
            return problem_response(refusal)
        except Exception:
            log_exception("handler failed on %s %s", request.method, request.path)
            self._note(RefusalReason.INTERNAL)
            return problem_response(
                RequestRefused(
                    reason=RefusalReason.INTERNAL,
                    detail="the request failed inside the instance",
                    execution=Execution.UNKNOWN,
                )
            )

    def _note(self, reason: RefusalReason) -> None:
        if self._on_refusal is not None:
            self._on_refusal(reason)

    async def _refuse(self, channel: HttpChannel, refusal: RequestRefused) -> None:
        self._note(refusal.reason)
        await channel.send(problem_response(refusal), close=True)
        await channel.linger()


def _constant(limits: HttpLimits) -> Callable[[], HttpLimits]:
    return lambda: limits
