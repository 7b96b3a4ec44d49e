"""Decides what to send for one request, and when to answer it.

Answers stragglers: a shard whose server is slow, paused or failing is asked of
another server within the budget, across data centres only when it is due to be late;
near the goal the answer holds what has arrived, as long as that is enough; what can
no longer be served is given up at once.
"""

from collections.abc import Collection
from dataclasses import dataclass, field
from enum import StrEnum
from math import inf
from typing import Protocol

from savorypond.gateway.servers import RegisteredServer

_ROUNDING = 1e-9  # shares are compared as numbers of shards
_UNSENT_TRIES = 3  # servers beyond the attempts, if nothing reached the others
# A few servers pause or are slow at a time. Where more shards than these are late,
# the cause lies here or on the way, and hedges would add to it.
_HEDGED_SHARE = 0.25
_LEAST_HEDGED = 4  # shards
_DENIED_PAUSE = 0.02  # seconds until a hedge that was not allowed is tried again


class ServerChooser(Protocol):
    """Names the server for an attempt."""

    def choose(
        self, service: str, *, exclude: Collection[str], now: float
    ) -> RegisteredServer | None:
        """Return a server of ``service`` that is not in ``exclude``, or None."""

    def count(self, service: str) -> int:
        """Return how many servers ``service`` has."""

    def is_far(self, server: RegisteredServer) -> bool:
        """Return whether ``server`` is in another data centre."""


class ExtraSends(Protocol):
    """Allows sends beyond the first of each shard."""

    def try_spend(self, *, service: str, now: float) -> bool:
        """Take one extra send if there is one."""

    def refund(self, *, service: str) -> None:
        """Take back an extra send that never left."""


class Verdict(StrEnum):
    """How a request ends."""

    ANSWER = "answer"
    UNSERVABLE = "unservable"
    TIMED_OUT = "timed-out"


