"""Reading and writing of link frames on a socket."""

from typing import Any

from curio import Lock

from savorypond.peers.link_messages import (
    LENGTH_BYTES,
    LINK_VERSION,
    Frame,
    LinkMessage,
    decode_frame,
    encode_frame,
    frame_length,
)

_RECEIVE_BYTES = 262144  # for one read of the socket


class FrameStream:
    """Reads and writes frames on one socket."""

    def __init__(self, *, sock: Any, peer: str, fleet: str) -> None:
        self._sock = sock
        self._peer = peer
        self._fleet = fleet
        self._buffer = bytearray()
        self._write_lock = Lock()

    @property
    def peer(self) -> str:
        """The address of the other end."""
        return self._peer

    async def send(self, number: int, message: LinkMessage) -> None:
        """Write ``message`` in a frame with ``number``."""
        frame = Frame(
            version=LINK_VERSION, fleet=self._fleet, number=number, message=message
        )
        data = encode_frame(frame)
        async with self._write_lock:
            await self._sock.sendall(data)

    async def receive(self) -> Frame | None:
        """Return the next frame, or None at the end of the stream."""
        prefix = await self._read_exactly(LENGTH_BYTES)
        if prefix is None:
            return None
        length = frame_length(prefix, sender=self._peer)
        data = await self._read_exactly(length)
        if data is None:
            return None
        return decode_frame(data, sender=self._peer, fleet=self._fleet)

    async def _read_exactly(self, size: int) -> bytes | None:
        while len(self._buffer) < size:
            data = await self._sock.recv(_RECEIVE_BYTES)
            if not data:
                return None
            self._buffer += data
        result = bytes(self._buffer[:size])
        del self._buffer[:size]
        return result

    async def close(self) -> None:
        """Close the socket."""
        await self._sock.close()
