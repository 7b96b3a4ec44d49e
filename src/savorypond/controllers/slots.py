"""Waits for the slots that a gate hands out."""

from types import TracebackType
from typing import Self

from curio import Event, TaskTimeout, timeout_after

from savorypond.balancing.limiter import (
    Granted,
    QueueChange,
    Queued,
    Refused,
    ServerLimiter,
    SlotOutcome,
)
from savorypond.clock import Clock
from savorypond.model import Priority, ServerLimits
from savorypond.reasons import RefusalReason

_LEAST_WAIT = 0.0005  # seconds


class SlotRefused(Exception):  # noqa: N818
    """No slot could be had in time.

    :param retry_after: seconds until a repeat may be taken, or None.
    """

    def __init__(self, *, reason: RefusalReason, retry_after: float | None) -> None:
        super().__init__(reason.value)
        self.reason = reason
        self.retry_after = retry_after


class _Waiter:
    """One request in the queue of a gate."""

    def __init__(self) -> None:
        self.woken = Event()
        self.granted = False


class SlotPool:
    """One backend server's gate, and the requests that wait at it."""

    def __init__(self, *, limiter: ServerLimiter, clock: Clock) -> None:
        self._limiter = limiter
        self._clock = clock
        self._share = 1.0

    @property
    def limiter(self) -> ServerLimiter:
        """The gate that decides."""
        return self._limiter

    @property
    def share(self) -> float:
        """Share of the backend server's limits that this instance uses."""
        return self._share

    async def set_limits(self, *, limits: ServerLimits, share: float) -> None:
        """Put new limits into force, and wake those who get a slot by them."""
        self._share = share
        change = self._limiter.set_limits(
            slots=limits.slots,
            connections=limits.connections,
            now=self._clock.now(),
            share=share,
        )
        await self._announce(change)

    async def acquire(self, *, priority: Priority, deadline: float) -> "Slot":
        """Return a slot; raise SlotRefused where none can be had in time."""
        waiter = _Waiter()
        offer = self._limiter.offer(
            waiter=waiter, priority=priority, deadline=deadline, now=self._clock.now()
        )
        if isinstance(offer, Refused):
            raise SlotRefused(reason=offer.reason, retry_after=offer.retry_after)
        if isinstance(offer, Queued):
            await self._wait(waiter, deadline)
        else:
            assert isinstance(offer, Granted)
        return Slot(slot_pool=self, clock=self._clock)

    async def release(self, *, seconds: float, outcome: SlotOutcome) -> None:
        """Release one slot that was held for ``seconds``."""
        change = self._limiter.release(
            now=self._clock.now(), service_time=seconds, outcome=outcome
        )
        await self._announce(change)

    async def _wait(self, waiter: _Waiter, deadline: float) -> None:
        try:
            while not waiter.granted:
                due = self._limiter.next_event()
                until = deadline if due is None else min(deadline, due)
                seconds = max(until - self._clock.now(), _LEAST_WAIT)
                try:
                    async with timeout_after(seconds):
                        await waiter.woken.wait()
                except TaskTimeout:
                    await self._announce(self._limiter.advance(now=self._clock.now()))
                if waiter.woken.is_set() and not waiter.granted:
                    raise SlotRefused(reason=RefusalReason.OVERLOADED, retry_after=None)
        except BaseException:
            await self._leave(waiter)
            raise

    async def _leave(self, waiter: _Waiter) -> None:
        waits = self._limiter.cancel(waiter=waiter)
        if not waits and waiter.granted:
            await self.release(seconds=0.0, outcome=SlotOutcome.CANCELLED)

    def _mark(self, change: QueueChange) -> list[_Waiter]:
        woken = []
        for waiter in change.granted:
            assert isinstance(waiter, _Waiter)
            waiter.granted = True
            woken.append(waiter)
        for waiter in change.expired:
            assert isinstance(waiter, _Waiter)
            woken.append(waiter)
        return woken

    async def _announce(self, change: QueueChange) -> None:
        for waiter in self._mark(change):
            await waiter.woken.set()


class Slot:
    """A slot in use; leaving the context gives it back."""

    def __init__(self, *, slot_pool: SlotPool, clock: Clock) -> None:
        self._slot_pool = slot_pool
        self._clock = clock
        self._taken = clock.now()
        self._outcome = SlotOutcome.FAILED

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.release()

    async def release(self) -> None:
        """Give the slot back."""
        seconds = self._clock.now() - self._taken
        await self._slot_pool.release(seconds=seconds, outcome=self._outcome)

    def set_outcome(self, outcome: SlotOutcome) -> None:
        """Tell how the request that used the slot ended."""
        self._outcome = outcome
