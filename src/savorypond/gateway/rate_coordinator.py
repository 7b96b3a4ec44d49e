"""Divides the rate limits of backend servers among the instances that use them.

Answers the load of servers in trouble, which announce how many requests a second they
accept from all instances together. The instances cannot see each other's requests, use
a server unequally, and come and go. One of them, the coordinator of a service, grants
each some tokens, each for one request, in proportion to its demand. Tokens end after a
short time. The part of an instance that stops to claim returns to the others some
seconds later, since it may be cut off and have a coordinator on its side.

Instances that do not reach each other have a coordinator each. It hands out only the
part of the tokens that corresponds to the instances on its side.

Where all servers of a service together have less room than callers need, the room goes
to urgent requests first.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from random import Random

from savorypond.gateway.rate_messages import (
    RateClaim,
    RateShare,
    ServerLimit,
    ServerShare,
)
from savorypond.gateway.request_tokens import LEASE_TIME, TokenPool
from savorypond.gateway.servers import RegisteredServer

# Arrivals vary, and an attempt may be counted by its server a moment later.
USED_SHARE = 0.97  # of a limit
# Part of a limit that all instances without a grant would use together: those that
# seldom need the server, and those that do not reach the coordinator.
RESERVED_SHARE = 0.2
# The end of a limit of 0 is noticed only by a request.
MIN_RATE = 0.25  # requests a second, of all instances
# Part of the tokens that is divided evenly, so that growing demand finds some room.
EVEN_SHARE = 0.1
# Part of the room that every priority gets in proportion to its demand.
UNPRIORITIZED_SHARE = 0.3
# An instance that was cut off is replaced as coordinator, and knows it, by then.
SILENCE_TIME = 8.0  # seconds for which instances that do not claim keep their part
SERVICE_TIMEOUT = 10.0  # seconds after its last claim at which a service is forgotten


@dataclass(slots=True, kw_only=True)
class _Server:
    """A server's limit and its tokens."""

    started: int
    rate: float | None
    observed_at: float
    tokens: TokenPool


@dataclass(slots=True, kw_only=True)
class _Demand:
    """The demand of one instance, in requests a second by priority."""

    rates: Mapping[int, float]
    claimed_at: float

    @property
    def total(self) -> float:
        return sum(self.rates.values())


@dataclass(slots=True, kw_only=True)
class _Service:
    """The limits of a service's servers, and who needs them.

    :param demand: of the instances that claim.
    :param known_demand: of those too that no longer claim and keep their part.
    :param silent: total demand of the latter, in requests a second.
    """

    claimed_at: float
    servers: dict[str, _Server] = field(default_factory=dict)
    demand: dict[str, _Demand] = field(default_factory=dict)
    silent: float = 0.0
    known_demand: dict[str, _Demand] = field(default_factory=dict)

    def update_demand(
        self, instance: str, rates: Mapping[int, float], now: float
    ) -> None:
        """Record a claim of ``instance``; forget those that ended long ago."""
        self.known_demand[instance] = _Demand(rates=rates, claimed_at=now)
        self.known_demand = {
            name: demand
            for name, demand in self.known_demand.items()
            if now - demand.claimed_at < SILENCE_TIME
        }
        self.demand = {
            name: demand
            for name, demand in self.known_demand.items()
            if now - demand.claimed_at < LEASE_TIME
        }
        self.silent = sum(
            demand.total
            for name, demand in self.known_demand.items()
            if name not in self.demand
        )

    @property
    def total_demand(self) -> float:
        """Requests a second of the instances that claim."""
        return sum(demand.total for demand in self.demand.values())

    @property
    def claimed_share(self) -> float:
        """The part of the demand that comes from instances that claim, from 0 to 1."""
        if not self.silent:
            return 1.0
        return self.total_demand / (self.total_demand + self.silent)


