"""Read the state in force from the configuration service."""

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
MAX_CHANGES = 16  # further behind than this, the parts are read instead of changes
INVALID_RETRY_INTERVAL = 60.0  # seconds before an invalid state is read again


@dataclass(frozen=True, slots=True, kw_only=True)
class GetValue:
    """Call for the value of ``key``."""

    key: str


@dataclass(frozen=True, slots=True, kw_only=True)
class WatchValue:
    """Call that waits until the revision of ``key`` is above ``after``.

    :param wait: seconds after which the call returns without a value.
    """

    key: str
    after: int
    wait: float


class ReadResult(StrEnum):
    """Result of a read of the configuration service."""

    ACCEPTED = "accepted"
    NOTHING_NEW = "nothing-new"
    FAILED = "failed"


ConfigServiceCall = GetValue | WatchValue
ReadSteps = Generator[ConfigServiceCall, bytes | None, ReadResult]


class ConfigReader:
    """Chooses the values to read and offers the state they hold to the store."""

    def __init__(self, *, store: ConfigStore) -> None:
        self._store = store
        self._invalid_stamp = Stamp()
        self._invalid_retry_at = 0.0

    def read(self, *, now: float, watch: bool) -> ReadSteps:
        """Yield the calls of one read; the value of each is sent back in.

        None is sent if the key has no value, or none newer than ``after``. The
        generator returns a ReadResult.

        :param now: monotonic seconds.
        :param watch: wait for a revision above the one in force.
        """
        if now >= self._invalid_retry_at:
            self._invalid_stamp = Stamp()
        after = max(self._store.stamp, self._invalid_stamp).revision
        if watch and after:
            data = yield WatchValue(key=HEAD_KEY, after=after, wait=WATCH_WAIT)
        else:
            data = yield GetValue(key=HEAD_KEY)
        if data is None:
            return ReadResult.NOTHING_NEW
        try:
            return (yield from self._read_state(decode_head(data), now))
        except ValueError as error:
            self._store.count_malformed(str(error))
            return ReadResult.FAILED

    def _read_state(self, head: Head, now: float) -> ReadSteps:
        if (
            head.stamp == self._invalid_stamp
            or self._store.check_stamp(head.stamp) is not None
        ):
            return ReadResult.NOTHING_NEW
        if (yield from self._read_changes(head)):
            return ReadResult.ACCEPTED
        outcome = yield from self._read_parts(head)
        if outcome is Outcome.ACCEPTED:
            return ReadResult.ACCEPTED
        if outcome is not Outcome.INVALID:
            return (
                ReadResult.FAILED if outcome is Outcome.GAP else ReadResult.NOTHING_NEW
            )
        self._invalid_stamp = head.stamp
        self._invalid_retry_at = now + INVALID_RETRY_INTERVAL
        return ReadResult.NOTHING_NEW

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
            head = yield from self._read_newer_changes(assembly, head)
        if newest > head.revision:
            return Outcome.GAP
        return assembly.offer(self._store, head.stamp)

    def _read_newer_changes(
        self, assembly: Assembly, head: Head
    ) -> Generator[ConfigServiceCall, bytes | None, Head]:
        data = yield GetValue(key=HEAD_KEY)
        latest = decode_head(data) if data is not None else head
        if not 1 <= latest.revision - head.revision <= MAX_CHANGES:
            return head
        for revision in range(head.revision + 1, latest.revision + 1):
            data = yield GetValue(key=change_key(revision))
            if data is None:
                return head
            change = decode_change(data)
            assembly.add(change.held, change.entries, change.removed)
        return latest
