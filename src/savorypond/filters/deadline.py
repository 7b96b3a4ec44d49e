"""Ends every query by its deadline."""

from curio import TaskTimeout

from savorypond.clock import Clock
from savorypond.exceptions import RequestRefused
from savorypond.filters.chain import Exchange, Handler
from savorypond.model import Answer
from savorypond.reasons import Execution, RefusalReason
from savorypond.timeouts import timeout_after

ABORT_GRACE = 0.05  # seconds after the deadline until an overdue query is aborted


class DeadlineFilter:
    """Refuses queries with too little time left and aborts overdue ones.

    :param margin: seconds before the deadline at which answers are merged.
    """

    def __init__(self, *, clock: Clock, margin: float) -> None:
        self._clock = clock
        self._margin = margin

    async def __call__(self, exchange: Exchange, call_next: Handler) -> Answer:
        """Return the answer of ``call_next`` or raise RequestRefused."""
        deadline = exchange.query.deadline
        left = deadline - self._clock.now()
        if left <= self._margin:
            raise RequestRefused(
                reason=RefusalReason.TIME_TOO_SHORT,
                detail=f"{max(left, 0.0) * 1000:.1f} ms are left for the query",
            )
        try:
            async with timeout_after(left + ABORT_GRACE):
                return await call_next(exchange)
        except TaskTimeout as error:
            raise RequestRefused(
                reason=RefusalReason.TIMED_OUT,
                detail="the query exceeded its time limit",
                execution=Execution.UNKNOWN,
            ) from error
