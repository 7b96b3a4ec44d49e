"""Keeps the published state up to date."""

from collections.abc import Awaitable, Callable
from dataclasses import replace
from functools import partial
from math import inf
from random import Random
from typing import Any, Protocol, Self

from absl.logging import exception as log_exception
from curio import Event, sleep, spawn

from savorypond.clock import Clock
from savorypond.exceptions import HistoryLost, PublishedStateError
from savorypond.gateway.changelog import ChangeLog
from savorypond.gateway.published_state import (
    PeerSource,
    Position,
    PublishedChanges,
    PublishedSource,
    PublishedState,
    ServerChange,
)
from savorypond.gateway.routes import RouteTable
from savorypond.gateway.servers import RegisteredServer, ServerRegistry
from savorypond.logs import log_event
from savorypond.model import Counters
from savorypond.timeouts import ignore_after

# Every heartbeat changes a registration, so that a read each second finds changes. A
# leaving server is then noticed well before it stops serving.
READ_INTERVAL = 1.0  # seconds from the start of one read to the next
WATCH_WAIT = 1.0  # seconds that a read waits for a change
# While reads fail, peers are asked between them, so failing reads must be short.
FAILING_WATCH_WAIT = 0.1  # seconds
BASE_BACKOFF = 0.2  # seconds; doubled for each failed read
# Failed reads are expensive as well, and peers keep this instance up to date meanwhile.
MAX_BACKOFF = 2.0  # seconds after a failed read
PEER_INTERVAL = 0.7  # seconds between reads from peers meanwhile
MAX_READERS_ASKED = 3  # one after the other, before the source is read instead
# Readers and this instance both read each second, so what it knows is at most two
# seconds old while its reader is well. If it is older, the source is read, whatever
# readers say: a silent or outdated one would cost further time.
MAX_FOLLOWED_AGE = 2.2  # seconds
CATCH_UP_INTERVAL = 0.5  # seconds between reads from instances that are ahead
_MILLISECONDS = 1000.0  # per second
_LOGGED_FAILURES = (1, 10, 100, 1000)  # numbers of consecutive failures to log


class _PeerRead(Protocol):
    """Reads the changes after a position, or everything, from another instance."""

    def __call__(self, *, after: Position | None) -> Awaitable[PublishedChanges]: ...


