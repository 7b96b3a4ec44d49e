"""Tracks the requests in flight, so that a shutdown answers all of them."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from savorypond.exceptions import RequestRefused
from savorypond.gateway.request_run import RequestRun
from savorypond.gateway.routes import Route
from savorypond.gateway.shutdown import ShutdownPlan
from savorypond.reasons import RefusalReason

_RETRY_AFTER = 0.05  # seconds; other instances have room


class RunningRequests:
    """The requests in flight and the shutdown that limits their time, if any."""

    def __init__(self) -> None:
        self._runs: set[RequestRun] = set()
        self._shutdown: ShutdownPlan | None = None

    @asynccontextmanager
    async def track(self, run: RequestRun) -> AsyncIterator[None]:
        """Track ``run`` in the context, so that a shutdown limits its time."""
        if self._shutdown is not None:
            await run.shorten_deadline(self._shutdown.answer_deadline)
        self._runs.add(run)
        try:
            yield
        finally:
            self._runs.discard(run)

    async def begin_shutdown(self, plan: ShutdownPlan) -> None:
        """Let all requests have their final answer in the time of ``plan``."""
        self._shutdown = plan
        for run in tuple(self._runs):
            await run.shorten_deadline(plan.answer_deadline)

    async def stop(self, fingerprint: bytes) -> None:
        """End the requests with ``fingerprint``, which are isolated from now on."""
        for run in tuple(self._runs):
            if run.fingerprint == fingerprint:
                await run.wake()

    def check_time(
        self, route: Route, *, deadline: float, mean_latency: float, now: float
    ) -> None:
        """Raise RequestRefused if a new request may not be answered any more.

        :param deadline: monotonic seconds until which the caller waits.
        :param mean_latency: mean latency of ``route`` in seconds.
        """
        plan = self._shutdown
        if plan is None or plan.accepts(
            now=now,
            deadline=deadline,
            mean_latency=mean_latency,
            repeatable=route.idempotent,
        ):
            return
        raise RequestRefused(
            reason=RefusalReason.DRAINING,
            detail=(
                f"the instance stops in {plan.time_left(now):.3f} s,"
                f" route {route.name} takes {mean_latency:.3f} s on average"
            ),
            retry_after=_RETRY_AFTER,
        )

    def answer_deadline(self, deadline: float) -> float:
        """Return when an answer is due: by ``deadline``, or sooner in a shutdown."""
        plan = self._shutdown
        return deadline if plan is None else min(deadline, plan.answer_deadline)
