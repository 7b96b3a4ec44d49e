"""Speaks with the other instances: published state, and requests handed over."""

from collections.abc import Callable, Sequence
from random import Random

from curio import TaskTimeout, timeout_after
from msgspec import DecodeError, Struct
from msgspec.msgpack import Decoder, encode

from savorypond.exceptions import (
    BackendServerError,
    PoolExhausted,
    PublishedError,
    RequestRefused,
)
from savorypond.gateway.published import PublishedCopy
from savorypond.gateway.routes import Route, RoutedService, RouteTable
from savorypond.gateway.serverpool import ServerPools
from savorypond.gateway.servers import RegisteredServer
from savorypond.http.httpchannel import HttpLimits
from savorypond.http.httptypes import Handler, Header, HttpRequest, HttpResponse
from savorypond.model import Address, Instance, InstanceState
from savorypond.reasons import RefusalReason

PUBLISHED_PATH = "/peer/published"
DELEGATED_PREFIX = "/peer/delegated"
PEER_SERVICE = ""  # pools of connections to peers
# Several round trips between data centres; a request must still be servable after.
CONNECT_TIME = 0.05  # seconds
FRESH_COPY = 3.0  # seconds since the store was read, for a copy worth passing on
COPY_TIME = 1.0  # seconds that reading a peer's copy may take
_MSGPACK = "application/msgpack"


class _CopyMessage(Struct, frozen=True, kw_only=True):
    """A copy of what is published, as one instance gives it to another."""

    position: int
    version: int
    routes: tuple[Route, ...]
    services: tuple[RoutedService, ...]
    limits: HttpLimits
    servers: tuple[RegisteredServer, ...]


_decoder = Decoder(_CopyMessage)


def encode_copy(copy: PublishedCopy) -> bytes:
    """Return ``copy``, which must hold a configuration, as a message."""
    table = copy.table
    assert table is not None
    return encode(
        _CopyMessage(
            position=copy.position,
            version=table.version,
            routes=table.routes,
            services=table.services,
            limits=table.limits,
            servers=copy.servers,
        )
    )


def decode_copy(data: bytes) -> PublishedCopy:
    """Return the copy in a message; raise msgspec.DecodeError."""
    message = _decoder.decode(data)
    return PublishedCopy(
        position=message.position,
        table=RouteTable(
            version=message.version,
            routes=message.routes,
            services=message.services,
            limits=message.limits,
        ),
        servers=message.servers,
    )


class SeedList:
    """The instances named by the settings, which may be gone.

    They are called by their IP numbers, as instances call themselves.
    """

    def __init__(self, *, own: str, seeds: Sequence[str], port: int) -> None:
        self._own = own
        self._seeds = tuple(seeds)
        self._port = port

    async def fetch(self) -> Sequence[Instance]:
        """Return the seeds other than this instance."""
        return tuple(
            Instance(
                name=seed,
                data_centre="",
                peer_address=Address(host=seed, port=self._port),
                incarnation=0,
                state=InstanceState.LIVE,
            )
            for seed in self._seeds
            if seed != self._own
        )


class PeerClient:
    """Asks other instances.

    :param peers: returns the live instances other than this one.
    """

    def __init__(
        self,
        *,
        pools: ServerPools,
        peers: Callable[[], Sequence[Instance]],
        random: Random,
    ) -> None:
        self._pools = pools
        self._peers = peers
        self._random = random

    async def read_copy(self) -> PublishedCopy:
        """Return what another instance has read of late.

        :raises PublishedError: no instance has a fresh copy.
        """
        peers = list(self._peers())
        if not peers:
            raise PublishedError(source="peers", problem="none is known")
        peer = self._random.choice(peers)
        request = HttpRequest(method="GET", path=PUBLISHED_PATH)
        try:
            async with timeout_after(COPY_TIME):
                response = await self.ask(peer, request)
        except TaskTimeout as error:
            raise PublishedError(source=peer.name, problem="no answer") from error
        except (BackendServerError, PoolExhausted) as error:
            raise PublishedError(source=peer.name, problem=str(error)) from error
        if response.status != 200:
            problem = f"status {response.status}"
            raise PublishedError(source=peer.name, problem=problem)
        try:
            return decode_copy(response.body)
        except DecodeError as error:
            raise PublishedError(source=peer.name, problem=str(error)) from error

    async def ask(self, peer: Instance, request: HttpRequest) -> HttpResponse:
        """Return the response of ``peer``.

        :raises BackendServerError: the connection failed.
        :raises PoolExhausted: too many requests to the peer are in flight.
        """
        lease = await self._pools.lease(
            _as_server(peer), fresh=False, connect_time=CONNECT_TIME
        )
        async with lease as connection:
            return await connection.request(request)


def _as_server(peer: Instance) -> RegisteredServer:
    """Return ``peer`` as the pools know the other end of connections."""
    return RegisteredServer(
        name=f"instance {peer.name}",
        service=PEER_SERVICE,
        address=peer.peer_address,
        data_centre=peer.data_centre,
        slots=1,
        leaving=False,
        started=peer.incarnation,
    )


class PeerHandler:
    """Answers other instances.

    :param copy: returns what is published and the seconds since the store was
        read, or None where that is not known.
    :param delegated: answers a request that another instance handed over.
    """

    def __init__(
        self,
        *,
        copy: Callable[[], tuple[PublishedCopy, float] | None],
        delegated: Handler,
    ) -> None:
        self._copy = copy
        self._delegated = delegated

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a peer."""
        if request.path == PUBLISHED_PATH:
            return self._give_copy()
        if request.path.startswith(DELEGATED_PREFIX):
            return await self._delegated(request)
        raise RequestRefused(
            reason=RefusalReason.NOT_FOUND, detail=f"no resource at {request.path}"
        )

    def _give_copy(self) -> HttpResponse:
        found = self._copy()
        if found is None or found[1] > FRESH_COPY:
            raise RequestRefused(
                reason=RefusalReason.NOT_READY, detail="no fresh copy is known here"
            )
        return HttpResponse(
            status=200,
            headers=(Header(name="content-type", value=_MSGPACK),),
            body=encode_copy(found[0]),
        )