@dataclass(frozen=True, slots=True, kw_only=True)
class Send:
    """One attempt to be made.

    :param number: of the attempt, unique within the request.
    """

    number: int
    shard: int
    server: RegisteredServer


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupSend:
    """One attempt by another instance, for several shards."""

    number: int
    shards: tuple[int, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class PlanLimits:
    """What bounds one request; times in monotonic seconds.

    :param repeatable: whether the request may run more than once.
    :param max_attempts: servers that may be sent the request, for each shard.
    :param least_share: share of the shards that an answer must hold.
    :param answer_at: from when an answer need not hold every shard.
    :param end_at: when the request must have its final answer.
    """

    repeatable: bool
    max_attempts: int
    least_share: float
    answer_at: float
    end_at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class HedgeDelays:
    """When a shard is asked of another server as well.

    :param near: seconds after which a server of the same data centre is asked.
    :param far: seconds after which one of another data centre is.
    """

    near: float
    far: float


@dataclass(slots=True, kw_only=True)
class _Shard:
    service: str
    tried: set[str] = field(default_factory=set)
    running: set[int] = field(default_factory=set)
    sent: int = 0
    sent_at: float = 0.0
    unsent: int = 0
    hedge_at: float = inf
    answered: bool = False

    @property
    def waiting(self) -> bool:
        """Whether an answer may still come."""
        return not self.answered and bool(self.running)


class GatherPlan:
    """The state of one request that goes to one server of each of its shards.

    :param services: the service of each shard.
    :param hedge_delays: when a shard is asked of another server as well.
    """

    def __init__(
        self,
        *,
        services: tuple[str, ...],
        limits: PlanLimits,
        hedge_delays: HedgeDelays,
        chooser: ServerChooser,
        extras: ExtraSends,
    ) -> None:
        self._shards = [_Shard(service=service) for service in services]
        self._limits = limits
        self._hedge_delays = hedge_delays
        self._chooser = chooser
        self._extras = extras
        self._shard_of: dict[int, int] = {}
        self._paid: set[int] = set()
        self._numbers = 0
        self._answered = 0
        self._waiting = 0
        self._hedges = 0
        self._retries = 0
        self._denied = 0
        self._most_hedges = max(_LEAST_HEDGED, int(_HEDGED_SHARE * len(services)))
        self._least = limits.least_share * len(services) - _ROUNDING

    @property
    def answered(self) -> int:
        """Shards that have answered."""
        return self._answered

    @property
    def hedges(self) -> int:
        """Further sends while an attempt was running."""
        return self._hedges

    @property
    def retries(self) -> int:
        """Further sends after an attempt had failed."""
        return self._retries

    @property
    def denied(self) -> int:
        """Further sends that the budget did not allow."""
        return self._denied

    def missing(self) -> tuple[str, ...]:
        """Return the services of the shards without an answer."""
        return tuple(s.service for s in self._shards if not s.answered)

    def hand_over(self, shards: tuple[int, ...]) -> GroupSend:
        """Note that another instance gathers ``shards``; call it before start."""
        self._numbers += 1
        for index in shards:
            self._shards[index].running.add(self._numbers)
        return GroupSend(number=self._numbers, shards=shards)

    def start(self, now: float) -> list[Send]:
        """Return the first attempts, none where they could not be enough."""
        sends = []
        for index, shard in enumerate(self._shards):
            send = None if shard.running else self._send(index, now)
            if send is not None:
                sends.append(send)
        self._count_waiting()
        if self._waiting < self._least or not self._waiting:
            self._withdraw(sends)
            return []
        return sends

    def group_answered(self, group: GroupSend, answered: Collection[int]) -> None:
        """Note the shards of ``group`` that its instance has got answers from."""
        for index in group.shards:
            shard = self._shards[index]
            shard.running.discard(group.number)
            shard.sent = self._limits.max_attempts
            if index in answered:
                shard.answered = True
                self._answered += 1
        self._count_waiting()

    def group_failed(
        self, group: GroupSend, now: float, *, may_have_run: bool
    ) -> list[Send]:
        """Note that no answer comes for ``group``; return the attempts to make.

        :param may_have_run: whether backend servers may have got the request.
        """
        sends = []
        for index in group.shards:
            shard = self._shards[index]
            shard.running.discard(group.number)
            shard.sent = self._most_sent(shard) if may_have_run else 0
            if now < self._limits.end_at:
                sends += self._retry(index, now)
        self._count_waiting()
        return sends

    def can_fall_back(self, group: GroupSend) -> bool:
        """Return whether every shard of ``group`` could still be sent from here."""
        most = self._limits.max_attempts
        return all(self._most_sent(self._shards[i]) < most for i in group.shards)

    def _most_sent(self, shard: _Shard) -> int:
        """Return the sends to assume of an instance that was lost.

        It may have sent to as many servers as are allowed. Another send from here
        is within that only where there are no further servers.
        """
        most = self._limits.max_attempts
        return most - (self._chooser.count(shard.service) <= most)

    def part(self, number: int) -> bool:
        """Note a usable answer; return whether it is the first of its shard."""
        shard = self._shards[self._shard_of[number]]
        shard.running.discard(number)
        if shard.answered:
            return False
        shard.answered = True
        shard.hedge_at = inf
        self._answered += 1
        self._waiting -= 1
        return True

    def failed(self, number: int, now: float, *, may_have_run: bool) -> list[Send]:
        """Note that an attempt failed; return the attempts to make instead.

        :param may_have_run: whether the server may have run the request.
        """
        index = self._shard_of[number]
        shard = self._shards[index]
        shard.running.discard(number)
        if may_have_run and not self._limits.repeatable:
            shard.sent = max(shard.sent, self._limits.max_attempts)
        if shard.answered or shard.running:
            return []
        sends = self._retry(index, now) if now < self._limits.end_at else []
        self._count_waiting()
        return sends

    def unsent(self, number: int, now: float) -> list[Send]:
        """Note that nothing of an attempt left; return the attempts to make."""
        index = self._shard_of[number]
        shard = self._shards[index]
        shard.running.discard(number)
        shard.sent -= 1
        shard.unsent += 1
        if number in self._paid:
            self._paid.discard(number)
            self._extras.refund(service=shard.service)
        if shard.answered or shard.running:
            return []
        sends = self._retry(index, now) if now < self._limits.end_at else []
        self._count_waiting()
        return sends

    def tick(self, now: float) -> list[Send]:
        """Return the hedges that are due."""
        due = [
            index
            for index, shard in enumerate(self._shards)
            if now >= shard.hedge_at and shard.waiting
        ]
        sends = []
        for index in due:
            if self._hedges < self._most_hedges:
                sends += self._hedge(index, now)
            else:
                self._shards[index].hedge_at = inf
        return sends

    def next_wake(self) -> float:
        """Return when ``tick`` or ``verdict`` may have something new."""
        wake = self._limits.end_at
        if self._answered >= self._least:
            wake = min(wake, self._limits.answer_at)
        for shard in self._shards:
            if shard.waiting and shard.hedge_at < wake:
                wake = shard.hedge_at
        return wake

    def verdict(self, now: float) -> Verdict | None:
        """Return how the request ends, or None while it goes on."""
        total = len(self._shards)
        enough = self._answered >= self._least and self._answered > 0
        if self._answered == total:
            return Verdict.ANSWER
        if not self._waiting:
            return Verdict.ANSWER if enough else Verdict.UNSERVABLE
        if self._answered + self._waiting < self._least:
            return Verdict.UNSERVABLE
        if enough and now >= self._limits.answer_at:
            return Verdict.ANSWER
        if now >= self._limits.end_at:
            return Verdict.TIMED_OUT
        return None

    def _retry(self, index: int, now: float) -> list[Send]:
        shard = self._shards[index]
        if shard.sent >= self._limits.max_attempts or shard.unsent > _UNSENT_TRIES:
            return []
        # A first send that never left is not repeated but made.
        send = self._send(index, now, paid=shard.sent > 0)
        if send is None:
            return []
        self._retries += 1
        return [send]

    def _hedge(self, index: int, now: float) -> list[Send]:
        shard = self._shards[index]
        shard.hedge_at = inf
        if not self._limits.repeatable or shard.sent >= self._limits.max_attempts:
            return []
        server = self._choose(shard, now)
        if server is not None and self._chooser.is_far(server):
            far_at = shard.sent_at + self._hedge_delays.far
            if now < far_at:
                shard.hedge_at = far_at
                return []
        send = self._send(index, now, paid=True, server=server)
        if send is None:
            shard.hedge_at = now + max(self._hedge_delays.near, _DENIED_PAUSE)
            return []
        self._hedges += 1
        return [send]

    def _choose(self, shard: _Shard, now: float) -> RegisteredServer | None:
        return self._chooser.choose(shard.service, exclude=shard.tried, now=now)

    def _send(
        self,
        index: int,
        now: float,
        *,
        paid: bool = False,
        server: RegisteredServer | None = None,
    ) -> Send | None:
        shard = self._shards[index]
        server = server or self._choose(shard, now)
        if server is None:
            return None
        if paid and not self._extras.try_spend(service=shard.service, now=now):
            self._denied += 1
            return None
        self._numbers += 1
        self._shard_of[self._numbers] = index
        if paid:
            self._paid.add(self._numbers)
        shard.tried.add(server.name)
        shard.running.add(self._numbers)
        shard.sent += 1
        shard.sent_at = now
        shard.hedge_at = now + self._hedge_delays.near
        return Send(number=self._numbers, shard=index, server=server)

    def _withdraw(self, sends: list[Send]) -> None:
        for send in sends:
            self._shards[send.shard].running.discard(send.number)
        self._waiting = 0

    def _count_waiting(self) -> None:
        self._waiting = sum(shard.waiting for shard in self._shards)
