"""A log stream that never blocks and is bounded in volume.

Answers an overload in which every request fails and is logged: lines beyond the
rate, and lines that the reader of the stream has no room for, are counted and
dropped.
"""

from collections.abc import Callable
from io import TextIOBase
from os import set_blocking, write as write_descriptor
from time import monotonic

from msgspec.json import encode

LINES_PER_SECOND = 200.0  # bounds the processor time spent on logs
LINES_SAVED_UP = 400.0  # lines of a burst


class BoundedLog(TextIOBase):
    """Writes whole lines to a descriptor, within a rate.

    :param write: writes bytes without blocking; raises BlockingIOError.
    """

    def __init__(
        self,
        *,
        write: Callable[[bytes], int],
        clock: Callable[[], float] = monotonic,
    ) -> None:
        super().__init__()
        self._write = write
        self._clock = clock
        self._tokens = LINES_SAVED_UP
        self._filled = clock()
        self._pending = ""
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Lines dropped since the last one that was written."""
        return self._dropped

    def writable(self) -> bool:
        """Return that text may be written."""
        return True

    def write(self, text: str) -> int:
        """Take ``text``; each line of it is written or dropped as a whole."""
        *lines, self._pending = (self._pending + text).split("\n")
        for line in lines:
            self._write_line(line)
        return len(text)

    def _write_line(self, line: str) -> None:
        if not self._take_token():
            self._dropped += 1
            return
        if self._dropped:
            note = encode({"event": "log-lines-dropped", "count": self._dropped})
            line = f"{note.decode()}\n{line}"
        try:
            self._write(f"{line}\n".encode())
        except BlockingIOError:
            self._dropped += 1
        else:
            self._dropped = 0

    def _take_token(self) -> bool:
        now = self._clock()
        earned = (now - self._filled) * LINES_PER_SECOND
        self._tokens = min(LINES_SAVED_UP, self._tokens + earned)
        self._filled = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def open_bounded_log(descriptor: int) -> BoundedLog:
    """Return a log on ``descriptor``, which must be a pipe, a file or a terminal."""
    set_blocking(descriptor, False)
    return BoundedLog(write=lambda data: write_descriptor(descriptor, data))
