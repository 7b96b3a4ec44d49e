from collections import Counter
from random import Random
from unittest import TestCase

from hypothesis import given, settings, strategies as st

from savorypond.membership.member_table import MemberTable
from savorypond.membership.membership import Membership
from savorypond.membership.settings import MembershipSettings
from savorypond.membership.wire import Leave, MemberUpdate, Packet, Ping
from savorypond.model import Address, Instance, InstanceState
from savorypond.placement.policies import OwnerPlacement
from tests.simulated_fleet import SimulatedFleet
from tests.test_placement import SERVICES

AGREEMENT_TIME = 6.0  # seconds; the least time for a change to reach all instances
CONTROL_BYTES = 13_000  # a second and instance, for all control together
CONVERGENCE_TIME = 30.0  # seconds; far below the minutes that the list lags
MAX_BYTES_PER_SECOND = 13_000  # per instance, for all control traffic
SETTINGS = MembershipSettings()


def isolate(name):
    """Cut the links between the data centre ``name`` and all others."""

    def cut(sender, target):
        places = (sender.instance.data_centre, target.instance.data_centre)
        return places[0] != places[1] and name in places

    return cut


def heal(fleet):
    fleet.cut = lambda sender, target: False


def kill(fleet):
    fleet.node(1).alive = False


def kill_two(fleet):
    kill(fleet)
    fleet.run(1.0)
    fleet.node(0).alive = False


def pause(fleet):
    fleet.node(1).paused = True
    fleet.run(30.0)
    fleet.node(1).paused = False


def pause_briefly(fleet):
    fleet.node(1).paused = True
    fleet.run(1.5)
    fleet.node(1).paused = False


def partition(fleet):
    fleet.cut = isolate("dc0")
    fleet.run(60.0)
    heal(fleet)


def leave(fleet):
    fleet.leave(fleet.node(1))


def leave_while_partitioned(fleet):
    fleet.cut = isolate("dc0")
    fleet.run(10.0)
    leave(fleet)
    fleet.run(10.0)
    kill(fleet)
    heal(fleet)


def kill_while_partitioned(fleet):
    fleet.cut = isolate("dc0")
    fleet.run(10.0)
    kill(fleet)
    fleet.run(10.0)
    heal(fleet)


def restart_all(fleet):
    for name, node in list(fleet.nodes.items()):
        fleet.start(int(name[1:]), node.instance.data_centre)
    fleet.deliver_instance_list(*fleet.nodes.values())


def restart_with_earlier_clock(fleet):
    fleet.start(1, "dc1", incarnation=1)
    fleet.deliver_instance_list(fleet.node(1))


def join_unlisted(fleet):
    """Start an instance that only its own instance list contains."""
    fleet.deliver_instance_list(fleet.start(len(fleet.nodes), "dc0"))


def join_with_dead_listed(fleet):
    kill(fleet)
    join_unlisted(fleet)


def keep_listing_dead(fleet):
    kill(fleet)
    fleet.run(CONVERGENCE_TIME)
    for _ in range(10):
        fleet.deliver_instance_list(*fleet.nodes.values())
        fleet.run(30.0)


def pause_and_lose_messages(fleet):
    fleet.loss = 0.1
    pause(fleet)


def pause_one_and_kill_another(fleet):
    fleet.node(1).paused = True
    fleet.run(1.0)
    fleet.node(0).alive = False
    fleet.run(10.0)
    fleet.node(1).paused = False


FAULTS = (
    kill,
    kill_two,
    pause,
    pause_briefly,
    partition,
    leave,
    leave_while_partitioned,
    kill_while_partitioned,
    restart_all,
    restart_with_earlier_clock,
    join_unlisted,
    join_with_dead_listed,
    keep_listing_dead,
    pause_and_lose_messages,
    pause_one_and_kill_another,
)


def converged_fleet(size, **options):
    fleet = SimulatedFleet(size=size, **options)
    fleet.run_until(fleet.views_agree, CONVERGENCE_TIME)
    fleet.run(5.0)
    return fleet


def running_nodes(fleet):
    return [node for node in fleet.nodes.values() if fleet.is_running(node)]


