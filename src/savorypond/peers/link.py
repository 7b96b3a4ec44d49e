"""Links between instances: requests and replies in frames over TCP.

Each instance opens its own link to a peer for the requests that it sends. A link
multiplexes concurrent requests. gRPC would cost more processor time here;
docs/DESIGN.md has the figures.
"""

from collections.abc import Awaitable
from contextlib import suppress
from dataclasses import dataclass, field
from itertools import count
from socket import IPPROTO_TCP, TCP_NODELAY
from typing import Any, Protocol, Self

from absl.logging import exception as log_exception, warning
from curio import (
    CancelledError,
    Event,
    Lock,
    TaskTimeout,
    current_task,
    sleep,
    spawn,
)
from curio.socket import AF_INET, SOCK_STREAM, socket

from savorypond.exceptions import RequestRefused, WireError
from savorypond.http.listener import Listener
from savorypond.model import Address
from savorypond.peers.frame_stream import FrameStream
from savorypond.peers.link_messages import (
    CancelForward,
    ForwardAnswer,
    ForwardRefusal,
    Frame,
    LinkMessage,
)
from savorypond.reasons import Execution, RefusalReason
from savorypond.timeouts import timeout_after

_CONNECT_TIMEOUT = 0.5  # seconds to open a link


class EarlyReplyCallback(Protocol):
    """Receives a reply that is not the final one to its request."""

    def __call__(self, reply: ForwardAnswer) -> Awaitable[None]:
        """Process ``reply``, which the final reply will follow."""


class LinkHandler(Protocol):
    """Handles forwarded requests."""

    def __call__(
        self, message: LinkMessage, send_early_reply: EarlyReplyCallback
    ) -> Awaitable[LinkMessage]:
        """Return the final reply to ``message``; may raise RequestRefused.

        :param send_early_reply: sends a reply ahead of the final one.
        """


class LinkDelay(Protocol):
    """Returns the emulated latency between two hosts."""

    def __call__(self, peer: str) -> float:
        """Return the one-way delay to ``peer`` in seconds."""


class LinkError(Exception):
    """The link failed, or no reply arrived in time.

    :param sent: whether the request may have reached the peer.
    """

    def __init__(self, *, peer: Address, problem: str, sent: bool) -> None:
        super().__init__(f"link to {peer}: {problem}")
        self.sent = sent


@dataclass(frozen=True, slots=True, kw_only=True)
class _ServedLink:
    """A link that a peer has opened.

    :param running: the task of each request that has no whole reply yet, by number.
    :param replying: numbers of those whose reply is being sent.
    """

    stream: FrameStream
    peer: str
    running: dict[int, Any] = field(default_factory=dict)
    replying: set[int] = field(default_factory=set)


