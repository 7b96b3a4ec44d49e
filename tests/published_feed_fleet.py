"""A fleet of instances that keep the published state up to date, on a virtual clock.

The instances, the way they select readers and their messages are the real ones. The
store, the connections and the membership are simulated, with troubles of instances.
"""

from collections.abc import Callable
from dataclasses import dataclass
from functools import cache
from random import Random

from curio import Lock, TaskTimeout, sleep, timeout_after

from savorypond.exceptions import (
    BackendServerError,
    HistoryLost,
    PublishedStateError,
    RequestRefused,
)
from savorypond.gateway.peers import PeerClient, PeerHandler
from savorypond.gateway.published_feed import PublishedFeed
from savorypond.gateway.published_state import (
    Position,
    PublishedChanges,
    PublishedState,
)
from savorypond.gateway.reader_selection import ReaderSelection
from savorypond.gateway.routes import Route, RouteTable, WeightedService
from savorypond.gateway.servers import ServerRegistry
from savorypond.http.messages import HttpResponse
from savorypond.model import Address, Counters, Instance, InstanceState
from tests.virtual_kernel import VirtualTime, run_virtually

DATA_CENTRES = 3
LOCAL_DELAY = 0.0005  # seconds one way inside a data centre
REMOTE_DELAY = 0.004  # seconds one way between data centres
STORE_DELAY = 0.008  # seconds for an answer of the store
STORED_ROUTE_BYTES = 330  # of a route as the store sends it
STORE_READ_TIMEOUT = 1.0  # seconds
STORE_WATCH_MARGIN = 0.5  # seconds beyond the wait of a watch
HEARTBEATS = 100.0  # registrations renewed in a second
HISTORY = 20.0  # seconds
# An instance that does not answer is noticed by the others after some time.
DETECTION_TIME = (2.0, 5.0)  # seconds
RETURN_TIME = 1.0  # seconds until one that is back is noticed
SETTLING_TIME = 5.0  # seconds without trouble after which an instance is calm
SAMPLE_INTERVAL = 0.05  # seconds
LINK_BYTES = 1.25e6  # that the link of an instance sends in a second
CHUNK_BYTES = 8192  # after which another transfer of the link continues
SETTLE_TIME = 0.2  # seconds at the start; all instances know each other
NEVER = 1000.0  # seconds, longer than any run


@dataclass(frozen=True, kw_only=True)
class Trouble:
    """A trouble of one instance.

    :param kind: "store": it does not reach the store; "refused": the store refuses it;
        "cut": it reaches nobody; "frozen": it does not run; "slow": its answers take
        ``delay`` seconds.
    """

    kind: str
    instance: int
    start: float
    end: float
    delay: float = 0.0


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """What happens in one run.

    :param changes: seconds at which a new version of the configuration is published,
        with the number of its routes.
    """

    instances: int = 66
    duration: float = 30.0
    changes: tuple[tuple[float, int], ...] = ()
    troubles: tuple[Trouble, ...] = ()
    seed: int = 1


@dataclass(frozen=True, kw_only=True)
class Lag:
    """A version that a calm instance did not have ``seconds`` after it was published.

    :param seconds: until the instance had it, or until the end of the run.
    """

    instance: int
    version: int
    seconds: float


class SimulatedStore:
    """The store, which has a new revision for each renewed registration."""

    def __init__(self, clock: VirtualTime):
        self._clock = clock
        self._start = clock.now()
        self._tables: list[tuple[int, RouteTable]] = []
        self.reads = 0

    @property
    def revision(self):
        return int((self._clock.now() - self._start + 1.0) * HEARTBEATS)

    def publish(self, version, routes=1):
        # A read at this moment may have returned the current revision already.
        self._tables.append((self.revision + 1, _table(version, routes)))

    def read_all(self):
        self.reads += 1
        position = Position(era=1, revision=self.revision)
        return PublishedState(position=position, table=self._tables[-1][1], servers=())

    def changes(self, after):
        self.reads += 1
        if after.revision < self.revision - HISTORY * HEARTBEATS:
            raise HistoryLost(source="store", position=after)
        newer = [table for at, table in self._tables if at > after.revision]
        return PublishedChanges(
            position=Position(era=1, revision=self.revision),
            table=newer[-1] if newer else None,
            servers=(),
        )