class FaultTests(TestCase):
    def check_single_owners(self, fleet):
        senders = Counter()
        for node in running_nodes(fleet):
            placement = OwnerPlacement(view=node.membership)
            routes = placement.routes(services=SERVICES, now=fleet.now)
            senders.update(r.service.name for r in routes if r.owner is None)
        self.assertEqual(set(senders.values()), {1})
        self.assertEqual(len(senders), len(SERVICES))

    def test_views_converge_and_owners_are_unique_after_each_fault(self):
        cases = [(fault, size) for fault in FAULTS for size in (3, 7, 30)]
        cases += [(fault, 100) for fault in (kill, partition, restart_all)]
        for fault, size in cases:
            with self.subTest(fault=fault.__name__, size=size):
                fleet = converged_fleet(size)
                fault(fleet)
                self.assertLess(
                    fleet.run_until(fleet.views_agree, CONVERGENCE_TIME),
                    CONVERGENCE_TIME,
                )
                self.check_single_owners(fleet)

    def test_no_running_instance_is_removed(self):
        def half_open(sender, target):
            return (sender.instance.name, target.instance.name) == ("i0000", "i0001")

        def pair(sender, target):
            return {sender.instance.name, target.instance.name} == {"i0000", "i0001"}

        def none(sender, target):
            return False

        cases = {
            "half-open link": (half_open, 0.0, 3),
            "broken link of one pair": (pair, 0.0, 3),
            "a tenth of all messages lost": (none, 0.1, 7),
            "half-open link and lost messages": (half_open, 0.1, 7),
            "a large fleet": (pair, 0.1, 30),
        }
        for name, (cut, loss, size) in cases.items():
            with self.subTest(name):
                fleet = converged_fleet(size)
                fleet.cut, fleet.loss = cut, loss
                for _ in range(600):
                    fleet.run(0.2)
                    self.assertTrue(fleet.views_agree())

    def test_each_side_of_a_partition_uses_its_own_members(self):
        for size in (3, 7, 30):
            with self.subTest(size):
                fleet = converged_fleet(size)
                fleet.cut = isolate("dc0")
                fleet.run(CONVERGENCE_TIME)
                for node in running_nodes(fleet):
                    side = node.instance.data_centre == "dc0"
                    expected = {
                        peer.instance.name
                        for peer in running_nodes(fleet)
                        if (peer.instance.data_centre == "dc0") == side
                    }
                    self.assertEqual(fleet.view_of(node), expected)
                    self.assertTrue(node.membership.may_own(fleet.now))

    def test_an_instance_that_receives_nothing_is_removed(self):
        for size in (3, 7, 30):
            with self.subTest(size):
                fleet = converged_fleet(size)
                fleet.cut = lambda sender, target: target.instance.name == "i0001"
                fleet.run(CONVERGENCE_TIME)
                for node in running_nodes(fleet):
                    if node.instance.name != "i0001":
                        self.assertNotIn("i0001", fleet.view_of(node))

    def test_traffic_stays_within_the_budget_during_faults(self):
        for fault in (restart_all, partition, kill_two):
            with self.subTest(fault.__name__):
                fleet = converged_fleet(60)
                started, before = fleet.now, fleet.sent_bytes
                fault(fleet)
                fleet.run(20.0)
                rate = (fleet.sent_bytes - before) / (fleet.now - started) / 60
                self.assertLess(rate, MAX_BYTES_PER_SECOND)

    @settings(max_examples=25)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(("kill", "pause", "cut", "restart", "relist", "leave")),
                st.integers(min_value=0, max_value=4),
                st.floats(min_value=0.1, max_value=20.0),
            ),
            min_size=1,
            max_size=6,
        )
    )
    def test_views_converge_after_any_combination_of_faults(self, steps):
        fleet = converged_fleet(5, loss=0.05)
        for step, number, seconds in steps:
            node = fleet.node(number)
            match step:
                case "kill":
                    node.alive = False
                case "pause":
                    node.paused = True
                case "cut":
                    fleet.cut = isolate(f"dc{number % 3}")
                case "restart":
                    node = fleet.start(number, f"dc{number % 3}")
                    fleet.deliver_instance_list(node)
                case "relist":
                    fleet.deliver_instance_list(*running_nodes(fleet), leaving=())
                case "leave" if fleet.is_running(node):
                    fleet.leave(node)
            fleet.run(seconds)
        heal(fleet)
        for node in fleet.nodes.values():
            node.paused = False
        fleet.run_until(fleet.views_agree, CONVERGENCE_TIME)
        self.assertTrue(fleet.views_agree())


