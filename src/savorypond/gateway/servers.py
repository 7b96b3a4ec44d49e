"""The registry of backend servers, built from the published registrations."""

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf

from savorypond.model import Address

# Registrations that lapsed during an outage of the store are renewed within two seconds
# of its end and read half a second later.
LAPSE_GRACE = 2.5  # seconds
# If this share of the servers that are not leaving lapses at once, the store itself was
# unavailable.
MASS_LAPSE_SHARE = 0.3
MAX_REMOVED = 4096  # servers; those removed before are forgotten
MIN_MASS_LAPSE = 3  # registrations; fewer may lapse together without an outage


@dataclass(frozen=True, slots=True, kw_only=True)
class RegisteredServer:
    """A backend server as it registered itself.

    :param slots: requests that it runs concurrently.
    :param leaving: whether it is about to stop accepting requests.
    :param cold_for: seconds until its warm-up ends.
    :param started: start time in Unix milliseconds, which tells incarnations of the
        same name apart.
    """

    name: str
    service: str
    address: Address
    data_centre: str
    slots: int
    leaving: bool
    cold_for: float = 0.0
    started: int = 0


@dataclass(slots=True, kw_only=True)
class _Entry:
    """A registration and its state.

    :param until: monotonic seconds until which a lapsed registration is kept, or
        None if it has not lapsed.
    """

    server: RegisteredServer
    until: float | None = None


class ServerRegistry:
    """The registered servers of each service.

    Tolerates outages of the store: while it cannot be read, the last registrations
    remain valid. Those that are missing after the outage are kept for a grace period,
    because they lapsed while no server could renew its registration.
    """

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        # Start times of the servers removed last, by name.
        self._removed: dict[str, int] = {}
        self._services: dict[str, tuple[RegisteredServer, ...]] = {}
        self._in_outage = False
        self._grace_until = 0.0
        self._version = 0

    @property
    def version(self) -> int:
        """A number that increases whenever the servers of a service may change."""
        return self._version

    @property
    def count(self) -> int:
        """Number of registered servers."""
        return len(self._entries)

    def servers(self, service: str) -> tuple[RegisteredServer, ...]:
        """Return the servers of ``service`` that may get new requests."""
        return self._services.get(service, ())

    def all(self) -> tuple[RegisteredServer, ...]:
        """Return every registered server, including those that are leaving."""
        return tuple(entry.server for entry in self._entries.values())

    def registered(self) -> tuple[RegisteredServer, ...]:
        """Return every server whose registration has not lapsed."""
        entries = self._entries.values()
        return tuple(entry.server for entry in entries if entry.until is None)

    def start_outage(self) -> None:
        """Record that the store cannot be read."""
        self._in_outage = True

    def end_outage(self, now: float) -> None:
        """Record that the store can be read; start the grace period after an outage."""
        if self._in_outage:
            self._in_outage = False
            self._grace_until = now + LAPSE_GRACE

    def replace_all(self, servers: Iterable[RegisteredServer], now: float) -> None:
        """Replace all registrations by ``servers``."""
        registered = {server.name: server for server in servers}
        unlisted = [name for name in self._entries if name not in registered]
        for name, server in registered.items():
            self._put(name, server)
        self._drop(unlisted, now)
        self._rebuild()

    def restore(self, servers: Iterable[RegisteredServer], now: float) -> None:
        """Replace all registrations by those of an older copy.

        Servers that left after the copy was made are listed in it; they stay left until
        they register again. Servers that registered after it are missing; they are kept
        for a grace period in which they register again.
        """
        self._grace_until = max(self._grace_until, now + LAPSE_GRACE)
        self.replace_all(
            [server for server in servers if not self._has_left(server)], now
        )

    def _has_left(self, server: RegisteredServer) -> bool:
        """Return whether this incarnation of ``server`` was leaving, lapsed or gone."""
        entry = self._entries.get(server.name)
        if entry is None:
            return self._removed.get(server.name) == server.started
        is_known = entry.server.started == server.started
        return is_known and (entry.server.leaving or entry.until is not None)

    def apply(
        self, changes: Iterable[tuple[str, RegisteredServer | None]], now: float
    ) -> None:
        """Apply changed registrations; None stands for a removed one."""
        removed = []
        for name, server in changes:
            if server is None:
                removed.append(name)
            else:
                self._put(name, server)
        self._drop(removed, now)
        self._rebuild()

    def next_expiry(self) -> float:
        """Return when the next grace period ends, or infinity."""
        ends = (e.until for e in self._entries.values() if e.until is not None)
        return min(ends, default=inf)

    def expire(self, now: float) -> tuple[str, ...]:
        """Drop lapsed registrations after their grace period; return their names."""
        expired = tuple(
            name
            for name, entry in self._entries.items()
            if entry.until is not None and now >= entry.until
        )
        for name in expired:
            self._remove(name)
        if expired:
            self._rebuild()
        return expired

    def _put(self, name: str, server: RegisteredServer) -> None:
        self._removed.pop(name, None)
        self._entries[name] = _Entry(server=server)

    def _drop(self, names: list[str], now: float) -> None:
        registered_names = [name for name in names if name in self._entries]
        if self._is_mass_lapse(registered_names):
            self._grace_until = max(self._grace_until, now + LAPSE_GRACE)
        for name in registered_names:
            entry = self._entries[name]
            if now < self._grace_until and not entry.server.leaving:
                entry.until = self._grace_until
            else:
                self._remove(name)

    def _remove(self, name: str) -> None:
        self._removed.pop(name, None)
        self._removed[name] = self._entries.pop(name).server.started
        if len(self._removed) > MAX_REMOVED:
            del self._removed[next(iter(self._removed))]

    def _is_mass_lapse(self, names: list[str]) -> bool:
        """Return whether so many of the servers lapse that do not leave."""
        lapsed = sum(not self._entries[name].server.leaving for name in names)
        staying = sum(not entry.server.leaving for entry in self._entries.values())
        return lapsed >= max(MIN_MASS_LAPSE, MASS_LAPSE_SHARE * staying)

    def _rebuild(self) -> None:
        self._version += 1
        services: dict[str, list[RegisteredServer]] = {}
        for entry in self._entries.values():
            if not entry.server.leaving:
                services.setdefault(entry.server.service, []).append(entry.server)
        self._services = {name: tuple(members) for name, members in services.items()}
