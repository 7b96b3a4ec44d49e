"""A circuit breaker for owners that do not respond.

The breaker (Nygard, "Release It!", 2007) lets a single request through at
intervals. Membership takes seconds to detect a paused instance; without the
breaker, each query that waits for it in the meantime would lose its shards.
"""

from dataclasses import dataclass

FAILURE_THRESHOLD = 3  # consecutive unanswered requests until an owner is avoided
RETRY_INTERVAL = 1.0  # seconds between requests to an owner that is avoided


@dataclass(slots=True, kw_only=True)
class _OwnerState:
    """The number of unanswered requests to one owner since its last answer.

    :param tried_at: monotonic seconds of the last retry, or of the loss that
        opened the breaker.
    """

    losses: int = 0
    tried_at: float = 0.0


class OwnerCircuitBreaker:
    """Counts consecutive unanswered requests by owner name."""

    def __init__(self) -> None:
        self._states: dict[str, _OwnerState] = {}

    def record_answer(self, owner: str) -> None:
        """Record a complete or partial answer of ``owner``."""
        self._states.pop(owner, None)

    def record_loss(self, owner: str, now: float) -> None:
        """Record that a request to ``owner`` got no answer."""
        state = self._states.setdefault(owner, _OwnerState())
        state.losses += 1
        if state.losses <= FAILURE_THRESHOLD:
            state.tried_at = now

    def should_avoid(self, owner: str, now: float) -> bool:
        """Tell whether to avoid ``owner``; False once per interval to retry it."""
        state = self._states.get(owner)
        if state is None or state.losses < FAILURE_THRESHOLD:
            return False
        if now - state.tried_at >= RETRY_INTERVAL:
            state.tried_at = now
            return False
        return True
