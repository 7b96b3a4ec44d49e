"""Selects the instances that read the store on behalf of the others.

Limits the load of the store, whose calls are expensive and whose allowed rate grows
more slowly than the fleet: in a large data centre two instances read the store, and
the others read from them.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from xxhash import xxh64_intdigest

from savorypond.model import Instance

READERS_PER_DATA_CENTRE = 2  # one of them may fail
MAX_DIRECT_READERS = 4  # instances of a data centre up to which all read the store
MAX_FAILURES = 3  # consecutive failures after which an instance reads the store itself


@dataclass(slots=True, kw_only=True)
class ReaderSelection:
    """Selects the instance from which to read the published state, if any."""

    own_name: str
    data_centre: str
    failures: int = 0

    def reader(self, live: Sequence[Instance]) -> Instance | None:
        """Return the instance to read from, or None to read the store.

        :param live: the live instances, with or without this one.
        """
        local = [
            instance for instance in live if instance.data_centre == self.data_centre
        ]
        others = [instance for instance in local if instance.name != self.own_name]
        if len(others) < MAX_DIRECT_READERS or self.failures >= MAX_FAILURES:
            return None
        names = {instance.name for instance in others} | {self.own_name}
        readers = sorted(names, key=_rank)[:READERS_PER_DATA_CENTRE]
        if self.own_name in readers:
            return None
        selected = readers[self.failures % READERS_PER_DATA_CENTRE]
        return next(instance for instance in others if instance.name == selected)

    def record_success(self) -> None:
        """Record that a reader answered or that the store is read instead."""
        self.failures = 0

    def record_failure(self) -> None:
        """Record that a reader had no recent state."""
        self.failures += 1


def _rank(name: str) -> int:
    return xxh64_intdigest(name.encode())
