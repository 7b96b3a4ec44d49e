"""Simulates instances that share the rate limits of backend servers.

Drives the decisions about rate limits on a virtual clock: requests arrive at unequal
instances, each goes to all shards of a query or to one service, and instances exchange
claims and leases as the gateway does. Servers answer after a fixed time and announce
their limits in their answers.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

from savorypond.gateway.rate_admission import OVERADMISSION, admission_rank
from savorypond.gateway.rate_control import RankedRequest
from savorypond.gateway.rate_coordinator import RateCoordinator
from savorypond.gateway.rate_share_sync import (
    ANY_NEWS_PEERS,
    CHECK_INTERVAL,
    CLAIM_INTERVAL,
    NEAR_NEWS_PEERS,
)
from savorypond.gateway.rendezvous import rendezvous_score
from tests.gateway_fakes import make_rates, server

ANSWER_TIME = 0.03  # seconds
MESSAGE_TIME = 0.005  # seconds one way between instances
NEWS_PEERS = ANY_NEWS_PEERS + NEAR_NEWS_PEERS


@dataclass(frozen=True, kw_only=True)
class Load:
    """The servers, the instances and what callers send; times in seconds.

    :param limits: requests a second that each server of a shard announces, or None.
    :param rates: requests a second of callers, by priority.
    :param skew: factor between the loads of neighbouring instances.
    :param limit_period: start and end of the time in which limits are announced.
    :param restarts: times at which an instance, by number, restarts.
    :param cuts: periods in which an instance, by number, reaches no other one.
    :param outages: periods in which a server, by number, is used by nobody.
    :param burst: start and end of a time in which callers send ``burst_factor`` times
        as much.
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
    restarts: tuple = ()
    cuts: tuple = ()
    outages: tuple = ()
    burst: tuple = (0.0, 0.0)
    burst_factor: float = 1.0
    known_from: float | None = None
    known_by: int = 1000
    extra_share: float = 0.05
    seed: int = 1


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

    def mean_rate(self, name, *, after, before):
        """Return the requests a second at a server."""
        times = [t for t in self.arrivals[name] if after <= t < before]
        return len(times) / (before - after)


class _Instance:
    def __init__(self, number, servers, instance_count):
        self.instance_count = instance_count
        self.name = f"g{number}"
        self.number = number
        self.servers = servers
        self.restart()

    def restart(self):
        self.rates = make_rates()
        self.coordinator = RateCoordinator(
            servers=self.servers,
            instance_count=lambda: self.instance_count,
            reachable_share=lambda: 1.0,
            random=Random(self.number),
        )
        self.claimed = frozenset()
        self.claimed_at = 0.0


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
                server(f"{service}-{n}", service=service)
                for n in range(len(load.limits))
            )
            for service in self._services
        }
        self._instances = [
            _Instance(n, self._servers.__getitem__, load.instances)
            for n in range(load.instances)
        ]

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
        for instance in self._instances:
            self._at(self._random.uniform(0.0, CHECK_INTERVAL), self._check, instance)
            if load.known_from is not None and instance.number < load.known_by:
                self._at(load.known_from, self._learn, instance)
        for number, time in load.restarts:
            self._at(time, lambda now, n=number: self._instances[n].restart())
        while self._events:
            now, _, action, arguments = heappop(self._events)
            if now < load.duration:
                action(*arguments, now)
        return self.outcome

    def _at(self, time, action, *arguments):
        heappush(self._events, (time, next(self._sequence), action, arguments))

    def _learn(self, instance, now):
        for servers in self._servers.values():
            for target in servers:
                self._answer(instance.rates, target, now, now)

    def _ask(self, instance, priority, now):
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
        down = {n for n, start, end in self.load.outages if start <= now < end}
        servers = self._servers[service]
        candidates = [
            s for s in usable if s is not exclude and servers.index(s) not in down
        ]
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
        limit = self.load.limits[self._servers[target.service].index(target)]
        start, end = self.load.limit_period
        announced = limit if start <= now < end else None
        rates.limits.observe(target, announced, sent_at=sent_at, now=now)

    def _is_cut(self, instance, now):
        return any(
            number == instance.number and start <= now < end
            for number, start, end in self.load.cuts
        )

    def _check(self, instance, now):
        limits = instance.rates.limits
        services = frozenset(limits.services)
        if news := limits.take_news(now):
            for peer in self._random.sample(self._instances, NEWS_PEERS):
                self._at(now + MESSAGE_TIME, self._tell, instance, peer, news)
        is_due = now - instance.claimed_at >= CLAIM_INTERVAL
        limits.set_instance_count(self.load.instances)
        if services - instance.claimed or (services and is_due):
            instance.claimed_at = now
            for claim in instance.rates.claims(now):
                self.outcome.claims += 1
                self._claim(instance, claim, now)
        instance.claimed = services
        self._at(now + CHECK_INTERVAL, self._check, instance)

    def _tell(self, instance, peer, news, now):
        if not self._is_cut(instance, now) and not self._is_cut(peer, now):
            for service, limits in news.items():
                peer.rates.limits.learn(service, limits, now)

    def _claim(self, instance, claim, now):
        coordinator = max(
            self._instances, key=lambda i: rendezvous_score(claim.service, i.name)
        )
        if coordinator is instance:
            share = coordinator.coordinator.divide(instance.name, claim, now)
            instance.rates.apply(share, claimed_at=now, now=now)
        elif not self._is_cut(instance, now) and not self._is_cut(coordinator, now):
            self._at(
                now + MESSAGE_TIME, self._divide, coordinator, instance, claim, now
            )

    def _divide(self, coordinator, instance, claim, claimed_at, now):
        coordinator.rates.limits.learn(claim.service, claim.limits, now)
        share = coordinator.coordinator.divide(instance.name, claim, now)
        self._at(now + MESSAGE_TIME, self._apply, instance, share, claimed_at)

    def _apply(self, instance, share, claimed_at, now):
        instance.rates.apply(share, claimed_at=claimed_at, now=now)