class PublishedFeed:
    """Polls the source and holds the latest published state.

    The configuration is never replaced by an older version.

    :param peers: other instances, some of which read the source for this one, and all
        of which may be asked while it cannot be read.
    :param settle_time: seconds to wait for other instances, some of which may read the
        source for this one, before the first read.
    :param on_table: called with each new configuration.
    """

    def __init__(
        self,
        *,
        source: PublishedSource,
        registry: ServerRegistry,
        clock: Clock,
        random: Random,
        counters: Counters,
        peers: PeerSource,
        settle_time: float = 0.0,
        on_table: Callable[[RouteTable], None] = lambda table: None,
    ) -> None:
        self._source = source
        self._peers = peers
        self._registry = registry
        self._clock = clock
        self._random = random
        self._counters = counters
        self._settle_time = settle_time
        self._on_table = on_table
        self._table: RouteTable | None = None
        # None if everything has to be read anew.
        self._position: Position | None = None
        # The latest position known, which stays when everything is read anew.
        self._latest = Position(era=0, revision=0)
        self._read_at: float | None = None
        self._has_peer_state = False
        self._changelog = ChangeLog()
        # An instance that has shown a newer configuration, and its version.
        self._peer_ahead = ""
        self._version_ahead = 0
        self._is_peer_ahead = Event()
        self._caught_up_at = 0.0
        self._failures = 0
        self._task: Any = None

    @property
    def table(self) -> RouteTable | None:
        """The latest configuration, or None before the first."""
        return self._table

    @property
    def ready(self) -> bool:
        """Whether configuration and registrations are known."""
        return self._table is not None and (
            self._read_at is not None or self._has_peer_state
        )

    def changes_since(self, after: Position | None) -> PublishedChanges:
        """Return the changes after a position, or everything for None.

        :raises HistoryLost: these changes are no longer kept.
        :raises PublishedStateError: nothing has been read yet.
        """
        if self._table is None or self._position is None or self._read_at is None:
            raise PublishedStateError(
                source="this instance", problem="nothing has been read yet"
            )
        age = self.age(self._clock.now())
        if after is not None and after.era > self._position.era:
            raise PublishedStateError(
                source="this instance",
                problem=f"position {self._position} is of an earlier era than {after}",
            )
        if after is not None:
            return replace(self._changelog.since(after, self._position), age=age)
        servers = tuple(
            ServerChange(name=server.name, server=server)
            for server in self._registry.registered()
        )
        return PublishedChanges(
            position=self._position, table=self._table, servers=servers, age=age
        )

    def age(self, now: float) -> float:
        """Return the seconds since the source was last read."""
        return now - self._read_at if self._read_at is not None else now

    async def __aenter__(self) -> Self:
        self._task = await spawn(self._poll)
        return self

    async def __aexit__(self, *reason: object) -> None:
        await self._task.cancel()
        await self._source.close()

    async def notice_version(self, version: int, *, peer: str) -> None:
        """Read from the instance ``peer`` soon if its configuration is newer.

        Callers of this instance must not be served by an older configuration than
        backend servers have seen it use for that peer.
        """
        if self._table is None or version <= self._table.version:
            return
        now = self._clock.now()
        if self._caught_up_at and now < self._caught_up_at + CATCH_UP_INTERVAL:
            return
        if self._is_peer_ahead.is_set():
            return
        log_event(
            "configuration-behind", peer=peer, version=version, own=self._table.version
        )
        self._peer_ahead = peer
        self._version_ahead = version
        await self._is_peer_ahead.set()

    async def resync(self) -> None:
        """Read everything again immediately, for example after a pause."""
        # The cancelled read may still apply the changes after this position.
        await self._task.cancel()
        self._position = None
        await self._source.close()
        self._task = await spawn(self._poll)

    async def _settle(self) -> None:
        """Wait until the instances that read the source can be asked.

        Saves the source the complete reads of a whole fleet that starts at once.
        """
        if not self._settle_time:
            return
        settle_time, self._settle_time = self._settle_time, 0.0
        await sleep(settle_time)
        asked_at = self._clock.now()
        try:
            relayed = await self._peers.read_changes(after=None)
        except PublishedStateError as error:
            log_event("reader-failed", why=str(error))
            await sleep(PEER_INTERVAL)  # it may have started a little later
            return
        if relayed is not None:
            self._apply_relayed(relayed, asked_at)

    async def _poll(self) -> None:
        await self._settle()
        while True:
            started_at = self._clock.now()
            try:
                await self._read()
            except HistoryLost as error:
                self._position = None
                log_event("history-lost", why=str(error))
            except PublishedStateError as error:
                await self._back_off(error)
            except Exception as error:
                # Without this task the instance would never learn of a change again.
                log_exception("reading the published state failed")
                await self._back_off(
                    PublishedStateError(source="reader", problem=repr(error))
                )
            else:
                self._record_success()
                await self._wait_for_next_read(started_at)

    async def _wait_for_next_read(self, started_at: float) -> None:
        next_read = started_at + READ_INTERVAL
        if self._read_at is not None:
            next_read = min(next_read, self._read_at + MAX_FOLLOWED_AGE)
        await self._sleep_until(next_read)

    async def _sleep_until(self, time: float) -> None:
        """Sleep, but read from instances that are noticed to be ahead meanwhile."""
        while (remaining := time - self._clock.now()) > 0.0:
            async with ignore_after(remaining):
                await self._is_peer_ahead.wait()
            if not self._is_peer_ahead.is_set():
                return
            self._is_peer_ahead.clear()
            if self._table is None or self._table.version < self._version_ahead:
                read = partial(self._peers.read_from, self._peer_ahead)
                await self._read_from_peer(read)
                self._caught_up_at = self._clock.now()

    async def _read(self) -> None:
        if await self._read_from_reader():
            self._counters.add("published_reads", "relayed")
            return
        await self._read_source()
        self._read_at = self._clock.now()
        self._counters.add("published_reads", "read")

    async def _read_from_reader(self) -> bool:
        """Apply the changes from a reader; return False to read the source.

        One that fails is passed over from then on, so another one is asked.
        """
        for _ in range(MAX_READERS_ASKED):
            asked_at = self._clock.now()
            if self._read_at is not None and self.age(asked_at) >= MAX_FOLLOWED_AGE:
                return False
            try:
                relayed = await self._peers.read_changes(after=self._position)
                if relayed is None:
                    return False
                self._check_era(relayed)
                self._apply_relayed(relayed, asked_at)
                return True
            except PublishedStateError as error:
                log_event("reader-failed", why=str(error))
                self._counters.add("published_reads", "peer-failed")
        return False

    async def _read_source(self) -> None:
        if self._position is None:
            state = await self._source.read_all()
            self._registry.end_outage(self._clock.now())
            self._apply_state(state, source="store")
            return
        wait = FAILING_WATCH_WAIT if self._failures else WATCH_WAIT
        changes = await self._source.changes(after=self._position, wait=wait)
        self._registry.end_outage(self._clock.now())
        self._apply_changes(changes, source="store")

    def _check_era(self, changes: PublishedChanges) -> None:
        """Raise PublishedStateError if a peer has not noticed the latest era."""
        if changes.position.era < self._latest.era:
            raise PublishedStateError(
                source="peer",
                problem=f"position {changes.position} is before era {self._latest.era}",
            )

    def _apply_relayed(self, changes: PublishedChanges, asked_at: float) -> None:
        self._registry.end_outage(self._clock.now())
        self._apply_from_peer(changes, after=self._position, source="reader")
        self._record_peer_read(changes, asked_at)

    def _record_peer_read(self, changes: PublishedChanges, asked_at: float) -> None:
        """Record when the source was read for the changes that a peer was asked for.

        The peer stated their age at some time after it was asked.
        """
        read_at = asked_at - changes.age
        self._read_at = max(read_at, self._read_at or read_at)

    def _apply_from_peer(
        self, changes: PublishedChanges, *, after: Position | None, source: str
    ) -> None:
        """Apply the changes after a position, or everything for None."""
        if after is not None:
            self._apply_changes(changes, source=source)
            return
        servers = tuple(c.server for c in changes.servers if c.server is not None)
        state = PublishedState(
            position=changes.position, table=changes.table, servers=servers
        )
        self._apply_state(state, source=source)

    def _apply_state(self, state: PublishedState, *, source: str) -> None:
        now = self._clock.now()
        if self._latest.era < state.position.era and self._latest.revision:
            log_event(
                "store-restored", before=str(self._latest), at=str(state.position)
            )
            self._counters.add("published_reads", "restored")
            self._registry.restore(state.servers, now)
        else:
            self._registry.replace_all(state.servers, now)
        self._apply_table(state.table, source=source)
        self._position = self._latest = state.position
        self._changelog.restart(state.position)
        log_event(
            "read-all",
            source=source,
            position=str(state.position),
            servers=len(state.servers),
        )

    def _apply_changes(self, changes: PublishedChanges, *, source: str) -> None:
        now = self._clock.now()
        before = {server.name: server for server in self._registry.registered()}
        self._registry.apply(((c.name, c.server) for c in changes.servers), now)
        for change in changes.servers:
            _log_server(before.get(change.name), change.name, change.server)
        self._apply_table(changes.table, source=source)
        self._position = max(self._position or changes.position, changes.position)
        self._latest = self._position
        self._changelog.add(changes, before)

    def _apply_table(self, table: RouteTable | None, *, source: str) -> None:
        if table is None:
            return
        if self._table is not None and table.version <= self._table.version:
            return
        self._table = table
        log_event(
            "configuration",
            version=table.version,
            routes=len(table.routes),
            source=source,
            previous_age_ms=self._previous_age_ms(),
        )
        self._on_table(table)

    def _previous_age_ms(self) -> int | None:
        """Return the milliseconds since the read before, or None at the first one."""
        if self._read_at is None:
            return None
        return round(self.age(self._clock.now()) * _MILLISECONDS)

    def _record_success(self) -> None:
        if self._failures:
            log_event("published-regained", failures=self._failures)
        self._failures = 0
        self.expire_lapsed()

    def expire_lapsed(self) -> float:
        """Drop registrations whose grace period is over, unless reading fails.

        Return the seconds until the next one is over, or infinity.
        """
        if self._failures:
            return inf
        now = self._clock.now()
        for name in self._registry.expire(now):
            log_event("server-lapsed", server=name)
        return self._registry.next_expiry() - now

    async def _back_off(self, error: PublishedStateError) -> None:
        self._failures += 1
        self._registry.start_outage()
        self._counters.add("published_reads", "failed")
        if self._failures in _LOGGED_FAILURES:
            log_event("published-lost", failures=self._failures, why=str(error))
        backoff = min(BASE_BACKOFF * 2 ** min(self._failures, 8), MAX_BACKOFF)
        retry_at = self._clock.now() + backoff * self._random.uniform(0.5, 1.0)
        while self._clock.now() < retry_at:
            await self._read_from_peer(self._peers.read_any)
            await self._sleep_until(min(retry_at, self._clock.now() + PEER_INTERVAL))

    async def _read_from_peer(self, read: _PeerRead) -> None:
        """Apply what ``read`` returns for the position of the last known change."""
        try:
            await self._apply_read(read)
        except Exception:
            # As in _poll: the task must go on.
            log_exception("reading the published state from a peer failed")
            self._counters.add("published_reads", "peer-failed")

    async def _apply_read(self, read: _PeerRead) -> None:
        after = self._position
        asked_at = self._clock.now()
        try:
            try:
                changes = await read(after=after)
            except HistoryLost:
                after = None
                changes = await read(after=None)
            self._check_era(changes)
        except (HistoryLost, PublishedStateError) as error:
            self._counters.add("published_reads", "peer-failed")
            if not self._failures or self._failures in _LOGGED_FAILURES:
                log_event("no-peer-copy", why=str(error))
            return
        self._counters.add("published_reads", "peer")
        self._record_peer_read(changes, asked_at)
        if self._position is None or changes.position > self._position:
            self._has_peer_state = True
            self._apply_from_peer(changes, after=after, source="peer")


def _log_server(
    before: RegisteredServer | None, name: str, after: RegisteredServer | None
) -> None:
    """Log a registration that was added, removed or started to leave."""
    if after is None:
        if before is not None:
            log_event("server-removed", server=name, service=before.service)
    elif before is None or before.started != after.started:
        log_event("server-added", server=name, service=after.service)
    elif after.leaving and not before.leaving:
        log_event("server-leaving", server=name, service=after.service)