class PeerServer:
    """Accepts links and serves the requests that arrive on them."""

    def __init__(
        self,
        *,
        address: Address,
        fleet: str,
        handler: LinkHandler,
        delay: LinkDelay | None = None,
    ) -> None:
        self._fleet = fleet
        self._handler = handler
        self._delay = delay
        self._listener = Listener(address=address, serve=self._serve)

    @property
    def address(self) -> Address:
        """The bound address."""
        return self._listener.address

    async def __aenter__(self) -> Self:
        await self._listener.__aenter__()
        return self

    async def __aexit__(self, *reason: object) -> None:
        await self._listener.__aexit__()

    async def _serve(self, sock: Any, peer: str) -> None:
        stream = FrameStream(sock=sock, peer=peer, fleet=self._fleet)
        link = _ServedLink(stream=stream, peer=peer)
        try:
            await self._serve_frames(link)
        except WireError as error:
            warning("closing a peer link after an invalid frame: %s", error)
        except OSError:
            pass  # the connection is lost; its requests are cancelled below
        finally:
            for task in list(link.running.values()):
                await task.cancel()
            await stream.close()

    async def _serve_frames(self, link: _ServedLink) -> None:
        while (frame := await link.stream.receive()) is not None:
            if isinstance(frame.message, CancelForward):
                await self._cancel(link, frame.message.number)
                continue
            link.running[frame.number] = await spawn(
                self._answer, link, frame, daemon=True
            )

    async def _cancel(self, link: _ServedLink, number: int) -> None:
        # The peer would read the next reply as the rest of one that is cut off.
        if number in link.replying:
            return
        task = link.running.pop(number, None)
        if task is not None:
            await task.cancel(blocking=False)

    async def _answer(self, link: _ServedLink, frame: Frame) -> None:
        delay = self._delay(link.peer) if self._delay else 0.0
        try:
            if delay:
                await sleep(delay)

            async def send_early_reply(reply: ForwardAnswer) -> None:
                await spawn(
                    self._send, link.stream, delay, frame.number, reply, daemon=True
                )

            reply = await self._reply(frame.message, send_early_reply)
            link.replying.add(frame.number)
            await self._send(link.stream, delay, frame.number, reply)
        finally:
            link.replying.discard(frame.number)
            link.running.pop(frame.number, None)

    async def _send(
        self, stream: FrameStream, delay: float, number: int, reply: LinkMessage
    ) -> None:
        if delay:
            await sleep(delay)
        try:
            await stream.send(number, reply)
        except OSError:
            pass  # the connection is lost
        except WireError as error:
            warning("replacing a reply to peer %s: %s", stream.peer, error)
            refusal = ForwardRefusal(
                reason=RefusalReason.INTERNAL,
                detail=f"the reply cannot be sent: {error.problem}",
                execution=Execution.UNKNOWN,
                retry_after=None,
            )
            with suppress(OSError):
                await stream.send(number, refusal)

    async def _reply(
        self, message: LinkMessage, send_early_reply: EarlyReplyCallback
    ) -> LinkMessage:
        try:
            return await self._handler(message, send_early_reply)
        except RequestRefused as refusal:
            return ForwardRefusal(
                reason=refusal.reason,
                detail=refusal.detail,
                execution=refusal.execution,
                retry_after=refusal.retry_after,
            )
        except CancelledError:
            raise
        except Exception:
            log_exception("forwarded request failed")
            return ForwardRefusal(
                reason=RefusalReason.INTERNAL,
                detail="the forwarded request failed inside its owner",
                execution=Execution.UNKNOWN,
            )


class _PendingRequest:
    """A request that awaits its reply."""

    def __init__(self, *, on_early_reply: EarlyReplyCallback | None) -> None:
        self.done = Event()
        self.on_early_reply = on_early_reply
        self.reply: LinkMessage | None = None


