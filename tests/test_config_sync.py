from collections import Counter
from random import Random
from unittest import TestCase

from hypothesis import given, settings, strategies as st

from savorypond.config.messages import PullRequest, Stamp
from savorypond.config.publication import HEAD_KEY, change_key
from savorypond.config.read_budget import ReadBudget, WatcherSelection
from savorypond.config.store import ConfigStore
from savorypond.config.sync import ConfigSync, PullFrom
from savorypond.model import Address, Bundle, Counters, Instance
from savorypond.reasons import ConfigReason
from tests.config_fakes import (
    FakeService,
    FakeView,
    Fleet,
    entries_of,
    history,
    make_bundle,
    make_service,
    stamp_of,
)

IN_FORCE_TIME = 5.0  # seconds in which an accepted change reaches every instance
READS_PER_SECOND = 2000  # what the configuration service takes of all readers
HISTORY = history(12)


def settled_fleet(**options):
    """Return a fleet of ready instances that hold revision 1."""
    service = FakeService()
    service.publish(HISTORY[0])
    fleet = Fleet(service=service, **options)
    fleet.run(10.0)
    assert all(m.ready_at is not None for m in fleet.members.values())
    return fleet


def counted(fleet, reason):
    stores = (m.store for m in fleet.members.values())
    return sum(s._counters.value("config_refused", reason) for s in stores)


