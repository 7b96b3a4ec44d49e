"""Control messages between instances over gRPC: pulls of configuration.

gRPC calls run on threads of the library; each end hands them over to curio. A
call costs about a millisecond of processor time, which a control message every
few seconds can afford and a query cannot.
"""

from collections import OrderedDict
from collections.abc import Awaitable, Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any, Self

from curio import UniversalEvent, UniversalQueue, spawn
from grpc import (
    Channel,
    RpcError,
    ServicerContext,
    StatusCode,
    insecure_channel,
    method_handlers_generic_handler,
    server as grpc_server,
    unary_unary_rpc_method_handler,
)

from savorypond.config.messages import (
    PullReply,
    PullRequest,
    decode_reply,
    decode_request,
    encode_message,
)
from savorypond.exceptions import SavorypondError, WireError
from savorypond.model import Address

MOST_CHANNELS = 64  # kept open, the latest used
CONTROL_PORT_OFFSET = 1  # added to the peer port
_SERVICE = "savorypond.Control"
_METHOD = "Pull"
_THREADS = 4
_ANSWER_TIME = 2.0  # seconds
_STOP_GRACE = 0.5  # seconds
_LONGEST_RECONNECT_MS = 2000
_OPTIONS = (
    ("grpc.so_reuseport", 0),
    ("grpc.enable_http_proxy", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", _LONGEST_RECONNECT_MS),
)

Answer = Callable[[PullRequest], Awaitable[PullReply]]


class PeerControlError(SavorypondError):
    """A peer did not answer a control message."""

    def __init__(self, *, peer: str, problem: str) -> None:
        super().__init__(f"peer {peer}: {problem}")
        self.peer = peer
        self.problem = problem


def control_address(peer: Address) -> Address:
    """Return where a peer takes control messages."""
    return Address(host=peer.host, port=peer.port + CONTROL_PORT_OFFSET)


class ControlServer:
    """Answers the pulls of peers.

    :param address: the peer address; the control port is next to it.
    """

    def __init__(self, *, address: Address, fleet: str, answer: Answer) -> None:
        self._address = control_address(address)
        self._fleet = fleet
        self._answer = answer
        self._requests: Any = UniversalQueue()
        self._task: Any = None
        self._executor = ThreadPoolExecutor(max_workers=_THREADS)
        self._server = grpc_server(self._executor, options=_OPTIONS)
        handler = unary_unary_rpc_method_handler(self._handle)
        self._server.add_generic_rpc_handlers(
            (method_handlers_generic_handler(_SERVICE, {_METHOD: handler}),)
        )

    async def __aenter__(self) -> Self:
        self._server.add_insecure_port(str(self._address))
        self._server.start()
        self._task = await spawn(self._serve)
        return self

    async def __aexit__(self, *reason: object) -> None:
        await self._task.cancel()
        self._server.stop(_STOP_GRACE)
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _handle(self, data: bytes, context: ServicerContext) -> bytes:
        """Run on a thread of the library: have curio answer, and wait."""
        done: Future[bytes] = Future()
        self._requests.put((data, context.peer(), done))
        try:
            return done.result(timeout=_ANSWER_TIME)
        except WireError as error:
            context.abort(StatusCode.INVALID_ARGUMENT, str(error))
        except Exception as error:
            context.abort(StatusCode.UNAVAILABLE, str(error))
        raise AssertionError("abort always raises")

    async def _serve(self) -> None:
        while True:
            data, peer, done = await self._requests.get()
            try:
                request = decode_request(data, fleet=self._fleet, sender=peer)
                done.set_result(encode_message(await self._answer(request)))
            except SavorypondError as error:
                done.set_exception(error)


class ControlClient:
    """Sends pulls to peers.

    :param find: returns the peer address of an instance, or None.
    """

    def __init__(self, *, fleet: str, find: Callable[[str], Address | None]) -> None:
        self._fleet = fleet
        self._find = find
        self._channels: OrderedDict[Address, Channel] = OrderedDict()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *reason: object) -> None:
        for channel in self._channels.values():
            channel.close()

    async def pull(self, instance: str, request: PullRequest) -> PullReply:
        """Return the reply of ``instance``; raise PeerControlError or WireError."""
        peer = self._find(instance)
        if peer is None:
            raise PeerControlError(peer=instance, problem="is not known")
        call = self._channel(control_address(peer)).unary_unary(
            f"/{_SERVICE}/{_METHOD}", None, None
        )
        done = UniversalEvent()
        future = call.future(encode_message(request), timeout=_ANSWER_TIME)
        future.add_done_callback(lambda _: done.set())
        try:
            await done.wait()
        except BaseException:
            future.cancel()  # type: ignore[no-untyped-call]
            raise
        try:
            data = future.result()
        except RpcError as error:
            problem = future.code().name.lower().replace("_", " ")
            raise PeerControlError(peer=instance, problem=problem) from error
        return decode_reply(data, fleet=self._fleet, sender=instance)

    def _channel(self, address: Address) -> Channel:
        channel = self._channels.pop(address, None)
        if channel is None:
            channel = insecure_channel(str(address), options=_OPTIONS)
        self._channels[address] = channel
        if len(self._channels) > MOST_CHANNELS:
            _, oldest = self._channels.popitem(last=False)
            oldest.close()
        return channel