class StartTests(TestCase):
    """A fleet of 195 instances in five data centres that knows three of itself."""

    def start(self, loss=0.001):
        return SimulatedFleet(size=195, data_centres=5, seeds=3, loss=loss)

    def test_a_large_fleet_that_starts_at_once_knows_itself_soon(self):
        """It took 40 s, so that instances delegated and read by partial views."""
        for loss in (0.001, 0.05):
            with self.subTest(loss=loss):
                fleet = self.start(loss)
                self.assertLess(fleet.run_until(fleet.views_agree, 60), AGREEMENT_TIME)

    def test_a_start_stays_within_the_traffic_of_control(self):
        fleet = self.start()
        fleet.run(60.0)
        self.assertLess(fleet.sent_bytes / len(fleet.nodes) / 60.0, CONTROL_BYTES)

    def test_updates_of_a_start_cross_data_centres_few_times(self):
        """Less than a tenth of what each instance may spend on control."""
        fleet = self.start()
        fleet.run(60.0)
        self.assertLess(
            fleet.remote_bytes / len(fleet.nodes) / 60.0, CONTROL_BYTES / 10
        )


class OwnershipTests(TestCase):
    def test_owns_nothing_after_a_pause_until_an_answer_or_the_timeout(self):
        fleet = converged_fleet(3)
        node = fleet.node(1)
        before = node.membership.local_instance.incarnation
        node.paused = True
        fleet.run(30.0)
        self.assertFalse(node.membership.may_own(fleet.now))
        fleet.cut = lambda sender, target: (
            "i0001"
            in (
                sender.instance.name,
                target.instance.name,
            )
        )
        node.paused = False
        fleet.run(1.0)
        self.assertGreater(node.membership.local_instance.incarnation, before)
        self.assertFalse(node.membership.may_own(fleet.now))
        self.assertNotIn("i0001", fleet.view_of(node))
        fleet.run(SETTINGS.join_timeout)
        self.assertTrue(node.membership.may_own(fleet.now))

    def test_owns_work_after_the_start_once_alone_or_timed_out(self):
        before_timeout = (("alone", 1, 1.0, True), ("peers silent", 2, 1.0, False))
        waited = SETTINGS.join_timeout + 1.0
        for name, size, seconds, expected in (
            *before_timeout,
            ("peers silent for long", 2, waited, True),
        ):
            with self.subTest(name):
                fleet = SimulatedFleet(size=size, loss=1.0)
                fleet.run(seconds)
                self.assertEqual(fleet.node(0).membership.may_own(fleet.now), expected)

    def test_a_leaving_instance_owns_nothing_and_still_answers(self):
        fleet = converged_fleet(3)
        leave(fleet)
        self.assertFalse(fleet.node(1).membership.may_own(fleet.now))
        fleet.run(60.0)
        member = fleet.node(0).membership.members[0]
        self.assertEqual(member.state, InstanceState.LEAVING)


