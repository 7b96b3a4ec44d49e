"""Simulates instances that share the rate limits of backend servers.

Drives the decisions about rate limits on a virtual clock: requests arrive at unequal
instances, each goes to all shards of a query or to one service, and instances exchange
claims and leases as the gateway does, with the peers that membership knows. Servers
answer after a fixed time and announce their limits in their answers.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from types import SimpleNamespace

from savorypond.gateway.fleet_shares import FleetShares
from savorypond.gateway.rate_admission import OVERADMISSION, admission_rank
from savorypond.gateway.rate_control import RankedRequest
from savorypond.gateway.rate_coordinator import RateCoordinator
from savorypond.gateway.rate_share_sync import (
    ASKED_PEERS,
    CHECK_INTERVAL,
    CLAIM_INTERVAL,
    CoordinatorChoice,
)
from tests.gateway_fakes import make_rates, server
from tests.simulated_fleet import SimulatedFleet

ANSWER_TIME = 0.03  # seconds
MESSAGE_TIME = 0.005  # seconds one way between instances
WINDOW = 4.0  # seconds
SETTLING_TIME = 4.0  # seconds from the announcement of a limit
BURST_FACTOR = 1.5  # of a limit that is tolerated in a window
TOLERANCE = 5  # further requests in a window
START_TIME = 0.5  # seconds from a restart until callers reach the instance
JOIN_TIME = 10.0  # seconds in which instances find each other before a simulation


@dataclass(frozen=True, kw_only=True)
class Load:
    """The servers, the instances and what callers send; times in seconds.

    :param limits: requests a second that each server of a shard announces, or None.
    :param rates: requests a second of callers, by priority.
    :param skew: factor between the loads of neighbouring instances.
    :param limit_period: start and end of the time in which limits are announced.
    :param data_centres: number of data centres; the instances take turns.
    :param server_data_centre: data centre of all servers.
    :param joined: whether the instances know each other at the start.
    :param stops: times at which an instance, by number, ends for good.
    :param leaves: times at which an instance, by number, announces that it stops, and
        at which it ends.
    :param restarts: times at which an instance, by number, restarts.
    :param cuts: periods in which an instance, by number, reaches no other one.
    :param partitions: periods in which a data centre, by name, reaches no other one.
    :param outages: periods in which a server, by number, is used by nobody.
    :param burst: start and end of a time in which callers send ``burst_factor`` times
        as much.
    :param changes: servers by number, times from which they announce another limit,
        and these limits.
    :param known_from: time at which every instance learns the limits, or None.
    :param known_by: number of instances that learn them then.
    """

    instances: int = 7
    shards: int = 1
    limits: tuple = (7.0, None)
    rates: dict = field(default_factory=lambda: {1: 45.0})
    skew: float = 1.0
    least_share: float = 0.89
    duration: float = 40.0
    limit_period: tuple = (5.0, 35.0)
    data_centres: int = 1
    server_data_centre: str = "dc0"
    joined: bool = True
    stops: tuple = ()
    leaves: tuple = ()
    restarts: tuple = ()
    cuts: tuple = ()
    partitions: tuple = ()
    outages: tuple = ()
    burst: tuple = (0.0, 0.0)
    burst_factor: float = 1.0
    changes: tuple = ()
    known_from: float | None = None
    known_by: int = 1000
    extra_share: float = 0.05
    seed: int = 1

    def limit(self, number, now):
        """Return what a server, by number, announces, or None if it has no limit."""
        start, end = self.limit_period
        if not start <= now < end:
            return None
        changed = [
            limit for n, time, limit in self.changes if n == number and time <= now
        ]
        return changed[-1] if changed else self.limits[number]


@dataclass(kw_only=True)
class Outcome:
    """What callers and servers saw.

    :param arrivals: times of the requests at each server.
    :param offered: requests while limits were announced, by priority.
    :param full: those that got all of their shards.
    :param partial: those that got enough shards to be answered.
    :param broken_off: those of which some shards ran, but too few.
    """

    arrivals: dict = field(default_factory=lambda: defaultdict(list))
    offered: dict = field(default_factory=lambda: defaultdict(int))
    full: dict = field(default_factory=lambda: defaultdict(int))
    partial: dict = field(default_factory=lambda: defaultdict(int))
    broken_off: int = 0
    claims: int = 0

    def most_in(self, name, seconds, *, after, before):
        """Return the most requests at a server in any window of ``seconds``."""
        times = sorted(t for t in self.arrivals[name] if after <= t < before)
        most, start = 0, 0
        for end, time in enumerate(times):
            while times[start] <= time - seconds:
                start += 1
            most = max(most, end - start + 1)
        return most

    def check_limits(self, test, load, *, after):
        """Check that no server got more than its limit tolerates.

        :param test: the test case whose assertion is used.
        :param after: time from which windows count.
        """
        before = load.limit_period[1]
        for shard in range(load.shards):
            for number in range(len(load.limits)):
                limit = load.limit(number, before - 1.0)
                if limit is not None:
                    name = f"s{shard}-{number}"
                    most = self.most_in(name, WINDOW, after=after, before=before)
                    tolerated = BURST_FACTOR * limit * WINDOW + TOLERANCE
                    test.assertLessEqual(most, tolerated)

    def mean_rate(self, name, *, after, before):
        """Return the requests a second at a server."""
        times = [t for t in self.arrivals[name] if after <= t < before]
        return len(times) / (before - after)


class _Instance:
    def __init__(self, number, simulation):
        self.number = number
        self.servers = simulation.servers
        self.fleet = simulation.fleet
        self.name = self.fleet.node(number).instance.name
        self.data_centre = self.fleet.node(number).instance.data_centre
        self.choice = CoordinatorChoice(
            own_name=self.name,
            data_centre=self.data_centre,
            registry=SimpleNamespace(servers=self.servers),
            live=lambda: self.fleet.node(number).membership.live(),
        )
        self.shares = FleetShares(
            membership=lambda: self.fleet.node(number).membership,
            peers=self.peers,
        )
        self.is_running = True
        self.start(0.0)

    def start(self, ready_at):
        self.ready_at = ready_at
        self.has_asked = False
        self.rates = make_rates()
        self.coordinator = RateCoordinator(
            servers=self.servers,
            instance_count=self.shares.instance_count,
            reachable_share=self.shares.reachable_share,
            random=Random(self.number),
        )
        self.claimed = frozenset()
        self.claimed_at = 0.0

    def peers(self):
        live = self.fleet.node(self.number).membership.live()
        return tuple(peer for peer in live if peer.name != self.name)


class RateLimitSimulation:
    """Instances, servers and callers on a virtual clock."""

    def __init__(self, load):
        self.load = load
        self.outcome = Outcome()
        self._random = Random(load.seed)
        self._events = []
        self._sequence = count()
        self._services = tuple(f"s{n}" for n in range(load.shards))
        self._servers = {
            service: tuple(
                server(
                    f"{service}-{n}",
                    service=service,
                    data_centre=load.server_data_centre,
                )
                for n in range(len(load.limits))
            )
            for service in self._services
        }
        self.fleet = SimulatedFleet(
            size=load.instances, data_centres=load.data_centres, seed=load.seed, seeds=3
        )
        self._zero = self.fleet.now
        if load.joined:
            self.fleet.run(JOIN_TIME)
            self._zero = self.fleet.now
        self.fleet.cut = lambda sender, target: self._are_cut(
            sender.instance, target.instance, self.fleet.now - self._zero
        )
        self._instances = [_Instance(n, self) for n in range(load.instances)]
        self._by_name = {instance.name: instance for instance in self._instances}

    @property
    def servers(self):
        """Returns the servers of a service."""
        return self._servers.__getitem__

    def run(self):
        """Simulate all requests and return the outcome."""
        load = self.load
        weights = [load.skew**n for n in range(load.instances)]
        for priority, rate in load.rates.items():
            now = 0.0
            while now < load.duration:
                start, end = load.burst
                factor = load.burst_factor if start <= now < end else 1.0
                now += self._random.expovariate(rate * factor)
                (instance,) = self._random.choices(self._instances, weights)
                self._at(now, self._ask, instance, priority)
        for number, time in load.stops:
            self._at(time, self._stop, self._instances[number])
        for instance in self._instances:
            self._at(self._random.uniform(0.0, CHECK_INTERVAL), self._check, instance)
            if load.known_from is not None and instance.number < load.known_by:
                self._at(load.known_from, self._learn, instance)
        for number, time, end in load.leaves:
            self._at(time, self._leave, self._instances[number])
            self._at(end, self._stop, self._instances[number])
        for number, time in load.restarts:
            self._at(time, self._restart, self._instances[number])
        while self._events:
            now, _, action, arguments = heappop(self._events)
            if now < load.duration:
                self.fleet.run(max(0.0, self._zero + now - self.fleet.now))
                action(*arguments, now)
        return self.outcome

    def _at(self, time, action, *arguments):
        heappush(self._events, (time, next(self._sequence), action, arguments))

    def _stop(self, instance, now):
        instance.is_running = False
        self.fleet.node(instance.number).alive = False

    def _leave(self, instance, now):
        self.fleet.leave(self.fleet.node(instance.number))

    def _restart(self, instance, now):
        self.fleet.node(instance.number).alive = False
        self.fleet.start(instance.number, instance.data_centre)
        self.fleet.deliver_instance_list(self.fleet.node(instance.number))
        instance.start(now + START_TIME)

    def _learn(self, instance, now):
        for servers in self._servers.values():
            for target in servers:
                self._answer(instance.rates, target, now, now)

    def _ask(self, instance, priority, now):
        if not instance.is_running or now < instance.ready_at:
            return
        outcome, load = self.outcome, self.load
        rates = instance.rates
        is_counted = load.limit_period[0] + 4.0 <= now < load.limit_period[1]
        outcome.offered[priority] += is_counted
        rank = admission_rank(f"r{now}-{priority}") / OVERADMISSION
        rates.demand.record(self._services, priority=priority)
        share = rates.admission.request_share(
            self._services, priority=priority, least_share=load.least_share, now=now
        )
        if rank >= share:
            return
        request = RankedRequest(priority=priority, rank=rank)
        waits = rates.lacking(
            self._services,
            priority=priority,
            lacks_token=lambda s: self._lacks_token(instance, s, now),
            now=now,
        )
        if not waits:
            self._start(instance, request, is_counted, now)
            return
        with rates.waits.waiting(waits):
            for service in waits:
                self._claim(instance, rates.claim(service, now), now)
        started_at = now + 2 * MESSAGE_TIME + 0.001
        self._at(started_at, self._start, instance, request, is_counted)

    def _lacks_token(self, instance, service, now):
        limits = instance.rates.limits
        return all(limits.lacks_token(s, now) for s in self._up(service, now))

    def _up(self, service, now):
        down = {n for n, start, end in self.load.outages if start <= now < end}
        servers = self._servers[service]
        return [s for n, s in enumerate(servers) if n not in down]

    def _start(self, instance, request, is_counted, now):
        outcome, load = self.outcome, self.load
        priority = request.priority
        chosen = [self._choose(instance, s, request, now) for s in self._services]
        covered = sum(c is not None for c in chosen)
        if covered < load.least_share * load.shards - 1e-9:
            return
        outcome.full[priority] += is_counted and covered == load.shards
        outcome.partial[priority] += is_counted
        for target in chosen:
            if target is not None:
                self._send(instance, target, now, extra=False)
                if self._random.random() < load.extra_share:
                    self._hedge(instance, target, request, now)

    def _choose(self, instance, service, request, now, *, exclude=None):
        usable = instance.rates.usable(
            service,
            self._servers[service],
            request=request,
            extra=exclude is not None,
            now=now,
        )
        up = self._up(service, now)
        candidates = [s for s in usable if s is not exclude and s in up]
        return self._random.choice(candidates) if candidates else None

    def _hedge(self, instance, target, request, now):
        other = self._choose(instance, target.service, request, now, exclude=target)
        if other is not None:
            self._send(instance, other, now, extra=True)

    def _send(self, instance, target, now, *, extra):
        instance.rates.limits.record_sent(target, extra=extra, now=now)
        self.outcome.arrivals[target.name].append(now)
        rates = instance.rates
        self._at(now + ANSWER_TIME, self._answer, rates, target, now)

    def _answer(self, rates, target, sent_at, now):
        number = self._servers[target.service].index(target)
        announced = self.load.limit(number, now)
        rates.limits.observe(target, announced, sent_at=sent_at, now=now)

    def _are_cut(self, sender, target, now):
        """Return whether ``sender`` does not reach ``target``."""
        load = self.load
        names = (sender.name, target.name)
        data_centres = (sender.data_centre, target.data_centre)
        return any(
            self._instances[number].name in names
            for number, start, end in load.cuts
            if start <= now < end
        ) or any(
            (data_centres[0] == name) != (data_centres[1] == name)
            for start, end, name in load.partitions
            if start <= now < end
        )

    def _check(self, instance, now):
        if not instance.is_running:
            return
        limits = instance.rates.limits
        if not instance.has_asked:
            self._ask_peers(instance, now)
        services = frozenset(limits.services)
        if news := limits.take_news(now):
            for peer in instance.choice.news_peers(self._random):
                self._at(now + MESSAGE_TIME, self._tell, instance, peer, news)
        is_due = now - instance.claimed_at >= CLAIM_INTERVAL
        limits.set_instance_count(instance.shares.instance_count())
        if services - instance.claimed or (services and is_due):
            instance.claimed_at = now
            for claim in instance.rates.claims(now):
                self.outcome.claims += 1
                self._claim(instance, claim, now)
        instance.claimed = services
        self._at(now + CHECK_INTERVAL, self._check, instance)

    def _ask_peers(self, instance, now):
        for peer in instance.choice.sample(ASKED_PEERS, self._random):
            asked = self._by_name[peer.name]
            if asked.is_running and not self._are_cut(instance, asked, now):
                known = asked.rates.limits
                for service in known.services:
                    limits = known.known(service, now)
                    instance.rates.limits.learn(service, limits, now)
                instance.has_asked = True

    def _tell(self, instance, peer, news, now):
        receiver = self._by_name[peer.name]
        if receiver.is_running and not self._are_cut(instance, receiver, now):
            for service, limits in news.items():
                receiver.rates.limits.learn(service, limits, now)

    def _claim(self, instance, claim, now):
        peer = instance.choice.coordinator(claim.service)
        if peer is None:
            share = instance.coordinator.divide(instance.name, claim, now)
            instance.rates.apply(share, claimed_at=now, now=now)
            instance.rates.end_claim(claim, now)
            return
        coordinator = self._by_name[peer.name]
        if coordinator.is_running and not self._are_cut(instance, coordinator, now):
            self._at(
                now + MESSAGE_TIME, self._divide, coordinator, instance, claim, now
            )

    def _divide(self, coordinator, instance, claim, claimed_at, now):
        coordinator.rates.limits.learn(claim.service, claim.limits, now)
        if coordinator.choice.coordinator(claim.service) is not None:
            return
        share = coordinator.coordinator.divide(instance.name, claim, now)
        answer = (instance, claim, share, claimed_at)
        self._at(now + MESSAGE_TIME, self._apply, *answer)

    def _apply(self, instance, claim, share, claimed_at, now):
        instance.rates.apply(share, claimed_at=claimed_at, now=now)
        instance.rates.end_claim(claim, now)
