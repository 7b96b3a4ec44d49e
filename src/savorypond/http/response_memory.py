"""Limits the memory that responses of backend servers occupy on an instance.

Answers the load of servers that send without end to many requests at once: each
response is limited, but a query to many shards holds many of them. Large responses may
not use all of the memory, so that the small ones of other servers still get through.
"""

from savorypond.exceptions import ResponseError
from savorypond.logs import log_event
from savorypond.model import Counters

DEFAULT_RESPONSE_BYTES = 64 * 1024 * 1024  # limit where none is configured
SMALL_RESPONSE_BYTES = 64 * 1024
LARGE_RESPONSE_SHARE = 0.75  # of the memory, for responses that are not small


class ResponseMemory:
    """Counts the bytes of the responses that this instance holds.

    :param limit: bytes that all responses together may occupy; large ones get no more
        once ``LARGE_RESPONSE_SHARE`` of it are in use.
    """

    def __init__(self, *, limit: int, counters: Counters) -> None:
        self._limit = limit
        self._counters = counters
        self._held = 0

    @property
    def held(self) -> int:
        """Number of bytes held at the moment."""
        return self._held

    def reserve(self, size: int, *, total: int) -> None:
        """Add ``size`` bytes; raise ResponseError if that exceeds the limit.

        :param total: bytes of the response including these.
        """
        limit = self._limit
        if total > SMALL_RESPONSE_BYTES:
            limit = int(limit * LARGE_RESPONSE_SHARE)
        if self._held + size > limit:
            self._counters.add("response_memory", "limit-reached")
            log_event(
                "response-memory-full",
                held=self._held,
                limit=limit,
                more=size,
                response=total,
            )
            raise ResponseError(
                problem=f"responses would occupy {self._held + size} bytes;"
                f" the limit is {limit} for one of {total} bytes"
            )
        self._held += size

    def release(self, size: int) -> None:
        """Subtract ``size`` bytes that were reserved."""
        self._held -= size


class ResponseReservation:
    """The memory reserved for one response."""

    def __init__(self, *, memory: ResponseMemory) -> None:
        self._memory = memory
        self._size = 0

    def grow(self, size: int) -> None:
        """Reserve ``size`` more bytes; raise ResponseError if that is not possible."""
        self._memory.reserve(size, total=self._size + size)
        self._size += size

    def release(self) -> None:
        """Release everything that was reserved."""
        size, self._size = self._size, 0
        self._memory.release(size)
