"""Graceful stop of this instance."""

from collections.abc import Awaitable, Callable

from curio import sleep

from savorypond.calls.paths import is_call, with_unknown_execution
from savorypond.clock import Clock
from savorypond.drain import DrainAction, DrainLimits, DrainPlan, DrainState
from savorypond.exceptions import RequestRefused
from savorypond.http.messages import Handler, HttpRequest, HttpResponse
from savorypond.logs import log_event
from savorypond.membership.pause import Paused
from savorypond.model import Counters
from savorypond.reasons import RefusalReason

_TICK_INTERVAL = 0.02  # seconds
_RETRY_AFTER = 1.0  # seconds


def _refusal(request: HttpRequest) -> RequestRefused:
    refusal = RequestRefused(
        reason=RefusalReason.DRAINING,
        detail="the instance is stopping",
        retry_after=_RETRY_AFTER,
    )
    return with_unknown_execution(refusal) if is_call(request.path) else refusal


class DrainController:
    """Counts requests in flight and performs the graceful stop.

    :param longest_deadline: seconds that any accepted request may take.
    :param announce: tells peers that this instance is leaving.
    :param hand_over: waits until nothing runs on behalf of peers any longer.
    """

    def __init__(
        self,
        *,
        longest_deadline: float,
        announce: Callable[[], Awaitable[None]],
        hand_over: Callable[[], Awaitable[None]],
        clock: Clock,
        counters: Counters,
    ) -> None:
        self._plan = DrainPlan(limits=DrainLimits(longest_deadline=longest_deadline))
        self._announce = announce
        self._hand_over = hand_over
        self._clock = clock
        self._counters = counters

    @property
    def ready(self) -> bool:
        """Whether the instance reports that it is ready for requests."""
        return self._plan.ready

    @property
    def draining(self) -> bool:
        """Whether the graceful stop has begun."""
        return self._plan.state is not DrainState.SERVING

    def resumed(self, paused: Paused) -> None:
        """Extend the drain for answers that arrived during a pause of the process."""
        self._plan.resumed(paused)

    def guard(self, handler: Handler) -> Handler:
        """Return ``handler`` wrapped to count requests and refuse them in a drain."""

        async def guarded(request: HttpRequest) -> HttpResponse:
            if not self._plan.try_begin_request():
                raise _refusal(request)
            try:
                return await handler(request)
            finally:
                self._plan.end_request(now=self._clock.now())

        return guarded

    async def stop(self) -> None:
        """Stop gracefully; return once the process may exit."""
        actions = self._plan.stop_requested(now=self._clock.now())
        while True:
            for action in actions:
                log_event("drain", action=action.value, in_flight=self._plan.in_flight)
                await self._perform(action)
            if self._plan.state is DrainState.STOPPED:
                self._counters.add("requests_cut", "drain", self._plan.requests_cut)
                return
            await sleep(_TICK_INTERVAL)
            actions = self._plan.tick(now=self._clock.now())

    async def _perform(self, action: DrainAction) -> None:
        if action is DrainAction.ANNOUNCE_LEAVE:
            await self._announce()
        elif action is DrainAction.HAND_OVER:
            await self._hand_over()
            for following in self._plan.handed_over(now=self._clock.now()):
                log_event("drain", action=following.value, in_flight=0)