class _Source:
    """The connection of one instance to the store."""

    def __init__(self, node, store):
        self._node = node
        self._store = store

    async def read_all(self):
        await self._reach(STORE_READ_TIMEOUT)
        return self._store.read_all()

    async def changes(self, *, after, wait):
        await self._reach(wait + STORE_WATCH_MARGIN)
        changes = self._store.changes(after)
        if changes.table is not None:
            await sleep(len(changes.table.routes) * STORED_ROUTE_BYTES / LINK_BYTES)
        return changes

    async def close(self):
        pass

    async def _reach(self, time_limit):
        await self._node.thawed()
        if self._node.has("store") or self._node.has("cut"):
            await sleep(time_limit)
            raise PublishedStateError(source="store", problem="no answer in time")
        await sleep(STORE_DELAY)
        await self._node.thawed()
        if self._node.has("refused"):
            raise PublishedStateError(source="store", problem="unexpected status 429")


class _Connection:
    def __init__(self, source, target):
        self._source = source
        self._target = target

    async def __aenter__(self):
        return self

    async def __aexit__(self, kind, error, trace):
        if kind is not None:
            self._source.connected.discard(self._target)

    async def request(self, request, *, on_bytes, max_silence):
        try:
            async with timeout_after(max_silence):
                response = await self._first_bytes(request)
        except TaskTimeout as error:
            raise BackendServerError(server="", problem="silence", sent=True) from error
        await self._receive(response, on_bytes)
        return response

    async def _first_bytes(self, request):
        source, target = self._source, self._target
        await self._pass(source, target)
        await sleep(target.answer_delay)
        try:
            response = await target.handler.handle(request)
        except RequestRefused:
            response = HttpResponse(status=503)
        await self._pass(target, source)
        return response

    async def _receive(self, response, on_bytes):
        """Receive the body over the link, which the other transfers share."""
        for _ in range(0, len(response.body), CHUNK_BYTES):
            async with self._target.link:
                await sleep(CHUNK_BYTES / LINK_BYTES)
            on_bytes(CHUNK_BYTES)

    async def _pass(self, sender, receiver):
        """Deliver a message; never, if one of the two is cut off."""
        await sender.thawed()
        await sleep(sender.delay_to(receiver))
        if sender.has("cut") or receiver.has("cut"):
            self._source.connected.discard(self._target)
            await sleep(NEVER)
        await receiver.thawed()


class _Pools:
    """The connections of one instance to others."""

    def __init__(self, node):
        self._node = node

    async def lease(self, server, *, fresh, connect_timeout):
        node, target = self._node, self._node.fleet.by_address[server.address]
        await node.thawed()
        if target not in node.connected:
            if node.has("cut") or target.has("cut") or target.has("frozen"):
                await sleep(connect_timeout)
                raise BackendServerError(
                    server=server.name, problem="no connection", sent=False
                )
            await sleep(2 * node.delay_to(target))
            node.connected.add(target)
        return _Connection(node, target)


