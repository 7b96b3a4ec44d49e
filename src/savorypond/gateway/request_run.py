"""Runs one routed request: sends its attempts until the plan reaches a verdict."""

from dataclasses import dataclass
from typing import Any

from curio import CancelledError, Queue, TaskTimeout, spawn

from savorypond.gateway.attempts import AttemptResult
from savorypond.gateway.crash_hold import CrashHold
from savorypond.gateway.delegation import ShardGroup
from savorypond.gateway.delegation_client import (
    FALLBACK_DELAY,
    MAX_FALLBACK_SHARE,
    GroupResult,
)
from savorypond.gateway.gather_plan import GatherPlan
from savorypond.gateway.plan_types import Attempt, GroupAttempt, PlanLimits, Verdict
from savorypond.gateway.ranked_merge import PartialAnswer
from savorypond.gateway.rate_admission import OVERADMISSION, admission_rank
from savorypond.gateway.rate_control import RankedRequest
from savorypond.gateway.response_classifier import AttemptOutcome
from savorypond.gateway.run_types import RunDependencies, RunResult, RunSpec
from savorypond.gateway.server_chooser import RegistryServerChooser
from savorypond.http.messages import HttpResponse
from savorypond.http.response_memory import ResponseReservation
from savorypond.timeouts import ignore_after, timeout_after

DEADLINE_MARGIN = 0.010  # seconds left for the answer before the caller's deadline
# An attempt still running when its request ends keeps its connection if it finishes
# within this time.
LINGER_TIME = 0.2  # seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class _Part:
    """An answer that covers one or more shards, by their index in the query."""

    answer: PartialAnswer
    shards: tuple[int, ...]


