"""Keeps the rate limits that backend servers announce, and keeps within them.

Answers the load of a server in trouble that announces how many requests a second it
accepts from all instances together. For attempts of every kind this instance uses the
tokens that the service's coordinator grants, or without a grant a small even part.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from savorypond.gateway.fleet_shares import ASSUMED_INSTANCES
from savorypond.gateway.rate_coordinator import MIN_RATE, RESERVED_SHARE
from savorypond.gateway.rate_messages import RateShare, ServerLimit, ServerShare
from savorypond.gateway.request_tokens import LEASE_TIME, TokenBalance, TokenReserve
from savorypond.gateway.servers import RegisteredServer
from savorypond.logs import log_event
from savorypond.model import Counters

USAGE_INTERVAL = 2.0  # seconds between log lines about the use of a server
# Others are told of a change that exceeds what small fluctuations amount to.
TOLD_CHANGE = 1.25  # factor between the limit that was told and the current one
# Other instances have learned of the end of a limit by then.
ENDED_RETENTION = 5.0  # seconds
# A server that is missing from the registrations for less may have lapsed only.
UNREGISTERED_RETENTION = 60.0  # seconds


@dataclass(slots=True, kw_only=True)
class _Limit:
    """The limit of one incarnation of a server.

    :param rate: requests a second over all instances, or None once it has ended.
    :param observed_at: monotonic seconds at which an answer announced ``rate``.
    :param registered_at: monotonic seconds at which the server was last registered.
    :param told_rate: the limit that others were last told, or None.
    :param first: first attempts since the last log line.
    :param extra: hedges and retries since the last log line.
    :param refused: attempts since then for which there was no token.
    :param observed: whether an answer to this instance announced the limit.
    """

    name: str
    service: str
    started: int
    rate: float | None
    observed_at: float
    registered_at: float
    tokens: TokenBalance
    logged_at: float
    told_rate: float | None = None
    first: int = 0
    extra: int = 0
    refused: int = 0
    observed: bool = False

    def known(self, now: float) -> ServerLimit:
        """Return what this instance tells others of the limit."""
        return ServerLimit(
            name=self.name,
            started=self.started,
            rate=self.rate,
            age=now - self.observed_at,
        )


class ServerRateLimits:
    """The announced limits, as this instance knows them, and what it may use."""

    def __init__(self, *, random: Random, counters: Counters) -> None:
        self._reserve = TokenReserve(random=random)
        self._counters = counters
        self._instances = ASSUMED_INSTANCES
        self._services: dict[str, dict[str, _Limit]] = {}
        self._news: dict[tuple[str, str], _Limit] = {}

    def set_instance_count(self, count: int) -> None:
        """Set the number of instances that share a limit without grants."""
        self._instances = max(1, count)

    @property
    def services(self) -> tuple[str, ...]:
        """The services of which a server has, or recently had, a limit."""
        return tuple(self._services)

    @property
    def count(self) -> int:
        """Number of servers that have a limit."""
        return sum(
            limit.rate is not None
            for of_service in self._services.values()
            for limit in of_service.values()
        )

    def observe(
        self,
        server: RegisteredServer,
        rate: float | None,
        *,
        sent_at: float,
        now: float,
    ) -> None:
        """Record what an answer said about the limit of its server.

        :param rate: announced requests a second, or None if there is no limit.
        :param sent_at: monotonic seconds at which the request was sent. An answer to
            a request from before a limit was known does not end that limit.
        """
        limit = self._find(server)
        if rate is None and not _ends(limit, sent_at):
            return
        self._set_rate(server.service, server.name, server.started, rate, now, now)
        if rate is not None and (limit := self._find(server)) is not None:
            limit.observed = True

    def apply(self, share: RateShare, *, claimed_at: float, now: float) -> None:
        """Apply a coordinator's answer to a claim of this instance.

        :param claimed_at: monotonic seconds at which the claim was made.
        """
        self.learn(share.service, (s.limit for s in share.servers), now)
        for of_server in share.servers:
            self._add_tokens(share.service, of_server, claimed_at + LEASE_TIME, now)

    def learn(self, service: str, limits: Iterable[ServerLimit], now: float) -> None:
        """Record what another instance knows of the limits of ``service``."""
        for limit in limits:
            self._set_rate(
                service,
                limit.name,
                limit.started,
                limit.rate,
                now - limit.age,
                now,
            )

    def is_limited(self, service: str) -> bool:
        """Return whether a server of ``service`` may have a limit."""
        return service in self._services

    def has_room(self, server: RegisteredServer, now: float) -> bool:
        """Return whether this instance may send ``server`` a request now.

        Counts an attempt that it may not send.
        """
        limit = self._find(server)
        if limit is None or not self._lacks_token(limit, now):
            return True
        limit.refused += 1
        self._counters.add("gateway_limited_attempts", "refused")
        return False

    def lacks_token(self, server: RegisteredServer, now: float) -> bool:
        """Return whether ``server`` has a limit and this instance no token of it."""
        limit = self._find(server)
        return limit is not None and self._lacks_token(limit, now)

    def has_limit(self, server: RegisteredServer) -> bool:
        """Return whether ``server`` has a limit."""
        limit = self._find(server)
        return limit is not None and limit.rate is not None

    def record_sent(self, server: RegisteredServer, *, extra: bool, now: float) -> None:
        """Count an attempt at ``server``, which may have a limit.

        Call it together with ``has_room``, without other requests in between.

        :param extra: whether it is a hedge or a retry.
        """
        limit = self._find(server)
        if limit is None or limit.rate is None:
            return
        self._counters.add("gateway_limited_attempts", "extra" if extra else "first")
        limit.tokens.take(now)
        if extra:
            limit.extra += 1
        else:
            limit.first += 1
        if now - limit.logged_at >= USAGE_INTERVAL:
            self._log_usage(limit, now)

    def record_unsent(self, server: RegisteredServer, now: float) -> None:
        """Take back an attempt at ``server`` that was never sent."""
        limit = self._find(server)
        if limit is not None and limit.rate is not None:
            limit.tokens.give_back(now)

    def known(self, service: str, now: float) -> tuple[ServerLimit, ...]:
        """Return what this instance knows of the limits of ``service``."""
        return tuple(
            limit.known(now) for limit in self._services.get(service, {}).values()
        )

    def is_observed(self, service: str) -> bool:
        """Return whether this instance has used a server of ``service`` with a limit.

        Otherwise it knows of the limits from other instances only.
        """
        return any(limit.observed for limit in self._services.get(service, {}).values())

    def take_news(self, now: float) -> dict[str, tuple[ServerLimit, ...]]:
        """Return the limits that began, ended or changed much, by service.

        Each change is returned once.
        """
        news: dict[str, list[ServerLimit]] = {}
        for limit in self._news.values():
            news.setdefault(limit.service, []).append(limit.known(now))
        self._news.clear()
        return {service: tuple(limits) for service, limits in news.items()}

    def held(self, service: str, now: float) -> dict[str, int]:
        """Return the unused tokens for the servers of ``service`` by name."""
        return {
            limit.name: limit.tokens.held(now)
            for limit in self._services.get(service, {}).values()
        }

    def retain(self, servers: Iterable[RegisteredServer], now: float) -> None:
        """Forget limits that ended, and those of servers that are gone for long."""
        registered = {(server.service, server.name) for server in servers}
        for service, of_service in list(self._services.items()):
            for name, limit in list(of_service.items()):
                if (service, name) in registered:
                    limit.registered_at = now
                has_ended = limit.rate is None
                if (
                    has_ended and now - limit.observed_at >= ENDED_RETENTION
                ) or now - limit.registered_at >= UNREGISTERED_RETENTION:
                    del of_service[name]
            if not of_service:
                del self._services[service]

    def _lacks_token(self, limit: _Limit, now: float) -> bool:
        if limit.rate is None:
            return False
        reserve_rate = RESERVED_SHARE * max(limit.rate, MIN_RATE) / self._instances
        return not limit.tokens.available(reserve_rate, now)

    def _find(self, server: RegisteredServer) -> _Limit | None:
        limit = self._services.get(server.service, {}).get(server.name)
        if limit is None or limit.started != server.started:
            return None
        return limit

    def _set_rate(
        self,
        service: str,
        name: str,
        started: int,
        rate: float | None,
        observed_at: float,
        now: float,
    ) -> None:
        limit = self._services.get(service, {}).get(name)
        if limit is not None and (
            started < limit.started
            or (started == limit.started and observed_at < limit.observed_at)
        ):
            return
        if limit is None or limit.started != started:
            if rate is None:
                return
            limit = self._services.setdefault(service, {})[name] = _Limit(
                name=name,
                service=service,
                started=started,
                rate=None,
                observed_at=observed_at,
                registered_at=now,
                tokens=TokenBalance(reserve=self._reserve),
                logged_at=now,
            )
        limit.observed_at = observed_at
        if rate == limit.rate:
            return
        self._log_change(limit, rate)
        if rate is not None and limit.rate is not None and rate < limit.rate:
            limit.tokens.reduce(rate / limit.rate)
        limit.rate = rate
        if _is_news(rate, limit.told_rate):
            limit.told_rate = rate
            self._news[service, name] = limit

    def _add_tokens(
        self, service: str, share: ServerShare, until: float, now: float
    ) -> None:
        limit = self._services.get(service, {}).get(share.limit.name)
        if limit is not None and limit.started == share.limit.started:
            limit.tokens.add(share.tokens, until=until, now=now)

    def _log_change(self, limit: _Limit, rate: float | None) -> None:
        if rate is None:
            change = "ended"
        else:
            change = "announced" if limit.rate is None else "changed"
        self._counters.add("gateway_rate_limits", change)
        log_event(
            "rate-limit",
            change=change,
            server=limit.name,
            service=limit.service,
            rate=rate,
            previous=limit.rate,
        )

    def _log_usage(self, limit: _Limit, now: float) -> None:
        log_event(
            "rate-limit-usage",
            server=limit.name,
            rate=limit.rate,
            held=limit.tokens.held(now),
            first=limit.first,
            extra=limit.extra,
            refused=limit.refused,
            seconds=round(now - limit.logged_at, 3),
        )
        limit.first = limit.extra = limit.refused = 0
        limit.logged_at = now


def _ends(limit: _Limit | None, sent_at: float) -> bool:
    """Return whether an answer without a limit, asked for at ``sent_at``, ends it."""
    return limit is not None and limit.rate is not None and sent_at > limit.observed_at


def _is_news(rate: float | None, told: float | None) -> bool:
    """Return whether a limit differs so much from ``told`` that others must know."""
    if rate is None or told is None:
        return rate is not told
    return max(rate, told) > TOLD_CHANGE * min(rate, told)
