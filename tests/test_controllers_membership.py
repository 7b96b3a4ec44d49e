from random import Random
from socket import AF_INET, SOCK_DGRAM, socket
from unittest import TestCase

from curio import run, sleep, timeout_after

from savorypond.clock import SystemClock
from savorypond.controllers.membership import (
    DATAGRAMS,
    LIST_READS,
    MembershipController,
    MembershipTimes,
)
from savorypond.exceptions import InstanceListError
from savorypond.membership.wire import MAX_DATAGRAM
from savorypond.model import Address, Counters, Instance, InstanceState
from savorypond.reasons import DatagramReason, InstanceListReason

TEST_TIMEOUT = 60.0  # seconds
TIMES = MembershipTimes(tick_interval=0.01, list_interval=0.05, list_retry=0.01)


class FakeList:
    def __init__(self):
        self.instances = []
        self.failures = 0

    async def fetch(self):
        if self.failures:
            self.failures -= 1
            raise InstanceListError(problem="down")
        return tuple(self.instances)

    def add(self, controller):
        local_instance = controller.membership.local_instance
        listed = Instance(
            name=local_instance.name,
            data_centre=local_instance.data_centre,
            peer_address=local_instance.peer_address,
            incarnation=0,
        )
        self.instances.append(listed)


def controller(number, instance_list, on_config_mismatch=None):
    return MembershipController(
        name=f"i{number}",
        data_centre=f"dc{number % 2}",
        address=Address(host="127.0.0.1", port=0),
        incarnation=1 + number,
        fleet="test",
        instance_list=instance_list,
        clock=SystemClock(),
        rng=Random(number),
        counters=Counters(),
        on_config_mismatch=on_config_mismatch,
        times=TIMES,
    )


async def wait_until(condition):
    while not condition():
        await sleep(0.01)


def sees(one, *names):
    return tuple(peer.name for peer in one.membership.live()) == names


class MembershipControllerTests(TestCase):
    def run_with_timeout(self, scenario):
        async def limited():
            async with timeout_after(TEST_TIMEOUT):
                await scenario()

        run(limited)

    def test_three_join_then_one_leaves_and_one_fails(self):
        async def scenario():
            listing = FakeList()
            listing.failures = 2
            a, b, c = (controller(number, listing) for number in range(3))
            async with a:
                async with b:
                    async with c:
                        for one in (a, b, c):
                            listing.add(one)
                        for one in (a, b, c):
                            await wait_until(lambda x=one: sees(x, "i0", "i1", "i2"))
                        self.assertTrue(a.status.may_own)
                        await c.leave()
                        await wait_until(lambda: sees(a, "i0", "i1"))
                        await wait_until(lambda: sees(b, "i0", "i1"))
                    states = {m.name: m.state for m in a.status.members}
                    self.assertEqual(states["i2"], InstanceState.LEAVING)
                await wait_until(lambda: sees(a, "i0"))
            failed = [
                x.counters.value(LIST_READS, InstanceListReason.FAILED)
                for x in (a, b, c)
            ]
            self.assertEqual(sum(failed), 2)

        self.run_with_timeout(scenario)

    def test_reports_a_peer_with_another_configuration(self):
        async def scenario():
            mismatches = []

            def on_config_mismatch(event):
                mismatches.append((event.peer.name, event.revision, event.digest))

            listing = FakeList()
            a = controller(0, listing, on_config_mismatch=on_config_mismatch)
            async with a, controller(1, listing) as b:
                b.membership.set_config(revision=7, digest=2**63 + 1)
                listing.add(a)
                listing.add(b)
                await wait_until(lambda: ("i1", 7, 2**63 + 1) in mismatches)

        self.run_with_timeout(scenario)

    def test_counts_unusable_datagrams_and_continues(self):
        async def scenario():
            listing = FakeList()
            async with controller(0, listing) as a, controller(1, listing) as b:
                target = a.membership.local_instance.peer_address
                with socket(AF_INET, SOCK_DGRAM) as sender:
                    sender.sendto(b"noise", (target.host, target.port))
                    sender.sendto(bytes(2 * MAX_DATAGRAM), (target.host, target.port))
                counters = a.counters
                for reason in (DatagramReason.MALFORMED, DatagramReason.TOO_LONG):
                    await wait_until(lambda r=reason: counters.value(DATAGRAMS, r) == 1)
                listing.add(a)
                listing.add(b)
                await wait_until(lambda: sees(a, "i0", "i1"))

        self.run_with_timeout(scenario)
