"""How each backend server fares, and which one gets the next attempt.

Answers servers that are slow, paused, full, failing, dark or far away: each
attempt goes where it is expected to finish first, and one that fails is left
alone for a while and then tried by a single attempt.
"""

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field
from random import Random

from savorypond.gateway.servers import RegisteredServer


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerLoadConfig:
    """How servers are compared; times in seconds.

    :param distance_cost: what another data centre costs, in answer time; more than
        the way there takes, since bytes between data centres are dear.
    :param smoothing: weight of a new measurement.
    :param memory: after which a measurement counts for a third.
    :param cold_factor: how much slower a server is taken for that says it is
        cold.
    :param overdue_factor: times the usual answer time after which an attempt
        without an answer counts against its server.
    :param failures: failures in a row after which a server is left alone.
    :param first_rest: how long it is left alone; each next time twice as long.
    :param longest_rest: the longest time that it is left alone.
    :param probe_time: how long others wait for the attempt that tries it again.
    :param dark_rest: the longest time where every server of a service is left
        alone, since no request that needs the service is served meanwhile.
    """

    distance_cost: float = 0.025
    smoothing: float = 0.25
    memory: float = 4.0
    cold_factor: float = 1.6
    overdue_factor: float = 2.5
    failures: int = 2
    first_rest: float = 0.4
    longest_rest: float = 3.0
    probe_time: float = 0.5
    dark_rest: float = 0.8


DEFAULT_SERVER_LOAD = ServerLoadConfig()


@dataclass(slots=True, kw_only=True)
class _Load:
    """What is known of one incarnation of a server.

    :param slowness: answer times in relation to those usual for the route.
    """

    started: int
    cold_until: float
    in_flight: dict[int, float] = field(default_factory=dict)
    slowness: float = 1.0
    errors: float = 0.0
    measured: float = 0.0
    failures: int = 0
    rests: int = 0
    rest_until: float = 0.0


