"""Assemble a configuration from pages that were built at different states."""

from collections.abc import Iterable

from savorypond.config.entries import entry_name
from savorypond.config.messages import Stamp
from savorypond.config.store import Change, ConfigStore, Outcome


class Assembly:
    """Collects pages until they amount to one state.

    Each page reflects the state in force at the source when it was built, so
    pages are inconsistent with each other if the source accepted a new state in
    between. A further round, with the changes since the first page of the
    current round, repairs that: an entry is only replaced by a newer one, and
    the digest of the final state verifies that none is missing.

    :param base: state that the pages are changes to; zero for the whole bundle.
    """

    def __init__(self, *, base: Stamp) -> None:
        self._base = base
        self._entries: dict[str, bytes | None] = {}
        self._since = base
        self._first: Stamp | None = None

    @property
    def since(self) -> Stamp:
        """The state that the pages of this round are changes to."""
        return self._since

    def add(
        self, held: Stamp, entries: Iterable[bytes], removed: Iterable[str] = ()
    ) -> None:
        """Add a page that was built while ``held`` was in force at its source.

        :raises ValueError: if an entry is malformed.
        """
        if self._first is None:
            self._first = held
        for data in entries:
            self._entries[entry_name(data)] = data
        for name in removed:
            self._entries[name] = None

    def end_round(self, held: Stamp) -> bool:
        """End a round; return whether all its pages were built at the same state.

        :param held: highest state that any page of this round was built at.
        """
        first = self._first if self._first is not None else held
        self._since, self._first = first, None
        return first == held

    def offer(self, store: ConfigStore, held: Stamp) -> Outcome:
        """Offer the collected entries to the store as the state ``held``."""
        present = tuple(data for data in self._entries.values() if data is not None)
        if self._base == Stamp():
            return store.offer_full(held, present)
        removed = tuple(name for name, data in self._entries.items() if data is None)
        change = Change(base=self._base, held=held, entries=present, removed=removed)
        return store.offer_change(change)
