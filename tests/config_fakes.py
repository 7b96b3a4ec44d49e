"""Fakes for the configuration tests: services, bundles, views and a fleet."""

from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

from savorypond.config.entries import encode_entry
from savorypond.config.publication import bundle_values
from savorypond.config.reader import GetValue, WatchValue
from savorypond.config.store import Change, ConfigStore, bundle_stamp
from savorypond.config.sync import ConfigSync, PullFrom
from savorypond.model import (
    Address,
    BackendServer,
    Bundle,
    Counters,
    Instance,
    Preference,
    Priority,
    ServerLimits,
    Service,
    ServiceKind,
    ShardLayout,
    ShardRange,
)


def make_service(number, *, slots=2, layout=1):
    """Return a service with an index of its own, so that any set of them is valid."""
    name = f"s{number}"
    server = BackendServer(
        name=f"{name}-a",
        address=Address(host="127.0.0.1", port=1 + number),
        data_centre="split",
    )
    shard = ShardRange(shard=name, low=0, high=65536)
    return Service(
        name=name,
        kind=ServiceKind.SEARCH,
        index=name,
        layouts=(ShardLayout(number=layout, shards=(shard,)),),
        backend_servers=(server,),
        limits=ServerLimits(slots=slots, connections=9999, connect_time=0.006),
        priority=Priority.INTERACTIVE,
        prefer=Preference.LATENCY,
        time_limit=0.054,
        least_coverage=0.5,
    )


def make_bundle(revision, *numbers, slots=2):
    services = {f"s{n}": make_service(n, slots=slots) for n in numbers}
    return Bundle(revision=revision, services=services)


def entries_of(bundle):
    return [encode_entry(service) for service in bundle.services.values()]


def stamp_of(bundle):
    return bundle_stamp(bundle.revision, entries_of(bundle))


def make_change(old, new):
    """Return the change from one bundle to another."""
    entries = [encode_entry(s) for s in new.services.values()]
    before = set(entries_of(old))
    removed = sorted(old.services.keys() - new.services.keys())
    return Change(
        base=stamp_of(old),
        held=stamp_of(new),
        entries=tuple(e for e in entries if e not in before),
        removed=tuple(removed),
    )


def history(length):
    """Return bundles of revisions 1 to ``length``: services added, changed, removed."""
    bundles, services = [], {f"s{n}": make_service(n) for n in range(3)}
    for revision in range(1, length + 1):
        number = revision % 5
        name = f"s{number}"
        services = dict(services)
        if revision % 3 == 0 and len(services) > 1:
            services.pop(name, None)
        services[f"s{number + 1}"] = make_service(number + 1, slots=revision)
        bundles.append(Bundle(revision=revision, services=services))
    return bundles


@dataclass
class FakeView:
    local_instance: Instance
    peers: list
    version: int = 0

    def live(self):
        return tuple(sorted([self.local_instance, *self.peers], key=lambda i: i.name))


@dataclass
class FakeConfigService:
    """A configuration service whose values and faults the tests set."""

    values: dict = field(default_factory=dict)
    revision: int = 0
    in_force: Bundle | None = None
    down: bool = False
    reads: list = field(default_factory=list)

    def publish(self, bundle):
        for value in bundle_values(self.in_force, bundle):
            self.values[value.key] = value.data
        self.in_force, self.revision = bundle, bundle.revision


@dataclass
class Member:
    instance: Instance
    view: FakeView
    store: ConfigStore
    sync: ConfigSync
    running: bool = True
    service_reachable: bool = True  # whether this instance reaches the service
    stamps: list = field(default_factory=list)
    ready_at: float | None = None
    wake: float = 0.0


