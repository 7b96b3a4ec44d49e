"""Applies the rate limits of backend servers to the requests of an instance."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from savorypond.gateway.demand_meter import DemandMeter
from savorypond.gateway.rate_admission import RateAdmission
from savorypond.gateway.rate_messages import RateClaim, RateShare
from savorypond.gateway.server_rate_limits import ServerRateLimits
from savorypond.gateway.servers import RegisteredServer
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

        An instance that seldom needs a service makes do with its reserve. Otherwise
        every instance of a large fleet would send claims all the time.
        """
        services = self._limits.services
        self._demand.measure(services, now)
        claims = []
        for service in services:
            demand = self._demand.rates(service, now)
            if demand is None:
                is_needed = self._limits.is_observed(service)
            else:
                is_needed = sum(demand.values()) >= MIN_CLAIMED_DEMAND
            if is_needed:
                claims.append(
                    RateClaim(
                        service=service,
                        limits=self._limits.known(service, now),
                        demand=demand or {},
                        held=self._limits.held(service, now),
                    )
                )
        return tuple(claims)

    def apply(self, share: RateShare, *, claimed_at: float, now: float) -> None:
        """Apply a coordinator's answer to a claim.

        :param claimed_at: monotonic seconds at which the claim was made.
        """
        self._limits.apply(share, claimed_at=claimed_at, now=now)
        for priority, admitted in share.admitted.items():
            self._admission.record(
                share.service, priority=priority, share=admitted, now=now
            )
