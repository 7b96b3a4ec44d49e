"""The configuration in force: the highest one that was accepted."""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum

from savorypond.config.bundle import MAX_REVISION
from savorypond.config.change_validation import BrokenBundle, Catalogue, Review
from savorypond.config.entries import (
    DIGEST_SPAN,
    entries_digest,
    entry_digest,
    entry_name,
)
from savorypond.config.messages import Stamp
from savorypond.config.stored_bundle import (
    ServiceCache,
    StoredBundle,
    StoredServices,
    UniqueKeys,
)
from savorypond.model import Bundle, Counters
from savorypond.reasons import ConfigReason

LOGGED_CHANGES = 4096  # accepted changes that peers can be told of


class Outcome(StrEnum):
    """What became of offered configuration."""

    ACCEPTED = "accepted"
    CURRENT = "current"
    STALE = "stale"
    GAP = "gap"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """What differs between the states ``base`` and ``held``.

    The entries are those of ``held``, so the change also applies to any
    revision between the two.

    :param entries: encoded services that are new or differ.
    :param removed: names of services that are gone.
    """

    base: Stamp
    held: Stamp
    entries: tuple[bytes, ...]
    removed: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class _Logged:
    before: Stamp
    names: tuple[str, ...]


class ConfigStore:
    """Holds the highest accepted configuration and refuses all else.

    An offer is taken or refused as a whole. The stamp in force never falls.
    """

    def __init__(self, *, counters: Counters) -> None:
        self._counters = counters
        self._cache = ServiceCache()
        self._stamp = Stamp()
        self._bundle: StoredBundle | None = None
        self._entries: dict[str, bytes] = {}
        self._catalogue = Catalogue(names={}, keys=UniqueKeys())
        self._log: deque[_Logged] = deque(maxlen=LOGGED_CHANGES)
        self._problem = ""

    @property
    def stamp(self) -> Stamp:
        """Revision and digest in force, zero before the first."""
        return self._stamp

    @property
    def bundle(self) -> Bundle | None:
        """The bundle in force, or None before the first; it never changes."""
        return self._bundle

    @property
    def entries(self) -> Mapping[str, bytes]:
        """The encoded services in force, by name."""
        return self._entries

    @property
    def last_problem(self) -> str:
        """What was wrong with the offer last found invalid."""
        return self._problem

    def offer_full(self, held: Stamp, entries: Iterable[bytes]) -> Outcome:
        """Take the whole configuration ``held`` if it is higher and valid."""
        refused = self.rank(held)
        if refused is not None:
            return refused
        try:
            offered = _by_name(entries)
        except ValueError as error:
            return self._invalid(str(error))
        changed = {n: e for n, e in offered.items() if self._entries.get(n) != e}
        removed = {n: None for n in self._entries if n not in offered}
        return self._offer(held, {**changed, **removed})

    def offer_change(self, change: Change) -> Outcome:
        """Take the change if it is higher, fits what is held, and is valid.

        A change that does not continue what is in force is a GAP; it is not
        kept, and the whole configuration or another change is needed.
        """
        refused = self.rank(change.held)
        if refused is not None:
            return refused
        revision = self._stamp.revision
        between = change.base.revision <= revision < change.held.revision
        if change.base != self._stamp and not between:
            return Outcome.GAP
        try:
            changed: dict[str, bytes | None] = dict(_by_name(change.entries))
        except ValueError as error:
            return self._invalid(str(error))
        changed.update((name, None) for name in change.removed)
        fits = self._digest_with(changed) == change.held.digest
        if not fits and change.base != self._stamp:
            return Outcome.GAP
        return self._offer(change.held, changed)

    def rank(self, held: Stamp) -> Outcome | None:
        """Return why ``held`` would not be taken, or None; count the reason."""
        if held == self._stamp:
            return Outcome.CURRENT
        if held.revision == self._stamp.revision:
            self._count(ConfigReason.CONFLICT)
        elif held < self._stamp:
            self._count(ConfigReason.STALE)
        if held < self._stamp:
            return Outcome.STALE
        if not 1 <= held.revision <= MAX_REVISION:
            return self._invalid(f"revision {held.revision} is out of range")
        return None

    def _offer(self, held: Stamp, changed: dict[str, bytes | None]) -> Outcome:
        if self._digest_with(changed) != held.digest:
            return self._invalid(f"revision {held.revision} has another digest")
        if not any(changed.values()) and self._entries.keys() <= changed.keys():
            return self._invalid(f"revision {held.revision} holds no service")
        try:
            review = Review(
                entries=self._entries, catalogue=self._catalogue, changed=changed
            )
            catalogue = review.run()
        except ValueError as error:
            return self._invalid(f"revision {held.revision}: {error}")
        self._accept(held, changed, catalogue)
        return Outcome.ACCEPTED

    def _digest_with(self, changed: dict[str, bytes | None]) -> int:
        digest = self._stamp.digest
        for name, data in changed.items():
            if name in self._entries:
                digest -= entry_digest(self._entries[name])
            if data is not None:
                digest += entry_digest(data)
        return digest % DIGEST_SPAN

    def _accept(
        self,
        held: Stamp,
        changed: dict[str, bytes | None],
        catalogue: Catalogue,
    ) -> None:
        entries = dict(self._entries)
        for name, data in changed.items():
            if data is None:
                entries.pop(name, None)
            else:
                entries[name] = data
        if self._stamp.revision:
            self._log.append(_Logged(self._stamp, tuple(changed)))
        self._stamp, self._entries, self._catalogue = held, entries, catalogue
        services = StoredServices(entries=entries, cache=self._cache)
        self._bundle = StoredBundle(
            revision=held.revision, services=services, names_by_index=catalogue.names
        )

    def changed_since(self, have: Stamp) -> frozenset[str] | None:
        """Return the names changed after ``have``, or None where unknown."""
        names: set[str] = set()
        if have == self._stamp:
            return frozenset()
        for logged in reversed(self._log):
            names.update(logged.names)
            if logged.before == have:
                return frozenset(names)
        return None

    def note_service_down(self) -> None:
        """Count a call that the configuration service did not answer."""
        self._count(ConfigReason.SERVICE_DOWN)

    def refuse_malformed(self, problem: str) -> None:
        """Count an offer that could not even be read."""
        self._invalid(problem)

    def _invalid(self, problem: str) -> Outcome:
        self._problem = problem
        self._count(ConfigReason.INVALID)
        return Outcome.INVALID

    def _count(self, reason: ConfigReason) -> None:
        self._counters.add("config_refused", reason)


def _by_name(entries: Iterable[bytes]) -> dict[str, bytes]:
    found: dict[str, bytes] = {}
    for data in entries:
        name = entry_name(data)
        if name in found:
            raise BrokenBundle(f"service {name!r} stands twice")
        found[name] = data
    return found


def bundle_stamp(revision: int, entries: Iterable[bytes]) -> Stamp:
    """Return the stamp of a bundle with these encoded services."""
    return Stamp(revision, entries_digest(entries))
