"""One read of the configuration service, from its head to an accepted state."""

from collections.abc import Generator
from dataclasses import dataclass
from enum import StrEnum

from savorypond.config.assembly import Assembly
from savorypond.config.entries import encode_entry
from savorypond.config.messages import Stamp
from savorypond.config.publication import (
    HEAD_KEY,
    Head,
    change_key,
    decode_change,
    decode_head,
    decode_part,
    part_key,
)
from savorypond.config.store import ConfigStore, Outcome

WATCH_WAIT = 30.0  # seconds that one watch call may stay open
MAX_CHANGES = 16  # changes read one by one before the parts are read instead
REFUSED_TIME = 60.0  # seconds before a refused state is read once more


@dataclass(frozen=True, slots=True, kw_only=True)
class GetValue:
    """Get the value of ``key``."""

    key: str


@dataclass(frozen=True, slots=True, kw_only=True)
class WatchValue:
    """Get the value of ``key`` once its revision is above ``after``.

    :param wait: seconds after which the call ends without a value.
    """

    key: str
    after: int
    wait: float


class ReadEnd(StrEnum):
    """How a read of the service ended."""

    ACCEPTED = "accepted"
    NOTHING_NEW = "nothing-new"
    FAILED = "failed"


ConfigServiceCall = GetValue | WatchValue
ReadSteps = Generator[ConfigServiceCall, bytes | None, ReadEnd]


class ConfigReader:
    """Tells which values to read, and offers what they hold to the store."""

    def __init__(self, *, store: ConfigStore) -> None:
        self._store = store
        self._refused = Stamp()
        self._refused_until = 0.0

    def read(self, *, now: float, watch: bool) -> ReadSteps:
        """Yield one call after the other; each is answered with its value.

        The answer is None where the key has no value, or none newer. Returns how
        the read ended.

        :param watch: wait for a revision above the one in force.
        """
        if now >= self._refused_until:
            self._refused = Stamp()
        after = max(self._store.stamp, self._refused).revision
        if watch and after:
            data = yield WatchValue(key=HEAD_KEY, after=after, wait=WATCH_WAIT)
        else:
            data = yield GetValue(key=HEAD_KEY)
        if data is None:
            return ReadEnd.NOTHING_NEW
        try:
            return (yield from self._follow(decode_head(data), now))
        except ValueError as error:
            self._store.refuse_malformed(str(error))
            return ReadEnd.FAILED

    def _follow(self, head: Head, now: float) -> ReadSteps:
        if head.stamp == self._refused or self._store.rank(head.stamp) is not None:
            return ReadEnd.NOTHING_NEW
        if (yield from self._read_changes(head)):
            return ReadEnd.ACCEPTED
        outcome = yield from self._read_parts(head)
        if outcome is Outcome.ACCEPTED:
            return ReadEnd.ACCEPTED
        if outcome is not Outcome.INVALID:
            return ReadEnd.FAILED if outcome is Outcome.GAP else ReadEnd.NOTHING_NEW
        self._refused = head.stamp
        self._refused_until = now + REFUSED_TIME
        return ReadEnd.NOTHING_NEW

    def _read_changes(
        self, head: Head
    ) -> Generator[ConfigServiceCall, bytes | None, bool]:
        behind = head.revision - self._store.stamp.revision
        if not self._store.stamp.revision or not 1 <= behind <= MAX_CHANGES:
            return False
        for revision in range(head.revision - behind + 1, head.revision + 1):
            data = yield GetValue(key=change_key(revision))
            if data is None:
                return False
            outcome = self._store.offer_change(decode_change(data))
            if outcome in (Outcome.GAP, Outcome.INVALID):
                return False
        return self._store.stamp >= head.stamp

    def _read_parts(
        self, head: Head
    ) -> Generator[ConfigServiceCall, bytes | None, Outcome]:
        assembly = Assembly(base=Stamp())
        newest = head.revision
        for number in range(head.parts):
            if self._store.stamp >= head.stamp:
                return Outcome.CURRENT
            data = yield GetValue(key=part_key(head.parts, number))
            if data is None:
                return Outcome.GAP
            part = decode_part(data)
            newest = max(newest, part.revision)
            assembly.add(head.stamp, [encode_entry(s) for s in part.services])
        if newest > head.revision:
            head = yield from self._catch_up(assembly, head)
        if newest > head.revision:
            return Outcome.GAP
        return assembly.offer(self._store, head.stamp)

    def _catch_up(
        self, assembly: Assembly, head: Head
    ) -> Generator[ConfigServiceCall, bytes | None, Head]:
        data = yield GetValue(key=HEAD_KEY)
        later = decode_head(data) if data is not None else head
        if not 1 <= later.revision - head.revision <= MAX_CHANGES:
            return head
        for revision in range(head.revision + 1, later.revision + 1):
            data = yield GetValue(key=change_key(revision))
            if data is None:
                return head
            change = decode_change(data)
            assembly.add(change.held, change.entries, change.removed)
        return later
