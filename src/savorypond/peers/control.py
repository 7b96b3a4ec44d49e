"""Control messages between instances over gRPC: pulls of configuration.

gRPC calls run on threads of the library, and both ends pass them to curio. A call
costs about 1 ms of processor time: acceptable for a control message every few
seconds, but not for a query.
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

MAX_CHANNELS = 64  # open channels; the least recently used is closed
CONTROL_PORT_OFFSET = 1  # from the peer port
_SERVICE = "savorypond.Control"
_METHOD = "Pull"
_MAX_THREADS = 4  # each waits for the answer to one pull
_CALL_TIMEOUT = 2.0  # seconds
_STOP_GRACE = 0.5  # seconds
_MAX_RECONNECT_BACKOFF_MS = 2000
_OPTIONS = (
    ("grpc.so_reuseport", 0),
    ("grpc.enable_http_proxy", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", _MAX_RECONNECT_BACKOFF_MS),
)

PullHandler = Callable[[PullRequest], Awaitable[PullReply]]


class PeerControlError(SavorypondError):
    """A peer did not answer a control message."""

    def __init__(self, *, peer: str, problem: str) -> None:
        super().__init__(f"peer {peer}: {problem}")
        self.peer = peer
        self.problem = problem


def control_address(peer: Address) -> Address:
    """Return the address on which ``peer`` receives control messages."""
    return Address(host=peer.host, port=peer.port + CONTROL_PORT_OFFSET)


class ControlServer:
    """Serves pulls from peers.

    :param address: the peer address; the control port follows its port.
    """

    def __init__(self, *, address: Address, fleet: str, answer: PullHandler) -> None:
        self._address = control_address(address)
        self._fleet = fleet
        self._answer = answer
        self._requests: Any = UniversalQueue()
        self._task: Any = None
        self._executor = ThreadPoolExecutor(max_workers=_MAX_THREADS)
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
        """Pass a call to curio and wait; runs on a thread of the library."""
        done: Future[bytes] = Future()
        self._requests.put((data, context.peer(), done))
        try:
            return done.result(timeout=_CALL_TIMEOUT)
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

    :param find: returns the peer address of the named instance, or None.
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
        """Return the reply of ``instance``.

        :raises PeerControlError: the instance is unknown or did not answer.
        :raises WireError: the reply is invalid.
        """
        peer = self._find(instance)
        if peer is None:
            raise PeerControlError(peer=instance, problem="unknown instance")
        call = self._channel(control_address(peer)).unary_unary(
            f"/{_SERVICE}/{_METHOD}", None, None
        )
        done = UniversalEvent()
        future = call.future(encode_message(request), timeout=_CALL_TIMEOUT)
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
        if len(self._channels) > MAX_CHANNELS:
            _, oldest = self._channels.popitem(last=False)
            oldest.close()
        return channel
