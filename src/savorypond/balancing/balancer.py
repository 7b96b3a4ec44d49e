"""Replica choice: select the backend server that an attempt goes to."""

from collections.abc import Hashable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from math import exp
from random import Random
from typing import Protocol

from savorypond.model import BackendServer, Pin, Service
from savorypond.protocols import Purpose, ReplicaChooser

LATENCY_GAIN = 0.2  # weight of a new latency in the mean
FAILURE_GAIN = 0.1  # weight of a new outcome in the failure share
LATENCY_DECAY = 10.0  # seconds in which an idle server's mean decays to 1/e


class ServerView(Protocol):
    """The state of the backend servers as this instance sees it."""

    def leaving(self, *, server: str) -> bool:
        """Return whether ``server`` must not get new work."""

    def ejected(self, *, server: str, now: float) -> bool:
        """Return whether ``server`` is ejected as an outlier."""

    def overloaded(self, *, server: str, now: float) -> bool:
        """Return whether work for ``server`` would have to wait for a slot."""

    def expected_wait(self, *, server: str, now: float) -> float:
        """Return the seconds that new work would wait for a slot."""

    def weight(self, *, server: str, now: float) -> float:
        """Return the share of its usual work that ``server`` should get."""

    def holds(self, *, server: str, pin: Pin) -> bool | None:
        """Return whether ``server`` holds ``pin``, or None where unknown."""


class ReplicaStats:
    """Latencies and failures of the attempts at one backend server."""

    __slots__ = ("_failure_share", "_latency", "_started", "_updated")

    def __init__(self) -> None:
        self._latency = 0.0
        self._failure_share = 0.0
        self._updated = 0.0
        self._started: dict[Hashable, float] = {}

    @property
    def in_flight(self) -> int:
        """Number of attempts that were started and have not ended."""
        return len(self._started)

    @property
    def failure_share(self) -> float:
        """Share of recent attempts that failed."""
        return self._failure_share

    def started(self, *, attempt: Hashable, now: float) -> None:
        """Record an attempt that was dispatched.

        It stays in flight until it is finished or cancelled.
        """
        self._started[attempt] = now

    def finished(self, *, attempt: Hashable, now: float, ok: bool) -> None:
        """Record an attempt that was answered or failed."""
        latency = self._end(attempt, now)
        self._failure_share += FAILURE_GAIN * ((not ok) - self._failure_share)
        # A fast failure does not show how long an answer takes.
        if ok or latency > self._latency:
            self._record_latency(now, latency)

    def cancelled(self, *, attempt: Hashable, now: float) -> None:
        """Record an attempt that was cancelled before its answer."""
        age = self._end(attempt, now)
        if age > self._latency:
            self._record_latency(now, age)

    def expected_latency(self, *, now: float) -> float:
        """Return the seconds that an answer is expected to take; 0.0 if unknown.

        This is the mean, which decays so that an idle server is tried again, or
        the age of the oldest attempt in flight if that is larger, as in a stall.
        """
        idle = max(0.0, now - self._updated)
        latency = self._latency * exp(-idle / LATENCY_DECAY)
        if not self._started:
            return latency
        oldest = next(iter(self._started.values()))
        return max(latency, now - oldest)

    def _end(self, attempt: Hashable, now: float) -> float:
        started = self._started.pop(attempt, now)
        return now - started

    def _record_latency(self, now: float, latency: float) -> None:
        self._updated = now
        if self._latency <= 0.0:
            self._latency = latency
            return
        self._latency += LATENCY_GAIN * (latency - self._latency)


class ReplicaStatsRegistry:
    """The statistics of all backend servers, by name."""

    def __init__(self) -> None:
        self._stats: dict[str, ReplicaStats] = {}

    def get(self, *, server: str) -> ReplicaStats:
        """Return the statistics of ``server``, created if necessary."""
        stats = self._stats.get(server)
        if stats is None:
            stats = ReplicaStats()
            self._stats[server] = stats
        return stats

    def forget(self, *, server: str) -> None:
        """Drop the statistics of a removed backend server."""
        self._stats.pop(server, None)


class ChoiceRule(StrEnum):
    """How one of several usable replicas is chosen."""

    LEAST_EXPECTED_FINISH = "least-expected-finish"
    POWER_OF_TWO = "power-of-two"
    RANDOM = "random"


@dataclass(frozen=True, slots=True, kw_only=True)
class LinkLatencies:
    """Seconds that the links between data centres add to a round trip.

    :param local: the data centre of this instance.
    :param default: seconds to a data centre that ``by_data_centre`` does not list.
    :param by_data_centre: pairs of data centre name and seconds.
    """

    local: str
    default: float = 0.0
    by_data_centre: tuple[tuple[str, float], ...] = ()

    def to(self, data_centre: str) -> float:
        """Return the seconds to ``data_centre``; 0.0 for the local one."""
        if data_centre == self.local:
            return 0.0
        for name, seconds in self.by_data_centre:
            if name == data_centre:
                return seconds
        return self.default


