"""Tokens that stand for single requests to a backend server.

Answers the load of many instances that share a small limit. Parts of a rate would have
to be saved up by each instance until they make a whole request, and all could use what
they saved at the same time. Tokens are whole requests; a pool knows who holds how many.
"""

from dataclasses import dataclass
from math import floor, inf
from random import Random

LEASE_TIME = 1.5  # seconds for which tokens are held without a new claim
SAVED_TIME = 1.5  # seconds of the rate that a pool saves, besides one token
RESERVE_TIME = 1.0  # seconds for which tokens of the reserve can be used
SURPLUS_SHARE = 0.8  # of the tokens that may be free, from which instances get more
# Part of the free tokens that is kept for instances that earned them.
EARNED_SHARE = 0.25


def whole_tokens(tokens: float, draw: float) -> int:
    """Return ``tokens`` rounded to one of the next whole numbers, right on average.

    :param draw: random number from 0 to 1.
    """
    return floor(tokens + draw)


@dataclass(slots=True, kw_only=True)
class _Holder:
    """An instance with tokens.

    :param earned: tokens that it may still get of its part of the rate.
    """

    claimed_at: float
    held: int = 0
    earned: float = 0.0

    @property
    def until(self) -> float:
        """Monotonic seconds until which its tokens are valid."""
        return self.claimed_at + LEASE_TIME


class TokenPool:
    """The tokens of one server: free ones, and those that instances hold.

    An instance gets its part of the rate, and more while no more tokens can be saved.
    Of what it does not use it keeps only its part of all tokens: of a small limit, most
    instances hold none. Requests that wait for a token get one if there are some left.
    """

    def __init__(self, *, random: Random, now: float) -> None:
        self._random = random
        self._rate = 0.0
        self._free = 0.0
        self._most_free = 0.0
        self._filled_at = now
        self._holders: dict[str, _Holder] = {}

    @property
    def _capacity(self) -> float:
        return 1.0 + SAVED_TIME * self._rate

    def fill(self, rate: float, now: float) -> None:
        """Add the tokens since the last call.

        :param rate: tokens a second.
        """
        self._holders = {
            instance: holder
            for instance, holder in self._holders.items()
            if now < holder.until
        }
        self._rate = rate
        elapsed = max(0.0, now - self._filled_at)
        self._filled_at = now
        in_use = sum(holder.held for holder in self._holders.values())
        self._most_free = max(0.0, self._capacity - in_use)
        self._free = min(self._free + rate * elapsed, self._most_free)

    def grant(
        self,
        instance: str,
        *,
        held: int,
        share: float,
        now: float,
        needed: float = inf,
        waiting: int = 0,
    ) -> int:
        """Return the tokens to add to those of ``instance``, or to take if negative.

        :param held: tokens that it holds already.
        :param share: its part of the tokens, from 0 to 1.
        :param needed: tokens that it can use before they end.
        :param waiting: its requests that wait for a token.
        """
        holder = self._holders.setdefault(instance, _Holder(claimed_at=now))
        share_of_all = share * self._capacity
        holder.earned = min(
            holder.earned + share * self._rate * (now - holder.claimed_at),
            1.0 + share_of_all,
        )
        draw = self._random.random()
        kept = whole_tokens(min(share_of_all, needed), draw)
        least = whole_tokens(min(1.0, needed), draw)
        has_surplus = self._free >= SURPLUS_SHARE * self._most_free
        change = kept - held
        if change >= 0:
            entitled = self._free if has_surplus else min(self._free, holder.earned)
            change = min(max(change, least - held), floor(entitled))
        if waiting > held:
            spare = floor((1.0 - EARNED_SHARE) * self._free)
            change = max(change, min(waiting - held, spare))
        if change > 0:
            holder.earned = max(0.0, holder.earned - change)
        self._free -= change
        holder.held = held + change
        holder.claimed_at = now
        return change

    def clear(self, now: float) -> None:
        """Take back all tokens."""
        self._free = 0.0
        self._filled_at = now
        self._holders.clear()


class TokenReserve:
    """Tokens that an instance may use without a grant.

    One draw decides for all servers, so that a query over many shards finds tokens of
    all of them at the same time.
    """

    def __init__(self, *, random: Random) -> None:
        self._random = random
        self._period = -1
        self._draw = 0.0

    def period(self, now: float) -> int:
        """Return the number of the period for which tokens are drawn."""
        return int(now // RESERVE_TIME)

    def draw(self, rate: float, now: float) -> int:
        """Return the tokens of one server for the current period.

        :param rate: tokens a second.
        """
        period = self.period(now)
        if period != self._period:
            self._period = period
            self._draw = self._random.random()
        return whole_tokens(rate * RESERVE_TIME, self._draw)


class TokenBalance:
    """The tokens of one instance for one server.

    Without a grant the instance uses its reserve, which is not saved up.
    """

    __slots__ = ("_period", "_reserve", "_reserved", "_tokens", "_until")

    def __init__(self, *, reserve: TokenReserve) -> None:
        self._reserve = reserve
        self._reserved = 0
        self._period = -1
        self._tokens = 0
        self._until = 0.0

    def held(self, now: float) -> int:
        """Return the number of granted tokens; negative after too many requests."""
        return self._tokens if now < self._until else 0

    def add(self, tokens: int, *, until: float, now: float) -> None:
        """Add granted tokens, or take some if negative; all are valid ``until``."""
        self._tokens = self.held(now) + tokens
        self._until = until

    def reduce(self, share: float) -> None:
        """Keep only a share of the tokens, since the rate is lower than granted.

        :param share: from 0 to 1.
        """
        if self._tokens > 0:
            self._tokens = round(share * self._tokens)

    def available(self, reserve_rate: float, now: float) -> bool:
        """Return whether a request may be sent.

        :param reserve_rate: requests a second without a grant.
        """
        if now < self._until:
            return self._tokens >= 1
        period = self._reserve.period(now)
        if period != self._period:
            self._period = period
            self._reserved = self._reserve.draw(reserve_rate, now)
        return self._reserved >= 1

    def take(self, now: float) -> None:
        """Take the token of a request."""
        self._change(-1, now)

    def give_back(self, now: float) -> None:
        """Return the token of a request that was not sent."""
        self._change(1, now)

    def _change(self, tokens: int, now: float) -> None:
        if now < self._until:
            self._tokens += tokens
        else:
            self._reserved += tokens
