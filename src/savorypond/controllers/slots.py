"""Waiting for the request slots of a backend server."""

from types import TracebackType
from typing import Self

from curio import Event, TaskTimeout

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
from savorypond.timeouts import timeout_after

_MIN_WAIT = 0.0005  # seconds


class SlotRefused(Exception):  # noqa: N818
    """No slot could be acquired in time.

    :param retry_after: seconds until a retry may succeed, or None.
    """

    def __init__(self, *, reason: RefusalReason, retry_after: float | None) -> None:
        super().__init__(reason.value)
        self.reason = reason
        self.retry_after = retry_after


class _Waiter:
    """One request in the queue of a pool."""

    def __init__(self) -> None:
        self.woken = Event()
        self.granted = False


class SlotPool:
    """The slots of one backend server and the requests that wait for them.

    ``limiter`` decides; the pool suspends and wakes the waiting tasks.
    """

    def __init__(self, *, limiter: ServerLimiter, clock: Clock) -> None:
        self._limiter = limiter
        self._clock = clock
        self._share = 1.0

    @property
    def limiter(self) -> ServerLimiter:
        """The limiter that decides which request gets a slot."""
        return self._limiter

    @property
    def share(self) -> float:
        """Share of the backend server's limits that this instance uses."""
        return self._share

    async def set_limits(self, *, limits: ServerLimits, share: float) -> None:
        """Apply new limits and wake the requests that get a slot through them."""
        self._share = share
        change = self._limiter.set_limits(
            slots=limits.slots,
            connections=limits.connections,
            now=self._clock.now(),
            share=share,
        )
        await self._notify(change)

    async def acquire(self, *, priority: Priority, deadline: float) -> "Slot":
        """Return a slot; raise SlotRefused if none can be acquired in time.

        :param deadline: monotonic seconds at which the answer must be there.
        """
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
        await self._notify(change)

    async def _wait(self, waiter: _Waiter, deadline: float) -> None:
        try:
            while not waiter.granted:
                due = self._limiter.next_event()
                until = deadline if due is None else min(deadline, due)
                seconds = max(until - self._clock.now(), _MIN_WAIT)
                try:
                    async with timeout_after(seconds):
                        await waiter.woken.wait()
                except TaskTimeout:
                    await self._notify(self._limiter.advance(now=self._clock.now()))
                if waiter.woken.is_set() and not waiter.granted:
                    raise SlotRefused(reason=RefusalReason.OVERLOADED, retry_after=None)
        except BaseException:
            await self._cancel_wait(waiter)
            raise

    async def _cancel_wait(self, waiter: _Waiter) -> None:
        was_queued = self._limiter.cancel(waiter=waiter)
        if not was_queued and waiter.granted:
            await self.release(seconds=0.0, outcome=SlotOutcome.CANCELLED)

    def _mark_woken(self, change: QueueChange) -> list[_Waiter]:
        woken = []
        for waiter in change.granted:
            assert isinstance(waiter, _Waiter)
            waiter.granted = True
            woken.append(waiter)
        for waiter in change.expired:
            assert isinstance(waiter, _Waiter)
            woken.append(waiter)
        return woken

    async def _notify(self, change: QueueChange) -> None:
        for waiter in self._mark_woken(change):
            await waiter.woken.set()


class Slot:
    """A slot in use; leaving the context releases it."""

    def __init__(self, *, slot_pool: SlotPool, clock: Clock) -> None:
        self._slot_pool = slot_pool
        self._clock = clock
        self._acquired_at = clock.now()
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
        """Release the slot."""
        seconds = self._clock.now() - self._acquired_at
        await self._slot_pool.release(seconds=seconds, outcome=self._outcome)

    def set_outcome(self, outcome: SlotOutcome) -> None:
        """Set how the request that used the slot ended."""
        self._outcome = outcome
