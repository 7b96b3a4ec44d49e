"""Measures the cost of membership and placement as the fleet grows.

Prints four tables: the cost of membership in one instance, the cost of owner lookups,
the time until all instances agree on a change, and the effects of a network partition
among many data centres. Run with ``python -m benchmarks.bench_members``.
"""

from collections.abc import Callable
from dataclasses import dataclass
from gc import collect
from random import Random
from statistics import mean
from time import perf_counter
from tracemalloc import get_traced_memory, start, stop

from tests.simulated_fleet import SimulatedFleet

from savorypond.membership.membership import Membership
from savorypond.membership.settings import Send
from savorypond.membership.wire import (
    Ack,
    Leave,
    MemberUpdate,
    Packet,
    Ping,
    decode,
    encode,
)
from savorypond.model import (
    Address,
    BackendServer,
    Instance,
    InstanceState,
    Preference,
    Priority,
    ServerLimits,
    Service,
    ServiceKind,
)
from savorypond.placement.owner_table import OwnerTable

FLEET_SIZES = (7, 100, 1000, 4200)
DATA_CENTRES = 22
TICK = 0.1  # seconds
SIMULATED = 60.0  # virtual seconds that are measured
PINGS_RECEIVED = 2.0  # per second
CHANGES = 0.5 / 4200  # updates per second and instance; 21,400 join and leave a day
SERVICES = 43_500
SAMPLE = 3_000  # services looked up
CONVERGENCE_SIZES = (7, 30, 100)
SEEDS = range(5)
LOSS = 0.01  # share of the packets
PARTITION_SIZE = 220
TIME_LIMIT = 60.0  # seconds
LOCAL_ADDRESS = Address(host="127.0.0.1", port=1)


def make_update(
    number: int, incarnation: int, state=InstanceState.LIVE
) -> MemberUpdate:
    return MemberUpdate(
        name=f"entry-{number:05}",
        data_centre=f"dc-{number % DATA_CENTRES:02}",
        host=f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}",
        port=7400,
        incarnation=incarnation,
        refutation=0,
        state=state,
    )


@dataclass(slots=True, kw_only=True)
class Timing:
    """Total duration and number of the calls of one kind."""

    seconds: float = 0.0
    calls: int = 0

    def run(self, call: Callable[[], list]) -> list:
        started = perf_counter()
        result = call()
        self.seconds += perf_counter() - started
        self.calls += 1
        return result

    @property
    def microseconds(self) -> float:
        return self.seconds / max(1, self.calls) * 1e6


class MembershipRun:
    """The membership of one instance, with peers that answer at once."""

    def __init__(self, *, size: int) -> None:
        self.ticks, self.received = Timing(), Timing()
        self.live, self.wire = Timing(), Timing()
        self.sent_bytes = 0
        self._rng = Random(size)
        self._size = size
        self._now = 0.0
        collect()
        start()
        before, _ = get_traced_memory()
        self._membership = Membership(
            local_instance=make_update(0, 1).to_instance(), now=0.0, rng=Random(1)
        )
        listed = [make_update(n, 0).to_instance() for n in range(size)]
        self._membership.list_received(listed, 0.0)
        del listed
        for first in range(1, size, 8):
            known = [make_update(n, 1) for n in range(first, min(size, first + 8))]
            self._receive(Packet(sender=known[0], message=Leave(updates=tuple(known))))
        self._membership.live()
        collect()
        after, _ = get_traced_memory()
        stop()
        self.bytes_per_member = (after - before) / max(1, size - 1)

    def run_for(self, seconds: float) -> None:
        """Run until the joins have been disseminated, then measure ``seconds``."""
        self._run(120.0)
        self.ticks, self.received = Timing(), Timing()
        self.live, self.wire = Timing(), Timing()
        self.sent_bytes = 0
        self._run(seconds)

    def _run(self, seconds: float) -> None:
        end = self._now + seconds
        while self._now < end:
            self._now += TICK
            self._act(self.ticks.run(lambda: self._membership.tick(self._now)))
            if self._rng.random() < PINGS_RECEIVED * TICK:
                self._receive_ping()

    def _receive_ping(self) -> None:
        updates = ()
        # Updates arrive at the rate at which the whole fleet changes. In a running
        # fleet, an instance receives each update several times.
        if self._rng.random() < CHANGES * self._size / PINGS_RECEIVED:
            number = self._rng.randrange(1, self._size)
            updates = (make_update(number, 2 + int(self._now * 1000)),)
        ping = Ping(
            number=1,
            target="entry-00000",
            catching_up=False,
            config_revision=0,
            config_digest=0,
            updates=updates,
        )
        peer = make_update(self._rng.randrange(1, self._size), 1)
        self._receive(Packet(sender=peer, message=ping))

    def _receive(self, packet: Packet) -> None:
        now = self._now

        def receive() -> list:
            return self._membership.received(packet, LOCAL_ADDRESS, now)

        version = self._membership.version
        self._act(self.received.run(receive))
        if self._membership.version != version:
            self.live.run(lambda: list(self._membership.live()))

    def _act(self, actions: list) -> None:
        for action in actions:
            if not isinstance(action, Send):
                continue
            data = encode(action.packet, fleet="fleet")
            self.sent_bytes += len(data)
            self.wire.run(
                lambda d=data: [decode(d, fleet="fleet", source=LOCAL_ADDRESS)]
            )
            message = action.packet.message
            if isinstance(message, Ping):
                ack = Ack(
                    number=message.number,
                    subject=message.target,
                    config_revision=0,
                    config_digest=0,
                )
                peer = make_update(int(message.target[6:]), 1)
                self._receive(Packet(sender=peer, message=ack))


