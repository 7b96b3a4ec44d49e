"""What each backend server is known to hold, and the snapshot to pin from it."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from savorypond.model import Holding, Pin, Service
from savorypond.queries.layouts import IndexShards

MAX_AGE = 30.0  # seconds after which evidence counts as stale
FORGET_AGE = 300.0  # seconds after which evidence is forgotten
REPORT_LAG = 10.0  # seconds that a health report may lag behind
RISE_DELAY = 0.1  # seconds for which a complete pin outlives newer evidence
RECHECK_INTERVAL = 1.0  # seconds after which ageing is looked at again
REFRESH_INTERVAL = 1.0  # seconds between renewals of evidence that still holds
CACHED_PINS = 256  # sets of services whose pin is kept, over all indexes


class Source(StrEnum):
    """Where evidence about a backend server comes from."""

    OBSERVED = "observed"
    REPORTED = "reported"


@dataclass(frozen=True, slots=True, kw_only=True)
class PinChoice:
    """The pin for a query, and what it is known not to reach.

    :param lacking: shards of the pinned layout that no usable replica is known
        to hold.
    :param orphaned: asked services that hold no shard under the pinned layout,
        and whose keys went to services outside those asked for.
    """

    pin: Pin
    lacking: frozenset[str] = frozenset()
    orphaned: tuple[str, ...] = ()

    @property
    def complete(self) -> bool:
        """Whether every asked shard is known to be held."""
        return not self.lacking and not self.orphaned


@dataclass(frozen=True, slots=True, kw_only=True)
class _Fact:
    """Evidence that a backend server holds ``shards`` of a snapshot; none: not."""

    shards: frozenset[str]
    at: float
    source: Source

    def confirms(self, held: frozenset[str]) -> bool:
        """Tell whether an answer from ``held`` adds nothing but its time."""
        return self.source is Source.OBSERVED and held <= self.shards


@dataclass(slots=True, kw_only=True)
class _IndexFacts:
    servers: dict[str, dict[Pin, _Fact]] = field(default_factory=dict)
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
    """Knows which snapshots the backend servers of each index hold.

    Evidence is an answer, a refusal of a snapshot that is not held, or a health
    report. Newer evidence replaces older. What was observed within ``report_lag``
    is not overruled by a report, which may describe an earlier moment.

    :param max_age: seconds after which evidence only serves to keep a pin.
    :param forget_age: seconds after which evidence is forgotten.
    :param report_lag: seconds that health reports may lag behind.
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
        self._indexes: dict[str, _IndexFacts] = {}
        self._cache: dict[tuple[str, ...], _CachedPin] = {}

    @property
    def size(self) -> int:
        """How many pieces of evidence are kept, over all indexes."""
        return sum(
            len(facts)
            for known in self._indexes.values()
            for facts in known.servers.values()
        )

    def record_answer(
        self, *, index: str, server: str, pin: Pin, shards: Iterable[str], now: float
    ) -> None:
        """Note that ``server`` answered for ``shards`` from the snapshot of ``pin``."""
        facts = self._facts(index, server)
        held = frozenset(shards)
        known = facts.get(pin)
        if known is not None:
            if now < known.at + REFRESH_INTERVAL and known.confirms(held):
                return
            held |= known.shards
        self._put(index, facts, pin, held, now, Source.OBSERVED)

    def record_refusal(
        self,
        *,
        index: str,
        server: str,
        pin: Pin,
        held: Iterable[Holding],
        now: float,
    ) -> None:
        """Note that ``server`` refused ``pin`` and listed what it holds instead."""
        facts = self._facts(index, server)
        listed = _by_pin(held)
        listed[pin] = listed.get(pin, frozenset())
        for known in facts:
            listed.setdefault(known, frozenset())
        for each, shards in listed.items():
            self._put(index, facts, each, shards, now, Source.OBSERVED)

    def record_report(
        self, *, index: str, server: str, held: Iterable[Holding], now: float
    ) -> None:
        """Note what the health endpoint of ``server`` says that it holds."""
        facts = self._facts(index, server)
        listed = _by_pin(held)
        for known in facts:
            listed.setdefault(known, frozenset())
        for pin, shards in listed.items():
            fact = facts.get(pin)
            if fact is None or not self._outranks_report(fact, now):
                self._put(index, facts, pin, shards, now, Source.REPORTED)

    def forget_server(self, *, index: str, server: str) -> None:
        """Forget all about a backend server that left the configuration."""
        known = self._indexes.get(index)
        if known is not None and server in known.servers:
            del known.servers[server]
            known.losses += 1

    def holds(self, *, index: str, server: str, pin: Pin, now: float) -> bool | None:
        """Tell whether ``server`` holds the snapshot of ``pin``; None if unknown."""
        known = self._indexes.get(index)
        fact = known.servers.get(server, {}).get(pin) if known else None
        if fact is None or now - fact.at > self._max_age:
            return None
        return bool(fact.shards)

    def pin(
        self,
        *,
        services: Sequence[Service],
        now: float,
        usable: Callable[[str], bool],
        usable_version: int = 0,
    ) -> PinChoice | None:
        """Choose the snapshot for a query to ``services``, all of one index.

        The newest snapshot wins of which a usable replica of every asked shard
        is known to hold it; failing that, the one with the best coverage. The
        choice is kept until evidence against it arrives; evidence for a newer
        snapshot counts within RISE_DELAY, and ageing within RECHECK_INTERVAL.

        :param usable: tells by name whether a backend server may get work.
        :param usable_version: a number that changes when ``usable`` does.
        :returns: None where nothing is known.
        """
        if not services:
            return None
        known = self._indexes.get(services[0].index)
        if known is None:
            return None
        names = tuple([service.name for service in services])
        cached = self._cache.get(names)
        if cached is not None and cached.shards.services != tuple(services):
            cached = None
        if cached and self._is_current(cached, known, now, usable_version):
            return cached.choice
        shards = cached.shards if cached else IndexShards(services=services)
        last = cached.choice if cached else None
        choice = self._choose(known, shards, now, usable, last)
        self._cache.pop(names, None)
        if len(self._cache) >= CACHED_PINS:
            self._cache.pop(next(iter(self._cache)))
        self._cache[names] = _CachedPin(
            shards=shards,
            choice=choice,
            at=now,
            gains=known.gains,
            losses=known.losses,
            usable_version=usable_version,
        )
        return choice

    def complete_pins(
        self, *, services: Sequence[Service], now: float, usable: Callable[[str], bool]
    ) -> tuple[Pin, ...]:
        """Return the snapshots that all of ``services`` can be answered from.

        :returns: pins of which every shard has a usable holder, newest first.
        """
        known = self._indexes.get(services[0].index) if services else None
        if known is None:
            return ()
        shards = IndexShards(services=services)
        holders = _usable_facts(known, shards, usable)
        pins = {pin for facts in holders.values() for pin in facts}
        since = now - self._max_age
        found = []
        for pin in sorted(pins, key=_newest_first):
            choice = _assess(shards, holders, pin, since)
            if choice is not None and choice.complete:
                found.append(pin)
        return tuple(found)

    def _facts(self, index: str, server: str) -> dict[Pin, _Fact]:
        known = self._indexes.setdefault(index, _IndexFacts())
        return known.servers.setdefault(server, {})

    def _put(
        self,
        index: str,
        facts: dict[Pin, _Fact],
        pin: Pin,
        shards: frozenset[str],
        now: float,
        source: Source,
    ) -> None:
        old = facts.get(pin)
        if old is not None and old.at > now:
            return
        if old is None:
            self._forget(facts, now)
        before = old.shards if old is not None else frozenset()
        facts[pin] = _Fact(shards=shards, at=now, source=source)
        if before - shards:
            self._indexes[index].losses += 1
        if shards - before:
            self._indexes[index].gains += 1

    def _outranks_report(self, fact: _Fact, now: float) -> bool:
        return fact.source is Source.OBSERVED and now - fact.at < self._report_lag

    def _forget(self, facts: dict[Pin, _Fact], now: float) -> None:
        for pin, fact in list(facts.items()):
            limit = self._forget_age if fact.shards else self._max_age
            if now - fact.at > limit:
                del facts[pin]

    def _is_current(
        self, cached: _CachedPin, known: _IndexFacts, now: float, usable_version: int
    ) -> bool:
        if cached.losses != known.losses or cached.usable_version != usable_version:
            return False
        age = now - cached.at
        if not 0.0 <= age < RECHECK_INTERVAL:
            return False
        if cached.gains == known.gains:
            return True
        complete = cached.choice is not None and cached.choice.complete
        return complete and age < RISE_DELAY

    def _choose(
        self,
        known: _IndexFacts,
        shards: IndexShards,
        now: float,
        usable: Callable[[str], bool],
        last: PinChoice | None,
    ) -> PinChoice | None:
        holders = _usable_facts(known, shards, usable)
        pins = {pin for facts in holders.values() for pin in facts}
        best: PinChoice | None = None
        for pin in sorted(pins, key=_newest_first):
            choice = _assess(shards, holders, pin, now - self._max_age)
            if choice is None:
                continue
            if best is None or _share(shards, choice) > _share(shards, best):
                best = choice
            if best.complete:
                break
        if best is None or last is None or best.pin.snapshot >= last.pin.snapshot:
            return best
        kept = _assess(shards, holders, last.pin, now - self._forget_age)
        return kept if kept is not None and kept.complete else best


