"""Tracks the load of each backend server and selects one for the next attempt.

Handles servers that are slow, paused, full, failing, unreachable or in another data
centre: each attempt goes to the server that is expected to finish it first. A server
that fails is ejected for a while and then probed by a single attempt.
"""

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field
from random import Random

from savorypond.gateway.servers import RegisteredServer


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerLoadConfig:
    """Parameters of the comparison of servers; times in seconds.

    :param remote_cost: latency added to a server in another data centre. It exceeds
        the network latency, because traffic between data centres is expensive.
    :param smoothing: weight of a new measurement in the moving average.
    :param decay_time: age at which a measurement has lost two thirds of its weight.
    :param warmup_factor: factor on the latency of a server that reports a cold start.
    :param overdue_factor: multiple of the mean latency after which an unanswered
        attempt counts against its server.
    :param failures: consecutive failures after which a server is ejected.
    :param base_ejection: duration of the first ejection; doubles each time.
    :param max_ejection: longest duration of an ejection.
    :param probe_timeout: time for which an ejected server gets no further attempt
        while it is probed.
    :param all_ejected_retry: time since its last measurement after which a server is
        probed although ejected, if all servers of a service are: no request that needs
        the service can be served until then.
    """

    remote_cost: float = 0.025
    smoothing: float = 0.25
    decay_time: float = 4.0
    warmup_factor: float = 1.6
    overdue_factor: float = 2.5
    failures: int = 2
    base_ejection: float = 0.4
    max_ejection: float = 3.0
    probe_timeout: float = 0.5
    all_ejected_retry: float = 0.8


DEFAULT_SERVER_LOAD = ServerLoadConfig()


@dataclass(slots=True, kw_only=True)
class _Load:
    """Measurements of one incarnation of a server.

    :param latency_ratio: moving average of the latency, relative to the route's mean.
    """

    started: int
    cold_until: float
    in_flight: dict[int, float] = field(default_factory=dict)
    latency_ratio: float = 1.0
    error_rate: float = 0.0
    measured_at: float = 0.0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0


