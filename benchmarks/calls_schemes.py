"""The ways to run a call at most once that are compared, and their figures."""

from collections import Counter
from dataclasses import dataclass, field

from xxhash import xxh64_intdigest

from savorypond.calls.ledger import Claimed, InProgress, Replay
from savorypond.calls.routing import unreachable_issuer
from savorypond.calls.tickets import Refusal
from savorypond.reasons import Execution, RefusalReason


class KeyLedger:
    """Remembers idempotency keys at the instance that a hash names.

    It stands where the ticket ledger does, but it has to accept every key that it
    never saw.
    """

    def __init__(self, **_: object) -> None:
        self._running: dict[int, bool] = {}
        self._results: dict[int, bytes] = {}
        self.incarnation = 0

    def raise_incarnation(self, incarnation: int) -> int:
        return 0

    def claim(self, key, *, now):
        if key.number in self._results:
            return Replay(result=self._results[key.number])
        if key.number in self._running:
            return InProgress(dispatched=self._running[key.number])
        self._running[key.number] = False
        return Claimed(ticket=key)

    def check_usable(self, key, *, now):
        return None

    def try_dispatch(self, key, *, now):
        self._running[key.number] = True

    def refuse(self, key, refusal):
        self.release_claim(key)
        return refusal

    def release_claim(self, key):
        if not self._running.get(key.number, True):
            del self._running[key.number]

    def record_result(self, key, result):
        self._results[key.number] = result

    def record_loss(self, key):
        """Keep the key as running: its outcome is not known."""


@dataclass(frozen=True, kw_only=True)
class Key:
    """The caller's idempotency key, in place of a ticket."""

    number: int


@dataclass(kw_only=True)
class Call:
    """One piece of work of one caller."""

    number: int
    attempts: int = 0
    serial: int = 0
    ended: bool = False
    ticket: object = None
    looked: bool = False


@dataclass(kw_only=True)
class Scheme:
    """One way to run a call at most once."""

    name: str
    ledger_type: type
    by_key: bool = False
    hasty: bool = False


@dataclass(kw_only=True)
class Tally:
    """What happened in one run of the model."""

    runs: Counter = field(default_factory=Counter)
    counts: Counter = field(default_factory=Counter)

    def summary(self) -> dict[str, int]:
        return {
            "twice": sum(n > 1 for n in self.runs.values()),
            "untrue": self.counts["untrue"],
            "not-run": self.counts["not-run"],
            "unknown": self.counts["unknown"],
            "replayed": self.counts["replayed"],
            "revoked": self.counts["revoked"],
            "unsure": self.counts["unsure"],
        }


def gone(ticket) -> Refusal:
    if isinstance(ticket, Key):
        return Refusal(
            reason=RefusalReason.INSTANCE_GONE,
            execution=Execution.UNKNOWN,
            detail="the instance of the key does not answer",
        )
    return unreachable_issuer(ticket)


def key_score(name: str, number: int) -> int:
    return xxh64_intdigest(f"{name}/{number}".encode())