def _newest_first(pin: Pin) -> tuple[int, int]:
    return -pin.snapshot, -pin.layout


def _by_pin(held: Iterable[Holding]) -> dict[Pin, frozenset[str]]:
    return {
        Pin(snapshot=each.snapshot, layout=each.layout): each.shards for each in held
    }


def _usable_facts(
    known: _IndexFacts, shards: IndexShards, usable: Callable[[str], bool]
) -> dict[str, dict[Pin, _Fact]]:
    found: dict[str, dict[Pin, _Fact]] = {}
    for service in shards.services:
        for server in service.backend_servers:
            facts = known.servers.get(server.name)
            if facts and usable(server.name):
                found[server.name] = facts
    return found


def _assess(
    shards: IndexShards,
    holders: dict[str, dict[Pin, _Fact]],
    pin: Pin,
    since: float,
) -> PinChoice | None:
    """Return what ``pin`` reaches by evidence since then, or None if nothing."""
    layout = shards.layout(pin.layout)
    if not layout.asked:
        return None
    lacking: set[str] = set()
    for service, wanted in layout.by_service:
        left = wanted
        for server in service.backend_servers:
            facts = holders.get(server.name)
            fact = facts.get(pin) if facts else None
            if fact is None or fact.at < since:
                continue
            left = left - fact.shards
            if not left:
                break
        lacking |= left
    if len(lacking) == len(layout.asked):
        return None
    return PinChoice(pin=pin, lacking=frozenset(lacking), orphaned=layout.orphaned)


def _share(shards: IndexShards, choice: PinChoice) -> float:
    layout = shards.layout(choice.pin.layout)
    lacking = len(choice.lacking) + len(choice.orphaned)
    return 1.0 - lacking / (len(layout.asked) + len(choice.orphaned))