class RequestRun:
    """One request and its attempts."""

    def __init__(self, *, dependencies: RunDependencies, spec: RunSpec) -> None:
        self._dependencies = dependencies
        self._spec = spec
        route = spec.route
        self._mean_latency = dependencies.latencies.mean(
            route=route.name, goal=route.goal
        )
        self._results: Queue = Queue()
        self._running: dict[int, Any] = {}
        self._parts: list[_Part] = []
        self._reported = 0
        self._response: HttpResponse | None = None
        self._last_failure: AttemptResult | None = None
        self._problems: list[str] = []
        self._may_run = False
        self._reached = False
        self._delegated = 0
        self._groups: dict[int, ShardGroup] = {}
        self._group_numbers: dict[int, int] = {}
        self._ended = False
        self._cut_off = False
        self._reservations: list[ResponseReservation] = []
        self._request_share = 1.0
        self._rate_limited = False
        self._hold = CrashHold()
        self._held: list[tuple[Attempt, AttemptResult]] = []
        self._rank = admission_rank(spec.request.request_id)
        self._chooser = RegistryServerChooser(
            registry=dependencies.registry,
            loads=dependencies.loads,
            mean_latency=self._mean_latency,
            rates=dependencies.rates,
            notices=dependencies.notices,
            request=RankedRequest(
                priority=route.priority, rank=self._rank / OVERADMISSION
            ),
        )
        self._plan = GatherPlan(
            services=spec.services,
            limits=PlanLimits(
                repeatable=route.idempotent,
                max_attempts=route.max_attempts,
                least_share=spec.least_share,
                partial_after=spec.partial_after,
                deadline=spec.request.caller_deadline - DEADLINE_MARGIN,
            ),
            hedge_delays=dependencies.latencies.hedge_delays(
                route=route.name,
                goal=route.goal,
                time_left=spec.partial_after - dependencies.clock.now(),
            ),
            chooser=self._chooser,
            budget=dependencies.budget,
        )

    @property
    def fingerprint(self) -> bytes:
        """What requests that do the same to a server have in common."""
        return self._spec.request.fingerprint

    @property
    def in_flight(self) -> int:
        """Number of attempts and delegated groups that have not ended."""
        return len(self._running)

    async def run(self, *, resumable: bool = False) -> RunResult:
        """Run the request and return its result.

        :param resumable: whether the attempts of shards without an answer go on. Then
            ``resume`` or ``abandon`` must follow if the result has pending shards.
        """
        try:
            verdict = await self._run_until_verdict()
        except CancelledError:
            idempotent = self._spec.route.idempotent
            await self.abandon(wait=0.0 if idempotent else LINGER_TIME)
            raise
        except Exception:
            await self.abandon(wait=0.0)
            raise
        return await self._finish(verdict, resumable=resumable)

    async def resume(self) -> RunResult:
        """Return the next answers once one has arrived, or none by the deadline."""
        clock = self._dependencies.clock
        self._cut_off = False
        try:
            while (
                len(self._parts) == self._reported
                and self._plan.pending()
                and not self._is_isolated()
            ):
                now = clock.now()
                if now >= self._plan.deadline:
                    break
                await self._record_held()
                await self._spawn_attempts(self._plan.due_hedges(now))
                await self._wait_for_results(self._plan.next_hedge() - clock.now())
        except (CancelledError, Exception):
            await self.abandon(wait=0.0)
            raise
        is_resumable = clock.now() < self._plan.deadline
        return await self._finish(Verdict.ANSWER, resumable=is_resumable)

    async def shorten_deadline(self, deadline: float) -> None:
        """Have the final answer by ``deadline``, in monotonic seconds."""
        self._plan.shorten_deadline(deadline - DEADLINE_MARGIN)
        await self.wake()

    async def wake(self) -> None:
        """Check at once whether the request has ended."""
        await self._results.put(None)

    async def abandon(self, *, wait: float) -> None:
        """End the request; cancel its running attempts in ``wait`` seconds."""
        self._ended = True
        for reservation in self._reservations:
            reservation.release()
        self._reservations.clear()
        await self._abandon_running(wait=wait)

    async def _finish(self, verdict: Verdict, *, resumable: bool) -> RunResult:
        plan = self._plan
        isolated = self._is_isolated()
        is_resumable = resumable and verdict is Verdict.ANSWER and not isolated
        pending = plan.pending() if is_resumable else ()
        if not pending:
            ends_now = isolated and self._spec.route.idempotent
            await self.abandon(wait=0.0 if ends_now else LINGER_TIME)
        parts = self._parts[self._reported :]
        self._reported = len(self._parts)
        return RunResult(
            verdict=verdict,
            parts=tuple(part.answer for part in parts),
            answered=tuple(shard for part in parts for shard in part.shards),
            pending=pending,
            response=self._response,
            missing=plan.missing(),
            last_failure=self._last_failure,
            may_run=self._may_run or bool(self._running),
            reached=self._reached or bool(self._running),
            hedges=plan.hedges,
            retries=plan.retries,
            denied=plan.denied,
            delegated=self._delegated,
            problems=tuple(self._problems),
            rate_limited=self._rate_limited or bool(self._chooser.rate_limited),
            cut_off=self._cut_off,
            wait=self._wait_for_servers() if verdict is Verdict.UNSERVABLE else 0.0,
            isolated=isolated,
        )

    def _wait_for_servers(self) -> float:
        """Return the seconds until enough missing shards have a server on no hold."""
        now = self._dependencies.clock.now()
        waits = sorted(self._chooser.wait(s, now) for s in self._plan.missing())
        needed = min(len(waits), max(1, self._plan.needed))
        return waits[needed - 1]

    async def _run_until_verdict(self) -> Verdict:
        clock = self._dependencies.clock
        await self._start_first()
        covers_enough = False
        while True:
            now = clock.now()
            verdict = self._plan.verdict(now)
            if verdict is not None:
                is_partial = self._plan.answered < len(self._spec.services)
                is_due = now >= self._spec.partial_after
                self._cut_off = covers_enough and is_partial and is_due
                return verdict
            if self._is_isolated():
                answers = self._plan.may_answer
                return Verdict.ANSWER if answers else Verdict.UNSERVABLE
            covers_enough = self._plan.may_answer
            if self._hold.holds(now):
                await self._wait_for_results(self._next_check(now) - now)
                continue
            await self._record_held()
            await self._spawn_attempts(self._plan.due_fallbacks(now))
            await self._spawn_attempts(self._plan.due_hedges(now))
            for group in self._plan.due_follow_ups(now):
                task = await spawn(self._run_follow_up, group, daemon=True)
                self._running[group.number] = task
            await self._wait_for_results(self._plan.next_wakeup() - clock.now())

    async def _start_first(self) -> None:
        spec = self._spec
        dependencies = self._dependencies
        now = dependencies.clock.now()
        groups: dict[int, tuple[ShardGroup, GroupAttempt]] = {}
        if spec.may_delegate:
            for group in dependencies.delegation_client.choose(spec.services):
                fallback_at = self._fallback_time(now)
                attempt = self._plan.delegate(group.shards, fallback_at=fallback_at)
                groups[attempt.number] = (group, attempt)
                self._groups[attempt.number] = group
        delegated = {shard for group, _ in groups.values() for shard in group.shards}
        # The request to a delegated shard is counted by the peer that gathers it.
        direct = [s for n, s in enumerate(spec.services) if n not in delegated]
        for service in direct:
            dependencies.budget.record_request(service=service, now=now)
        if not self._is_admitted(direct, now, is_delegated=bool(groups)):
            return
        await dependencies.tokens.wait_for_tokens(
            direct,
            priority=spec.route.priority,
            lacks_token=lambda service: self._chooser.lacks_token(
                service, dependencies.clock.now()
            ),
        )
        now = dependencies.clock.now()
        attempts = self._plan.start(now)
        if self._plan.verdict(now) is not None:
            return
        self._delegated = len(delegated)
        await self._spawn_attempts(attempts)
        for group, attempt in groups.values():
            task = await spawn(self._run_group, group, attempt, daemon=True)
            self._running[attempt.number] = task

    def _is_admitted(
        self, direct: list[str], now: float, *, is_delegated: bool
    ) -> bool:
        """Return whether enough shards have room for the request.

        Where this instance asks all shards, it sends nothing unless enough of them have
        a token. Delegates do not know of each other's shards.

        :param direct: services that this instance asks itself.
        """
        spec, rates = self._spec, self._dependencies.rates
        priority = spec.route.priority
        rates.demand.record(direct, priority=priority, weight=1.0 / spec.admitted)
        self._request_share = rates.admission.request_share(
            spec.services, priority=priority, least_share=spec.least_share, now=now
        )
        rank = self._rank if is_delegated else self._rank / OVERADMISSION
        self._rate_limited = rank >= self._request_share
        if self._rate_limited:
            self._dependencies.counters.add("gateway_rate_limited", "request")
        return not self._rate_limited

    def _fallback_time(self, now: float) -> float:
        """Return the time from which delegated shards are asked from here."""
        due = max(now, self._spec.partial_after)
        time_left = max(0.0, self._spec.request.caller_deadline - due)
        return due + min(FALLBACK_DELAY, MAX_FALLBACK_SHARE * time_left)

    async def _wait_for_results(self, seconds: float) -> None:
        """Wait up to ``seconds`` for a result and record all that have arrived."""
        try:
            async with timeout_after(max(0.0, seconds)):
                item = await self._results.get()
        except TaskTimeout:
            return
        await self._record_result(item)
        while not self._results.empty():
            await self._record_result(await self._results.get())

    async def _record_result(
        self, item: tuple[Attempt | GroupAttempt, Any] | None
    ) -> None:
        if item is None:
            return
        attempt, result = item
        self._running.pop(attempt.number, None)
        if isinstance(attempt, GroupAttempt):
            await self._record_group(attempt, result)
        else:
            await self._record_attempt(attempt, result)

    async def _record_group(self, attempt: GroupAttempt, result: GroupResult) -> None:
        self._record_shares(result)
        dependencies = self._dependencies
        dependencies.notices.leaving.learn(result.leaving, dependencies.clock.now())
        self._may_run = self._may_run or result.may_have_run
        if not result.problem:
            self._group_numbers[attempt.number] = result.number
            is_used = self._plan.record_group_answer(
                attempt, result.answered, pending=result.pending
            )
            if is_used and result.part is not None:
                self._record_group_part(result.part, result.answered)
            return
        self._reached = self._reached or result.may_have_run
        self._problems.append(f"instance {result.peer}: {result.problem}")
        now = self._dependencies.clock.now()
        await self._spawn_attempts(
            self._plan.record_group_failure(
                attempt, now, may_have_run=result.may_have_run
            )
        )

    def _record_shares(self, result: GroupResult) -> None:
        """Keep the shares of requests that an instance has room for."""
        dependencies = self._dependencies
        now = dependencies.clock.now()
        for shard, share in result.shares:
            dependencies.rates.admission.record(
                self._spec.services[shard],
                priority=self._spec.route.priority,
                share=share,
                now=now,
            )
        self._rate_limited = self._rate_limited or result.rate_limited

    def _next_check(self, now: float) -> float:
        """Return until when to wait for results while attempts are held back."""
        due = min(self._hold.until, self._plan.deadline)
        partial_after = self._spec.partial_after
        return min(due, partial_after) if now < partial_after else due

    async def _record_held(self) -> None:
        """Record the crashes that have been held back; retry their shards."""
        held, self._held = self._held, []
        for attempt, result in held:
            await self._record_failure(attempt, result)

    async def _record_attempt(self, attempt: Attempt, result: AttemptResult) -> None:
        if result.outcome is AttemptOutcome.USABLE:
            self._hold.record_answer()
            if self._plan.record_answer(attempt.number):
                self._record_part(attempt, result)
            return
        now = self._dependencies.clock.now()
        if len(self._spec.services) > 1:
            if result.crashed:
                self._hold.record_crash(now)
            if self._hold.holds(now):
                self._may_run = self._may_run or result.may_have_run
                self._held.append((attempt, result))
                return
        await self._record_failure(attempt, result)

    async def _record_failure(self, attempt: Attempt, result: AttemptResult) -> None:
        self._last_failure = result
        self._may_run = self._may_run or result.may_have_run
        self._reached = self._reached or result.sent
        self._problems.append(f"{result.server.name}: {result.problem}")
        now = self._dependencies.clock.now()
        if not result.sent:
            attempts = self._plan.record_unsent(attempt.number, now)
        else:
            attempts = self._plan.record_failure(
                attempt.number, now, may_have_run=result.may_have_run
            )
        await self._spawn_attempts(attempts)

    def _record_group_part(
        self, answer: PartialAnswer, shards: tuple[int, ...]
    ) -> None:
        """Keep a merged answer instead of the single answers of its shards."""
        covered = set(shards)
        self._parts = [
            part for part in self._parts if not covered.issuperset(part.shards)
        ]
        self._parts.append(_Part(answer=answer, shards=shards))

    def _record_part(self, attempt: Attempt, result: AttemptResult) -> None:
        response = result.response
        assert response is not None
        self._response = response
        signature = response.header(self._dependencies.names.signature) or ""
        answer = PartialAnswer(signatures=(signature,), body=response.body)
        self._parts.append(_Part(answer=answer, shards=(attempt.shard,)))

    def _is_isolated(self) -> bool:
        dependencies = self._dependencies
        return dependencies.isolation.is_isolated(
            self.fingerprint, dependencies.clock.now()
        )

    async def _spawn_attempts(self, attempts: list[Attempt]) -> None:
        if self._is_isolated():
            return  # the request ends next
        limits = self._dependencies.rates.limits
        now = self._dependencies.clock.now()
        # Before other requests choose their servers.
        for attempt in attempts:
            limits.record_sent(attempt.server, extra=attempt.extra, now=now)
        for attempt in attempts:
            task = await spawn(self._run_attempt, attempt, daemon=True)
            self._running[attempt.number] = task

    async def _run_attempt(self, attempt: Attempt) -> None:
        dependencies = self._dependencies
        started_at = dependencies.clock.now()
        result = await dependencies.runner.run(
            self._spec.request,
            attempt.server,
            mean_latency=self._mean_latency,
            is_wanted=lambda: not self._ended,
        )
        self._keep(result.reservation)
        if result.outcome is AttemptOutcome.USABLE:
            now = dependencies.clock.now()
            route = self._spec.route.name
            dependencies.latencies.record(
                route=route, seconds=now - started_at, now=now
            )
        await self._results.put((attempt, result))

    def _keep(self, reservation: ResponseReservation | None) -> None:
        """Keep the memory of a response until the request has ended."""
        if reservation is None:
            return
        if self._ended:
            reservation.release()
        else:
            self._reservations.append(reservation)

    async def _run_group(self, group: ShardGroup, attempt: GroupAttempt) -> None:
        result = await self._dependencies.delegation_client.gather(
            group,
            self._spec.request,
            route=self._spec.route,
            version=self._spec.version,
            partial_after=self._spec.partial_after,
            admitted=self._request_share,
            leaving=self._dependencies.notices.leaving.of_services(
                self._spec.services[shard] for shard in group.shards
            ),
        )
        await self._results.put((attempt, result))

    async def _run_follow_up(self, attempt: GroupAttempt) -> None:
        result = await self._dependencies.delegation_client.gather_rest(
            self._groups[attempt.number],
            self._spec.request,
            number=self._group_numbers[attempt.number],
        )
        await self._results.put((attempt, result))

    async def _abandon_running(self, *, wait: float) -> None:
        """Cancel running attempts in ``wait`` seconds, without blocking."""
        for task in self._running.values():
            if wait:
                await spawn(_cancel_after, task, wait, daemon=True)
            else:
                await task.cancel(blocking=False)


async def _cancel_after(task: Any, seconds: float) -> None:
    async with ignore_after(seconds):
        await task.wait()
    await task.cancel(blocking=False)