class ServerLoads:
    """The load and state of each backend server as this instance sees it."""

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
        self._attempts = 0

    def keep(self, servers: Iterable[RegisteredServer], now: float) -> None:
        """Forget every server that is not among ``servers``."""
        names = {server.name for server in servers}
        for name in self._loads.keys() - names:
            if not self._loads[name].in_flight:
                del self._loads[name]

    def begin(self, server: RegisteredServer, now: float) -> int:
        """Note an attempt at ``server``; return its number."""
        self._attempts += 1
        load = self._load(server, now)
        load.in_flight[self._attempts] = now
        if load.failures >= self._config.failures and now >= load.rest_until:
            # Others wait until this attempt has shown how the server fares.
            load.rest_until = now + self._config.probe_time
        return self._attempts

    def answered(
        self, server: RegisteredServer, attempt: int, *, usual: float, now: float
    ) -> None:
        """Note a usable answer to ``attempt``.

        :param usual: seconds that answers of the route usually take.
        """
        load = self._load(server, now)
        began = load.in_flight.pop(attempt, now)
        load.failures = 0
        load.rests = 0
        load.rest_until = 0.0
        self._measure(load, now - began, usual, now)
        load.errors *= 1.0 - self._config.smoothing

    def abandoned(
        self, server: RegisteredServer, attempt: int, *, usual: float, now: float
    ) -> None:
        """Note that nobody waits for ``attempt`` any more.

        One that had taken longer than usual shows at least that time.
        """
        load = self._load(server, now)
        began = load.in_flight.pop(attempt, now)
        if now - began > usual * load.slowness:
            self._measure(load, now - began, usual, now)

    def dropped(self, server: RegisteredServer, attempt: int, *, now: float) -> None:
        """Forget ``attempt``, which was never made."""
        self._load(server, now).in_flight.pop(attempt, None)

    def refused(self, server: RegisteredServer, attempt: int, *, now: float) -> None:
        """Note that the server did not run ``attempt`` since it was full."""
        load = self._load(server, now)
        load.in_flight.pop(attempt, None)
        load.slowness = max(load.slowness, self._decayed(load, now)) * 1.5
        load.measured = now

    def failed(
        self, server: RegisteredServer, attempt: int, *, gone: bool, now: float
    ) -> None:
        """Note a failure of ``attempt``.

        :param gone: nobody listens at the server's address, or another server.
        """
        load = self._load(server, now)
        load.in_flight.pop(attempt, None)
        load.failures += self._config.failures if gone else 1
        load.errors += self._config.smoothing * (1.0 - load.errors)
        load.measured = now
        if load.failures >= self._config.failures:
            length = self._config.first_rest * 2 ** min(load.rests, 8)
            length = min(length, self._config.longest_rest)
            load.rest_until = now + length * self._random.uniform(0.75, 1.0)
            load.rests += 1

    def choose(
        self,
        servers: Sequence[RegisteredServer],
        *,
        exclude: Collection[str],
        usual: float,
        now: float,
    ) -> RegisteredServer | None:
        """Return the server that should finish an attempt first, or None.

        :param exclude: names of servers that must not be chosen.
        """
        best, best_cost = None, 0.0
        for server in servers:
            if server.name in exclude:
                continue
            cost = self._cost(server, usual, now)
            if cost is not None and (best is None or cost < best_cost):
                best, best_cost = server, cost
        if best is None:
            return self._longest_resting(servers, exclude, now)
        return best

    def is_remote(self, server: RegisteredServer) -> bool:
        """Return whether ``server`` is in another data centre."""
        return server.data_centre != self._data_centre

    def resting(self, server: RegisteredServer, now: float) -> float:
        """Return the seconds for which ``server`` gets no attempt."""
        load = self._loads.get(server.name)
        return max(0.0, load.rest_until - now) if load is not None else 0.0

    def _longest_resting(
        self, servers: Sequence[RegisteredServer], exclude: Collection[str], now: float
    ) -> RegisteredServer | None:
        """Return the server to try again where all are left alone, or None.

        None is tried while another attempt shows how one of them fares.
        """
        loads = [(self._load(server, now), server) for server in servers]
        if any(load.in_flight for load, _ in loads):
            return None
        due = [
            (load.measured, server)
            for load, server in loads
            if server.name not in exclude
            and now - load.measured >= self._config.dark_rest
        ]
        return min(due, key=lambda one: one[0])[1] if due else None

    def _cost(self, server: RegisteredServer, usual: float, now: float) -> float | None:
        load = self._load(server, now)
        if now < load.rest_until:
            return None
        cost = usual * self._decayed(load, now)
        if now < load.cold_until:
            cost *= self._config.cold_factor
        cost *= 1.0 + len(load.in_flight) / server.slots
        cost *= 1.0 + 4.0 * load.errors * self._fading(load, now)
        if load.in_flight:
            oldest = now - min(load.in_flight.values())
            cost += max(0.0, oldest - self._config.overdue_factor * usual)
        if self.is_remote(server):
            cost += self._config.distance_cost
        return cost * self._random.uniform(0.95, 1.05)

    def _measure(self, load: _Load, seconds: float, usual: float, now: float) -> None:
        if usual <= 0.0:
            return
        known = self._decayed(load, now)
        weight = self._config.smoothing
        load.slowness = (1.0 - weight) * known + weight * min(seconds / usual, 50.0)
        load.measured = now

    def _decayed(self, load: _Load, now: float) -> float:
        return 1.0 + (load.slowness - 1.0) * self._fading(load, now)

    def _fading(self, load: _Load, now: float) -> float:
        age = max(0.0, now - load.measured) / self._config.memory
        return 1.0 / (1.0 + age * age * 2.0)

    def _load(self, server: RegisteredServer, now: float) -> _Load:
        load = self._loads.get(server.name)
        if load is None or load.started != server.started:
            load = _Load(started=server.started, cold_until=now + server.cold_for)
            self._loads[server.name] = load
        return load
