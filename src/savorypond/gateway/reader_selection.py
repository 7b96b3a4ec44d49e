"""Decides which instances read the store, and whom the others ask.

Answers a store whose calls are dear and whose rate grows more slowly than the
fleet: in a large data centre two instances read it, and the others ask them.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from xxhash import xxh64_intdigest

from savorypond.model import Instance

READERS = 2  # in each data centre; one may fail
SMALL = 4  # instances of a data centre up to which each reads for itself
# Failures in a row after which an instance reads the store itself.
MOST_FAILURES = 3


@dataclass(slots=True, kw_only=True)
class Relay:
    """Names the instance to ask, or none where the store is to be read."""

    own: str
    data_centre: str
    failures: int = 0

    def reader(self, live: Sequence[Instance]) -> Instance | None:
        """Return the instance to ask, or None.

        :param live: the live instances, this one included or not.
        """
        near = [one for one in live if one.data_centre == self.data_centre]
        others = [one for one in near if one.name != self.own]
        if len(others) < SMALL or self.failures >= MOST_FAILURES:
            return None
        names = {one.name for one in others} | {self.own}
        chosen = sorted(names, key=_rank)[:READERS]
        if self.own in chosen:
            return None
        wanted = chosen[self.failures % READERS]
        return next(one for one in others if one.name == wanted)

    def answered(self) -> None:
        """Note an answer of a reader, or of the store."""
        self.failures = 0

    def failed(self) -> None:
        """Note that a reader had no fresh answer."""
        self.failures += 1


def _rank(name: str) -> int:
    return xxh64_intdigest(name.encode())
