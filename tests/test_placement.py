from dataclasses import dataclass, replace
from sys import getrefcount
from unittest import TestCase

from hypothesis import given, strategies as st

from savorypond.model import (
    Address,
    BackendServer,
    Instance,
    Preference,
    Priority,
    ServerLimits,
    Service,
    ServiceKind,
)
from savorypond.placement.owner_table import OwnerTable
from savorypond.placement.policies import (
    DirectPlacement,
    OwnerPlacement,
    StaticPlacement,
)
from savorypond.placement.shares import Fleet, Role, connection_share, equal_share

DATA_CENTRES = ("split", "zadar", "sibenik")
LIMITS = ServerLimits(slots=2, connections=25, connect_time=0.006)


def instance(number, incarnation=1):
    return Instance(
        name=f"i{number}",
        data_centre=DATA_CENTRES[number % 3],
        peer_address=Address(host="127.0.0.1", port=1000 + number),
        incarnation=incarnation,
    )


def service(number, data_centres=DATA_CENTRES[:2]):
    servers = tuple(
        BackendServer(
            name=f"s{number}-{place}",
            address=Address(host="127.0.0.1", port=1),
            data_centre=data_centre,
        )
        for place, data_centre in enumerate(data_centres)
    )
    return Service(
        name=f"service{number}",
        kind=ServiceKind.SEARCH,
        index="listings",
        layouts=(),
        backend_servers=servers,
        limits=LIMITS,
        priority=Priority.INTERACTIVE,
        prefer=Preference.LATENCY,
        time_limit=1.0,
        least_coverage=0.0,
    )


