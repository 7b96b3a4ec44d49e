"""Communication with other instances: published state and delegated requests."""

from collections.abc import Callable, Sequence
from random import Random

from curio import TaskTimeout
from msgspec import DecodeError

from savorypond.clock import Clock
from savorypond.exceptions import (
    BackendServerError,
    HistoryLost,
    PoolExhausted,
    PublishedStateError,
    RequestRefused,
)
from savorypond.gateway.connection_pool import ConnectionPools
from savorypond.gateway.published_messages import PublishedEncoder, decode_changes
from savorypond.gateway.published_state import Position, PublishedChanges
from savorypond.gateway.reader_selection import ReaderSelection
from savorypond.gateway.servers import RegisteredServer
from savorypond.http.messages import Handler, Header, HttpRequest, HttpResponse
from savorypond.model import Address, Instance, InstanceState
from savorypond.reasons import RefusalReason
from savorypond.timeouts import timeout_after

PUBLISHED_PATH = "/peer/published"
DELEGATED_PATH = "/peer/delegated"
FOLLOW_UP_PATH = "/peer/delegated/rest"
RATES_PATH = "/peer/rates"
CRASHES_PATH = "/peer/crashes"
PEER_SERVICE = ""  # service name of peers in the connection pools
# Several round trips between data centres, after which a request can still be answered.
CONNECT_TIMEOUT = 0.05  # seconds
MAX_STATE_AGE = 3.0  # seconds since the store was read, for state sent to peers
# Those that read the store do so each second.
MAX_READER_AGE = 2.0  # seconds since the store was read, for state used from a reader
# The whole local data centre may be disconnected from the store at once.
LOCAL_SHARE = 0.75  # of the reads from peers that go to the same data centre
READ_TIMEOUT = 2.0  # seconds for reading the published state from a peer
# A peer answers at once, unless it is paused, disconnected or its link is full.
MAX_READ_SILENCE = 0.5  # seconds without a byte of the published state
_MSGPACK = "application/msgpack"
# Request header of instances that understand messages with compressed parts.
_ACCEPTS_HEADER = "peer-accepts"
_COMPRESSED = "compressed"
_GONE = 410


class SeedList:
    """The instances named in the settings, some of which may no longer exist.

    Their names are their IP addresses, as for all instances.
    """

    def __init__(self, *, own_name: str, seeds: Sequence[str], port: int) -> None:
        self._own_name = own_name
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
            if seed != self._own_name
        )


class PeerClient:
    """Sends requests to other instances.

    :param peers: returns the live instances other than this one.
    :param reader_selection: selects the instances that read the store.
    """

    def __init__(
        self,
        *,
        pools: ConnectionPools,
        peers: Callable[[], Sequence[Instance]],
        reader_selection: ReaderSelection,
        clock: Clock,
        random: Random,
    ) -> None:
        self._pools = pools
        self._peers = peers
        self._reader_selection = reader_selection
        self._clock = clock
        self._random = random

    async def read_any(self, *, after: Position | None) -> PublishedChanges:
        """Return the changes known to some other instance.

        Most reads go to the same data centre, because traffic between data centres
        is expensive.

        :raises HistoryLost: that instance no longer has these changes.
        :raises PublishedStateError: it has no recent state.
        """
        peers = list(self._peers())
        if not peers:
            raise PublishedStateError(source="peers", problem="no live peer is known")
        local = [
            peer
            for peer in peers
            if peer.data_centre == self._reader_selection.data_centre
        ]
        if local and self._random.random() < LOCAL_SHARE:
            peers = local
        return await self._read(self._random.choice(peers), _published_path(after))

    async def read_from(self, name: str, *, after: Position | None) -> PublishedChanges:
        """Return the changes known to the instance ``name``.

        :raises HistoryLost: that instance no longer has these changes.
        :raises PublishedStateError: it has no recent state, or is not known.
        """
        for peer in self._peers():
            if peer.name == name:
                return await self._read(peer, _published_path(after))
        raise PublishedStateError(source=name, problem="it is not a live peer")

    async def read_changes(self, *, after: Position | None) -> PublishedChanges | None:
        """Return the changes known to a reader of the store.

        Return None if this instance must read the store itself.

        :raises HistoryLost: the reader no longer has these changes.
        :raises PublishedStateError: the reader has no recent state.
        """
        reader = self._reader_selection.reader(self._peers(), self._clock.now())
        if reader is None:
            return None
        try:
            changes = await self._read(reader, _published_path(after))
            if changes.age > MAX_READER_AGE:
                problem = f"its state is {changes.age:.1f} s old"
                raise PublishedStateError(source=reader.name, problem=problem)
        except PublishedStateError:
            self._reader_selection.record_failure(reader, self._clock.now())
            raise
        return changes

    async def _read(self, peer: Instance, path: str) -> PublishedChanges:
        accepted = Header(name=_ACCEPTS_HEADER, value=_COMPRESSED)
        request = HttpRequest(method="GET", path=path, headers=(accepted,))
        received = _ReceivedBytes()
        try:
            async with timeout_after(READ_TIMEOUT):
                response = await self.send(
                    peer, request, on_bytes=received.add, max_silence=MAX_READ_SILENCE
                )
        except TaskTimeout as error:
            problem = f"no complete answer in {READ_TIMEOUT} s: {received.count} bytes"
            raise PublishedStateError(source=peer.name, problem=problem) from error
        except (BackendServerError, PoolExhausted) as error:
            raise PublishedStateError(source=peer.name, problem=str(error)) from error
        if response.status == _GONE:
            raise HistoryLost(source=peer.name, position=path.partition("=")[2])
        if response.status != 200:
            problem = f"status {response.status}"
            raise PublishedStateError(source=peer.name, problem=problem)
        try:
            return decode_changes(response.body)
        except DecodeError as error:
            raise PublishedStateError(source=peer.name, problem=str(error)) from error

    async def send(
        self,
        peer: Instance,
        request: HttpRequest,
        *,
        on_bytes: Callable[[int], None] = lambda size: None,
        max_silence: float | None = None,
    ) -> HttpResponse:
        """Return the response of ``peer``.

        :param on_bytes: called with the number of bytes that have been received.
        :param max_silence: seconds without a byte of the response after which it fails.
        :raises BackendServerError: the connection failed.
        :raises PoolExhausted: too many requests to the peer are in flight.
        """
        lease = await self._pools.lease(
            _as_server(peer), fresh=False, connect_timeout=CONNECT_TIMEOUT
        )
        async with lease as connection:
            return await connection.request(
                request, on_bytes=on_bytes, max_silence=max_silence
            )


