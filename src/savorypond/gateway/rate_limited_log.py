"""A log stream that never blocks and limits its rate.

Protects the process from an overload in which every request fails and is logged. Lines
that exceed the rate, or that the reader of the stream does not accept, are dropped and
counted.
"""

from collections.abc import Callable
from io import TextIOBase
from os import set_blocking, write as write_descriptor
from time import monotonic

from msgspec.json import encode

LINES_PER_SECOND = 200.0  # limits the processor time spent on logs
BURST_LINES = 400.0


class RateLimitedLog(TextIOBase):
    """Writes complete lines to a descriptor at a limited rate.

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
        self._tokens = BURST_LINES
        self._refilled_at = clock()
        self._incomplete_line = ""
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Number of lines dropped since the last one that was written."""
        return self._dropped

    def writable(self) -> bool:
        """Return True: text may be written."""
        return True

    def write(self, text: str) -> int:
        """Accept ``text``; each of its lines is written or dropped as a whole."""
        *lines, self._incomplete_line = (self._incomplete_line + text).split("\n")
        for line in lines:
            self._write_line(line)
        return len(text)

    def _write_line(self, line: str) -> None:
        if not self._take_token():
            self._dropped += 1
            return
        if self._dropped:
            report = encode({"event": "log-lines-dropped", "count": self._dropped})
            line = f"{report.decode()}\n{line}"
        try:
            self._write(f"{line}\n".encode())
        except BlockingIOError:
            self._dropped += 1
        else:
            self._dropped = 0

    def _take_token(self) -> bool:
        now = self._clock()
        refill = (now - self._refilled_at) * LINES_PER_SECOND
        self._tokens = min(BURST_LINES, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def open_rate_limited_log(descriptor: int) -> RateLimitedLog:
    """Return a log on ``descriptor``, which must be a pipe, a file or a terminal."""
    set_blocking(descriptor, False)
    return RateLimitedLog(write=lambda data: write_descriptor(descriptor, data))