class Fleet:
    """Runs the ConfigSync of several instances on a virtual clock.

    ``can_reach`` tells whether one member reaches another.
    """

    PING_INTERVAL = 1.0  # seconds between the pings that carry stamps
    CALL_TIME = 0.005  # seconds for a call to the service
    PULL_TIME = 0.02  # seconds for a call to a peer

    def __init__(self, *, service, data_centres=3, size=7, seed=1, watchers=2):
        self.service = service
        self.now = 0.0
        self.random = Random(seed)
        self.watchers = watchers
        self.can_reach = lambda a, b: True
        self.pulls_fail = False
        self.members = {}
        self._events, self._order, self._watches = [], count(), []
        for n in range(size):
            self.add(f"i{n:04}", f"dc{n % data_centres}")

    def add(self, name, data_centre):
        """Start an instance, or restart it with an empty store."""
        port = 1 + len(self.members)
        address = Address(host="127.0.0.1", port=port)
        instance = Instance(
            name=name, data_centre=data_centre, peer_address=address, incarnation=1
        )
        view = FakeView(instance, [])
        store = ConfigStore(counters=Counters())
        sync = ConfigSync(
            store=store,
            view=view,
            fleet="f",
            random=Random(self.random.random()),
            watchers=self.watchers,
        )
        member = Member(instance, view, store, sync)
        self.members[name] = member
        self.refresh_views()
        sync.observe_fleet_size(len(self.members))
        self.schedule(self.now, lambda: (sync.start(self.now), self.step(member)))
        self.schedule(self.now + self.random.random(), lambda: self.ping(member))
        return member

    def refresh_views(self):
        live = [m for m in self.members.values() if m.running]
        for member in live:
            member.view.peers = [
                other.instance
                for other in live
                if other is not member and self.can_reach(member, other)
            ]
            member.view.version += 1

    def schedule(self, when, call):
        heappush(self._events, (when, next(self._order), call))

    def run(self, seconds):
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, call = heappop(self._events)
            call()
        self.now = end

    def ping(self, member):
        if not self.is_current(member):
            return
        if member.view.peers:
            peer = self.members[self.random.choice(member.view.peers).name]
            if peer.running and self.can_reach(member, peer):
                for a, b in ((member, peer), (peer, member)):
                    a.sync.on_peer_stamp(b.instance.name, b.store.stamp)
                    self.step(a)
        self.schedule(self.now + self.PING_INTERVAL, lambda: self.ping(member))

    def is_current(self, member):
        return member.running and self.members[member.instance.name] is member

    def step(self, member):
        if not self.is_current(member):
            return
        for action in member.sync.step(self.now):
            self.perform(member, action)
        if not member.stamps or member.stamps[-1] != member.store.stamp:
            member.stamps.append(member.store.stamp)
        if member.sync.ready and member.ready_at is None:
            member.ready_at = self.now
        wake = max(member.sync.next_wake(self.now), self.now + 0.001)
        if member.wake <= self.now or wake < member.wake:
            member.wake = wake
            self.schedule(wake, lambda: self.on_timer(member, wake))

    def on_timer(self, member, wake):
        if member.wake == wake:
            self.step(member)

    def perform(self, member, action):
        if isinstance(action, PullFrom):
            self.schedule(self.now + self.PULL_TIME, lambda: self.pull(member, action))
            return
        self.service.reads.append(self.now)
        self.schedule(self.now + self.CALL_TIME, lambda: self.answer(member, action))

    def pull(self, member, action):
        peer = self.members[action.instance]
        if not self.is_current(member):
            return
        if peer.running and self.can_reach(member, peer) and not self.pulls_fail:
            reply = peer.sync.on_request(action.request)
            member.sync.on_reply(self.now, action, reply)
            self.step(peer)
        else:
            member.sync.on_pull_failed(self.now, action)
        self.step(member)

    def answer(self, member, action, until=None):
        if not self.is_current(member):
            return
        if self.service.down or not member.service_reachable:
            member.sync.on_service_failed(self.now)
            return self.step(member)
        if isinstance(action, WatchValue):
            until = self.now + action.wait if until is None else until
            if self.service.revision <= action.after and self.now < until:
                retry_at = min(until, self.now + 0.1)
                return self.schedule(
                    retry_at, lambda: self.answer(member, action, until)
                )
            higher = self.service.revision > action.after
            data = self.service.values.get(action.key) if higher else None
        else:
            assert isinstance(action, GetValue)
            data = self.service.values.get(action.key)
        member.sync.on_value(self.now, data)
        self.step(member)

    def revisions(self):
        return {m.store.stamp.revision for m in self.members.values() if m.running}

    def never_decreased(self):
        return all(m.stamps == sorted(m.stamps) for m in self.members.values())