class RateCoordinator:
    """Divides the limits of the servers of some services.

    :param servers: returns the servers of a service that may get requests.
    :param instance_count: returns the number of instances that share a limit.
    :param reachable_share: returns the part of the instances that claim their tokens
        here, from 0 to 1, while others may have a coordinator of their own.
    """

    def __init__(
        self,
        *,
        servers: Callable[[str], Sequence[RegisteredServer]],
        instance_count: Callable[[], int],
        reachable_share: Callable[[], float],
        random: Random,
    ) -> None:
        self._servers = servers
        self._instance_count = instance_count
        self._reachable_share = reachable_share
        self._random = random
        self._services: dict[str, _Service] = {}

    def divide(self, instance: str, claim: RateClaim, now: float) -> RateShare:
        """Record the claim of ``instance`` and return its share."""
        service = self._services.setdefault(claim.service, _Service(claimed_at=now))
        service.claimed_at = now
        for limit in claim.limits:
            self._merge_limit(service, limit, now)
        service.update_demand(instance, claim.demand, now)
        share = _demand_share(service, instance)
        needed = service.demand[instance].total * LEASE_TIME
        granted = self._granted_share(service)
        return RateShare(
            service=claim.service,
            servers=tuple(
                ServerShare(
                    limit=ServerLimit(
                        name=name,
                        started=server.started,
                        rate=server.rate,
                        age=now - server.observed_at,
                    ),
                    tokens=self._grant(
                        server,
                        instance,
                        held=claim.held.get(name, 0),
                        share=share,
                        needed=needed,
                        waiting=claim.waiting,
                        granted=granted,
                        now=now,
                    ),
                )
                for name, server in service.servers.items()
            ),
            admitted=self._admitted(claim.service, service, granted),
        )

    def expire(self, now: float) -> None:
        """Forget the services that are no longer claimed."""
        for name, service in list(self._services.items()):
            if now - service.claimed_at >= SERVICE_TIMEOUT:
                del self._services[name]

    def _merge_limit(self, service: _Service, limit: ServerLimit, now: float) -> None:
        """Keep the newest of two observations of a server's limit."""
        known = service.servers.get(limit.name)
        observed_at = now - limit.age
        if known is not None and limit.started < known.started:
            return
        if known is None or limit.started > known.started:
            service.servers[limit.name] = _Server(
                started=limit.started,
                rate=limit.rate,
                observed_at=observed_at,
                tokens=TokenPool(random=self._random, now=now),
            )
        elif observed_at > known.observed_at:
            known.rate, known.observed_at = limit.rate, observed_at

    def _granted_share(self, service: _Service) -> float:
        """Return the part of each limit that is granted to instances with claims."""
        claiming = min(1.0, len(service.demand) / max(1, self._instance_count()))
        reserved = RESERVED_SHARE * (1.0 - claiming)
        # Instances that no longer claim may be cut off from here already.
        reachable = min(self._reachable_share(), service.claimed_share)
        return max(0.0, USED_SHARE * reachable - reserved)

    def _grant(
        self,
        server: _Server,
        instance: str,
        *,
        held: int,
        share: float,
        needed: float,
        waiting: int,
        granted: float,
        now: float,
    ) -> int:
        """Return the tokens to add to those that ``instance`` holds.

        :param share: part of the tokens that it gets, from 0 to 1.
        :param needed: tokens that it can use before they end.
        :param waiting: its requests that wait for a token.
        :param granted: part of the limit that is granted, from 0 to 1.
        """
        if server.rate is None:
            server.tokens.clear(now)
            return 0
        server.tokens.fill(granted * max(server.rate, MIN_RATE), now)
        return server.tokens.grant(
            instance, held=held, share=share, now=now, needed=needed, waiting=waiting
        )

    def _admitted(
        self, name: str, service: _Service, granted: float
    ) -> dict[int, float]:
        """Return the share of the requests that have room, by priority.

        :param granted: part of each limit that is granted, from 0 to 1.
        """
        demand: dict[int, float] = {}
        for of_instance in service.demand.values():
            for priority, rate in of_instance.rates.items():
                demand[priority] = demand.get(priority, 0.0) + rate
        room = 0.0
        for server in self._servers(name):
            known = service.servers.get(server.name)
            if known is None or known.started != server.started or known.rate is None:
                return dict.fromkeys(demand, 1.0)
            room += granted * max(known.rate, MIN_RATE)
        return divide_room(room, demand)


def divide_room(room: float, demand: Mapping[int, float]) -> dict[int, float]:
    """Return the share of the requests that are admitted, by priority.

    :param room: requests a second that can be served.
    :param demand: requests a second, by priority; a lower number goes first.
    """
    total = sum(demand.values())
    if total <= room:
        return dict.fromkeys(demand, 1.0)
    even = UNPRIORITIZED_SHARE * room / total
    left = room * (1.0 - UNPRIORITIZED_SHARE)
    admitted = {}
    for priority in sorted(demand):
        wanted = demand[priority] * (1.0 - even)
        taken = min(wanted, left)
        left -= taken
        share = even + (taken / demand[priority] if taken else 0.0)
        admitted[priority] = min(1.0, share)
    return admitted


def _demand_share(service: _Service, instance: str) -> float:
    """Return the part of the tokens that ``instance`` gets, from 0 to 1."""
    total = service.total_demand
    even = 1.0 / len(service.demand)
    if not total:
        return even
    proportional = service.demand[instance].total / total
    return EVEN_SHARE * even + (1.0 - EVEN_SHARE) * proportional
