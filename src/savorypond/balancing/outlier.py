"""Outlier detection: eject failing and slow backend servers for a while."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import floor
from statistics import median

from savorypond.balancing.service_time import ServiceTime
from savorypond.reasons import EjectionReason

MAX_DOUBLINGS = 16


@dataclass(frozen=True, slots=True, kw_only=True)
class OutlierConfig:
    """When a backend server is ejected and how it returns.

    :param failures: consecutive failures that eject.
    :param slow_factor: multiple of the siblings' median latency that ejects.
    :param slow_gap: seconds by which a slow server must also exceed the siblings'
        median.
    :param min_samples: latencies needed before a server can count as slow.
    :param first_ejection: seconds of the first ejection; each further one doubles.
    :param max_ejection: seconds of the longest ejection.
    :param max_share: share of the usable servers of a service that may be
        ejected at once; the last one never is.
    :param probation: successes after a return that end the probation; one
        failure before that ejects again.
    :param decay_time: seconds without an ejection that halve the next one.
    :param ramp: seconds until a cold or returned server has its full weight.
    :param ramp_floor: weight that such a server starts with.
    """

    failures: int = 5
    slow_factor: float = 3.0
    slow_gap: float = 0.005
    min_samples: int = 20
    first_ejection: float = 1.0
    max_ejection: float = 60.0
    max_share: float = 0.5
    probation: int = 5
    decay_time: float = 60.0
    ramp: float = 5.0
    ramp_floor: float = 0.1


DEFAULT_OUTLIER = OutlierConfig()


@dataclass(frozen=True, slots=True, kw_only=True)
class Ejection:
    """An ejection of one backend server, which gets no work until it ends.

    :param until: monotonic seconds at which the server returns on probation.
    """

    server: str
    reason: EjectionReason
    until: float


@dataclass(slots=True, kw_only=True)
class _Health:
    """The state of one backend server."""

    service: str
    failures: int = 0
    samples: int = 0
    times: ServiceTime = field(default_factory=ServiceTime)
    ejected_until: float | None = None
    ejections: int = 0
    last_ejection: float = 0.0
    probation: int = 0
    cold_since: float | None = None


class OutlierDetector:
    """Ejects servers that fail consecutively or are far slower than siblings."""

    def __init__(self, *, config: OutlierConfig = DEFAULT_OUTLIER) -> None:
        self._config = config
        self._servers: dict[str, _Health] = {}
        self._usable: dict[str, frozenset[str]] = {}

    def set_usable(self, *, service: str, servers: Iterable[str], now: float) -> None:
        """Set the servers of ``service`` that are not excluded for other reasons.

        Those ejected beyond the cap return at once, soonest due first.
        """
        usable = frozenset(servers)
        for gone in self._usable.get(service, frozenset()) - usable:
            del self._servers[gone]
        self._usable[service] = usable
        for server in usable:
            self._servers.setdefault(server, _Health(service=service))
        ejected = self._ejected_of(service, now)
        ejected.sort(key=lambda name: self._servers[name].ejected_until or 0.0)
        surplus = len(ejected) - self._ejection_cap(service)
        for server in ejected[: max(0, surplus)]:
            self._restore(self._servers[server], now)

    def mark_cold(self, *, server: str, now: float) -> None:
        """Begin the slow start of a new or restarted server."""
        health = self._servers.get(server)
        if health is None:
            return
        health.cold_since = now
        health.times = ServiceTime()
        health.samples = 0
        health.failures = 0

    def record_success(
        self, *, server: str, latency: float, now: float
    ) -> Ejection | None:
        """Record an answer; return the ejection that it causes, if any."""
        health = self._servers.get(server)
        if health is None or self.ejected(server=server, now=now):
            return None
        health.failures = 0
        health.probation = max(0, health.probation - 1)
        return self._record_time(server, health, latency, now)

    def record_cancelled(
        self, *, server: str, age: float, now: float
    ) -> Ejection | None:
        """Record a cancelled attempt; return the ejection that it causes, if any.

        An attempt that ran longer than the mean counts with its age, which is a
        lower bound of its latency: otherwise a server whose attempts all lose to
        hedges would look healthy.
        """
        health = self._servers.get(server)
        if health is None or self.ejected(server=server, now=now):
            return None
        if age <= health.times.mean:
            return None
        return self._record_time(server, health, age, now)

    def record_failure(self, *, server: str, now: float) -> Ejection | None:
        """Record a failure or timeout; return the ejection that it causes, if any."""
        health = self._servers.get(server)
        if health is None or self.ejected(server=server, now=now):
            return None
        health.failures += 1
        if not health.probation and health.failures < self._config.failures:
            return None
        return self._eject(server, health, EjectionReason.CONSECUTIVE_FAILURES, now)

    def ejected(self, *, server: str, now: float) -> bool:
        """Return whether ``server`` gets no work now."""
        health = self._servers.get(server)
        if health is None or health.ejected_until is None:
            return False
        if now < health.ejected_until:
            return True
        self._restore(health, health.ejected_until)
        return False

    def weight(self, *, server: str, now: float) -> float:
        """Return the share of its usual work that a server should get, up to 1.0."""
        health = self._servers.get(server)
        if health is None or health.cold_since is None:
            return 1.0
        progress = (now - health.cold_since) / self._config.ramp
        if progress >= 1.0:
            health.cold_since = None
            return 1.0
        return max(self._config.ramp_floor, progress)

    def _ejected_of(self, service: str, now: float) -> list[str]:
        usable = self._usable.get(service, frozenset())
        return [name for name in usable if self.ejected(server=name, now=now)]

    def _ejection_cap(self, service: str) -> int:
        usable = len(self._usable.get(service, frozenset()))
        return max(0, min(floor(usable * self._config.max_share), usable - 1))

    def _record_time(
        self, server: str, health: _Health, seconds: float, now: float
    ) -> Ejection | None:
        health.times.record(seconds)
        health.samples += 1
        if not self._is_slow(server, health):
            return None
        return self._eject(server, health, EjectionReason.SLOW, now)

    def _is_slow(self, server: str, health: _Health) -> bool:
        if health.samples < self._config.min_samples:
            return False
        sibling_means = self._sibling_means(server, health.service)
        if not sibling_means:
            return False
        sibling_median = median(sibling_means)
        if health.times.mean < sibling_median + self._config.slow_gap:
            return False
        return health.times.mean > sibling_median * self._config.slow_factor

    def _sibling_means(self, server: str, service: str) -> list[float]:
        siblings = (self._servers[n] for n in self._usable[service] if n != server)
        enough = self._config.min_samples
        return [sibling.times.mean for sibling in siblings if sibling.samples >= enough]

    def _eject(
        self, server: str, health: _Health, reason: EjectionReason, now: float
    ) -> Ejection | None:
        cap = self._ejection_cap(health.service)
        if len(self._ejected_of(health.service, now)) >= cap:
            return None
        elapsed = max(0.0, now - health.last_ejection)
        decayed = floor(elapsed / self._config.decay_time)
        health.ejections = max(0, health.ejections - decayed)
        doublings = min(health.ejections, MAX_DOUBLINGS)
        length = self._config.first_ejection * 2**doublings
        until = now + min(length, self._config.max_ejection)
        health.ejections += 1
        health.last_ejection = until
        health.ejected_until = until
        return Ejection(server=server, reason=reason, until=until)

    def _restore(self, health: _Health, since: float) -> None:
        health.ejected_until = None
        health.failures = 0
        health.samples = 0
        health.times = ServiceTime()
        health.probation = self._config.probation
        health.cold_since = since
