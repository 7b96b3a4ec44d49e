"""Waits for signals inside curio."""

from signal import Signals, set_wakeup_fd, signal
from socket import socketpair
from types import FrameType
from typing import Any, Self

from curio.io import Socket


class SignalWaiter:
    """Catches signals while its context is entered."""

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
        for one in self._signals:
            self._old_handlers[one] = signal(one, _ignore)
        return self

    async def __aexit__(self, *reason: object) -> None:
        for one, handler in self._old_handlers.items():
            signal(one, handler)
        set_wakeup_fd(self._old_descriptor)
        await self._reader.close()
        self._writer.close()

    async def wait(self) -> Signals:
        """Return the next of the signals."""
        while True:
            for number in await self._reader.recv(1):
                if number in self._signals:
                    return Signals(number)


def _ignore(number: int, frame: FrameType | None) -> None:
    # The wake-up descriptor carries the signal; the handler only has to exist.
    pass
