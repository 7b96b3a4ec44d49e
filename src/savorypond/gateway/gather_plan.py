"""Schedules the attempts of one scatter-gather request and decides when it ends.

Guards against stragglers. A shard whose server is slow, paused or failing is hedged or
retried on another server within the retry budget, in another data centre only when
its answer would otherwise be late. Close to the latency target a partial answer is
returned if it covers enough shards. A request that can no longer be answered fails
at once.
"""

from collections.abc import Collection
from dataclasses import replace
from math import ceil, inf

from savorypond.gateway.plan_types import (
    Attempt,
    GroupAttempt,
    HedgeDelays,
    PlanLimits,
    RetryBudget,
    ServerChooser,
    ShardState,
    Verdict,
)
from savorypond.gateway.servers import RegisteredServer

_ROUNDING_ERROR = 1e-9  # shards; tolerance for a share times the shard count
_MAX_UNSENT = 3  # unsent attempts of a shard that are replaced
# Only a few servers pause or are slow at a time. If more shards than this are late,
# the cause is this instance or the network, and hedges would add to the load.
_MAX_HEDGED_SHARE = 0.25
_MIN_HEDGE_LIMIT = 4  # shards
_DENIED_HEDGE_DELAY = 0.02  # seconds, at least, until a denied hedge is tried again


