"""Runs the fan-out of one query on the instance that sends its attempts."""

from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, replace

from curio import CancelledError, Event
from msgspec import Raw
from msgspec.json import encode

from savorypond.clock import Clock
from savorypond.controllers.active import ActiveServices
from savorypond.controllers.backend_servers import BackendServers
from savorypond.model import Answer, Pin, Query, Service
from savorypond.queries.attempts import (
    Action,
    Attempt,
    AttemptFailure,
    CancelAttempt,
    Finish,
    RejectAnswer,
    Repin,
    SendAttempt,
)
from savorypond.queries.fanout import Fanout
from savorypond.queries.fanout_policies import FanoutPolicies
from savorypond.queries.partials import ServerAnswer
from savorypond.queries.shard_calls import RunningCall, ShardCaller
from savorypond.timeouts import ignore_after


@dataclass(frozen=True, slots=True, kw_only=True)
class QueryDependencies:
    """The objects shared by all query runs of an instance."""

    active: ActiveServices
    servers: BackendServers
    caller: ShardCaller
    clock: Clock
    policies: FanoutPolicies


@dataclass(frozen=True, slots=True, kw_only=True)
class EarlyAnswer:
    """Where and when to send a partial answer while some services are still open.

    :param at: monotonic seconds at which to send it.
    """

    at: float
    send: Callable[[Answer], Awaitable[None]]


class QueryRun:
    """Feeds events to the ``Fanout`` of one query and carries out its actions."""

    def __init__(
        self,
        *,
        dependencies: QueryDependencies,
        query: Query,
        pin: Pin,
        services: Sequence[Service],
        early: EarlyAnswer | None = None,
    ) -> None:
        self._early = early
        self._dependencies = dependencies
        self._query = replace(query, body=Raw(encode(query.body)))  # encode once
        self._services = services
        self._actions: deque[list[Action]] = deque()
        self._wakes_at = 0.0
        self._wakeup = Event()
        self._answer: Answer | None = None
        self._calls: dict[int, RunningCall] = {}
        self._done = False
        self._fanout = Fanout(
            query=query,
            pin=pin,
            services=services,
            policies=dependencies.policies,
        )

    async def run(self) -> Answer:
        """Return the answer by the query's deadline."""
        await self._dependencies.active.activate(self._services)
        try:
            return await self._drive()
        except CancelledError:
            await self._cancel_all()
            raise
        finally:
            self._done = True

    async def finish(self) -> Answer | None:
        """End the run if its time is over; return the answer, or None if it runs on.

        For code that cannot wait until the task of this run is scheduled.
        """
        await self._apply_queued()
        if self._answer is None:
            await self._apply(self._fanout.tick(self._now()))
        return self._answer

    async def dispatched(self, attempt: Attempt) -> None:
        """Handle that ``attempt`` got a slot and is about to be written."""
        await self._enqueue(self._fanout.dispatched(attempt, self._now()))

    async def answered(self, attempt: Attempt, answer: ServerAnswer) -> None:
        """Handle the answer to ``attempt``."""
        await self._enqueue(self._fanout.answered(attempt, answer, self._now()))

    async def failed(self, attempt: Attempt, failure: AttemptFailure) -> None:
        """Handle the end of ``attempt`` without an answer."""
        await self._enqueue(self._fanout.failed(attempt, failure, self._now()))

    async def _enqueue(self, actions: list[Action]) -> None:
        """Queue ``actions`` for the task of this run; wake it only if necessary."""
        if self._done:
            return
        if actions:
            self._actions.append(actions)
        timer = self._fanout.next_timer()
        if actions or (timer is not None and timer < self._wakes_at):
            await self._wakeup.set()

    async def _drive(self) -> Answer:
        await self._apply(self._fanout.start(self._now()))
        while self._answer is None:
            await self._wait()
            await self._apply_queued()
            if self._answer is None:
                await self._apply(self._fanout.tick(self._now()))
            if self._answer is None:
                await self._send_early()
        return self._answer

    async def _send_early(self) -> None:
        early = self._early
        if early is None or self._now() < early.at:
            return
        self._early = None
        answer = self._fanout.answer_so_far()
        if answer.partials:
            await early.send(answer)

    async def _cancel_all(self) -> None:
        left = [action for actions in self._actions for action in actions]
        cancels: list[Action] = [a for a in left if isinstance(a, CancelAttempt)]
        await self._apply(cancels + self._fanout.caller_gone(self._now()))

    async def _wait(self) -> None:
        if self._actions:
            return
        self._wakeup.clear()
        self._wakes_at = self._fanout.next_timer() or self._query.deadline
        if self._early is not None:
            self._wakes_at = min(self._wakes_at, self._early.at)
        seconds = max(self._wakes_at - self._now(), 0.0)
        async with ignore_after(seconds):
            await self._wakeup.wait()

    async def _apply_queued(self) -> None:
        while self._actions and self._answer is None:
            await self._apply(self._actions.popleft())

    async def _apply(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendAttempt):
                await self._send(action)
            elif isinstance(action, CancelAttempt):
                await self._cancel(action)
            elif isinstance(action, RejectAnswer):
                self._reject(action)
            elif isinstance(action, Repin):
                # Other parts of the query may run on other instances, so the
                # snapshot may only be changed for the query as a whole.
                await self._apply(self._fanout.restart(None, self._now()))
            elif isinstance(action, Finish):
                self._answer = action.answer

    async def _send(self, action: SendAttempt) -> None:
        attempt = action.attempt
        self._calls[attempt.number] = await self._dependencies.caller.start(
            attempt, query=self._query, deadline=action.deadline, events=self
        )

    async def _cancel(self, action: CancelAttempt) -> None:
        call = self._calls.pop(action.attempt.number, None)
        if call is not None:
            await self._dependencies.caller.cancel(
                call, query=self._query, reason=action.reason
            )

    def _reject(self, action: RejectAnswer) -> None:
        self._dependencies.servers.record_failure(server=action.attempt.server.name)

    def _now(self) -> float:
        return self._dependencies.clock.now()
