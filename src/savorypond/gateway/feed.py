"""Keeps what is published up to date."""

from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any, Self

from curio import sleep, spawn

from savorypond.clock import Clock
from savorypond.exceptions import HistoryLost, PublishedError
from savorypond.gateway.changelog import ChangeLog
from savorypond.gateway.published_state import (
    PeerSource,
    PublishedChanges,
    PublishedSource,
    PublishedState,
    ServerChange,
)
from savorypond.gateway.routes import RouteTable
from savorypond.gateway.servers import RegisteredServer, ServerRegistry
from savorypond.logs import log_event
from savorypond.model import Counters

# Registrations change at every heartbeat: a read a second finds some, and one that
# leaves is known well inside the seconds that it goes on serving.
READ_INTERVAL = 1.0  # seconds from the start of one read to the next
READ_WAIT = 1.0  # seconds that a read waits for a change
# While reads fail, other instances are asked in between: vain reads must be short.
FAILING_WAIT = 0.1  # seconds
FIRST_PAUSE = 0.2  # seconds after a first failed read
# Each vain read has its price; what peers know keeps this instance up to date.
LONGEST_PAUSE = 2.0  # seconds after a failed read
PEER_INTERVAL = 0.7  # seconds between two looks at what peers know meanwhile
_FAILURES_LOGGED = (1, 10, 100, 1000)  # failures in a row that are logged