class GatherPlan:
    """The state of one scatter-gather request.

    :param services: the service of each shard.
    :param hedge_delays: delays before a shard is hedged.
    """

    def __init__(
        self,
        *,
        services: tuple[str, ...],
        limits: PlanLimits,
        hedge_delays: HedgeDelays,
        chooser: ServerChooser,
        budget: RetryBudget,
    ) -> None:
        self._shards = [ShardState(service=service) for service in services]
        self._limits = limits
        self._hedge_delays = hedge_delays
        self._chooser = chooser
        self._budget = budget
        self._shard_of: dict[int, int] = {}
        self._groups: dict[int, GroupAttempt] = {}
        self._unfinished: dict[int, GroupAttempt] = {}
        self._charged: set[int] = set()
        self._last_number = 0
        self._answered = 0
        self._pending = 0
        self._hedges = 0
        self._retries = 0
        self._denied = 0
        self._max_hedges = max(_MIN_HEDGE_LIMIT, int(_MAX_HEDGED_SHARE * len(services)))
        self._min_answered = limits.least_share * len(services) - _ROUNDING_ERROR

    @property
    def answered(self) -> int:
        """Number of shards that have answered."""
        return self._answered

    @property
    def may_answer(self) -> bool:
        """Whether the answers so far cover enough shards."""
        return self._answered >= self._min_answered and self._answered > 0

    @property
    def needed(self) -> int:
        """Number of further shards that an answer must cover."""
        return ceil(self._min_answered) - self._answered

    @property
    def hedges(self) -> int:
        """Number of attempts started while another one of the shard was running."""
        return self._hedges

    @property
    def retries(self) -> int:
        """Number of attempts started after another one of the shard had failed."""
        return self._retries

    @property
    def denied(self) -> int:
        """Number of extra attempts that the budget denied."""
        return self._denied

    def pending(self) -> tuple[int, ...]:
        """Return the shards whose attempts may still answer."""
        return tuple(i for i, shard in enumerate(self._shards) if shard.pending)

    def missing(self) -> tuple[str, ...]:
        """Return the services of the shards without an answer."""
        return tuple(s.service for s in self._shards if not s.answered)

    def delegate(self, shards: tuple[int, ...], *, fallback_at: float) -> GroupAttempt:
        """Mark ``shards`` as gathered by another instance; call before ``start``.

        :param fallback_at: monotonic seconds from which, without an answer, the shards
            are asked from here.
        """
        self._last_number += 1
        for index in shards:
            self._shards[index].running.add(self._last_number)
        group = GroupAttempt(
            number=self._last_number, shards=shards, fallback_at=fallback_at
        )
        self._groups[group.number] = group
        return group

    def start(self, now: float) -> list[Attempt]:
        """Return the first attempts, or none if too few shards have a server."""
        attempts = []
        for index, shard in enumerate(self._shards):
            attempt = None if shard.running else self._new_attempt(index, now)
            if attempt is not None:
                attempts.append(attempt)
        self._count_pending()
        if self._pending < self._min_answered or not self._pending:
            self._withdraw_attempts(attempts)
            return []
        return attempts

    def record_group_answer(
        self,
        group: GroupAttempt,
        answered: Collection[int],
        *,
        pending: Collection[int] = (),
    ) -> bool:
        """Record the shards of ``group`` that its instance got answers from.

        Return whether the answer is used. It is not if every shard that it covers has
        been answered meanwhile; otherwise it replaces the answers of those that have.

        :param pending: shards that the instance is still waiting for.
        """
        self._groups.pop(group.number, None)
        if pending:
            self._unfinished[group.number] = group
        is_used = any(not self._shards[index].answered for index in answered)
        for index in group.shards:
            shard = self._shards[index]
            if index not in pending:
                shard.running.discard(group.number)
            shard.sent = self._limits.max_attempts
            if index in answered and not shard.answered:
                shard.answered = True
                shard.hedge_at = inf
                self._answered += 1
        self._count_pending()
        return is_used

    def record_group_failure(
        self, group: GroupAttempt, now: float, *, may_have_run: bool
    ) -> list[Attempt]:
        """Record that ``group`` failed; return the attempts that replace it.

        :param may_have_run: whether backend servers may have received the request.
        """
        attempts = []
        is_overdue = self._groups.pop(group.number, None) is None
        self._unfinished.pop(group.number, None)
        for index in group.shards:
            shard = self._shards[index]
            shard.running.discard(group.number)
            if shard.answered or shard.running:
                continue
            if not is_overdue:
                shard.sent = self._assumed_sent(shard) if may_have_run else 0
            if now < self._limits.deadline:
                attempts += self._retry(index, now)
        self._count_pending()
        return attempts

    def due_fallbacks(self, now: float) -> list[Attempt]:
        """Return attempts at the shards of overdue groups.

        The instance of such a group may only be paused or disconnected for a moment, so
        its answer is still awaited.
        """
        overdue = [g for g in self._groups.values() if now >= g.fallback_at]
        attempts = []
        for group in overdue:
            del self._groups[group.number]
            for index in group.shards:
                shard = self._shards[index]
                shard.sent = self._assumed_sent(shard)
                if now < self._limits.deadline:
                    attempts += self._retry(index, now)
        return attempts

    def due_follow_ups(self, now: float) -> list[GroupAttempt]:
        """Return the groups whose remaining shards have to be awaited.

        Their answers so far left too many shards out. The caller is answered late if
        the remaining servers are only slow.
        """
        if self.may_answer or now < self._limits.partial_after:
            return []
        unfinished, self._unfinished = list(self._unfinished.values()), {}
        return unfinished

    def _assumed_sent(self, shard: ShardState) -> int:
        """Return the number of attempts to assume of an instance that was lost.

        It may have sent the request to as many servers as are allowed. One more
        attempt stays within that limit only if the service has no further servers.
        """
        max_attempts = self._limits.max_attempts
        return max_attempts - (self._chooser.count(shard.service) <= max_attempts)

    def record_answer(self, number: int) -> bool:
        """Record a usable answer; return whether it is the first of its shard."""
        shard = self._shards[self._shard_of[number]]
        shard.running.discard(number)
        if shard.answered:
            return False
        shard.answered = True
        shard.hedge_at = inf
        self._answered += 1
        self._pending -= 1
        return True

    def record_failure(
        self, number: int, now: float, *, may_have_run: bool
    ) -> list[Attempt]:
        """Record that an attempt failed; return the attempts that replace it.

        :param may_have_run: whether the server may have run the request.
        """
        index = self._shard_of[number]
        shard = self._shards[index]
        shard.running.discard(number)
        if may_have_run and not self._limits.repeatable:
            shard.sent = max(shard.sent, self._limits.max_attempts)
        if shard.answered or shard.running:
            return []
        attempts = self._retry(index, now) if now < self._limits.deadline else []
        self._count_pending()
        return attempts

    def record_unsent(self, number: int, now: float) -> list[Attempt]:
        """Record that an attempt was never sent; return its replacements."""
        index = self._shard_of[number]
        shard = self._shards[index]
        shard.running.discard(number)
        shard.sent -= 1
        shard.unsent += 1
        if number in self._charged:
            self._charged.discard(number)
            self._budget.refund(service=shard.service)
        if shard.answered or shard.running:
            return []
        attempts = self._retry(index, now) if now < self._limits.deadline else []
        self._count_pending()
        return attempts

    def due_hedges(self, now: float) -> list[Attempt]:
        """Return the hedges that are due now."""
        due = [
            index
            for index, shard in enumerate(self._shards)
            if now >= shard.hedge_at and shard.pending
        ]
        attempts = []
        for index in due:
            if self._hedges < self._max_hedges:
                attempts += self._hedge(index, now)
            else:
                self._shards[index].hedge_at = inf
        return attempts

    def next_wakeup(self) -> float:
        """Return the time at which to check the plan again."""
        wakeup = min(
            (group.fallback_at for group in self._groups.values()),
            default=self._limits.deadline,
        )
        wakeup = min(wakeup, self.next_hedge())
        if self._unfinished or self._answered >= self._min_answered:
            wakeup = min(wakeup, self._limits.partial_after)
        return wakeup

    @property
    def deadline(self) -> float:
        """Monotonic seconds by which the request must have its final answer."""
        return self._limits.deadline

    def shorten_deadline(self, deadline: float) -> None:
        """Have the final answer by ``deadline``, unless it is due sooner."""
        self._limits = replace(
            self._limits, deadline=min(deadline, self._limits.deadline)
        )

    def next_hedge(self) -> float:
        """Return the time of the next hedge, or the deadline if that is earlier."""
        due = self._limits.deadline
        for shard in self._shards:
            if shard.pending and shard.hedge_at < due:
                due = shard.hedge_at
        return due

    def verdict(self, now: float) -> Verdict | None:
        """Return how the request ends, or None while it is running."""
        total = len(self._shards)
        if self._answered == total:
            return Verdict.ANSWER
        if not self._pending:
            return Verdict.ANSWER if self.may_answer else Verdict.UNSERVABLE
        if self._answered + self._pending < self._min_answered:
            return Verdict.UNSERVABLE
        if self.may_answer and (
            now >= self._limits.partial_after or self._awaits_only_unfinished_groups()
        ):
            return Verdict.ANSWER
        if now >= self._limits.deadline:
            return Verdict.TIMED_OUT
        return None

    def _awaits_only_unfinished_groups(self) -> bool:
        """Return whether no answer is due unless a follow-up asks for one."""
        return bool(self._unfinished) and all(
            shard.running <= self._unfinished.keys()
            for shard in self._shards
            if shard.pending
        )

    def _retry(self, index: int, now: float) -> list[Attempt]:
        shard = self._shards[index]
        if shard.sent >= self._limits.max_attempts or shard.unsent > _MAX_UNSENT:
            return []
        # The budget covers only extra attempts, not the replacement of an unsent first.
        attempt = self._new_attempt(index, now, charged=shard.sent > 0)
        if attempt is None:
            return []
        self._retries += 1
        return [attempt]

    def _hedge(self, index: int, now: float) -> list[Attempt]:
        shard = self._shards[index]
        shard.hedge_at = inf
        if not self._limits.repeatable or shard.sent >= self._limits.max_attempts:
            return []
        server = self._choose(shard, now)
        if server is not None and self._chooser.is_remote(server):
            remote_at = shard.sent_at + self._hedge_delays.remote
            if now < remote_at:
                shard.hedge_at = remote_at
                return []
        attempt = self._new_attempt(index, now, charged=True, server=server)
        if attempt is None:
            shard.hedge_at = now + max(self._hedge_delays.local, _DENIED_HEDGE_DELAY)
            return []
        self._hedges += 1
        return [attempt]

    def _choose(self, shard: ShardState, now: float) -> RegisteredServer | None:
        return self._chooser.choose(shard.service, exclude=shard.tried, now=now)

    def _new_attempt(
        self,
        index: int,
        now: float,
        *,
        charged: bool = False,
        server: RegisteredServer | None = None,
    ) -> Attempt | None:
        shard = self._shards[index]
        server = server or self._choose(shard, now)
        if server is None:
            return None
        if charged and not self._budget.try_spend(service=shard.service, now=now):
            self._denied += 1
            return None
        self._last_number += 1
        self._shard_of[self._last_number] = index
        if charged:
            self._charged.add(self._last_number)
        shard.tried.add(server.name)
        shard.running.add(self._last_number)
        shard.sent += 1
        shard.sent_at = now
        shard.hedge_at = now + self._hedge_delays.local
        return Attempt(
            number=self._last_number,
            shard=index,
            server=server,
            extra=shard.sent > 1,
        )

    def _withdraw_attempts(self, attempts: list[Attempt]) -> None:
        for attempt in attempts:
            self._shards[attempt.shard].running.discard(attempt.number)
        self._pending = 0

    def _count_pending(self) -> None:
        self._pending = sum(shard.pending for shard in self._shards)