class FaultTests(TestCase):
    """Each fault on seven instances in three data centres."""

    def assert_in_force(self, fleet, revision, seconds=IN_FORCE_TIME):
        fleet.run(seconds)
        self.assertEqual(fleet.revisions(), {revision})
        self.assertTrue(fleet.never_fell())

    def test_change_reaches_everyone(self):
        fleet = settled_fleet()
        fleet.service.publish(HISTORY[1])
        self.assert_in_force(fleet, 2, seconds=2.0)

    def test_service_down_for_an_hour(self):
        fleet = settled_fleet()
        fleet.service.down = True
        fleet.run(3600.0)
        self.assertEqual(fleet.revisions(), {1})
        self.assertGreater(counted(fleet, ConfigReason.SERVICE_DOWN), 0)
        fleet.add("i0000", "dc0")
        self.assert_in_force(fleet, 1)
        self.assertIsNotNone(fleet.members["i0000"].ready_at)
        fleet.service.publish(HISTORY[1])
        fleet.service.down = False
        self.assert_in_force(fleet, 2, seconds=IN_FORCE_TIME + 30.0)

    def test_service_falls_back_to_an_old_revision(self):
        fleet = settled_fleet()
        for bundle in HISTORY[1:4]:
            fleet.service.publish(bundle)
            fleet.run(IN_FORCE_TIME)
        old = FakeService()
        old.publish(HISTORY[0])
        fleet.service.values, fleet.service.revision = old.values, 1
        for name in ("i0000", "i0003"):
            fleet.add(name, "dc0")
        self.assert_in_force(fleet, 4)
        restarted = fleet.members["i0000"]
        self.assertIsNotNone(restarted.ready_at)

    def test_restart_is_ready_only_with_what_reachable_peers_hold(self):
        for seed in range(20):
            fleet = settled_fleet(seed=seed)
            fleet.service.publish(HISTORY[1])
            fleet.run(IN_FORCE_TIME)
            old = FakeService()
            old.publish(HISTORY[0])
            fleet.service.values, fleet.service.revision = old.values, 1
            fleet.add("i0001", "dc1")
            while fleet.members["i0001"].ready_at is None:
                fleet.run(0.001)
            self.assertEqual(fleet.members["i0001"].store.stamp.revision, 2)

    def test_invalid_state_is_never_in_force_and_the_next_is(self):
        fleet = settled_fleet()
        held = stamp_of(HISTORY[0])
        broken = Bundle(
            revision=2,
            services={"s1": make_service(1), "s2": make_service(2)},
        )
        stolen = broken.services["s1"].backend_servers
        # the publishing step refuses this, so it is written round it
        fleet.service.publish(broken)
        values = fleet.service.values
        for key in (change_key(2), "part/1/0"):
            port = b'"port":%d' % broken.services["s2"].backend_servers[0].address.port
            taken = b'"port":%d' % stolen[0].address.port
            values[key] = values[key].replace(port, taken)
        fleet.run(60.0)
        self.assertEqual({m.store.stamp for m in fleet.members.values()}, {held})
        self.assertGreater(counted(fleet, ConfigReason.INVALID), 0)
        self.assertLess(len([t for t in fleet.service.reads if t > 12.0]), 200)
        fleet.service.publish(Bundle(revision=3, services=HISTORY[2].services))
        self.assert_in_force(fleet, 3)

    def test_nothing_published_is_read_for_at_ease(self):
        fleet = Fleet(service=FakeService())
        fleet.run(10.0)
        reads = len(fleet.service.reads)
        self.assertGreater(reads, 0)
        self.assertLess(reads, 2 * 10 * len(fleet.members))
        fleet.service.publish(HISTORY[0])
        self.assert_in_force(fleet, 1)

    def test_peers_that_cannot_be_pulled_from_are_not_waited_for(self):
        fleet = settled_fleet(size=12)
        fleet.pulls_fail = True
        fleet.service.publish(HISTORY[1])
        self.assert_in_force(fleet, 2, seconds=2 * IN_FORCE_TIME)

    def test_watchers_without_the_service_ask_other_data_centres(self):
        fleet = settled_fleet(size=12)
        fleet.PING = 3600.0
        fleet.run(2.0)
        for member in fleet.members.values():
            member.reached = member.instance.data_centre != "dc0"
        fleet.service.publish(HISTORY[1])
        self.assert_in_force(fleet, 2, seconds=60.0)

    def test_malformed_values_are_refused(self):
        fleet = settled_fleet()
        good = fleet.service.values[HEAD_KEY]
        fleet.service.revision = 2
        for data in (
            b"",
            b"[]",
            b"{}",
            good[:-1],
            good.replace(b'"parts":1', b'"parts":0'),
        ):
            with self.subTest(data):
                before = counted(fleet, ConfigReason.INVALID)
                fleet.service.values[HEAD_KEY] = data
                fleet.run(70.0)
                self.assertEqual(fleet.revisions(), {1})
                self.assertGreater(counted(fleet, ConfigReason.INVALID), before)

    def test_change_during_partition(self):
        fleet = settled_fleet()
        for member in fleet.members.values():
            member.reached = member.instance.data_centre == "dc0"
        fleet.link = lambda a, b: a.reached == b.reached
        fleet.refresh_views()
        fleet.service.publish(HISTORY[1])
        fleet.run(60.0)
        self.assertEqual(fleet.revisions(), {1, 2})
        fleet.link = lambda a, b: True
        fleet.refresh_views()
        self.assert_in_force(fleet, 2)

    def test_everyone_restarted_at_once(self):
        fleet = settled_fleet()
        fleet.service.publish(HISTORY[1])
        fleet.run(IN_FORCE_TIME)
        for name, member in list(fleet.members.items()):
            fleet.add(name, member.instance.data_centre)
        self.assert_in_force(fleet, 2)

    def test_everyone_restarted_while_the_service_is_down(self):
        fleet = settled_fleet()
        fleet.service.down = True
        for name, member in list(fleet.members.items()):
            fleet.add(name, member.instance.data_centre)
        fleet.run(600.0)
        self.assertTrue(all(not m.spread.ready for m in fleet.members.values()))
        fleet.service.down = False
        self.assert_in_force(fleet, 1, seconds=30.0 + IN_FORCE_TIME)

    def test_watchers_killed_at_the_moment_of_a_change(self):
        fleet = settled_fleet(size=12)
        for member in fleet.members.values():
            member.up = not member.spread.watches
        fleet.service.publish(HISTORY[1])
        fleet.run(3.0)
        fleet.refresh_views()
        self.assert_in_force(fleet, 2)

    def test_rollback_is_a_new_revision(self):
        fleet = settled_fleet()
        fleet.service.publish(HISTORY[1])
        fleet.run(IN_FORCE_TIME)
        fleet.service.publish(Bundle(revision=3, services=HISTORY[0].services))
        self.assert_in_force(fleet, 3)
        services = {tuple(m.store.bundle.services) for m in fleet.members.values()}
        self.assertEqual(
            {frozenset(s) for s in services}, {frozenset(HISTORY[0].services)}
        )

    def test_service_and_readers_disagree_about_one_revision(self):
        fleet = settled_fleet()
        one, other = HISTORY[1], make_bundle(2, 7)
        later = Bundle(revision=3, services=make_service_map(7, 8))
        fleet.service.publish(one)
        fleet.run(0.5)
        again = FakeService()
        again.publish(other)
        fleet.service.values = again.values
        fleet.add("i0002", "dc2")
        fleet.run(2 * IN_FORCE_TIME)
        stamps = {m.store.stamp for m in fleet.members.values()}
        self.assertEqual(len(stamps), 1)
        fleet.service.in_force = other
        fleet.service.publish(later)
        self.assert_in_force(fleet, 3)

    def test_service_down_and_watchers_restarted_with_a_change_at_one_peer(self):
        fleet = settled_fleet(size=12)
        fleet.service.down = True
        knowing = next(m for m in fleet.members.values() if not m.spread.watches)
        knowing.store.offer_full(stamp_of(HISTORY[4]), entries_of(HISTORY[4]))
        for name, member in list(fleet.members.items()):
            if member.spread.watches:
                fleet.add(name, member.instance.data_centre)
        self.assert_in_force(fleet, 5)


