"""Keeps the rate limits that backend servers announce, and counts what they get.

Observes a server that is in trouble and announces how many requests a second it
accepts from all instances together.
"""

from dataclasses import dataclass

from savorypond.gateway.servers import RegisteredServer
from savorypond.logs import log_event
from savorypond.model import Counters

USAGE_INTERVAL = 2.0  # seconds between log lines about the use of a server


@dataclass(slots=True, kw_only=True)
class _Limit:
    """The limit of one incarnation of a server.

    :param rate: requests a second over all instances, or None once it has ended.
    :param observed_at: monotonic seconds of the answer that announced ``rate``.
    :param first: first attempts since the last log line.
    :param extra: hedges and retries since the last log line.
    """

    server: RegisteredServer
    rate: float | None
    observed_at: float
    logged_at: float
    first: int = 0
    extra: int = 0


class ServerRateLimits:
    """The announced limits, as this instance knows them."""

    def __init__(self, *, counters: Counters) -> None:
        self._counters = counters
        self._limits: dict[str, _Limit] = {}

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
        limit = self._limits.get(server.name)
        if limit is not None and limit.server.started != server.started:
            limit = None
        if rate is None and not _ends(limit, sent_at):
            return
        previous = limit.rate if limit is not None else None
        if rate != previous:
            self._log_change(server, previous, rate)
        if limit is None:
            self._limits[server.name] = _Limit(
                server=server, rate=rate, observed_at=now, logged_at=now
            )
        else:
            limit.rate, limit.observed_at = rate, now

    def record_sent(self, server: RegisteredServer, *, extra: bool, now: float) -> None:
        """Count an attempt at ``server``, which may have a limit.

        :param extra: whether it is a hedge or a retry.
        """
        limit = self._limits.get(server.name)
        if limit is None or limit.rate is None:
            return
        self._counters.add("gateway_limited_attempts", "extra" if extra else "first")
        if extra:
            limit.extra += 1
        else:
            limit.first += 1
        if now - limit.logged_at >= USAGE_INTERVAL:
            self._log_usage(limit, now)

    def _log_change(
        self, server: RegisteredServer, previous: float | None, rate: float | None
    ) -> None:
        if rate is None:
            change = "ended"
        else:
            change = "announced" if previous is None else "changed"
        self._counters.add("gateway_rate_limits", change)
        log_event(
            "rate-limit",
            change=change,
            server=server.name,
            service=server.service,
            rate=rate,
            previous=previous,
        )

    def _log_usage(self, limit: _Limit, now: float) -> None:
        log_event(
            "rate-limit-usage",
            server=limit.server.name,
            rate=limit.rate,
            first=limit.first,
            extra=limit.extra,
            seconds=round(now - limit.logged_at, 3),
        )
        limit.first = limit.extra = 0
        limit.logged_at = now


def _ends(limit: _Limit | None, sent_at: float) -> bool:
    """Return whether an answer without a limit, asked for at ``sent_at``, ends it."""
    return limit is not None and limit.rate is not None and sent_at > limit.observed_at
