"""The store of the configuration in force."""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum

from savorypond.config.bundle import MAX_REVISION
from savorypond.config.change_validation import (
    Catalogue,
    ChangeValidator,
    InvalidChangeError,
)
from savorypond.config.entries import (
    DIGEST_MODULUS,
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

MAX_LOGGED_CHANGES = 4096  # accepted changes remembered to answer peers with


class Outcome(StrEnum):
    """Result of offering a configuration to the store."""

    ACCEPTED = "accepted"
    CURRENT = "current"
    STALE = "stale"
    GAP = "gap"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """Difference between the states ``base`` and ``held``.

    The entries are those of ``held``, so the change also applies to any
    revision between the two.

    :param entries: encoded services that were added or modified.
    :param removed: names of services that were removed.
    """

    base: Stamp
    held: Stamp
    entries: tuple[bytes, ...]
    removed: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class _LoggedChange:
    previous: Stamp
    names: tuple[str, ...]


class ConfigStore:
    """Keeps the highest accepted configuration and rejects all others.

    An offer is accepted or rejected as a whole. The stamp in force never falls.
    """

    def __init__(self, *, counters: Counters) -> None:
        self._counters = counters
        self._cache = ServiceCache()
        self._stamp = Stamp()
        self._bundle: StoredBundle | None = None
        self._entries: dict[str, bytes] = {}
        self._catalogue = Catalogue(names={}, keys=UniqueKeys())
        self._change_log: deque[_LoggedChange] = deque(maxlen=MAX_LOGGED_CHANGES)
        self._problem = ""

    @property
    def stamp(self) -> Stamp:
        """Revision and digest in force, both 0 before the first offer is accepted."""
        return self._stamp

    @property
    def bundle(self) -> Bundle | None:
        """The bundle in force, immutable; None before the first."""
        return self._bundle

    @property
    def entries(self) -> Mapping[str, bytes]:
        """The encoded services in force, by name."""
        return self._entries

    @property
    def last_problem(self) -> str:
        """Description of the last invalid offer, empty if there was none."""
        return self._problem

    def offer_full(self, stamp: Stamp, entries: Iterable[bytes]) -> Outcome:
        """Accept a whole configuration if its stamp is higher and it is valid."""
        rejection = self.check_stamp(stamp)
        if rejection is not None:
            return rejection
        try:
            offered = _by_name(entries)
        except ValueError as error:
            return self._invalid(str(error))
        changed = {n: e for n, e in offered.items() if self._entries.get(n) != e}
        removed = {n: None for n in self._entries if n not in offered}
        return self._offer(stamp, {**changed, **removed})

    def offer_change(self, change: Change) -> Outcome:
        """Accept a change if it is higher, applies to the state in force and is valid.

        A change that does not apply to the state in force is a GAP. It is
        discarded; the whole configuration or another change is needed.
        """
        rejection = self.check_stamp(change.held)
        if rejection is not None:
            return rejection
        revision = self._stamp.revision
        between = change.base.revision <= revision < change.held.revision
        if change.base != self._stamp and not between:
            return Outcome.GAP
        try:
            changed: dict[str, bytes | None] = dict(_by_name(change.entries))
        except ValueError as error:
            return self._invalid(str(error))
        changed.update((name, None) for name in change.removed)
        matches = self._digest_after(changed) == change.held.digest
        if not matches and change.base != self._stamp:
            return Outcome.GAP
        return self._offer(change.held, changed)

    def check_stamp(self, stamp: Stamp) -> Outcome | None:
        """Return why ``stamp`` would be rejected, or None; count the reason."""
        if stamp == self._stamp:
            return Outcome.CURRENT
        if stamp.revision == self._stamp.revision:
            self._count(ConfigReason.CONFLICT)
        elif stamp < self._stamp:
            self._count(ConfigReason.STALE)
        if stamp < self._stamp:
            return Outcome.STALE
        if not 1 <= stamp.revision <= MAX_REVISION:
            return self._invalid(f"revision {stamp.revision} is out of range")
        return None

    def _offer(self, stamp: Stamp, changed: dict[str, bytes | None]) -> Outcome:
        if self._digest_after(changed) != stamp.digest:
            return self._invalid(f"revision {stamp.revision}: digest mismatch")
        if not any(changed.values()) and self._entries.keys() <= changed.keys():
            return self._invalid(f"revision {stamp.revision} has no services")
        try:
            validator = ChangeValidator(
                entries=self._entries, catalogue=self._catalogue, changed=changed
            )
            catalogue = validator.validate()
        except ValueError as error:
            return self._invalid(f"revision {stamp.revision}: {error}")
        self._accept(stamp, changed, catalogue)
        return Outcome.ACCEPTED

    def _digest_after(self, changed: dict[str, bytes | None]) -> int:
        digest = self._stamp.digest
        for name, data in changed.items():
            if name in self._entries:
                digest -= entry_digest(self._entries[name])
            if data is not None:
                digest += entry_digest(data)
        return digest % DIGEST_MODULUS

    def _accept(
        self,
        stamp: Stamp,
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
            self._change_log.append(_LoggedChange(self._stamp, tuple(changed)))
        self._stamp, self._entries, self._catalogue = stamp, entries, catalogue
        services = StoredServices(entries=entries, cache=self._cache)
        self._bundle = StoredBundle(
            revision=stamp.revision, services=services, names_by_index=catalogue.names
        )

    def changed_since(self, base: Stamp) -> frozenset[str] | None:
        """Return the names of services changed after ``base``, or None if unknown."""
        names: set[str] = set()
        if base == self._stamp:
            return frozenset()
        for logged in reversed(self._change_log):
            names.update(logged.names)
            if logged.previous == base:
                return frozenset(names)
        return None

    def count_service_down(self) -> None:
        """Count a failed call to the configuration service."""
        self._count(ConfigReason.SERVICE_DOWN)

    def count_malformed(self, problem: str) -> None:
        """Count an offer that could not be decoded."""
        self._invalid(problem)

    def _invalid(self, problem: str) -> Outcome:
        self._problem = problem
        self._count(ConfigReason.INVALID)
        return Outcome.INVALID

    def _count(self, reason: ConfigReason) -> None:
        self._counters.add("config_refused", reason)


def _by_name(entries: Iterable[bytes]) -> dict[str, bytes]:
    entries_by_name: dict[str, bytes] = {}
    for data in entries:
        name = entry_name(data)
        if name in entries_by_name:
            raise InvalidChangeError(f"duplicate service {name!r}")
        entries_by_name[name] = data
    return entries_by_name


def bundle_stamp(revision: int, entries: Iterable[bytes]) -> Stamp:
    """Return the stamp of a bundle with these encoded services."""
    return Stamp(revision, entries_digest(entries))
