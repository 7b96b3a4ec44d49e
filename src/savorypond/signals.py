"""Waiting for signals in curio."""

from signal import Signals, set_wakeup_fd, signal
from socket import socketpair
from types import FrameType
from typing import Any, Self

from curio.io import Socket


class SignalWaiter:
    """Handles signals while its context is entered."""

    def __init__(self, *, signals: tuple[Signals, ...]) -> None:
        self._signals = signals
        self._old_handlers: dict[Signals, Any] = {}
        self._old_descriptor = -1
        self._reader: Any = None
        self._writer: Any = None

    async def __aenter__(self) -> Self:
        reader, self._writer = socketpair()
        self._writer.setblocking(False)
        self._reader = Socket(reader)
        self._old_descriptor = set_wakeup_fd(self._writer.fileno())
        for signum in self._signals:
            self._old_handlers[signum] = signal(signum, _ignore)
        return self

    async def __aexit__(self, *reason: object) -> None:
        for signum, handler in self._old_handlers.items():
            signal(signum, handler)
        set_wakeup_fd(self._old_descriptor)
        await self._reader.close()
        self._writer.close()

    async def wait(self) -> Signals:
        """Wait for the next signal and return it."""
        while True:
            for signum in await self._reader.recv(1):
                if signum in self._signals:
                    return Signals(signum)


def _ignore(signum: int, frame: FrameType | None) -> None:
    # Signals are read from the wake-up descriptor, to which Python writes only the
    # signals that have a handler.
    pass
