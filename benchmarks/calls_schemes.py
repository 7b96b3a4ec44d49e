"""The schemes that run a call at most once, and the counters of a run."""

from collections import Counter
from dataclasses import dataclass, field

from xxhash import xxh64_intdigest

from savorypond.calls.ledger import Claimed, InProgress, Replay
from savorypond.calls.routing import unreachable_issuer
from savorypond.calls.tickets import Refusal
from savorypond.reasons import Execution, RefusalReason


class KeyLedger:
    """Records idempotency keys at the instance to which a key hashes.

    Used in place of the ticket ledger. It has to accept every key that is unknown to
    it, because it cannot tell a new key from one that another instance has seen.
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
        """Keep the key as running, because its outcome is unknown."""


@dataclass(frozen=True, kw_only=True)
class Key:
    """The caller's idempotency key, in place of a ticket."""

    number: int


@dataclass(kw_only=True)
class Call:
    """One piece of work of one caller.

    :param serial: number of the current request; outcomes of others are ignored.
    :param outcome_checked: whether the caller, after its last attempt, has found out
        whether the work ran.
    """

    number: int
    attempts: int = 0
    serial: int = 0
    ended: bool = False
    ticket: object = None
    outcome_checked: bool = False


@dataclass(kw_only=True)
class Scheme:
    """One way to run a call at most once.

    :param by_key: whether calls carry an idempotency key in place of a ticket.
    :param impatient: whether callers check for the outcome of a call after a fixed
        time, without revoking its ticket or waiting until it expires.
    """

    name: str
    ledger_type: type
    by_key: bool = False
    impatient: bool = False


@dataclass(kw_only=True)
class Tally:
    """The counters of one run of the model.

    :param runs: how often the work of each call ran, by number of the call.
    :param counts: counts of the outcomes that callers saw.
    """

    runs: Counter = field(default_factory=Counter)
    counts: Counter = field(default_factory=Counter)

    def summary(self) -> dict[str, int]:
        return {
            "duplicate": sum(n > 1 for n in self.runs.values()),
            "disproved": self.counts["disproved"],
            "not-run": self.counts["not-run"],
            "unknown": self.counts["unknown"],
            "replayed": self.counts["replayed"],
            "revoked": self.counts["revoked"],
            "waited": self.counts["waited"],
        }


def unreachable_refusal(ticket) -> Refusal:
    if isinstance(ticket, Key):
        return Refusal(
            reason=RefusalReason.INSTANCE_GONE,
            execution=Execution.UNKNOWN,
            detail="the instance that holds the key is unreachable",
        )
    return unreachable_issuer(ticket)


def key_score(name: str, number: int) -> int:
    return xxh64_intdigest(f"{name}/{number}".encode())
