"""TCP listener that serves each connection in its own task."""

from collections.abc import Awaitable, Callable
from contextlib import suppress
from socket import IPPROTO_TCP, TCP_NODELAY
from typing import Any, Self

from curio import current_task, spawn, tcp_server_socket

from savorypond.model import Address

_BACKLOG = 512  # connections that wait in the kernel to be accepted

Serve = Callable[[Any, str], Awaitable[None]]


class Listener:
    """A listening socket; leaving the context cancels the tasks of all connections.

    :param serve: serves and closes one socket, given also the peer's IP address.
    """

    def __init__(self, *, address: Address, serve: Serve) -> None:
        self._address = address
        self._serve = serve
        self._socket: Any = None
        self._accept_task: Any = None
        self._tasks: set[Any] = set()

    @property
    def address(self) -> Address:
        """The bound address; port 0 is replaced by the port that was assigned."""
        return self._address

    async def __aenter__(self) -> Self:
        self._socket = tcp_server_socket(
            self._address.host, self._address.port, backlog=_BACKLOG
        )
        host, port = self._socket.getsockname()[:2]
        self._address = Address(host=host, port=port)
        self._accept_task = await spawn(self._accept)
        return self

    async def __aexit__(self, *reason: object) -> None:
        await self._accept_task.cancel()
        await self._socket.close()
        for task in list(self._tasks):
            await task.cancel()

    async def _accept(self) -> None:
        while True:
            sock, peer = await self._socket.accept()
            with suppress(OSError):
                sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
            await spawn(self._run, sock, peer[0], daemon=True)

    async def _run(self, sock: Any, peer: str) -> None:
        task = await current_task()
        self._tasks.add(task)
        try:
            await self._serve(sock, peer)
        finally:
            self._tasks.discard(task)
