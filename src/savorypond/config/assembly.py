"""A configuration put together from pieces cut at different moments."""

from collections.abc import Iterable

from savorypond.config.entries import entry_name
from savorypond.config.messages import Stamp
from savorypond.config.store import Change, ConfigStore, Outcome


class Assembly:
    """Gathers pieces until they amount to one state.

    A piece holds what its source had in force when it was cut, so pieces cut
    while the source moved on are torn. A further round, of what changed since
    the first piece of this one, mends that: entries only grow newer, and the
    digest of the last state shows that none is missing.

    :param base: state that the pieces change, zero for the whole bundle.
    """

    def __init__(self, *, base: Stamp) -> None:
        self._base = base
        self._gathered: dict[str, bytes | None] = {}
        self._since = base
        self._first: Stamp | None = None

    @property
    def since(self) -> Stamp:
        """The state that the pieces of this round are changes to."""
        return self._since

    def add(
        self, held: Stamp, entries: Iterable[bytes], removed: Iterable[str] = ()
    ) -> None:
        """Add a piece that was cut while its source held ``held``.

        :raises ValueError: where an entry is malformed.
        """
        if self._first is None:
            self._first = held
        for data in entries:
            self._gathered[entry_name(data)] = data
        for name in removed:
            self._gathered[name] = None

    def end_round(self, held: Stamp) -> bool:
        """Tell whether the source still held the first piece's state.

        :param held: highest state that any piece of this round was cut at.
        """
        first = self._first if self._first is not None else held
        self._since, self._first = first, None
        return first == held

    def offer(self, store: ConfigStore, held: Stamp) -> Outcome:
        """Offer what was gathered to the store as the state ``held``."""
        present = tuple(data for data in self._gathered.values() if data is not None)
        if self._base == Stamp():
            return store.offer_full(held, present)
        removed = tuple(name for name, data in self._gathered.items() if data is None)
        change = Change(base=self._base, held=held, entries=present, removed=removed)
        return store.offer_change(change)
