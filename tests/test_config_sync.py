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
    FakeConfigService,
    FakeView,
    Fleet,
    entries_of,
    history,
    make_bundle,
    make_service,
    stamp_of,
)

IN_FORCE_TIME = 5.0  # seconds in which an accepted change reaches every instance
MAX_READ_RATE = 2000  # reads per second that the configuration service can serve
HISTORY = history(12)


def settled_fleet(**options):
    """Return a fleet of ready instances that hold revision 1."""
    service = FakeConfigService()
    service.publish(HISTORY[0])
    fleet = Fleet(service=service, **options)
    fleet.run(10.0)
    assert all(m.ready_at is not None for m in fleet.members.values())
    return fleet


def refusal_count(fleet, reason):
    stores = (m.store for m in fleet.members.values())
    return sum(s._counters.value("config_refused", reason) for s in stores)


class FaultTests(TestCase):
    """Faults in three data centres, with seven instances unless a test sets more."""

    def assert_in_force(self, fleet, revision, seconds=IN_FORCE_TIME):
        fleet.run(seconds)
        self.assertEqual(fleet.revisions(), {revision})
        self.assertTrue(fleet.never_decreased())

    def test_change_reaches_all_instances(self):
        fleet = settled_fleet()
        fleet.service.publish(HISTORY[1])
        self.assert_in_force(fleet, 2, seconds=2.0)

    def test_service_down_for_an_hour(self):
        fleet = settled_fleet()
        fleet.service.down = True
        fleet.run(3600.0)
        self.assertEqual(fleet.revisions(), {1})
        self.assertGreater(refusal_count(fleet, ConfigReason.SERVICE_DOWN), 0)
        fleet.add("i0000", "dc0")
        self.assert_in_force(fleet, 1)
        self.assertIsNotNone(fleet.members["i0000"].ready_at)
        fleet.service.publish(HISTORY[1])
        fleet.service.down = False
        self.assert_in_force(fleet, 2, seconds=IN_FORCE_TIME + 30.0)

    def test_service_reverts_to_an_old_revision(self):
        fleet = settled_fleet()
        for bundle in HISTORY[1:4]:
            fleet.service.publish(bundle)
            fleet.run(IN_FORCE_TIME)
        old = FakeConfigService()
        old.publish(HISTORY[0])
        fleet.service.values, fleet.service.revision = old.values, 1
        for name in ("i0000", "i0003"):
            fleet.add(name, "dc0")
        self.assert_in_force(fleet, 4)
        restarted = fleet.members["i0000"]
        self.assertIsNotNone(restarted.ready_at)

    def test_restarted_instance_is_ready_only_with_the_state_of_its_peers(self):
        for seed in range(20):
            fleet = settled_fleet(seed=seed)
            fleet.service.publish(HISTORY[1])
            fleet.run(IN_FORCE_TIME)
            old = FakeConfigService()
            old.publish(HISTORY[0])
            fleet.service.values, fleet.service.revision = old.values, 1
            fleet.add("i0001", "dc1")
            while fleet.members["i0001"].ready_at is None:
                fleet.run(0.001)
            self.assertEqual(fleet.members["i0001"].store.stamp.revision, 2)

    def test_invalid_state_is_rejected_and_the_next_accepted(self):
        fleet = settled_fleet()
        held = stamp_of(HISTORY[0])
        broken = Bundle(
            revision=2,
            services={"s1": make_service(1), "s2": make_service(2)},
        )
        taken_servers = broken.services["s1"].backend_servers
        # bundle_values() would reject a duplicate address, so it is written afterwards
        fleet.service.publish(broken)
        values = fleet.service.values
        for key in (change_key(2), "part/1/0"):
            port = b'"port":%d' % broken.services["s2"].backend_servers[0].address.port
            taken = b'"port":%d' % taken_servers[0].address.port
            values[key] = values[key].replace(port, taken)
        fleet.run(60.0)
        self.assertEqual({m.store.stamp for m in fleet.members.values()}, {held})
        self.assertGreater(refusal_count(fleet, ConfigReason.INVALID), 0)
        self.assertLess(len([t for t in fleet.service.reads if t > 12.0]), 200)
        fleet.service.publish(Bundle(revision=3, services=HISTORY[2].services))
        self.assert_in_force(fleet, 3)

    def test_read_rate_is_bounded_while_nothing_is_published(self):
        fleet = Fleet(service=FakeConfigService())
        fleet.run(10.0)
        reads = len(fleet.service.reads)
        self.assertGreater(reads, 0)
        self.assertLess(reads, 2 * 10 * len(fleet.members))
        fleet.service.publish(HISTORY[0])
        self.assert_in_force(fleet, 1)

    def test_failed_pulls_fall_back_to_the_service(self):
        fleet = settled_fleet(size=12)
        fleet.pulls_fail = True
        fleet.service.publish(HISTORY[1])
        self.assert_in_force(fleet, 2, seconds=2 * IN_FORCE_TIME)

    def test_watchers_cut_off_from_the_service_ask_other_data_centres(self):
        fleet = settled_fleet(size=12)
        fleet.PING_INTERVAL = 3600.0
        fleet.run(2.0)
        for member in fleet.members.values():
            member.service_reachable = member.instance.data_centre != "dc0"
        fleet.service.publish(HISTORY[1])
        self.assert_in_force(fleet, 2, seconds=60.0)

    def test_malformed_values_are_rejected(self):
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
                before = refusal_count(fleet, ConfigReason.INVALID)
                fleet.service.values[HEAD_KEY] = data
                fleet.run(70.0)
                self.assertEqual(fleet.revisions(), {1})
                self.assertGreater(refusal_count(fleet, ConfigReason.INVALID), before)

    def test_change_during_partition(self):
        fleet = settled_fleet()
        for member in fleet.members.values():
            member.service_reachable = member.instance.data_centre == "dc0"
        fleet.can_reach = lambda a, b: a.service_reachable == b.service_reachable
        fleet.refresh_views()
        fleet.service.publish(HISTORY[1])
        fleet.run(60.0)
        self.assertEqual(fleet.revisions(), {1, 2})
        fleet.can_reach = lambda a, b: True
        fleet.refresh_views()
        self.assert_in_force(fleet, 2)

    def test_all_instances_restarted_at_once(self):
        fleet = settled_fleet()
        fleet.service.publish(HISTORY[1])
        fleet.run(IN_FORCE_TIME)
        for name, member in list(fleet.members.items()):
            fleet.add(name, member.instance.data_centre)
        self.assert_in_force(fleet, 2)

    def test_all_instances_restarted_while_the_service_is_down(self):
        fleet = settled_fleet()
        fleet.service.down = True
        for name, member in list(fleet.members.items()):
            fleet.add(name, member.instance.data_centre)
        fleet.run(600.0)
        self.assertTrue(all(not m.sync.ready for m in fleet.members.values()))
        fleet.service.down = False
        self.assert_in_force(fleet, 1, seconds=30.0 + IN_FORCE_TIME)

    def test_watchers_killed_when_a_change_is_published(self):
        fleet = settled_fleet(size=12)
        for member in fleet.members.values():
            member.running = not member.sync.watches
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

    def test_service_publishes_two_bundles_under_one_revision(self):
        fleet = settled_fleet()
        one, other = HISTORY[1], make_bundle(2, 7)
        later = Bundle(revision=3, services=services_of(7, 8))
        fleet.service.publish(one)
        fleet.run(0.5)
        replacement = FakeConfigService()
        replacement.publish(other)
        fleet.service.values = replacement.values
        fleet.add("i0002", "dc2")
        fleet.run(2 * IN_FORCE_TIME)
        stamps = {m.store.stamp for m in fleet.members.values()}
        self.assertEqual(len(stamps), 1)
        fleet.service.in_force = other
        fleet.service.publish(later)
        self.assert_in_force(fleet, 3)

    def test_watchers_restarted_without_service_get_the_change_from_a_peer(self):
        fleet = settled_fleet(size=12)
        fleet.service.down = True
        informed = next(m for m in fleet.members.values() if not m.sync.watches)
        informed.store.offer_full(stamp_of(HISTORY[4]), entries_of(HISTORY[4]))
        for name, member in list(fleet.members.items()):
            if member.sync.watches:
                fleet.add(name, member.instance.data_centre)
        self.assert_in_force(fleet, 5)


