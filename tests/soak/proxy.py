"""A loopback proxy that delays, resets, cuts or silences connections."""

from contextlib import suppress
from dataclasses import dataclass
from random import Random
from socket import SHUT_RDWR, SO_LINGER, SOL_SOCKET
from struct import pack

from curio import Event, TaskGroup, open_connection, sleep

from savorypond.http.listener import Listener
from savorypond.model import Address

_PIECE = 65536  # bytes
_RESET = pack("ii", 1, 0)  # SO_LINGER: on, 0 s
_STRAY = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray"


@dataclass(slots=True, kw_only=True)
class Weather:
    """What the proxy does to what passes through it.

    :param delay: seconds that each piece is held up.
    :param cut_out: pieces towards the server are lost.
    :param cut_back: pieces towards the client are lost.
    :param refuse: new connections are reset.
    :param cut_off: share of the answers that end in the middle.
    :param stray: share of the answers that are followed by bytes of nobody.
    """

    delay: float = 0.0
    cut_out: bool = False
    cut_back: bool = False
    refuse: bool = False
    cut_off: float = 0.0
    stray: float = 0.0


class Proxy:
    """Forwards connections to ``target`` as its weather allows."""

    def __init__(self, *, target: Address, random: Random) -> None:
        self.weather = Weather()
        self._target = target
        self._random = random
        self._muted = 0
        self._opened = 0
        self._socks = {}
        self._listener = Listener(
            address=Address(host="127.0.0.1", port=0), serve=self._serve
        )

    @property
    def address(self):
        """Where to connect."""
        return self._listener.address

    async def __aenter__(self):
        await self._listener.__aenter__()
        return self

    async def __aexit__(self, *reason):
        await self._listener.__aexit__()

    def mute(self):
        """Silence the connections that are open now, for good."""
        self._muted = self._opened

    def reset(self, share):
        """Reset a share of the open connections."""
        for socks in list(self._socks.values()):
            if self._random.random() < share:
                for sock in socks:
                    with suppress(OSError):
                        sock.setsockopt(SOL_SOCKET, SO_LINGER, _RESET)
                        sock._socket.shutdown(SHUT_RDWR)

    async def _serve(self, sock, peer):
        self._opened += 1
        number = self._opened
        async with sock:
            if self.weather.refuse:
                sock.setsockopt(SOL_SOCKET, SO_LINGER, _RESET)
                return
            with suppress(OSError):
                far = await open_connection(
                    self._target.host, self._target.port, source_addr=(peer, 0)
                )
                async with far:
                    self._socks[number] = (sock, far)
                    try:
                        async with TaskGroup(wait=any) as group:
                            await group.spawn(self._pump, number, sock, far, True)
                            await group.spawn(self._pump, number, far, sock, False)
                    finally:
                        del self._socks[number]

    async def _pump(self, number, source, sink, outward):
        with suppress(OSError):
            while True:
                data = await source.recv(_PIECE)
                if not data:
                    return
                weather = self.weather
                cut = weather.cut_out if outward else weather.cut_back
                if cut or number <= self._muted:
                    # A broken path stays silent; the ends are not told.
                    await Event().wait()
                if weather.delay:
                    await sleep(weather.delay * self._random.uniform(0.5, 1.5))
                if not outward and self._random.random() < weather.cut_off:
                    await sink.sendall(data[: len(data) // 2])
                    return
                if not outward and self._random.random() < weather.stray:
                    data += _STRAY
                await sink.sendall(data)