class PeerLink:
    """One link to a peer, opened on first use and reopened after a failure."""

    def __init__(self, *, peer: Address, fleet: str, source_host: str) -> None:
        self._peer = peer
        self._fleet = fleet
        self._source_host = source_host
        self._numbers = count(1)
        self._stream: FrameStream | None = None
        self._reader: Any = None
        self._pending: dict[int, _PendingRequest] = {}
        self._open_lock = Lock()
        self._frames_received = 0

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *reason: object) -> None:
        await self.reset()

    async def request(
        self,
        message: LinkMessage,
        *,
        timeout: float,
        on_early_reply: EarlyReplyCallback | None = None,
    ) -> LinkMessage:
        """Send ``message`` and return its final reply.

        :param timeout: seconds to wait for the reply.
        :param on_early_reply: receives the replies ahead of the final one.
        :raises LinkError: the link failed, or no reply arrived in time.
        """
        stream = await self._get_stream()
        number = next(self._numbers)
        pending = _PendingRequest(on_early_reply=on_early_reply)
        self._pending[number] = pending
        received_before = self._frames_received
        is_sent = False
        try:
            async with timeout_after(timeout):
                await stream.send(number, message)
                is_sent = True
                await pending.done.wait()
        except TaskTimeout as error:
            if is_sent:
                await self._handle_timeout(stream, number, received_before)
            else:
                await self._reset_stream(stream)  # part of a frame may be sent
            raise LinkError(peer=self._peer, problem="timed out", sent=True) from error
        except CancelledError:
            if is_sent:
                await self._cancel(stream, number)
            else:
                await self._reset_stream(stream)
            raise
        except OSError as error:
            await self.reset()
            raise LinkError(peer=self._peer, problem=str(error), sent=True) from error
        finally:
            self._pending.pop(number, None)
        if pending.reply is None:
            raise LinkError(peer=self._peer, problem="connection closed", sent=True)
        return pending.reply

    async def reset(self) -> None:
        """Close the link; its pending requests raise LinkError."""
        stream, self._stream = self._stream, None
        reader, self._reader = self._reader, None
        if stream is not None:
            await stream.close()
        if reader is not None and reader is not await current_task():
            await reader.cancel(blocking=False)
        await self._fail_pending()

    async def _get_stream(self) -> FrameStream:
        if self._stream is not None:
            return self._stream
        async with self._open_lock:
            if self._stream is None:
                self._stream = await self._open()
                self._reader = await spawn(
                    self._receive_replies, self._stream, daemon=True
                )
            return self._stream

    async def _open(self) -> FrameStream:
        sock = socket(AF_INET, SOCK_STREAM)
        try:
            sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
            if self._source_host:
                sock.bind((self._source_host, 0))
            async with timeout_after(_CONNECT_TIMEOUT):
                await sock.connect((self._peer.host, self._peer.port))
        except (OSError, TaskTimeout) as error:
            await sock.close()
            raise LinkError(
                peer=self._peer, problem="cannot connect", sent=False
            ) from error
        except BaseException:
            await sock.close()
            raise
        return FrameStream(sock=sock, peer=str(self._peer), fleet=self._fleet)

    async def _receive_replies(self, stream: FrameStream) -> None:
        with suppress(OSError, WireError):
            while (frame := await stream.receive()) is not None:
                self._frames_received += 1
                await self._handle_reply(frame)
        await self._reset_stream(stream)

    async def _reset_stream(self, stream: FrameStream) -> None:
        """Close the link unless it has been opened again on another stream."""
        if self._stream is stream:
            await self.reset()

    async def _handle_reply(self, frame: Frame) -> None:
        pending = self._pending.get(frame.number)
        if pending is None:
            return
        reply = frame.message
        if isinstance(reply, ForwardAnswer) and not reply.final:
            if pending.on_early_reply is not None:
                await pending.on_early_reply(reply)
            return
        del self._pending[frame.number]
        pending.reply = reply
        await pending.done.set()

    async def _handle_timeout(
        self, stream: FrameStream, number: int, received_before: int
    ) -> None:
        if self._frames_received == received_before:
            await self._reset_stream(stream)  # the link may be dead
        else:
            await self._cancel(stream, number)

    async def _cancel(self, stream: FrameStream, number: int) -> None:
        if self._stream is stream:
            with suppress(OSError):
                await stream.send(number, CancelForward(number=number))

    async def _fail_pending(self) -> None:
        pending, self._pending = list(self._pending.values()), {}
        for request in pending:
            await request.done.set()


class PeerLinks:
    """The links of this instance, by peer address."""

    def __init__(self, *, fleet: str, source_host: str) -> None:
        self._fleet = fleet
        self._source_host = source_host
        self._links: dict[Address, PeerLink] = {}

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *reason: object) -> None:
        for link in self._links.values():
            await link.reset()

    async def request(
        self,
        peer: Address,
        message: LinkMessage,
        *,
        timeout: float,
        on_early_reply: EarlyReplyCallback | None = None,
    ) -> LinkMessage:
        """Send ``message`` to ``peer`` and return its final reply.

        :param timeout: seconds to wait for the reply.
        :param on_early_reply: receives the replies ahead of the final one.
        :raises LinkError: the link failed, or no reply arrived in time.
        """
        link = self._links.get(peer)
        if link is None:
            link = PeerLink(peer=peer, fleet=self._fleet, source_host=self._source_host)
            self._links[peer] = link
        return await link.request(
            message, timeout=timeout, on_early_reply=on_early_reply
        )