def services_of(*numbers):
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
    def test_revision_never_decreases_and_all_converge(self, seed, faults):
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
                old = FakeConfigService()
                old.publish(HISTORY[0])
                service.values, service.revision = old.values, 1
            elif fault in ("cut", "heal"):
                side = random.sample(sorted(fleet.members), 3 * (fault == "cut"))
                fleet.can_reach = lambda a, b, side=side: (
                    (a.instance.name in side) == (b.instance.name in side)
                )
                fleet.refresh_views()
            elif fault == "restart":
                member = fleet.members[random.choice(sorted(fleet.members))]
                fleet.add(member.instance.name, member.instance.data_centre)
            fleet.run(random.uniform(0.0, 3.0))
            self.assertTrue(fleet.never_decreased())
            self.assertGreaterEqual(newest, held)
        service.down, fleet.can_reach = False, lambda a, b: True
        service.values, service.revision = current, newest
        fleet.refresh_views()
        fleet.run(30.0 + IN_FORCE_TIME)
        self.assertEqual(fleet.revisions(), {newest})
        self.assertTrue(fleet.never_decreased())


class ScaleTests(TestCase):
    def test_change_reaches_a_data_centre_of_190_in_time(self):
        fleet = settled_fleet(size=190, data_centres=1)
        self.assertEqual(sum(m.sync.watches for m in fleet.members.values()), 2)
        before = len(fleet.service.reads)
        fleet.service.publish(HISTORY[1])
        fleet.run(IN_FORCE_TIME)
        self.assertEqual(fleet.revisions(), {2})
        self.assertLess(len(fleet.service.reads) - before, 20)

    def test_change_reaches_most_instances_without_pings(self):
        fleet = settled_fleet(size=190, data_centres=1)
        fleet.PING_INTERVAL = 3600.0
        fleet.run(2.0)
        fleet.service.publish(HISTORY[1])
        fleet.run(IN_FORCE_TIME)
        held = [m.store.stamp.revision for m in fleet.members.values()]
        self.assertGreater(held.count(2), 190 / 2)

    def test_watchers_are_bounded_and_equal_for_equal_views(self):
        def selection(name, names):
            instances = {n: instance(n) for n in names}
            others = [i for n, i in instances.items() if n != name]
            view = FakeView(instances[name], others)
            return WatcherSelection(view=view, watchers=2)

        names = [f"i{n}" for n in range(66)]
        chosen = [n for n in names if selection(n, names).share().watches]
        self.assertEqual(
            Counter(instance(n).data_centre for n in chosen),
            {f"dc{d}": 2 for d in range(22)},
        )
        left = [n for n in names if n != chosen[0]]
        reselected = {n for n in left if selection(n, left).share().watches}
        self.assertEqual(len(reselected), 44)
        self.assertEqual(len(reselected - set(chosen)), 1)

    def test_reads_of_4200_instances_stay_in_the_budget(self):
        """All instances read as fast as their share allows at the same time.

        Each view holds the whole fleet, one data centre or only the instance.
        """
        fleet, data_centres = 4200, 22
        table = (
            ("whole", lambda n: view_of(n, range(fleet)), 2 * data_centres),
            (
                "data centre",
                lambda n: view_of(n, range(n % data_centres, fleet, data_centres)),
                2 * data_centres,
            ),
            ("alone", lambda n: view_of(n, [n]), fleet),
        )
        for name, view, watchers in table:
            with self.subTest(name):
                watching, other = shares_of(view, fleet)
                rates = [watching.rate] * watchers
                rates += [other.rate] * (fleet - watchers) if other else []
                reads = Counter()
                for number, rate in enumerate(rates):
                    for at in read_times(Random(number), rate, seconds=10.0):
                        reads[int(at)] += 1
                self.assertGreater(sum(reads.values()), fleet / 2)
                self.assertLess(max(reads.values()), MAX_READ_RATE)


