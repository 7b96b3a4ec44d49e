"""Selects the instances that read the store on behalf of the others.

Limits the load of the store, whose calls are expensive and whose allowed rate grows
more slowly than the fleet: in a large data centre one instance in twenty reads the
store, but at least two, and the others read from them. Where the store turns these
away, or they are slow or gone, the next ones by rank take their place, so that the
others need not all read the store.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from math import ceil

from xxhash import xxh64_intdigest

from savorypond.model import Instance

MIN_READERS = 2  # in a large data centre; one of them may fail
# A reader sends each new configuration to all that read from it, over its own link.
MAX_FOLLOWERS = 20  # instances of a data centre for each reader
MAX_DIRECT_READERS = 4  # instances of a data centre up to which all read the store
SUSPICION_TIME = 5.0  # seconds for which a reader without recent state is passed over


@dataclass(slots=True, kw_only=True)
class ReaderSelection:
    """Selects the instance from which to read the published state, if any."""

    own_name: str
    data_centre: str
    _suspected_until: dict[str, float] = field(default_factory=dict)

    def reader(self, live: Sequence[Instance], now: float) -> Instance | None:
        """Return the instance to read from, or None to read the store.

        :param live: the live instances, with or without this one.
        """
        others = {
            instance.name: instance
            for instance in live
            if instance.data_centre == self.data_centre
            and instance.name != self.own_name
        }
        if len(others) < MAX_DIRECT_READERS:
            return None
        names = [name for name in others if not self._is_suspected(name, now)]
        names.append(self.own_name)
        count = max(MIN_READERS, ceil((len(others) + 1) / MAX_FOLLOWERS))
        readers = sorted(names, key=_rank)[:count]
        if self.own_name in readers:
            return None
        return others[readers[_rank(self.own_name) % len(readers)]]

    def record_failure(self, reader: Instance, now: float) -> None:
        """Record that ``reader`` had no recent state or did not answer."""
        self._suspected_until[reader.name] = now + SUSPICION_TIME

    def _is_suspected(self, name: str, now: float) -> bool:
        until = self._suspected_until.get(name)
        if until is not None and now >= until:
            del self._suspected_until[name]
            return False
        return until is not None


def _rank(name: str) -> int:
    return xxh64_intdigest(name.encode())
