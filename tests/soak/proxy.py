"""A loopback proxy that delays, resets, truncates or silences connections."""

from contextlib import suppress
from dataclasses import dataclass
from random import Random
from socket import SHUT_RDWR, SO_LINGER, SOL_SOCKET
from struct import pack
from time import monotonic

from curio import Event, TaskGroup, open_connection, sleep

from savorypond.http.listener import Listener
from savorypond.model import Address

_CHUNK = 65536  # bytes
_SETTLE_TIME = 3.0  # seconds, longer than silenced connections are in use
_RESET = pack("ii", 1, 0)  # SO_LINGER: on, 0 s
_STRAY_RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray"
_MAX_GAP = 100  # bytes by which a response breaks off before its copy
_MAX_LATENESS = 0.1  # seconds until a stray response follows


@dataclass(slots=True, kw_only=True)
class ProxyFaults:
    """The faults that a proxy injects.

    :param delay: mean seconds by which each chunk is delayed.
    :param drop_to_server: drop the chunks to the server.
    :param drop_to_client: drop the chunks to the client.
    :param refuse: reset new connections.
    :param truncate_share: share of the chunks to the client after whose first half
        the connection is closed.
    :param stray_share: share of the chunks to the client that are followed by a stray
        response: one without an id, a copy, or a fragment of a copy, at once or late. A
        copy may also follow a chunk that has broken off.
    """

    delay: float = 0.0
    drop_to_server: bool = False
    drop_to_client: bool = False
    refuse: bool = False
    truncate_share: float = 0.0
    stray_share: float = 0.0


class Proxy:
    """Forwards connections to ``target`` and injects ``faults``."""

    def __init__(self, *, target: Address, random: Random) -> None:
        self.faults = ProxyFaults()
        self._target = target
        self._random = random
        self._silenced = 0
        self._disturbed_at = 0.0
        self._opened = 0
        self._socks = {}
        self._listener = Listener(
            address=Address(host="127.0.0.1", port=0), serve=self._serve
        )

    @property
    def address(self):
        """The address to connect to."""
        return self._listener.address

    @property
    def calm(self):
        """Whether what passes now arrives, unless a fault begins meanwhile."""
        is_settled = monotonic() > self._disturbed_at + _SETTLE_TIME
        return is_settled and self.faults == ProxyFaults()

    async def __aenter__(self):
        await self._listener.__aenter__()
        return self

    async def __aexit__(self, *reason):
        await self._listener.__aexit__()

    def silence(self):
        """Stop forwarding on the connections that are now open, for good."""
        self._silenced = self._opened
        self._disturbed_at = monotonic()

    def reset(self, share):
        """Reset a share of the open connections."""
        self._disturbed_at = monotonic()
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
            if self.faults.refuse:
                sock.setsockopt(SOL_SOCKET, SO_LINGER, _RESET)
                return
            with suppress(OSError):
                upstream = await open_connection(
                    self._target.host, self._target.port, source_addr=(peer, 0)
                )
                async with upstream:
                    self._socks[number] = (sock, upstream)
                    try:
                        async with TaskGroup(wait=any) as group:
                            await group.spawn(self._pump, number, sock, upstream, True)
                            await group.spawn(self._pump, number, upstream, sock, False)
                    finally:
                        del self._socks[number]

    async def _pump(self, number, source, sink, to_server):
        with suppress(OSError):
            while True:
                data = await source.recv(_CHUNK)
                if not data:
                    return
                faults = self.faults
                cut = faults.drop_to_server if to_server else faults.drop_to_client
                if cut or number <= self._silenced:
                    # A lost network path closes no connection: both ends wait.
                    await Event().wait()
                if faults.delay:
                    await sleep(faults.delay * self._random.uniform(0.5, 1.5))
                if not to_server and self._random.random() < faults.truncate_share:
                    await sink.sendall(data[: len(data) // 2])
                    return
                if not to_server and self._random.random() < faults.stray_share:
                    await self._send_with_stray(sink, data)
                    continue
                await sink.sendall(data)

    async def _send_with_stray(self, sink, data):
        random = self._random
        fragment = data[: random.randint(1, len(data))]
        stray = random.choice((_STRAY_RESPONSE, data, fragment))
        if stray is data and random.random() < 0.5:
            data = data[: -random.randint(1, _MAX_GAP)]
        if random.random() < 0.5:
            await sink.sendall(data + stray)
            return
        await sink.sendall(data)
        await sleep(random.uniform(0.0, _MAX_LATENESS))
        await sink.sendall(stray)
