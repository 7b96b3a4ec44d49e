"""Decides when requests wait for tokens of servers with rate limits.

Answers the load of many instances that each seldom need a service all of whose servers
have limits. Tokens that every instance held for a request that may come would be more
than the servers allow, so an instance without a token asks for one when a request needs
it. Where tokens are used up, it does not ask again before its next regular claim, and
such requests are refused at once.
"""

from collections import Counter
from collections.abc import Collection, Iterator
from contextlib import contextmanager

DENIAL_TIME = 0.5  # seconds after an answer without a token


class TokenWaits:
    """The services whose tokens requests wait for, and those that have none left."""

    def __init__(self) -> None:
        self._waiting: Counter[str] = Counter()
        self._denied_until: dict[str, float] = {}

    @contextmanager
    def waiting(self, services: Collection[str]) -> Iterator[None]:
        """Count a request that waits for a token of each of ``services``."""
        self._waiting.update(services)
        try:
            yield
        finally:
            self._waiting.subtract(services)
            self._waiting += Counter()  # removes those without a waiting request

    def count(self, service: str) -> int:
        """Return the number of requests that wait for a token of ``service``."""
        return self._waiting[service]

    def may_ask(self, service: str, now: float) -> bool:
        """Return whether there may be a token of ``service``."""
        return now >= self._denied_until.get(service, 0.0)

    def record_answer(self, service: str, *, has_token: bool, now: float) -> None:
        """Record the answer to a claim for requests that wait.

        :param has_token: whether this instance has a token since then.
        """
        if not has_token:
            self._denied_until[service] = now + DENIAL_TIME

    def expire(self, now: float) -> None:
        """Forget denials that have ended."""
        for service, until in list(self._denied_until.items()):
            if now >= until:
                del self._denied_until[service]