class _Node:
    """One instance."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number
        self.clock = fleet.clock
        self.data_centre = f"dc{number % DATA_CENTRES}"
        self.instance = Instance(
            name=f"10.{number % DATA_CENTRES}.0.{number}",
            data_centre=self.data_centre,
            peer_address=Address(host=f"10.0.0.{number}", port=1000),
            incarnation=1,
            state=InstanceState.LIVE,
        )
        self.troubles = tuple(
            t for t in fleet.scenario.troubles if t.instance == number
        )
        self.detection = fleet.random.uniform(*DETECTION_TIME)
        self.connected: set[_Node] = set()
        self.link = Lock()
        random = Random(fleet.random.random())
        counters = Counters()
        client = PeerClient(
            pools=_Pools(self),
            peers=self.peers,
            reader_selection=ReaderSelection(
                own_name=self.instance.name, data_centre=self.data_centre
            ),
            clock=self.clock,
            random=random,
        )
        self.feed = PublishedFeed(
            source=_Source(self, fleet.store),
            registry=ServerRegistry(),
            clock=self.clock,
            random=random,
            counters=counters,
            peers=client,
            settle_time=SETTLE_TIME,
        )
        self.handler = PeerHandler(
            changes_since=self.feed.changes_since,
            handle_delegated=_not_handled,
            handle_follow_up=_not_handled,
            handle_rate_claims=_not_handled,
            handle_crashes=_not_handled,
        )

    @property
    def version(self):
        return self.feed.table.version if self.feed.table is not None else 0

    @property
    def answer_delay(self):
        now = self.fleet.time
        return max(
            (t.delay for t in self.troubles if t.start <= now < t.end), default=0.0
        )

    def has(self, kind):
        now = self.fleet.time
        return any(t.kind == kind and t.start <= now < t.end for t in self.troubles)

    def is_calm(self, now):
        """Return whether the instance should be up to date, by others if need be."""
        return not any(
            t.start <= now < t.end + SETTLING_TIME
            for t in self.troubles
            if t.kind != "refused"
        )

    async def thawed(self):
        """Wait until the instance runs."""
        now = self.fleet.time
        for trouble in self.troubles:
            if trouble.kind == "frozen" and trouble.start <= now < trouble.end:
                await sleep(trouble.end - now)

    def delay_to(self, other):
        is_local = other.data_centre == self.data_centre
        base = LOCAL_DELAY if is_local else REMOTE_DELAY
        return base * self.fleet.random.uniform(1.0, 2.0)

    def peers(self):
        now = self.fleet.time
        return tuple(
            node.instance
            for node in self.fleet.nodes
            if node is not self and not node.is_seen_as_gone(now)
        )

    def is_seen_as_gone(self, now):
        return any(
            t.kind in ("cut", "frozen")
            and t.start + self.detection <= now < t.end + RETURN_TIME
            for t in self.troubles
        )


class PublishedFeedFleet:
    """Plays a scenario and returns where calm instances were out of date."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.random = Random(scenario.seed)
        self.clock = VirtualTime()
        self.start = self.clock.now()
        self.store = SimulatedStore(self.clock)
        self.nodes = tuple(_Node(self, n) for n in range(scenario.instances))
        self.by_address = {n.instance.peer_address: n for n in self.nodes}

    @property
    def time(self) -> float:
        """Seconds since the start of the run."""
        return self.clock.now() - self.start

    def run(self, *, on_sample: Callable[[], None] = lambda: None) -> list[Lag]:
        """Play the scenario; return the lag of each calm instance and version."""
        return run_virtually(lambda: self._play(on_sample), self.clock)

    async def _play(self, on_sample):
        self.store.publish(1)
        for node in self.nodes:
            await node.feed.__aenter__()
        published = {}
        behind = {}
        pending = list(self.scenario.changes)
        while self.time < self.scenario.duration:
            await sleep(SAMPLE_INTERVAL)
            now = self.time
            while pending and pending[0][0] <= now:
                version = len(published) + 2
                self.store.publish(version, pending.pop(0)[1])
                published[version] = now
            for version, since in published.items():
                for node in self.nodes:
                    if node.version < version and node.is_calm(now):
                        behind[node.number, version] = now - since
            on_sample()
        for node in self.nodes:
            await node.feed.__aexit__()
        return [
            Lag(instance=instance, version=version, seconds=seconds)
            for (instance, version), seconds in sorted(behind.items())
        ]


def _table(version, count):
    """Return a table of ``count`` routes, of which one differs in each version."""
    return RouteTable(
        version=version, routes=(_route("r", version), *_more_routes(count - 1))
    )


@cache
def _more_routes(count):
    random = Random(count)
    return tuple(
        _route(f"r-{random.randbytes(4).hex()}", random.getrandbits(40))
        for _ in range(count)
    )


def _route(name, number):
    return Route(
        name=name,
        host=f"host{number % 7}.example",
        prefix=f"/{number:x}/",
        idempotent=True,
        time_limit=1.2,
        goal=0.15,
        max_attempts=3,
        split=(WeightedService(service=f"service-{number % 11}", weight=1.0),),
    )


async def _not_handled(request):
    raise AssertionError(f"not simulated: {request.path}")
