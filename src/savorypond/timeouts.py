"""Time limits for asynchronous blocks.

Replaces ``timeout_after`` and ``ignore_after`` of curio, which fail on an overloaded
instance. If a block ends in time for curio to notice its time-out only afterwards, and
the enclosing block has expired by then, curio delivers the old time-out to a later
block as UncaughtTimeoutError, which is not a TaskTimeout.
"""

from types import TracebackType
from typing import Any, Self

from curio import (
    TaskTimeout,
    UncaughtTimeoutError,
    clock,
    ignore_after as curio_ignore_after,
    timeout_after as curio_timeout_after,
)


class _TimeLimit:
    """Ends a block that takes too long; subclasses define how.

    :param scope: the scope of curio that this one wraps.
    """

    def __init__(self, *, scope: Any) -> None:
        self._scope = scope

    async def __aenter__(self) -> Self:
        await self._scope.__aenter__()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        try:
            suppress: bool | None = await self._scope.__aexit__(kind, error, trace)
        except UncaughtTimeoutError as stale:
            return await self._end_by_stale_timeout(stale)
        return suppress

    async def _end_by_stale_timeout(self, stale: UncaughtTimeoutError) -> bool:
        # The time is compared with the deadlines of the enclosing blocks.
        raise TaskTimeout(await clock()) from stale


class _IgnoredTimeLimit(_TimeLimit):
    async def _end_by_stale_timeout(self, stale: UncaughtTimeoutError) -> bool:
        return True


def timeout_after(seconds: float) -> _TimeLimit:
    """Return a context that raises curio's TaskTimeout after ``seconds``."""
    return _TimeLimit(scope=curio_timeout_after(seconds))


def ignore_after(seconds: float) -> _TimeLimit:
    """Return a context whose block is left without an error after ``seconds``."""
    return _IgnoredTimeLimit(scope=curio_ignore_after(seconds))