class _Chooser:
    """Base class: filters the usable replicas and estimates the cost of each."""

    def __init__(
        self,
        *,
        rng: Random,
        links: LinkLatencies,
        view: ServerView,
        registry: ReplicaStatsRegistry,
    ) -> None:
        self._rng = rng
        self._links = links
        self._view = view
        self._registry = registry

    def choose(
        self,
        *,
        service: Service,
        pin: Pin,
        tried: frozenset[str],
        now: float,
        purpose: Purpose,
    ) -> BackendServer | None:
        """Return a usable replica outside ``tried``, or None.

        A hedge never gets a replica that is overloaded or ejected. Other attempts
        get an ejected replica if no other is usable.
        """
        usable = [
            server
            for server in service.backend_servers
            if server.name not in tried and not self._view.leaving(server=server.name)
        ]
        usable = self._without_ejected(usable, now, purpose)
        usable = self._holders(usable, pin, now)
        usable = self._without_cold(usable, now)
        if len(usable) < 2:
            return usable[0] if usable else None
        return self._pick(usable, service.limits.slots, now)

    def _pick(
        self, usable: list[BackendServer], slots: int, now: float
    ) -> BackendServer:
        raise NotImplementedError

    def _without_ejected(
        self, usable: list[BackendServer], now: float, purpose: Purpose
    ) -> list[BackendServer]:
        view = self._view
        healthy = [s for s in usable if not view.ejected(server=s.name, now=now)]
        if purpose is Purpose.HEDGE:
            return [s for s in healthy if not view.overloaded(server=s.name, now=now)]
        return healthy or usable

    def _holders(
        self, usable: list[BackendServer], pin: Pin, now: float
    ) -> list[BackendServer]:
        """Return the known holders, plus the unknown ones if all are overloaded."""
        known = []
        unknown = []
        for server in usable:
            holds = self._view.holds(server=server.name, pin=pin)
            if holds is None:
                unknown.append(server)
            elif holds:
                known.append(server)
        if not unknown:
            return known
        for server in known:
            if not self._view.overloaded(server=server.name, now=now):
                return known
        return known + unknown

    def _without_cold(
        self, usable: list[BackendServer], now: float
    ) -> list[BackendServer]:
        """Drop each cold server with a probability of 1.0 minus its weight."""
        if len(usable) < 2:
            return usable
        warm = []
        for server in usable:
            weight = self._view.weight(server=server.name, now=now)
            if weight >= 1.0 or self._rng.random() < weight:
                warm.append(server)
        return warm or usable

    def _expected_finish(self, server: BackendServer, slots: int, now: float) -> float:
        """Return the expected seconds until an answer, with link and failures."""
        stats = self._registry.get(server=server.name)
        wait = self._view.expected_wait(server=server.name, now=now)
        link = self._links.to(server.data_centre)
        excess = max(0, stats.in_flight + 1 - slots) / slots
        success_share = max(1.0 - stats.failure_share, FAILURE_GAIN)
        latency = stats.expected_latency(now=now) * (1.0 + excess) / success_share
        return link + wait + latency

    def _best(
        self, usable: Sequence[BackendServer], slots: int, now: float
    ) -> BackendServer:
        costs = [self._expected_finish(server, slots, now) for server in usable]
        least = min(costs)
        best = [s for s, cost in zip(usable, costs, strict=True) if cost == least]
        return best[0] if len(best) == 1 else self._rng.choice(best)


class LeastExpectedFinish(_Chooser):
    """Choose the replica that is expected to answer first."""

    def _pick(
        self, usable: list[BackendServer], slots: int, now: float
    ) -> BackendServer:
        return self._best(usable, slots, now)


class PowerOfTwo(_Chooser):
    """Choose the better of two random replicas (Mitzenmacher, 2001)."""

    def _pick(
        self, usable: list[BackendServer], slots: int, now: float
    ) -> BackendServer:
        return self._best(self._rng.sample(usable, 2), slots, now)


class RandomChoice(_Chooser):
    """Choose any usable replica."""

    def _pick(
        self, usable: list[BackendServer], slots: int, now: float
    ) -> BackendServer:
        return self._rng.choice(usable)


_RULES: dict[ChoiceRule, type[_Chooser]] = {
    ChoiceRule.LEAST_EXPECTED_FINISH: LeastExpectedFinish,
    ChoiceRule.POWER_OF_TWO: PowerOfTwo,
    ChoiceRule.RANDOM: RandomChoice,
}


def make_chooser(
    *,
    rule: ChoiceRule,
    rng: Random,
    links: LinkLatencies,
    view: ServerView,
    registry: ReplicaStatsRegistry,
) -> ReplicaChooser:
    """Return a chooser that follows ``rule``."""
    return _RULES[rule](rng=rng, links=links, view=view, registry=registry)