class MemberStateTests(TestCase):
    def setUp(self):
        self.membership = Membership(
            local_instance=self.instance("me", 10), now=0.0, rng=Random(1)
        )

    def instance(self, name, incarnation, state=InstanceState.LIVE):
        return Instance(
            name=name,
            data_centre="dc0",
            peer_address=Address(host="127.0.0.1", port=7),
            incarnation=incarnation,
            state=state,
        )

    def receive_leave(self, sender, *updates, state=InstanceState.LIVE, incarnation=5):
        origin = self.update(sender, state=state, incarnation=incarnation)
        packet = Packet(sender=origin, message=Leave(updates=updates))
        return self.membership.received(packet, origin.address, 0.0)

    def ping(self, target, *updates):
        ping = Ping(
            number=1,
            target=target,
            catching_up=False,
            config_revision=0,
            config_digest=0,
            updates=updates,
        )
        packet = Packet(sender=self.update("a"), message=ping)
        return self.membership.received(packet, Address(host="x", port=1), 0.0)

    def update(self, name, *, state=InstanceState.LIVE, incarnation=5, refutation=0):
        return MemberUpdate(
            name=name,
            data_centre="dc0",
            host="127.0.0.1",
            port=7,
            incarnation=incarnation,
            refutation=refutation,
            state=state,
        )

    def live_incarnations(self):
        return {i.name: i.incarnation for i in self.membership.live()}

    def test_refuting_a_suspicion_keeps_the_incarnation(self):
        suspicion = self.update("me", state=InstanceState.SUSPECT, incarnation=10)
        self.receive_leave("a", suspicion)
        (answer,) = self.ping("me")
        own_update = answer.packet.sender
        self.assertGreater(own_update.precedence, suspicion.precedence)
        self.assertEqual(own_update.incarnation, 10)
        self.assertEqual(self.membership.local_instance.incarnation, 10)

    def test_does_not_answer_a_ping_for_another_instance(self):
        self.assertEqual(self.ping("predecessor"), [])

    def test_answers_an_outdated_update_with_the_latest_one(self):
        self.receive_leave("b", state=InstanceState.LEAVING)
        while any(u.name == "b" for u in self.ping("me")[0].packet.message.updates):
            pass
        (answer,) = self.ping("me", self.update("b", state=InstanceState.SUSPECT))
        reported = [(u.name, u.state) for u in answer.packet.message.updates]
        self.assertIn(("b", InstanceState.LEAVING), reported)

    def test_the_list_marks_leaving_once_per_incarnation(self):
        leaving = self.instance("a", 0, InstanceState.LEAVING)
        live = self.instance("a", 0)
        steps = (
            (
                "listed live",
                lambda: self.membership.list_received([live], 0.0),
                {"a": 0},
            ),
            ("received", lambda: self.receive_leave("a"), {"a": 5}),
            (
                "listed leaving",
                lambda: self.membership.list_received([leaving], 0.0),
                {},
            ),
            (
                "listed live again",
                lambda: self.membership.list_received([live], 0.0),
                {},
            ),
            (
                "leaving again",
                lambda: self.membership.list_received([leaving], 0.0),
                {},
            ),
            ("restarted", lambda: self.receive_leave("a", incarnation=6), {"a": 6}),
            (
                "list lags",
                lambda: self.membership.list_received([leaving], 0.0),
                {"a": 6},
            ),
            ("unlisted", lambda: self.membership.list_received([], 0.0), {"a": 6}),
        )
        for name, step, expected in steps:
            with self.subTest(name):
                version, before = self.membership.version, self.live_incarnations()
                step()
                self.assertEqual(self.live_incarnations(), expected)
                if before != expected:
                    self.assertGreater(self.membership.version, version)

    def test_an_unlisted_instance_that_left_is_forgotten(self):
        self.receive_leave("a", state=InstanceState.LEAVING)
        self.assertEqual(len(self.membership.members), 1)
        later = SETTINGS.forget_after + 1.0
        self.membership.resumed(later, later)
        self.assertEqual(self.membership.members, ())

    def test_a_message_from_its_own_name_is_ignored(self):
        self.assertEqual(self.receive_leave("me", incarnation=99), [])
        self.assertEqual(self.membership.members, ())


updates = st.builds(
    MemberUpdate,
    name=st.just("a"),
    data_centre=st.sampled_from(["dc0", "dc1"]),
    host=st.just("127.0.0.1"),
    port=st.just(1),
    incarnation=st.integers(min_value=0, max_value=2),
    refutation=st.integers(min_value=0, max_value=2),
    state=st.sampled_from(InstanceState),
)


class MergeTests(TestCase):
    @given(st.lists(updates, min_size=1, max_size=8), st.randoms())
    def test_the_order_of_updates_does_not_matter(self, received_updates, rng):
        shuffled = [*received_updates, *received_updates]
        rng.shuffle(shuffled)
        precedences = []
        for order in (received_updates, shuffled):
            table = MemberTable()
            for update in order:
                table.merge(update, now=0.0)
            member = table.get("a")
            self.assertEqual(list(table.in_data_centre(member.data_centre)), [member])
            precedences.append(member.update.precedence)
        self.assertEqual(precedences[0], precedences[1])
        self.assertEqual(precedences[0], max(u.precedence for u in received_updates))