class PublishedFeed:
    """Reads the source again and again, and holds what it said last.

    The configuration never goes back to an older version.

    :param peers: other instances: some read the source for this one, and all may
        be asked while it cannot be read.
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
        on_table: Callable[[RouteTable], None] = lambda table: None,
    ) -> None:
        self._source = source
        self._peers = peers
        self._registry = registry
        self._clock = clock
        self._random = random
        self._counters = counters
        self._on_table = on_table
        self._table: RouteTable | None = None
        self._position: int | None = None
        self._read_at: float | None = None
        self._copied = False
        self._log = ChangeLog()
        self._failures = 0
        self._task: Any = None

    @property
    def table(self) -> RouteTable | None:
        """The newest configuration, or None before the first."""
        return self._table

    @property
    def ready(self) -> bool:
        """Whether configuration and registrations are known."""
        return self._table is not None and (self._read_at is not None or self._copied)

    def known(self, after: int | None) -> PublishedChanges:
        """Return what is published after a position, or everything for None.

        :raises HistoryLost: these changes are no longer known.
        :raises PublishedError: nothing has been read yet.
        """
        if self._table is None or self._position is None or self._read_at is None:
            raise PublishedError(source="this instance", problem="nothing is known yet")
        age = self.age(self._clock.now())
        if after is not None:
            return replace(self._log.since(after, self._position), age=age)
        servers = tuple(
            ServerChange(name=one.name, server=one) for one in self._registry.all()
        )
        return PublishedChanges(
            position=self._position, table=self._table, servers=servers, age=age
        )

    def age(self, now: float) -> float:
        """Return the seconds since the source was last read."""
        return now - self._read_at if self._read_at is not None else now

    async def __aenter__(self) -> Self:
        self._task = await spawn(self._follow)
        return self

    async def __aexit__(self, *reason: object) -> None:
        await self._task.cancel()
        await self._source.close()

    async def distrust(self) -> None:
        """Read everything anew at once, for example after a pause."""
        self._position = None
        await self._task.cancel()
        await self._source.close()
        self._task = await spawn(self._follow)

    async def _follow(self) -> None:
        while True:
            began = self._clock.now()
            try:
                await self._read()
            except HistoryLost as error:
                self._position = None
                log_event("history-lost", why=str(error))
            except PublishedError as error:
                await self._fail(error)
            else:
                self._succeed()
                await sleep(max(0.0, began + READ_INTERVAL - self._clock.now()))

    async def _read(self) -> None:
        try:
            relayed = await self._peers.read_changes(after=self._position)
        except PublishedError as error:
            log_event("reader-failed", why=str(error))
            self._counters.add("published_reads", "peer-failed")
            relayed = None
        if relayed is not None:
            self._counters.add("published_reads", "relayed")
            self._take_relayed(relayed)
            return
        await self._read_source()
        self._read_at = self._clock.now()
        self._counters.add("published_reads", "read")

    async def _read_source(self) -> None:
        if self._position is None:
            copy = await self._source.read_all()
            self._registry.note_back(self._clock.now())
            self._take_copy(copy, source="store")
            return
        wait = FAILING_WAIT if self._failures else READ_WAIT
        changes = await self._source.changes(after=self._position, wait=wait)
        self._registry.note_back(self._clock.now())
        self._take_changes(changes)

    def _take_relayed(self, changes: PublishedChanges) -> None:
        now = self._clock.now()
        self._registry.note_back(now)
        self._read_at = now - changes.age
        self._take_from_peer(changes, after=self._position, source="reader")

    def _take_from_peer(
        self, changes: PublishedChanges, *, after: int | None, source: str
    ) -> None:
        """Take what changed after a position, or everything for None."""
        if after is not None:
            self._take_changes(changes)
            return
        servers = tuple(c.server for c in changes.servers if c.server is not None)
        copy = PublishedState(
            position=changes.position, table=changes.table, servers=servers
        )
        self._take_copy(copy, source=source)

    def _take_copy(self, copy: PublishedState, *, source: str) -> None:
        self._registry.replace_all(copy.servers, self._clock.now())
        self._take_table(copy.table)
        self._position = copy.position
        self._log.restart(copy.position)
        log_event(
            "read-all",
            source=source,
            position=copy.position,
            servers=len(copy.servers),
        )

    def _take_changes(self, changes: PublishedChanges) -> None:
        now = self._clock.now()
        before = {server.name: server for server in self._registry.all()}
        self._registry.apply(((c.name, c.server) for c in changes.servers), now)
        for change in changes.servers:
            _log_server(before.get(change.name), change.name, change.server)
        self._take_table(changes.table)
        self._position = max(self._position or 0, changes.position)
        self._log.add(changes, before)

    def _take_table(self, table: RouteTable | None) -> None:
        if table is None:
            return
        if self._table is not None and table.version <= self._table.version:
            return
        self._table = table
        log_event("configuration", version=table.version, routes=len(table.routes))
        self._on_table(table)

    def _succeed(self) -> None:
        if self._failures:
            log_event("published-regained", failures=self._failures)
        self._failures = 0
        for name in self._registry.expire(self._clock.now()):
            log_event("server-lapsed", server=name)

    async def _fail(self, error: PublishedError) -> None:
        self._failures += 1
        self._registry.note_lost()
        self._counters.add("published_reads", "failed")
        if self._failures in _FAILURES_LOGGED:
            log_event("published-lost", failures=self._failures, why=str(error))
        pause = min(FIRST_PAUSE * 2 ** min(self._failures, 8), LONGEST_PAUSE)
        until = self._clock.now() + pause * self._random.uniform(0.5, 1.0)
        while (left := until - self._clock.now()) > 0.0:
            await self._ask_peer()
            await sleep(min(left, PEER_INTERVAL))

    async def _ask_peer(self) -> None:
        after = self._position
        try:
            try:
                changes = await self._peers.read_any(after=after)
            except HistoryLost:
                after = None
                changes = await self._peers.read_any(after=None)
        except (HistoryLost, PublishedError) as error:
            self._counters.add("published_reads", "peer-failed")
            if self._failures in _FAILURES_LOGGED:
                log_event("no-peer-copy", why=str(error))
            return
        self._counters.add("published_reads", "peer")
        if self._position is None or changes.position > self._position:
            self._copied = True
            self._take_from_peer(changes, after=after, source="peer")


def _log_server(
    before: RegisteredServer | None, name: str, after: RegisteredServer | None
) -> None:
    """Log a registration that changed in more than its heartbeat."""
    if after is None:
        if before is not None:
            log_event("server-removed", server=name, service=before.service)
    elif before is None or before.started != after.started:
        log_event("server-added", server=name, service=after.service)
    elif after.leaving and not before.leaving:
        log_event("server-leaving", server=name, service=after.service)