class _ReceivedBytes:
    """Counts the bytes of a response."""

    def __init__(self) -> None:
        self._count = 0

    @property
    def count(self) -> int:
        """Number of bytes received."""
        return self._count

    def add(self, size: int) -> None:
        """Count ``size`` more bytes."""
        self._count += size


def _published_path(after: Position | None) -> str:
    return PUBLISHED_PATH if after is None else f"{PUBLISHED_PATH}?after={after}"


def _parse_position(text: str) -> Position | None:
    """Return the position in ``text``, or None if it is not one."""
    era, _, revision = text.partition(".")
    if not (text.isascii() and era.isdigit() and revision.isdigit()):
        return None
    return Position(era=int(era), revision=int(revision))


def _as_server(peer: Instance) -> RegisteredServer:
    """Return ``peer`` as a server for the connection pools."""
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
    """Handles the requests of other instances.

    :param changes_since: returns the changes after a position, or everything for None;
        raises HistoryLost or PublishedStateError if they are not known.
    :param handle_delegated: handles requests for delegated shards.
    :param handle_follow_up: handles requests for shards that an answer left out.
    :param handle_rate_claims: handles claims of shares of servers' rate limits.
    :param handle_crashes: handles news of servers that crashed under requests.
    """

    def __init__(
        self,
        *,
        changes_since: Callable[[Position | None], PublishedChanges],
        handle_delegated: Handler,
        handle_follow_up: Handler,
        handle_rate_claims: Handler,
        handle_crashes: Handler,
    ) -> None:
        self._encoder = PublishedEncoder()
        self._changes_since = changes_since
        self._handle_delegated = handle_delegated
        self._handle_follow_up = handle_follow_up
        self._handle_rate_claims = handle_rate_claims
        self._handle_crashes = handle_crashes

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to ``request``."""
        path, _, query = request.path.partition("?")
        if path == PUBLISHED_PATH:
            accepted = request.header(_ACCEPTS_HEADER)
            return self._send_published(
                query.removeprefix("after="), compressed=accepted == _COMPRESSED
            )
        if path == DELEGATED_PATH:
            return await self._handle_delegated(request)
        if path == FOLLOW_UP_PATH:
            return await self._handle_follow_up(request)
        if path == RATES_PATH:
            return await self._handle_rate_claims(request)
        if path == CRASHES_PATH:
            return await self._handle_crashes(request)
        raise RequestRefused(
            reason=RefusalReason.NOT_FOUND, detail=f"no resource at {request.path}"
        )

    def _send_published(self, after: str, *, compressed: bool) -> HttpResponse:
        try:
            changes = self._changes_since(_parse_position(after))
        except HistoryLost:
            return HttpResponse(status=_GONE)
        except PublishedStateError as error:
            raise RequestRefused(
                reason=RefusalReason.NOT_READY, detail=error.problem
            ) from error
        if changes.age > MAX_STATE_AGE:
            raise RequestRefused(
                reason=RefusalReason.NOT_READY,
                detail="the published state known here is too old",
            )
        return HttpResponse(
            status=200,
            headers=(Header(name="content-type", value=_MSGPACK),),
            body=self._encoder.encode(changes, compressed=compressed),
        )
