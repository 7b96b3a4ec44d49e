"""Speaks with the other instances: published state, and requests handed over."""

from collections.abc import Callable, Sequence
from random import Random

from curio import TaskTimeout, timeout_after
from msgspec import DecodeError, Struct
from msgspec.msgpack import Decoder, encode

from savorypond.exceptions import (
    BackendServerError,
    HistoryLost,
    PoolExhausted,
    PublishedError,
    RequestRefused,
)
from savorypond.gateway.published_state import (
    PublishedChanges,
    ServerChange,
)
from savorypond.gateway.relay import Relay
from savorypond.gateway.routes import Route, RoutedService, RouteTable
from savorypond.gateway.serverpool import ServerPools
from savorypond.gateway.servers import RegisteredServer
from savorypond.http.channel import HttpLimits
from savorypond.http.messages import Handler, Header, HttpRequest, HttpResponse
from savorypond.model import Address, Instance, InstanceState
from savorypond.reasons import RefusalReason

PUBLISHED_PATH = "/peer/published"
DELEGATED_PATH = "/peer/delegated"
PEER_SERVICE = ""  # pools of connections to peers
# Several round trips between data centres; a request must still be servable after.
CONNECT_TIME = 0.05  # seconds
FRESH_COPY = 3.0  # seconds since the store was read, for a copy worth passing on
# All of one's own data centre may be cut off from the store at once.
NEAR_SHARE = 0.75  # of the copies that are asked of the same data centre
COPY_TIME = 1.0  # seconds that reading a peer's copy may take
_MSGPACK = "application/msgpack"
_GONE = 410


class _TableMessage(Struct, frozen=True, kw_only=True):
    """A configuration, as one instance gives it to another."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[RoutedService, ...]
    limits: HttpLimits


class _PublishedMessage(Struct, frozen=True, kw_only=True):
    """What one instance knows, or what has changed of it.

    :param age: seconds since the store was read.
    """

    position: int
    age: float
    table: _TableMessage | None
    servers: tuple[ServerChange, ...]


_decoder = Decoder(_PublishedMessage)


def encode_changes(changes: PublishedChanges) -> bytes:
    """Return ``changes`` as a message."""
    table = changes.table
    return encode(
        _PublishedMessage(
            position=changes.position,
            age=changes.age,
            table=None
            if table is None
            else _TableMessage(
                version=table.version,
                routes=table.routes,
                services=table.services,
                limits=table.limits,
            ),
            servers=changes.servers,
        )
    )


def decode_changes(data: bytes) -> PublishedChanges:
    """Return the changes in a message; raise msgspec.DecodeError."""
    message = _decoder.decode(data)
    table = message.table
    return PublishedChanges(
        position=message.position,
        age=message.age,
        table=None
        if table is None
        else RouteTable(
            version=table.version,
            routes=table.routes,
            services=table.services,
            limits=table.limits,
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
    :param relay: tells who reads the store.
    """

    def __init__(
        self,
        *,
        pools: ServerPools,
        peers: Callable[[], Sequence[Instance]],
        relay: Relay,
        random: Random,
    ) -> None:
        self._pools = pools
        self._peers = peers
        self._relay = relay
        self._random = random

    async def read_any(self, *, after: int | None) -> PublishedChanges:
        """Return what some other instance knows to have changed.

        Most often one of the same data centre is asked: links between data
        centres are dear.

        :raises HistoryLost: that instance no longer knows these changes.
        :raises PublishedError: it has no fresh answer.
        """
        peers = list(self._peers())
        if not peers:
            raise PublishedError(source="peers", problem="none is known")
        near = [peer for peer in peers if peer.data_centre == self._relay.data_centre]
        if near and self._random.random() < NEAR_SHARE:
            peers = near
        return await self._read(self._random.choice(peers), _published_path(after))

    async def read_changes(self, *, after: int | None) -> PublishedChanges | None:
        """Return what a reader of the store knows to have changed.

        Return None where this instance is to read the store itself.
        :raises HistoryLost: the reader no longer knows these changes.
        :raises PublishedError: the reader has no fresh answer.
        """
        reader = self._relay.reader(self._peers())
        if reader is None:
            self._relay.answered()
            return None
        try:
            changes = await self._read(reader, _published_path(after))
        except PublishedError:
            self._relay.failed()
            raise
        self._relay.answered()
        return changes

    async def _read(self, peer: Instance, path: str) -> PublishedChanges:
        request = HttpRequest(method="GET", path=path)
        try:
            async with timeout_after(COPY_TIME):
                response = await self.ask(peer, request)
        except TaskTimeout as error:
            raise PublishedError(source=peer.name, problem="no answer") from error
        except (BackendServerError, PoolExhausted) as error:
            raise PublishedError(source=peer.name, problem=str(error)) from error
        if response.status == _GONE:
            raise HistoryLost(source=peer.name, position=0)
        if response.status != 200:
            problem = f"status {response.status}"
            raise PublishedError(source=peer.name, problem=problem)
        try:
            return decode_changes(response.body)
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


def _published_path(after: int | None) -> str:
    return PUBLISHED_PATH if after is None else f"{PUBLISHED_PATH}?after={after}"


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

    :param known: returns what is published after a position, or everything for
        None; raises HistoryLost, or PublishedError where that is not known.
    :param delegated: answers shards that another instance handed over.
    """

    def __init__(
        self,
        *,
        known: Callable[[int | None], PublishedChanges],
        delegated: Handler,
    ) -> None:
        self._known = known
        self._delegated = delegated

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a peer."""
        path, _, query = request.path.partition("?")
        if path == PUBLISHED_PATH:
            return self._give_known(query.removeprefix("after="))
        if path == DELEGATED_PATH:
            return await self._delegated(request)
        raise RequestRefused(
            reason=RefusalReason.NOT_FOUND, detail=f"no resource at {request.path}"
        )

    def _give_known(self, after: str) -> HttpResponse:
        try:
            changes = self._known(int(after) if after.isdigit() else None)
        except HistoryLost:
            return HttpResponse(status=_GONE)
        except PublishedError as error:
            raise RequestRefused(
                reason=RefusalReason.NOT_READY, detail=error.problem
            ) from error
        if changes.age > FRESH_COPY:
            raise RequestRefused(
                reason=RefusalReason.NOT_READY, detail="no fresh copy is known here"
            )
        return HttpResponse(
            status=200,
            headers=(Header(name="content-type", value=_MSGPACK),),
            body=encode_changes(changes),
        )
