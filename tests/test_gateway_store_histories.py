"""Plays random histories of the store, with restores, to a reader and to a follower."""

from random import Random
from unittest import TestCase

from curio import run
from hypothesis import given, settings, strategies as st

from savorypond.exceptions import HistoryLost, PublishedStateError
from savorypond.gateway.published_feed import PublishedFeed
from savorypond.gateway.published_state import (
    Position,
    PublishedChanges,
    PublishedState,
    ServerChange,
)
from savorypond.gateway.routes import RouteTable
from savorypond.gateway.servers import ServerRegistry
from savorypond.model import Counters
from tests.gateway_fakes import server

HISTORY = 20  # revisions that the store keeps
GRACE = 10.0  # seconds, longer than any grace period of a registration
NAMES = ("x", "y", "z")


class Clock:
    def __init__(self):
        self.time = 1.0

    def now(self):
        return self.time


class ModelStore:
    """The store: the newest configuration, registrations and recent changes."""

    def __init__(self):
        self.era = 1
        self.revision = 0
        self.changes_by_revision = {}
        self.servers = {}
        self.version = 0
        self.copies = []
        self.publish(1)

    def publish(self, version):
        self.version = version
        self._add(table=RouteTable(version=version, routes=()))

    def register(self, name, *, leaving=False):
        self.servers[name] = server(name, leaving=leaving)
        self._add(change=ServerChange(name=name, server=self.servers[name]))

    def renew(self):
        """Renew all registrations, as servers do every second."""
        for name, registered in list(self.servers.items()):
            self.register(name, leaving=registered.leaving)

    def remove(self, name):
        if self.servers.pop(name, None) is not None:
            self._add(change=ServerChange(name=name, server=None))

    def copy(self):
        changes = dict(self.changes_by_revision)
        self.copies.append((self.revision, changes, dict(self.servers), self.version))

    def restore(self, index):
        """Return to a copy; its writers then write again what they wrote last."""
        if not self.copies:
            return
        latest, live = self.version, dict(self.servers)
        copy = self.copies[index % len(self.copies)]
        self.revision, self.changes_by_revision, servers, self.version = copy
        self.changes_by_revision = dict(self.changes_by_revision)
        self.servers = dict(servers)
        self.copies = []
        self.era += 1
        for name in set(self.servers) - set(live):
            self.remove(name)
        for name, registered in live.items():
            self.register(name, leaving=registered.leaving)
        if latest > self.version:
            self.publish(latest)

    def _add(self, *, table=None, change=None):
        self.revision += 1
        self.changes_by_revision[self.revision] = (table, change)

    @property
    def position(self):
        return Position(era=self.era, revision=self.revision)

    async def read_all(self):
        return PublishedState(
            position=self.position,
            table=RouteTable(version=self.version, routes=()),
            servers=tuple(self.servers.values()),
        )

    async def changes(self, *, after, wait):
        oldest = self.revision - HISTORY
        if after.era != self.era or not oldest <= after.revision <= self.revision:
            raise HistoryLost(source="store", position=after)
        table, changes = None, {}
        for revision in range(after.revision + 1, self.revision + 1):
            new_table, change = self.changes_by_revision[revision]
            table = new_table or table
            if change is not None:
                changes[change.name] = change  # the last one of each server counts
        return PublishedChanges(
            position=self.position, table=table, servers=tuple(changes.values())
        )

    async def close(self):
        pass


class ReaderItself:
    async def read_changes(self, *, after):
        return None

    async def read_any(self, *, after):
        raise PublishedStateError(source="peers", problem="no live peer is known")


class Follower(ReaderItself):
    def __init__(self, reader):
        self._reader = reader

    async def read_changes(self, *, after):
        return self._reader.changes_since(after)


class Fleet:
    """A reader of the store and an instance that reads from it."""

    def __init__(self):
        self.store = ModelStore()
        self.clock = Clock()
        self.reader = self.make_feed(ReaderItself())
        self.follower = self.make_feed(Follower(self.reader))
        self.feeds = (self.reader, self.follower)
        self.versions = dict.fromkeys(self.feeds, 0)

    def make_feed(self, peers):
        return PublishedFeed(
            source=self.store,
            registry=ServerRegistry(),
            clock=self.clock,
            random=Random(1),
            counters=Counters(),
            peers=peers,
        )

    async def read(self, feed):
        try:
            await feed._read()
        except HistoryLost:
            feed._position = None
            await feed._read()
        feed._record_success()
        assert feed.table.version >= self.versions[feed]
        self.versions[feed] = feed.table.version

    def registered(self, feed):
        return {s.name for s in feed._registry.all() if not s.leaving}


STEPS = st.one_of(
    st.tuples(st.just("publish")),
    st.tuples(st.just("register"), st.sampled_from(NAMES)),
    st.tuples(st.just("leave"), st.sampled_from(NAMES)),
    st.tuples(st.just("remove"), st.sampled_from(NAMES)),
    st.tuples(st.just("copy")),
    st.tuples(st.just("restore"), st.integers(0, 3)),
    st.tuples(st.just("read"), st.integers(0, 1)),
)


class LapsedServerTests(TestCase):
    """Servers whose registrations lapsed while the store was away."""

    def play(self, test):
        async def play():
            fleet = Fleet()
            fleet.store.register("x")
            await fleet.read(fleet.reader)
            for feed in fleet.feeds:
                feed._registry.start_outage()
            fleet.store.remove("x")
            await test(fleet)

        run(play)

    def test_an_instance_that_starts_meanwhile_does_not_keep_one_that_is_gone(self):
        async def test(fleet):
            for _ in range(2):
                for feed in fleet.feeds:
                    await fleet.read(feed)
                fleet.clock.time += GRACE
            for feed in fleet.feeds:
                self.assertEqual(fleet.registered(feed), set())

        self.play(test)

    def test_one_that_registers_again_stays_at_everyone(self):
        async def test(fleet):
            await fleet.read(fleet.follower)
            for feed in fleet.feeds:
                await fleet.read(feed)
            fleet.store.register("x")
            for feed in fleet.feeds:
                await fleet.read(feed)
            fleet.clock.time += GRACE
            for feed in fleet.feeds:
                await fleet.read(feed)
                self.assertEqual(fleet.registered(feed), {"x"})

        self.play(test)


class StoreHistoryTests(TestCase):
    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(steps=st.lists(STEPS, max_size=60))
    def test_everyone_has_what_is_published_after_any_history(self, steps):
        async def play():
            fleet = Fleet()
            store = fleet.store
            for feed in fleet.feeds:
                await fleet.read(feed)
            for name, *arguments in steps:
                fleet.clock.time += 0.1
                if name == "publish":
                    store.publish(store.version + 1)
                elif name == "leave":
                    store.register(*arguments, leaving=True)
                elif name == "read":
                    await fleet.read(fleet.feeds[arguments[0]])
                else:
                    getattr(store, name)(*arguments)
            for _ in range(3):
                for feed in fleet.feeds:
                    await fleet.read(feed)
                store.renew()
                fleet.clock.time += GRACE
            live = {n for n, s in store.servers.items() if not s.leaving}
            for feed in fleet.feeds:
                self.assertEqual(feed.table.version, store.version)
                self.assertEqual(fleet.registered(feed), live)

        run(play)
