"""Stops this instance without cutting a request."""

from collections.abc import Awaitable, Callable
from dataclasses import replace

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

_TICK = 0.02  # seconds
_RETRY_AFTER = 1.0  # seconds


def _refusal(request: HttpRequest) -> RequestRefused:
    refusal = RequestRefused(
        reason=RefusalReason.DRAINING,
        detail="the instance is stopping",
        retry_after=_RETRY_AFTER,
    )
    return with_unknown_execution(refusal) if is_call(request.path) else refusal


class DrainController:
    """Counts requests in flight and carries out a planned stop.

    :param announce: tells the peers that this instance is leaving.
    :param hand_over: waits until nothing that peers asked for is running.
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
        """Whether the instance asks for new requests."""
        return self._plan.ready

    @property
    def draining(self) -> bool:
        """Whether a planned stop has begun."""
        return self._plan.state is not DrainState.SERVING

    def resumed(self, paused: Paused) -> None:
        """Give requests in flight a moment for answers that came during a pause."""
        self._plan.resumed(paused)

    def guard(self, handler: Handler) -> Handler:
        """Return ``handler`` behind the count of requests in flight."""

        async def guarded(request: HttpRequest) -> HttpResponse:
            if not self._plan.try_enter():
                raise _refusal(request)
            try:
                response = await handler(request)
            finally:
                self._plan.left(now=self._clock.now())
            if self._plan.closes_connections:
                return replace(response, close=True)
            return response

        return guarded

    async def stop(self) -> None:
        """Stop as planned; return once the instance may end."""
        actions = self._plan.stop_requested(now=self._clock.now())
        while True:
            for action in actions:
                log_event("drain", action=action.value, in_flight=self._plan.in_flight)
                await self._act(action)
            if self._plan.state is DrainState.STOPPED:
                self._counters.add("requests_cut", "drain", self._plan.cut)
                return
            await sleep(_TICK)
            actions = self._plan.tick(now=self._clock.now())

    async def _act(self, action: DrainAction) -> None:
        if action is DrainAction.ANNOUNCE_LEAVE:
            await self._announce()
        elif action is DrainAction.HAND_OVER:
            await self._hand_over()
            for done in self._plan.handed_over(now=self._clock.now()):
                log_event("drain", action=done.value, in_flight=0)
