"""Applies the rate limits of backend servers to the requests of an instance."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from random import Random

from msgspec.structs import replace

from savorypond.gateway.demand_meter import DemandMeter
from savorypond.gateway.rate_admission import RateAdmission
from savorypond.gateway.rate_messages import RateClaim, RateShare
from savorypond.gateway.server_rate_limits import ServerRateLimits
from savorypond.gateway.servers import RegisteredServer
from savorypond.gateway.token_waits import TokenWaits
from savorypond.model import Counters

MIN_CLAIMED_DEMAND = 0.1  # requests a second


@dataclass(frozen=True, slots=True, kw_only=True)
class RankedRequest:
    """What decides whether a request is sent to servers with a limit.

    :param rank: rank of the request, from 0 to 1; lower ranks are admitted first.
    """

    priority: int
    rank: float


class RateControl:
    """Limits, admission and demand of one instance."""

    def __init__(self, *, random: Random, counters: Counters) -> None:
        self._limits = ServerRateLimits(random=random, counters=counters)
        self._admission = RateAdmission()
        self._demand = DemandMeter()
        self._waits = TokenWaits()
        self._claimed: set[str] = set()

    @property
    def limits(self) -> ServerRateLimits:
        """The limits of servers."""
        return self._limits

    @property
    def admission(self) -> RateAdmission:
        """The shares of requests that services have room for."""
        return self._admission

    @property
    def demand(self) -> DemandMeter:
        """The demand for services with limits."""
        return self._demand

    @property
    def waits(self) -> TokenWaits:
        """The requests that wait for tokens."""
        return self._waits

    def usable(
        self,
        service: str,
        servers: Sequence[RegisteredServer],
        *,
        request: RankedRequest,
        extra: bool,
        now: float,
    ) -> Sequence[RegisteredServer]:
        """Return those of ``servers`` that may get an attempt of ``request``.

        :param extra: whether it is a hedge or a retry. While there is not room for all
            first attempts, extra ones go only to servers without a limit.
        """
        if not self._limits.is_limited(service):
            return servers
        share = self._admission.share(service, priority=request.priority, now=now)
        if extra and share < 1.0:
            return [s for s in servers if not self._limits.has_limit(s)]
        if not extra and request.rank >= share:
            return ()
        return [s for s in servers if self._limits.has_room(s, now)]

    def claims(self, now: float) -> tuple[RateClaim, ...]:
        """Return the claims to the limits of the services that are needed.

        An instance that seldom needs a service claims only when a request lacks a
        token. Otherwise every instance of a large fleet would send claims all the time.
        """
        services = self._limits.services
        self._demand.measure(services, now)
        self._claimed.intersection_update(services)
        claims = []
        for service in services:
            demand = self._demand.rates(service, now)
            if demand is None:
                is_needed = self._limits.is_observed(service)
            else:
                is_needed = sum(demand.values()) >= MIN_CLAIMED_DEMAND
            if is_needed:
                claims.append(self.claim(service, now))
            elif service in self._claimed:
                # Gives up this instance's part, which others may then use.
                claims.append(replace(self.claim(service, now), demand={}))
                self._claimed.discard(service)
        return tuple(claims)

    def claim(self, service: str, now: float) -> RateClaim:
        """Return a claim to the limits of ``service``."""
        self._claimed.add(service)
        return RateClaim(
            service=service,
            limits=self._limits.known(service, now),
            demand=self._demand.rates(service, now) or {},
            held=self._limits.held(service, now),
            waiting=self._waits.count(service),
        )

    def lacking(
        self,
        services: Iterable[str],
        *,
        priority: int,
        lacks_token: Callable[[str], bool],
        now: float,
    ) -> tuple[str, ...]:
        """Return those of ``services`` for whose tokens a request should wait.

        While a service lacks room for all, tokens that one request waits for would be
        missing for others that find those of all their shards.

        :param lacks_token: returns whether the request lacks a token of a service.
        """
        return tuple(
            service
            for service in dict.fromkeys(services)
            if self._limits.is_limited(service)
            and self._admission.share(service, priority=priority, now=now) >= 1.0
            and self._waits.may_ask(service, now)
            and lacks_token(service)
        )

    def apply(self, share: RateShare, *, claimed_at: float, now: float) -> None:
        """Apply a coordinator's answer to a claim.

        :param claimed_at: monotonic seconds at which the claim was made.
        """
        self._limits.apply(share, claimed_at=claimed_at, now=now)
        for priority, admitted in share.admitted.items():
            self._admission.record(
                share.service, priority=priority, share=admitted, now=now
            )

    def end_claim(self, claim: RateClaim, now: float) -> None:
        """Record that ``claim`` was answered, and the answer applied, or failed."""
        if claim.waiting:
            held = self._limits.held(claim.service, now).values()
            self._waits.record_answer(
                claim.service, has_token=any(tokens > 0 for tokens in held), now=now
            )