def make_service_map(*numbers):
    return make_bundle(1, *numbers).services


class PropertyTests(TestCase):
    @settings(max_examples=25)
    @given(
        seed=st.integers(0, 2**32),
        faults=st.lists(
            st.sampled_from(
                ["publish", "down", "up", "cut", "heal", "restart", "stale"]
            ),
            max_size=14,
        ),
    )
    def test_revision_never_falls_and_all_converge(self, seed, faults):
        fleet = settled_fleet(seed=seed)
        random, service = Random(seed), fleet.service
        current, newest = dict(service.values), 1
        for fault in faults:
            held = max(fleet.revisions())
            if fault == "publish" and newest < len(HISTORY):
                service.values, service.revision = dict(current), newest
                service.publish(HISTORY[newest])
                current, newest = dict(service.values), newest + 1
            elif fault in ("down", "up"):
                service.down = fault == "down"
            elif fault == "stale":
                old = FakeService()
                old.publish(HISTORY[0])
                service.values, service.revision = old.values, 1
            elif fault in ("cut", "heal"):
                side = random.sample(sorted(fleet.members), 3 * (fault == "cut"))
                fleet.link = lambda a, b, side=side: (
                    (a.instance.name in side) == (b.instance.name in side)
                )
                fleet.refresh_views()
            elif fault == "restart":
                member = fleet.members[random.choice(sorted(fleet.members))]
                fleet.add(member.instance.name, member.instance.data_centre)
            fleet.run(random.uniform(0.0, 3.0))
            self.assertTrue(fleet.never_fell())
            self.assertGreaterEqual(newest, held)
        service.down, fleet.link = False, lambda a, b: True
        service.values, service.revision = current, newest
        fleet.refresh_views()
        fleet.run(30.0 + IN_FORCE_TIME)
        self.assertEqual(fleet.revisions(), {newest})
        self.assertTrue(fleet.never_fell())


