"""Types of the plan of a scatter-gather request."""

from collections.abc import Collection
from dataclasses import dataclass, field
from enum import StrEnum
from math import inf
from typing import Protocol

from savorypond.gateway.servers import RegisteredServer


class ServerChooser(Protocol):
    """Selects the server for an attempt."""

    def choose(
        self, service: str, *, exclude: Collection[str], now: float
    ) -> RegisteredServer | None:
        """Return a server of ``service`` not named in ``exclude``, or None."""

    def count(self, service: str) -> int:
        """Return the number of servers of ``service``."""

    def is_remote(self, server: RegisteredServer) -> bool:
        """Return whether ``server`` is in another data centre."""


class RetryBudget(Protocol):
    """Limits the attempts beyond the first of each shard."""

    def try_spend(self, *, service: str, now: float) -> bool:
        """Spend one extra attempt if the budget allows it."""

    def refund(self, *, service: str) -> None:
        """Refund an extra attempt that was never sent."""


class Verdict(StrEnum):
    """How a request ends."""

    ANSWER = "answer"
    UNSERVABLE = "unservable"
    TIMED_OUT = "timed-out"


@dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """One attempt to send to a backend server.

    :param number: number of the attempt, unique within the request.
    :param extra: whether an earlier attempt at the shard was sent.
    """

    number: int
    shard: int
    server: RegisteredServer
    extra: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupAttempt:
    """A group of shards delegated to another instance.

    :param fallback_at: monotonic seconds from which its shards are asked from here.
    """

    number: int
    shards: tuple[int, ...]
    fallback_at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class PlanLimits:
    """Limits of one request; times in monotonic seconds.

    :param repeatable: whether the request may run more than once.
    :param max_attempts: servers that may be sent the request, for each shard.
    :param least_share: share of the shards that an answer must cover, from 0 to 1.
    :param partial_after: time from which an answer may be partial.
    :param deadline: time by which the request must have its final answer.
    """

    repeatable: bool
    max_attempts: int
    least_share: float
    partial_after: float
    deadline: float


@dataclass(frozen=True, slots=True, kw_only=True)
class HedgeDelays:
    """Delays between an attempt and its hedge.

    :param local: seconds before a hedge to a server of the same data centre.
    :param remote: seconds before a hedge to a server of another data centre.
    """

    local: float
    remote: float


@dataclass(slots=True, kw_only=True)
class ShardState:
    """The attempts at one shard of a request."""

    service: str
    tried: set[str] = field(default_factory=set)
    running: set[int] = field(default_factory=set)
    sent: int = 0
    sent_at: float = 0.0
    unsent: int = 0
    hedge_at: float = inf
    answered: bool = False

    @property
    def pending(self) -> bool:
        """Whether an attempt may still answer."""
        return not self.answered and bool(self.running)