class ServerLoadTracker:
    """The load and state of each backend server, as seen by this instance."""

    def __init__(
        self,
        *,
        data_centre: str,
        random: Random,
        config: ServerLoadConfig = DEFAULT_SERVER_LOAD,
    ) -> None:
        self._data_centre = data_centre
        self._random = random
        self._config = config
        self._loads: dict[str, _Load] = {}
        self._last_attempt = 0

    def retain(self, servers: Iterable[RegisteredServer], now: float) -> None:
        """Discard the state of idle servers that are not among ``servers``."""
        names = {server.name for server in servers}
        for name in self._loads.keys() - names:
            if not self._loads[name].in_flight:
                del self._loads[name]

    def begin(self, server: RegisteredServer, now: float) -> int:
        """Record an attempt at ``server``; return its number."""
        self._last_attempt += 1
        load = self._load(server, now)
        load.in_flight[self._last_attempt] = now
        if load.failures >= self._config.failures and now >= load.ejected_until:
            # This attempt probes the server; others wait for its result.
            load.ejected_until = now + self._config.probe_timeout
        return self._last_attempt

    def record_answer(
        self, server: RegisteredServer, attempt: int, *, mean_latency: float, now: float
    ) -> None:
        """Record a usable answer to ``attempt``.

        :param mean_latency: mean latency of the route in seconds.
        """
        load = self._load(server, now)
        began = load.in_flight.pop(attempt, now)
        load.failures = 0
        load.ejections = 0
        load.ejected_until = 0.0
        self._record_latency(load, now - began, mean_latency, now)
        load.error_rate *= 1.0 - self._config.smoothing

    def record_abandoned(
        self, server: RegisteredServer, attempt: int, *, mean_latency: float, now: float
    ) -> None:
        """Record that ``attempt`` was cancelled before it ended.

        If it ran longer than expected, its age counts as its latency.
        """
        load = self._load(server, now)
        began = load.in_flight.pop(attempt, now)
        if now - began > mean_latency * load.latency_ratio:
            self._record_latency(load, now - began, mean_latency, now)

    def forget(self, server: RegisteredServer, attempt: int, *, now: float) -> None:
        """Discard ``attempt``, which was never sent."""
        self._load(server, now).in_flight.pop(attempt, None)

    def record_refusal(
        self, server: RegisteredServer, attempt: int, *, now: float
    ) -> None:
        """Record that the server refused ``attempt`` because it was full."""
        load = self._load(server, now)
        load.in_flight.pop(attempt, None)
        load.latency_ratio = (
            max(load.latency_ratio, self._decayed_ratio(load, now)) * 1.5
        )
        load.measured_at = now

    def record_failure(
        self, server: RegisteredServer, attempt: int, *, unreachable: bool, now: float
    ) -> None:
        """Record a failure of ``attempt``.

        :param unreachable: whether the address refuses connections or belongs to
            another server.
        """
        load = self._record_error(server, attempt, now)
        load.failures += self._config.failures if unreachable else 1
        if load.failures >= self._config.failures:
            ejection = self._config.base_ejection * 2 ** min(load.ejections, 8)
            ejection = min(ejection, self._config.max_ejection)
            load.ejected_until = now + ejection * self._random.uniform(0.75, 1.0)
            load.ejections += 1

    def record_crash(
        self, server: RegisteredServer, attempt: int, *, now: float
    ) -> None:
        """Record that the server crashed during ``attempt``.

        It is not used for a moment. The request may be at fault, so that this does not
        count as a failure of the server.
        """
        load = self._load(server, now)
        load.in_flight.pop(attempt, None)
        load.ejected_until = max(load.ejected_until, now + self._config.base_ejection)

    def record_rejection(
        self, server: RegisteredServer, attempt: int, *, now: float
    ) -> None:
        """Record that the server answered ``attempt``, but not with anything usable.

        The request may be at fault rather than the server, so that ejecting servers
        would let one faulty request disable all of them.
        """
        self._record_error(server, attempt, now)

    def choose(
        self,
        servers: Sequence[RegisteredServer],
        *,
        exclude: Collection[str],
        mean_latency: float,
        now: float,
    ) -> RegisteredServer | None:
        """Return the server expected to finish an attempt first, or None.

        :param exclude: names of servers that must not be chosen.
        """
        best, best_cost = None, 0.0
        for server in servers:
            if server.name in exclude:
                continue
            cost = self._cost(server, mean_latency, now)
            if cost is not None and (best is None or cost < best_cost):
                best, best_cost = server, cost
        if best is None:
            return self._reprobe_candidate(servers, exclude, now)
        return best

    def is_remote(self, server: RegisteredServer) -> bool:
        """Return whether ``server`` is in another data centre."""
        return server.data_centre != self._data_centre

    def ejection_left(self, server: RegisteredServer, now: float) -> float:
        """Return the seconds for which ``server`` stays ejected."""
        load = self._loads.get(server.name)
        return max(0.0, load.ejected_until - now) if load is not None else 0.0

    def _reprobe_candidate(
        self, servers: Sequence[RegisteredServer], exclude: Collection[str], now: float
    ) -> RegisteredServer | None:
        """Return the server to probe when all are ejected, or None.

        Return None while an attempt at one of them is in flight.
        """
        loads = [(self._load(server, now), server) for server in servers]
        if any(load.in_flight for load, _ in loads):
            return None
        due = [
            (load.measured_at, server)
            for load, server in loads
            if server.name not in exclude
            and now - load.measured_at >= self._config.all_ejected_retry
        ]
        return min(due, key=lambda pair: pair[0])[1] if due else None

    def _cost(
        self, server: RegisteredServer, mean_latency: float, now: float
    ) -> float | None:
        load = self._load(server, now)
        if now < load.ejected_until:
            return None
        cost = mean_latency * self._decayed_ratio(load, now)
        if now < load.cold_until:
            cost *= self._config.warmup_factor
        cost *= 1.0 + len(load.in_flight) / server.slots
        cost *= 1.0 + 4.0 * load.error_rate * self._decay(load, now)
        if load.in_flight:
            oldest = now - min(load.in_flight.values())
            cost += max(0.0, oldest - self._config.overdue_factor * mean_latency)
        if self.is_remote(server):
            cost += self._config.remote_cost
        return cost * self._random.uniform(0.95, 1.05)

    def _record_error(
        self, server: RegisteredServer, attempt: int, now: float
    ) -> _Load:
        load = self._load(server, now)
        load.in_flight.pop(attempt, None)
        load.error_rate += self._config.smoothing * (1.0 - load.error_rate)
        load.measured_at = now
        return load

    def _record_latency(
        self, load: _Load, seconds: float, mean_latency: float, now: float
    ) -> None:
        if mean_latency <= 0.0:
            return
        previous = self._decayed_ratio(load, now)
        weight = self._config.smoothing
        load.latency_ratio = (1.0 - weight) * previous + weight * min(
            seconds / mean_latency, 50.0
        )
        load.measured_at = now

    def _decayed_ratio(self, load: _Load, now: float) -> float:
        return 1.0 + (load.latency_ratio - 1.0) * self._decay(load, now)

    def _decay(self, load: _Load, now: float) -> float:
        age = max(0.0, now - load.measured_at) / self._config.decay_time
        return 1.0 / (1.0 + age * age * 2.0)

    def _load(self, server: RegisteredServer, now: float) -> _Load:
        load = self._loads.get(server.name)
        if load is None or load.started != server.started:
            load = _Load(started=server.started, cold_until=now + server.cold_for)
            self._loads[server.name] = load
        return load