SERVICES = tuple(
    service(number, (DATA_CENTRES[number % 3], DATA_CENTRES[number // 3 % 3]))
    for number in range(90)
)
numbers = st.sets(st.integers(min_value=0, max_value=11), max_size=12)


@dataclass
class FixedView:
    local_instance: Instance
    instances: tuple[Instance, ...]
    version: int = 1
    fleet_size: int = 7

    def live(self):
        return self.instances


def place_services(instances, groups=0):
    table = OwnerTable(groups=groups)
    table.update(instances)
    return {s.name: table.lookup(s) for s in SERVICES}


class OwnerTests(TestCase):
    @given(numbers, st.permutations(range(12)), st.sampled_from([0, 4]))
    def test_equal_views_give_equal_owners_whatever_the_history(
        self, members, order, groups
    ):
        table = OwnerTable(groups=groups)
        for count in range(1, len(order)):
            table.update([instance(n) for n in order[:count]])
            for asked in SERVICES[::count]:
                table.lookup(asked)
        last = [instance(n) for n in order if n in members]
        table.update(last)
        found = {s.name: table.lookup(s) for s in SERVICES}
        self.assertEqual(
            found, place_services(sorted(last, key=lambda i: i.name), groups)
        )
        for owners in found.values():
            self.assertEqual(owners.owner is not None, bool(members))
            self.assertEqual(owners.backup is not None, len(members) > 1)
            if owners.backup is not None:
                self.assertNotEqual(owners.owner, owners.backup)

    @given(st.permutations(range(12)), st.integers(min_value=7, max_value=11))
    def test_removed_instance_moves_only_its_own_services(self, order, size):
        members = [instance(n) for n in order[:size]]
        lost = members[0]
        before = place_services(members)
        after = place_services(members[1:])
        for name, owners in before.items():
            if lost not in (owners.owner, owners.backup):
                self.assertEqual(after[name], owners)
            elif owners.owner != lost:
                self.assertEqual(after[name].owner, owners.owner)

    def test_owner_and_backup_are_near_the_backend_servers(self):
        fleet = [instance(n) for n in range(9)]
        table = OwnerTable(groups=0)
        table.update(fleet)
        cases = {
            "all in one": (("split", "split"), "split", "split"),
            "most in one": (("zadar", "split", "zadar"), "zadar", "split"),
            "none here": (("elsewhere",), None, None),
        }
        for name, (data_centres, owner, backup) in cases.items():
            with self.subTest(name):
                found = table.lookup(service(1, data_centres))
                if owner is not None:
                    self.assertEqual(found.owner.data_centre, owner)
                    self.assertEqual(found.backup.data_centre, backup)
                self.assertNotEqual(found.owner, found.backup)

    def test_groups_limit_the_owners_of_an_index(self):
        fleet = [instance(n) for n in range(0, 300, 3)]
        table = OwnerTable(groups=5)
        table.update(fleet)
        services = [service(n, ("split",)) for n in range(200)]
        owners = {table.lookup(s).owner.name for s in services}
        self.assertLessEqual(len(owners), 5)

    def test_table_holds_no_reference_to_services(self):
        table = OwnerTable(groups=0)
        table.update(instance(number) for number in range(6))
        asked = service(1)
        before = getrefcount(asked)
        table.lookup(asked)
        self.assertEqual(getrefcount(asked), before)

    def test_changed_service_or_incarnation_is_detected(self):
        members = [instance(n) for n in range(9)]
        view = FixedView(local_instance=instance(99), instances=tuple(members))
        placement = OwnerPlacement(view=view)
        asked = service(1, ("split",))
        moved = replace(asked, backend_servers=service(1, ("zadar",)).backend_servers)
        routes = placement.routes(services=(asked, moved), now=0.0)
        places = [route.owner.data_centre for route in routes]
        self.assertEqual(places, ["split", "zadar"])
        view.instances = tuple(instance(n, incarnation=2) for n in range(9))
        view.version = 2
        (route,) = placement.routes(services=(asked,), now=0.0)
        self.assertEqual(route.owner.incarnation, 2)

    def test_each_service_has_exactly_one_sending_instance(self):
        fleet = tuple(instance(n) for n in range(7))
        senders = dict.fromkeys((s.name for s in SERVICES), 0)
        for member in fleet:
            placement = OwnerPlacement(view=FixedView(member, fleet))
            for route in placement.routes(services=SERVICES, now=0.0):
                if route.owner is None:
                    senders[route.service.name] += 1
                    self.assertEqual(placement.role(service=route.service), Role.OWNER)
        self.assertEqual(set(senders.values()), {1})


class ShareTests(TestCase):
    @given(
        st.integers(min_value=1, max_value=8),
        st.integers(min_value=12, max_value=200),
        st.lists(st.integers(min_value=1, max_value=40), min_size=1, max_size=3),
        st.integers(min_value=0, max_value=40),
    )
    def test_replaced_and_partitioned_fleets_stay_within_the_cap(
        self, slots, connections, partitions, unseen
    ):
        """Two generations, each partitioned, with owner and backup per partition."""
        limits = ServerLimits(slots=slots, connections=connections, connect_time=0.0)
        size = sum(partitions) + unseen
        total = 0
        for partition in partitions:
            fleet = Fleet(size=size, visible=partition)
            total += connection_share(limits, Role.OWNER, fleet)
            if partition > 1:
                total += connection_share(limits, Role.BACKUP, fleet)
            direct = connection_share(limits, Role.DIRECT, fleet)
            total += direct * max(0, partition - 2)
        self.assertLessEqual(2 * total, connections)

    @given(st.integers(min_value=1, max_value=12))
    def test_small_fleet_of_isolated_instances_stays_within_the_cap(self, size):
        alone = Fleet(size=size, visible=1)
        share = connection_share(LIMITS, Role.OWNER, alone)
        if size > 1:
            self.assertLessEqual(2 * size * share, LIMITS.connections)

    def test_owner_of_an_unpartitioned_fleet_fills_all_slots(self):
        for size in (1, 2, 6, 7, 14, 100, 4200):
            with self.subTest(size):
                whole = Fleet(size=size, visible=size)
                share = connection_share(LIMITS, Role.OWNER, whole)
                self.assertGreaterEqual(share, LIMITS.slots)

    @given(
        st.integers(min_value=1, max_value=300), st.integers(min_value=0, max_value=300)
    )
    def test_equal_shares_of_two_generations_stay_within_the_cap(self, size, cap):
        limits = ServerLimits(slots=2, connections=cap, connect_time=0.0)
        share = equal_share(limits, Fleet(size=size, visible=size))
        self.assertLessEqual(2 * size * share, cap)
        self.assertGreater(2 * size * (share + 1), cap)


class SharePlacementTests(TestCase):
    def test_slot_shares_of_seven_instances(self):
        fleet = tuple(instance(n) for n in range(7))
        asked = SERVICES[0]
        server = asked.backend_servers[0]
        cases = {
            DirectPlacement: {1.0},
            StaticPlacement: {0.5},
            OwnerPlacement: {1.0, 0.5},
        }
        for kind, expected in cases.items():
            with self.subTest(kind.__name__):
                placements = [kind(view=FixedView(i, fleet)) for i in fleet]
                shares = {p.share(service=asked, server=server) for p in placements}
                self.assertEqual(shares, expected)
                opened = sum(p.connections(service=asked) for p in placements)
                self.assertLessEqual(2 * opened, LIMITS.connections)
