"""Issue of the tickets of one process, and choice of its incarnations."""

from collections import deque
from dataclasses import dataclass, replace
from random import Random

from savorypond.calls.tickets import (
    MS_PER_SECOND,
    Ticket,
    TicketLimits,
    TicketSigner,
    fleet_hash,
)
from savorypond.exceptions import RequestRefused
from savorypond.reasons import RefusalReason

RANDOM_BITS = 20  # low bits of an incarnation


def new_incarnation(*, wall: float, random: Random, above: int = 0) -> int:
    """Return an incarnation above earlier ones and distinct from other starts.

    The high bits are milliseconds of wall time, so that incarnations rise with the
    clock; random low bits tell apart two starts in the same millisecond. If the
    clock was set back, ``above`` keeps the incarnation rising. At-most-once relies
    on the signing key and not on this number, so neither a wrong clock nor a
    collision lets a ticket run at a process that did not issue it.

    :param wall: seconds since the epoch.
    :param above: an incarnation known to have been used, or 0.
    """
    candidate = (int(wall * MS_PER_SECOND) << RANDOM_BITS) | random.getrandbits(
        RANDOM_BITS
    )
    return max(candidate, above + 1)


class TicketIssuer:
    """Issues the tickets of one process.

    Issued tickets are not stored, only counted by the second in which their
    lifetime and grace end.

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
        """The incarnation in new tickets."""
        return self._incarnation

    @property
    def outstanding(self) -> int:
        """Number of tickets within lifetime and grace, as of the last issue."""
        return self._outstanding

    def raise_incarnation(self, incarnation: int) -> None:
        """Use ``incarnation`` in new tickets; ticket numbers keep rising."""
        self._incarnation = max(self._incarnation, incarnation)

    def issue(
        self, *, now: float, count: int = 1, lifetime: float | None = None
    ) -> tuple[Ticket, ...]:
        """Return ``count`` new tickets.

        :param lifetime: seconds, if the caller wants less than the default; the
            sooner a ticket expires, the sooner it is certain that it will not run.
        :raises RequestRefused: too many tickets would be outstanding.
        """
        self._drop_expired(now)
        if self._outstanding + count > self._limits.max_outstanding:
            raise RequestRefused(
                reason=RefusalReason.OVERLOADED,
                detail=f"{self._outstanding} tickets are outstanding",
                retry_after=self._retry_after(now),
            )
        self._add_to_batch(now, count)
        effective_lifetime = min(
            lifetime or self._limits.lifetime, self._limits.lifetime
        )
        expires_ms = int((now + effective_lifetime) * MS_PER_SECOND)
        return tuple(self._issue_one(expires_ms) for _ in range(count))

    def _issue_one(self, expires_ms: int) -> Ticket:
        unsigned = Ticket(
            fleet=self._fleet,
            instance=self._instance,
            incarnation=self._incarnation,
            number=self._next_number,
            expires_ms=expires_ms,
        )
        self._next_number += 1
        return replace(unsigned, signature=self._signer.sign(unsigned))

    def _add_to_batch(self, now: float, count: int) -> None:
        second = int(now + self._limits.lifetime + self._limits.grace) + 1
        if not self._batches or self._batches[-1].second < second:
            self._batches.append(_Batch(second=second))
        self._batches[-1].count += count
        self._outstanding += count

    def _drop_expired(self, now: float) -> None:
        while self._batches and self._batches[0].second <= now:
            self._outstanding -= self._batches.popleft().count

    def _retry_after(self, now: float) -> float | None:
        return self._batches[0].second - now if self._batches else None


@dataclass(slots=True, kw_only=True)
class _Batch:
    second: int
    count: int = 0