def instance(name):
    number = int(name[1:])
    return Instance(
        name=name,
        data_centre=f"dc{number % 22}",
        peer_address=Address(host="127.0.0.1", port=1 + number),
        incarnation=1,
    )


def view_of(number, numbers):
    others = [instance(f"i{n}") for n in numbers if n != number]
    return FakeView(instance(f"i{number}"), others)


def shares_of(view, fleet):
    """Return the shares of a watcher and a non-watcher of the first data centre."""
    shares = {}
    for number in range(0, fleet, 22):
        selection = WatcherSelection(view=view(number), watchers=2)
        selection.observe_fleet_size(fleet)
        shares[selection.share().watches] = selection.share()
        if len(shares) == 2:
            break
    return shares[True], shares.get(False)


def read_times(random, rate, seconds):
    budget, now = ReadBudget(random=random), 100.0
    while True:
        now = budget.ready_at(now=now, rate=rate) + 1e-6
        if now > 100.0 + seconds:
            return
        if budget.try_take(now=now, rate=rate):
            yield now


class RequestTests(TestCase):
    def test_peer_that_requests_with_a_higher_state_is_pulled_from(self):
        view = FakeView(instance("i1"), [instance("i2")])
        store = ConfigStore(counters=Counters())
        sync = ConfigSync(
            store=store, view=view, fleet="f", random=Random(1), watchers=2
        )
        sync.start(1.0)
        sync.step(1.0)
        request = PullRequest(fleet="f", sender="i2", held=Stamp(3, 9), limit=0)
        reply = sync.on_request(request)
        self.assertEqual(reply.held, Stamp())
        pulls = [a for a in sync.step(1.5) if isinstance(a, PullFrom)]
        self.assertEqual([p.instance for p in pulls], ["i2"])
        self.assertGreater(pulls[0].request.limit, 0)