def service(number: int) -> Service:
    servers = tuple(
        BackendServer(
            name=f"s{number}-{place}",
            address=Address(host="127.0.0.1", port=1),
            data_centre=f"dc-{(number * 7 + place) % DATA_CENTRES:02}",
        )
        for place in range(2)
    )
    return Service(
        name=f"listings-{number:05}",
        kind=ServiceKind.SEARCH,
        index="listings",
        layouts=(),
        backend_servers=servers,
        limits=ServerLimits(slots=2, connections=25, connect_time=0.006),
        priority=Priority.INTERACTIVE,
        prefer=Preference.LATENCY,
        time_limit=1.0,
        least_coverage=0.0,
    )


def print_membership() -> None:
    print("Membership of one instance (times in microseconds; no faults)")
    print(
        "members  bytes/member  us/tick  us/datagram  us/decode  us/live()"
        "  sent bytes/s  % of a core"
    )
    for size in FLEET_SIZES:
        run = MembershipRun(size=size)
        run.run_for(SIMULATED)
        timings = (run.ticks, run.received, run.wire, run.live)
        core = sum(kind.seconds for kind in timings) / SIMULATED * 100
        print(
            f"{size:7} {run.bytes_per_member:13.0f} {run.ticks.microseconds:8.1f}"
            f" {run.received.microseconds:12.1f} {run.wire.microseconds:10.1f}"
            f" {run.live.microseconds:10.0f} {run.sent_bytes / SIMULATED:13.0f}"
            f" {core:12.3f}"
        )