class ScaleTests(TestCase):
    def test_a_data_centre_of_190_hears_of_a_change_in_time(self):
        fleet = settled_fleet(size=190, data_centres=1)
        self.assertEqual(sum(m.spread.watches for m in fleet.members.values()), 2)
        before = len(fleet.service.reads)
        fleet.service.publish(HISTORY[1])
        fleet.run(IN_FORCE_TIME)
        self.assertEqual(fleet.revisions(), {2})
        self.assertLess(len(fleet.service.reads) - before, 20)

    def test_most_hear_of_a_change_without_any_ping(self):
        fleet = settled_fleet(size=190, data_centres=1)
        fleet.PING = 3600.0
        fleet.run(2.0)
        fleet.service.publish(HISTORY[1])
        fleet.run(IN_FORCE_TIME)
        held = [m.store.stamp.revision for m in fleet.members.values()]
        self.assertGreater(held.count(2), 190 / 2)

    def test_watchers_are_bounded_and_agreed_on(self):
        def choice(name, names):
            everyone = {n: instance(n) for n in names}
            others = [i for n, i in everyone.items() if n != name]
            view = FakeView(everyone[name], others)
            return WatcherSelection(view=view, watchers=2)

        names = [f"i{n}" for n in range(66)]
        chosen = [n for n in names if choice(n, names).share().watches]
        self.assertEqual(
            Counter(instance(n).data_centre for n in chosen),
            {f"dc{d}": 2 for d in range(22)},
        )
        left = [n for n in names if n != chosen[0]]
        again = {n for n in left if choice(n, left).share().watches}
        self.assertEqual(len(again), 44)
        self.assertEqual(len(again - set(chosen)), 1)

    def test_reads_of_4200_instances_stay_in_the_budget(self):
        """Every instance reads as fast as its share allows, all at once.

        Views may be whole, one data centre each, or nobody but oneself.
        """
        fleet, places = 4200, 22
        table = (
            ("whole", lambda n: seen_by(n, range(fleet)), 2 * places),
            (
                "near",
                lambda n: seen_by(n, range(n % places, fleet, places)),
                2 * places,
            ),
            ("alone", lambda n: seen_by(n, [n]), fleet),
        )
        for name, view, watchers in table:
            with self.subTest(name):
                watching, other = shares_in(view, fleet)
                rates = [watching.rate] * watchers
                rates += [other.rate] * (fleet - watchers) if other else []
                reads = Counter()
                for number, rate in enumerate(rates):
                    for at in reads_at(Random(number), rate, seconds=10.0):
                        reads[int(at)] += 1
                self.assertGreater(sum(reads.values()), fleet / 2)
                self.assertLess(max(reads.values()), READS_PER_SECOND)


def instance(name):
    number = int(name[1:])
    return Instance(
        name=name,
        data_centre=f"dc{number % 22}",
        peer_address=Address(host="127.0.0.1", port=1 + number),
        incarnation=1,
    )


def seen_by(number, numbers):
    others = [instance(f"i{n}") for n in numbers if n != number]
    return FakeView(instance(f"i{number}"), others)


def shares_in(view, fleet):
    """Return what a watcher and another instance of the first place may read."""
    shares = {}
    for number in range(0, fleet, 22):
        choice = WatcherSelection(view=view(number), watchers=2)
        choice.observe_fleet_size(fleet)
        shares[choice.share().watches] = choice.share()
        if len(shares) == 2:
            break
    return shares[True], shares.get(False)


def reads_at(random, rate, seconds):
    budget, now = ReadBudget(random=random), 100.0
    while True:
        now = budget.ready_at(now=now, rate=rate) + 1e-6
        if now > 100.0 + seconds:
            return
        if budget.try_take(now=now, rate=rate):
            yield now


class RequestTests(TestCase):
    def test_a_peer_that_asks_with_a_higher_state_is_pulled_from(self):
        view = FakeView(instance("i1"), [instance("i2")])
        store = ConfigStore(counters=Counters())
        spread = ConfigSync(
            store=store, view=view, fleet="f", random=Random(1), watchers=2
        )
        spread.start(1.0)
        spread.step(1.0)
        request = PullRequest(fleet="f", sender="i2", held=Stamp(3, 9), limit=0)
        reply = spread.on_request(request)
        self.assertEqual(reply.held, Stamp())
        pulls = [a for a in spread.step(1.5) if isinstance(a, PullFrom)]
        self.assertEqual([p.instance for p in pulls], ["i2"])
        self.assertGreater(pulls[0].request.limit, 0)
