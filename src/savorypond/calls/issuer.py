"""Issues the tickets of one process, and names its incarnations."""

from collections import deque
from dataclasses import dataclass, replace
from random import Random

from savorypond.calls.tickets import (
    MILLISECONDS,
    Ticket,
    TicketLimits,
    TicketSigner,
    fleet_hash,
)
from savorypond.exceptions import RequestRefused
from savorypond.reasons import RefusalReason

RANDOM_BITS = 20  # low bits of an incarnation


def new_incarnation(*, wall: float, random: Random, above: int = 0) -> int:
    """Return an incarnation that differs from those of other starts, and rises.

    Milliseconds of wall time come first, so that it rises while the clock does;
    random low bits part two starts in the same millisecond. Where the clock went
    back, ``above`` keeps it rising. At most once rests on the key of the seal and
    not on this number, so neither a clock that is wrong nor a collision lets a
    ticket run at a process that did not issue it.

    :param wall: seconds since the epoch.
    :param above: an incarnation known to have been used, or 0.
    """
    drawn = (int(wall * MILLISECONDS) << RANDOM_BITS) | random.getrandbits(RANDOM_BITS)
    return max(drawn, above + 1)


class TicketIssuer:
    """Issues the tickets of one process.

    An issued ticket takes no memory of its own: tickets are only counted, by the
    second in which they will be forgotten.

    :param instance: name of this instance.
    :param fleet: identity of the fleet, the same on all its instances.
    """

    def __init__(
        self,
        *,
        instance: str,
        incarnation: int,
        fleet: str,
        signer: TicketSigner,
        limits: TicketLimits,
    ) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._fleet = fleet_hash(fleet)
        self._signer = signer
        self._limits = limits
        self._next_number = 0
        self._outstanding = 0
        self._batches: deque[_Batch] = deque()

    @property
    def incarnation(self) -> int:
        """The incarnation that new tickets name."""
        return self._incarnation

    @property
    def outstanding(self) -> int:
        """Tickets whose lifetime and grace have not ended, as of the last issue."""
        return self._outstanding

    def raise_incarnation(self, incarnation: int) -> None:
        """Name ``incarnation`` in new tickets; numbers go on rising."""
        self._incarnation = max(self._incarnation, incarnation)

    def issue(
        self, *, now: float, count: int = 1, lifetime: float | None = None
    ) -> tuple[Ticket, ...]:
        """Return ``count`` new tickets.

        :param lifetime: seconds, where the caller wants less than the usual ones;
            the sooner a ticket ends, the sooner it is sure that it will not run.
        :raises RequestRefused: where they would be more than may be outstanding.
        """
        self._forget(now)
        if self._outstanding + count > self._limits.max_outstanding:
            raise RequestRefused(
                reason=RefusalReason.OVERLOADED,
                detail=f"{self._outstanding} tickets are outstanding",
                retry_after=self._retry_after(now),
            )
        self._count(now, count)
        lasts = min(lifetime or self._limits.lifetime, self._limits.lifetime)
        expires_ms = int((now + lasts) * MILLISECONDS)
        return tuple(self._issue_one(expires_ms) for _ in range(count))

    def _issue_one(self, expires_ms: int) -> Ticket:
        plain = Ticket(
            fleet=self._fleet,
            instance=self._instance,
            incarnation=self._incarnation,
            number=self._next_number,
            expires_ms=expires_ms,
        )
        self._next_number += 1
        return replace(plain, signature=self._signer.sign(plain))

    def _count(self, now: float, count: int) -> None:
        second = int(now + self._limits.lifetime + self._limits.grace) + 1
        if not self._batches or self._batches[-1].second < second:
            self._batches.append(_Batch(second=second))
        self._batches[-1].count += count
        self._outstanding += count

    def _forget(self, now: float) -> None:
        while self._batches and self._batches[0].second <= now:
            self._outstanding -= self._batches.popleft().count

    def _retry_after(self, now: float) -> float | None:
        return self._batches[0].second - now if self._batches else None


@dataclass(slots=True, kw_only=True)
class _Batch:
    second: int
    count: int = 0