def print_owners() -> None:
    print("\nOwner lookup (microseconds per service; instances in 22 data centres)")
    print("instances  services  cold  cached  bytes/service  one joins  one is lost")
    services = [service(n * (SERVICES // SAMPLE)) for n in range(SAMPLE)]
    for size in FLEET_SIZES:
        instances = [make_update(n, 1).to_instance() for n in range(size)]
        table = OwnerTable(groups=0)
        table.update(instances)
        cold = timed(lambda t=table: lookup_all(t, services)) / SAMPLE
        cached = timed(lambda t=table: lookup_all(t, services)) / SAMPLE
        joined = [*instances, make_update(size, 1).to_instance()]
        join = timed(lambda t=table, i=joined: t.update(i))
        lookup_all(table, services)
        loss = timed(lambda t=table, i=instances: t.update(i))
        print(
            f"{size:9} {SAMPLE:9} {cold:5.1f} {cached:7.2f}"
            f" {bytes_per_service(instances, services):14.0f}"
            f" {join:10.0f} {loss:12.0f}"
        )


def lookup_all(table: OwnerTable, services: list[Service]) -> None:
    for each in services:
        table.lookup(each)


def bytes_per_service(instances: list[Instance], services: list[Service]) -> float:
    collect()
    start()
    table = OwnerTable(groups=0)
    table.update(instances)
    before, _ = get_traced_memory()
    lookup_all(table, services)
    after, _ = get_traced_memory()
    stop()
    return (after - before) / len(services)


def timed(call: Callable[[], None]) -> float:
    started = perf_counter()
    call()
    return (perf_counter() - started) * 1e6


def kill(fleet: SimulatedFleet) -> None:
    fleet.node(1).alive = False


def leave(fleet: SimulatedFleet) -> None:
    fleet.leave(fleet.node(1))


def join(fleet: SimulatedFleet) -> None:
    fleet.deliver_instance_list(fleet.start(len(fleet.nodes), "dc0"))


def lose_data_centre(fleet: SimulatedFleet) -> None:
    for node in fleet.nodes.values():
        node.alive = node.instance.data_centre != "dc0"


def print_convergence() -> None:
    print(f"\nTime until all views agree (virtual clock, {LOSS:.0%} loss, 5 seeds)")
    print("instances  event             mean s   max s  messages/s  bytes/s each")
    for size in CONVERGENCE_SIZES:
        for event in (kill, leave, join, lose_data_centre):
            times, messages, sent = [], [], []
            for seed in SEEDS:
                fleet = SimulatedFleet(size=size, seed=seed, loss=LOSS)
                fleet.run(60.0)
                before = (fleet.sent, fleet.sent_bytes)
                event(fleet)
                times.append(max(0.1, fleet.run_until(fleet.views_agree, TIME_LIMIT)))
                per_second = times[-1] * size
                messages.append((fleet.sent - before[0]) / per_second)
                sent.append((fleet.sent_bytes - before[1]) / per_second)
            print(
                f"{size:9}  {event.__name__:16} {mean(times):7.1f} {max(times):7.1f}"
                f" {mean(messages):11.1f} {mean(sent):13.0f}"
            )


def print_partitions() -> None:
    size = PARTITION_SIZE
    print(f"\nPartitions of {size} instances in {DATA_CENTRES} data centres")
    print("isolated  event      seconds  messages/s  bytes/s each")
    for count in (1, 4):
        lost = {f"dc{number}" for number in range(count)}
        fleet = SimulatedFleet(size=size, data_centres=DATA_CENTRES, seed=1, loss=LOSS)
        fleet.run(60.0)

        def crosses_partition(sender, target, lost=lost) -> bool:
            inside = sender.instance.data_centre in lost
            return inside != (target.instance.data_centre in lost)

        fleet.cut = crosses_partition
        print_event(
            count, "partition", fleet, lambda f=fleet, a=lost: partition_detected(f, a)
        )
        print_event(count, "a minute", fleet, None)
        fleet.cut = lambda sender, target: False
        print_event(count, "heal", fleet, fleet.views_agree)


def partition_detected(fleet: SimulatedFleet, lost: set[str]) -> bool:
    """Return whether each instance sees exactly its own side of the partition."""
    sides: dict[bool, set[str]] = {True: set(), False: set()}
    for node in fleet.nodes.values():
        sides[node.instance.data_centre in lost].add(node.instance.name)
    return all(
        fleet.view_of(node) == sides[node.instance.data_centre in lost]
        for node in fleet.nodes.values()
    )


def print_event(
    count: int, name: str, fleet: SimulatedFleet, until: Callable[[], bool] | None
) -> None:
    before = (fleet.now, fleet.sent, fleet.sent_bytes)
    if until is None:
        fleet.run(60.0)
    else:
        fleet.run_until(until, 2 * TIME_LIMIT)
    seconds = max(TICK, fleet.now - before[0])
    share = seconds * len(fleet.nodes)
    print(
        f"{count:8}  {name:9} {seconds:8.1f} {(fleet.sent - before[1]) / share:11.1f}"
        f" {(fleet.sent_bytes - before[2]) / share:13.0f}"
    )


if __name__ == "__main__":
    print_membership()
    print_owners()
    print_convergence()
    print_partitions()
