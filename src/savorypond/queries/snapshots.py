"""Tracks the snapshots held by backend servers and chooses the one to query."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from savorypond.model import Holding, Pin, Service
from savorypond.queries.layouts import IndexShards

MAX_AGE = 30.0  # seconds after which evidence is stale
FORGET_AGE = 300.0  # seconds after which evidence is discarded
REPORT_LAG = 10.0  # seconds by which a health report may be out of date
UPGRADE_DELAY = 0.1  # seconds a complete cached pin is kept despite newer evidence
RECHECK_INTERVAL = 1.0  # seconds until a cached pin is checked for stale evidence
REFRESH_INTERVAL = 1.0  # seconds between timestamp updates of unchanged evidence
MAX_CACHED_PINS = 256  # sets of services with a cached pin, over all indexes


class EvidenceSource(StrEnum):
    """How evidence about a backend server was obtained."""

    OBSERVED = "observed"
    REPORTED = "reported"


@dataclass(frozen=True, slots=True, kw_only=True)
class PinChoice:
    """The pin for a query and the shards that it cannot reach.

    :param unavailable: shards of the pinned layout that no usable replica is
        known to hold.
    :param orphaned: requested services without a shard in the pinned layout
        whose keys moved to services that were not requested.
    """

    pin: Pin
    unavailable: frozenset[str] = frozenset()
    orphaned: tuple[str, ...] = ()

    @property
    def complete(self) -> bool:
        """Whether a usable replica is known for every requested shard."""
        return not self.unavailable and not self.orphaned


@dataclass(frozen=True, slots=True, kw_only=True)
class _Evidence:
    """The shards of a snapshot that a server holds; empty if it lacks the snapshot.

    :param at: monotonic seconds at which the evidence was obtained.
    """

    shards: frozenset[str]
    at: float
    source: EvidenceSource

    def confirms(self, held: frozenset[str]) -> bool:
        """Tell whether an answer for ``held`` would only update the timestamp."""
        return self.source is EvidenceSource.OBSERVED and held <= self.shards


@dataclass(slots=True, kw_only=True)
class _IndexEvidence:
    """The evidence about the backend servers of one index.

    :param gains: number of changes that added shards to what a server holds.
    :param losses: number of changes that removed shards or a server.
    """

    servers: dict[str, dict[Pin, _Evidence]] = field(default_factory=dict)
    gains: int = 0
    losses: int = 0


@dataclass(slots=True, kw_only=True)
class _CachedPin:
    shards: IndexShards
    choice: PinChoice | None
    at: float
    gains: int
    losses: int
    usable_version: int


class SnapshotRegistry:
    """Tracks which snapshots the backend servers of each index hold.

    Evidence is an answer, a refusal of a snapshot that is not held, or a health
    report. Newer evidence replaces older evidence, except that a report does not
    override an observation made within the last ``report_lag`` seconds, because
    the report may describe an earlier state.

    :param max_age: seconds after which evidence no longer selects a new pin and
        only supports one that is already in use.
    :param forget_age: seconds after which evidence is discarded.
    :param report_lag: seconds by which health reports may be out of date.
    """

    def __init__(
        self,
        *,
        max_age: float = MAX_AGE,
        forget_age: float = FORGET_AGE,
        report_lag: float = REPORT_LAG,
    ) -> None:
        self._max_age = max_age
        self._forget_age = forget_age
        self._report_lag = report_lag
        self._indexes: dict[str, _IndexEvidence] = {}
        self._cache: dict[tuple[str, ...], _CachedPin] = {}

    @property
    def size(self) -> int:
        """Number of stored pieces of evidence, over all indexes."""
        return sum(
            len(evidence)
            for index_evidence in self._indexes.values()
            for evidence in index_evidence.servers.values()
        )

    def record_answer(
        self, *, index: str, server: str, pin: Pin, shards: Iterable[str], now: float
    ) -> None:
        """Record that ``server`` answered for ``shards`` from the pinned snapshot."""
        evidence = self._server_evidence(index, server)
        held = frozenset(shards)
        entry = evidence.get(pin)
        if entry is not None:
            if now < entry.at + REFRESH_INTERVAL and entry.confirms(held):
                return
            held |= entry.shards
        self._store(index, evidence, pin, held, now, EvidenceSource.OBSERVED)

    def record_refusal(
        self,
        *,
        index: str,
        server: str,
        pin: Pin,
        held: Iterable[Holding],
        now: float,
    ) -> None:
        """Record that ``server`` refused ``pin`` and listed the snapshots it holds."""
        evidence = self._server_evidence(index, server)
        listed = _by_pin(held)
        listed[pin] = listed.get(pin, frozenset())
        for known_pin in evidence:
            listed.setdefault(known_pin, frozenset())
        for listed_pin, shards in listed.items():
            self._store(
                index, evidence, listed_pin, shards, now, EvidenceSource.OBSERVED
            )

    def record_report(
        self, *, index: str, server: str, held: Iterable[Holding], now: float
    ) -> None:
        """Record the snapshots listed by the health endpoint of ``server``."""
        evidence = self._server_evidence(index, server)
        listed = _by_pin(held)
        for known_pin in evidence:
            listed.setdefault(known_pin, frozenset())
        for pin, shards in listed.items():
            entry = evidence.get(pin)
            if entry is None or not self._overrides_report(entry, now):
                self._store(index, evidence, pin, shards, now, EvidenceSource.REPORTED)

    def forget_server(self, *, index: str, server: str) -> None:
        """Discard all evidence about a server removed from the configuration."""
        index_evidence = self._indexes.get(index)
        if index_evidence is not None and server in index_evidence.servers:
            del index_evidence.servers[server]
            index_evidence.losses += 1

    def holds(self, *, index: str, server: str, pin: Pin, now: float) -> bool | None:
        """Tell whether ``server`` holds the snapshot of ``pin``; None if unknown."""
        index_evidence = self._indexes.get(index)
        entry = (
            index_evidence.servers.get(server, {}).get(pin) if index_evidence else None
        )
        if entry is None or now - entry.at > self._max_age:
            return None
        return bool(entry.shards)

    def pin(
        self,
        *,
        services: Sequence[Service],
        now: float,
        usable: Callable[[str], bool],
        usable_version: int = 0,
    ) -> PinChoice | None:
        """Choose the snapshot for a query to ``services``, all of one index.

        Prefer the newest snapshot that is available for every requested shard
        from a usable replica, otherwise the one with the best coverage. The
        choice is cached until evidence against it arrives. Evidence for a newer
        snapshot takes effect within UPGRADE_DELAY, and the aging of evidence
        within RECHECK_INTERVAL.

        :param usable: tells by name whether a backend server may receive work.
        :param usable_version: a number that changes whenever ``usable`` changes.
        :returns: None if no snapshot is known.
        """
        if not services:
            return None
        index_evidence = self._indexes.get(services[0].index)
        if index_evidence is None:
            return None
        names = tuple([service.name for service in services])
        cached = self._cache.get(names)
        if cached is not None and cached.shards.services != tuple(services):
            cached = None
        if cached and self._is_current(cached, index_evidence, now, usable_version):
            return cached.choice
        shards = cached.shards if cached else IndexShards(services=services)
        last = cached.choice if cached else None
        choice = self._choose(index_evidence, shards, now, usable, last)
        self._cache.pop(names, None)
        if len(self._cache) >= MAX_CACHED_PINS:
            self._cache.pop(next(iter(self._cache)))
        self._cache[names] = _CachedPin(
            shards=shards,
            choice=choice,
            at=now,
            gains=index_evidence.gains,
            losses=index_evidence.losses,
            usable_version=usable_version,
        )
        return choice

    def complete_pins(
        self, *, services: Sequence[Service], now: float, usable: Callable[[str], bool]
    ) -> tuple[Pin, ...]:
        """Return the pins with a usable replica for every shard of ``services``.

        :returns: pins, newest snapshot first.
        """
        index_evidence = self._indexes.get(services[0].index) if services else None
        if index_evidence is None:
            return ()
        shards = IndexShards(services=services)
        holders = _usable_evidence(index_evidence, shards, usable)
        pins = {pin for evidence in holders.values() for pin in evidence}
        since = now - self._max_age
        found = []
        for pin in sorted(pins, key=_newest_first):
            choice = _evaluate(shards, holders, pin, since)
            if choice is not None and choice.complete:
                found.append(pin)
        return tuple(found)

    def _server_evidence(self, index: str, server: str) -> dict[Pin, _Evidence]:
        index_evidence = self._indexes.setdefault(index, _IndexEvidence())
        return index_evidence.servers.setdefault(server, {})

    def _store(
        self,
        index: str,
        evidence: dict[Pin, _Evidence],
        pin: Pin,
        shards: frozenset[str],
        now: float,
        source: EvidenceSource,
    ) -> None:
        old = evidence.get(pin)
        if old is not None and old.at > now:
            return
        if old is None:
            self._expire(evidence, now)
        before = old.shards if old is not None else frozenset()
        evidence[pin] = _Evidence(shards=shards, at=now, source=source)
        if before - shards:
            self._indexes[index].losses += 1
        if shards - before:
            self._indexes[index].gains += 1

    def _overrides_report(self, entry: _Evidence, now: float) -> bool:
        return (
            entry.source is EvidenceSource.OBSERVED
            and now - entry.at < self._report_lag
        )

    def _expire(self, evidence: dict[Pin, _Evidence], now: float) -> None:
        for pin, entry in list(evidence.items()):
            limit = self._forget_age if entry.shards else self._max_age
            if now - entry.at > limit:
                del evidence[pin]

    def _is_current(
        self,
        cached: _CachedPin,
        index_evidence: _IndexEvidence,
        now: float,
        usable_version: int,
    ) -> bool:
        if (
            cached.losses != index_evidence.losses
            or cached.usable_version != usable_version
        ):
            return False
        age = now - cached.at
        if not 0.0 <= age < RECHECK_INTERVAL:
            return False
        if cached.gains == index_evidence.gains:
            return True
        complete = cached.choice is not None and cached.choice.complete
        return complete and age < UPGRADE_DELAY

    def _choose(
        self,
        index_evidence: _IndexEvidence,
        shards: IndexShards,
        now: float,
        usable: Callable[[str], bool],
        last: PinChoice | None,
    ) -> PinChoice | None:
        holders = _usable_evidence(index_evidence, shards, usable)
        pins = {pin for evidence in holders.values() for pin in evidence}
        best: PinChoice | None = None
        for pin in sorted(pins, key=_newest_first):
            choice = _evaluate(shards, holders, pin, now - self._max_age)
            if choice is None:
                continue
            if best is None or _coverage(shards, choice) > _coverage(shards, best):
                best = choice
            if best.complete:
                break
        if best is None or last is None or best.pin.snapshot >= last.pin.snapshot:
            return best
        kept = _evaluate(shards, holders, last.pin, now - self._forget_age)
        return kept if kept is not None and kept.complete else best


def _newest_first(pin: Pin) -> tuple[int, int]:
    return -pin.snapshot, -pin.layout


def _by_pin(held: Iterable[Holding]) -> dict[Pin, frozenset[str]]:
    return {
        Pin(snapshot=holding.snapshot, layout=holding.layout): holding.shards
        for holding in held
    }


def _usable_evidence(
    index_evidence: _IndexEvidence, shards: IndexShards, usable: Callable[[str], bool]
) -> dict[str, dict[Pin, _Evidence]]:
    found: dict[str, dict[Pin, _Evidence]] = {}
    for service in shards.services:
        for server in service.backend_servers:
            evidence = index_evidence.servers.get(server.name)
            if evidence and usable(server.name):
                found[server.name] = evidence
    return found


def _evaluate(
    shards: IndexShards,
    holders: dict[str, dict[Pin, _Evidence]],
    pin: Pin,
    since: float,
) -> PinChoice | None:
    """Return the coverage of ``pin`` by evidence since ``since``, or None if zero."""
    layout = shards.layout(pin.layout)
    if not layout.asked:
        return None
    unavailable: set[str] = set()
    for service, wanted in layout.by_service:
        left = wanted
        for server in service.backend_servers:
            evidence = holders.get(server.name)
            entry = evidence.get(pin) if evidence else None
            if entry is None or entry.at < since:
                continue
            left = left - entry.shards
            if not left:
                break
        unavailable |= left
    if len(unavailable) == len(layout.asked):
        return None
    return PinChoice(
        pin=pin, unavailable=frozenset(unavailable), orphaned=layout.orphaned
    )


def _coverage(shards: IndexShards, choice: PinChoice) -> float:
    layout = shards.layout(choice.pin.layout)
    unavailable = len(choice.unavailable) + len(choice.orphaned)
    return 1.0 - unavailable / (len(layout.asked) + len(choice.orphaned))
