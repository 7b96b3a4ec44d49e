"""Which owners have fallen silent, so that queries pass them by.

The decision is a circuit breaker (Nygard, "Release It!", 2007) that lets one
request through now and then. Membership takes seconds to notice a paused
instance; until then each query that waits for it would lose its shards.
"""

from dataclasses import dataclass

LOST_IN_A_ROW = 3  # requests without any answer after which an owner is avoided
TRY_EVERY = 1.0  # seconds between two requests to an owner that is avoided


@dataclass(slots=True, kw_only=True)
class _Silence:
    """The requests that one owner left unanswered since its last answer."""

    lost: int = 0
    tried_at: float = 0.0


class OwnerCircuitBreaker:
    """Counts unanswered requests by owner name."""

    def __init__(self) -> None:
        self._silences: dict[str, _Silence] = {}

    def record_answer(self, owner: str) -> None:
        """Note an answer, or a part of one, of ``owner``."""
        self._silences.pop(owner, None)

    def record_loss(self, owner: str, now: float) -> None:
        """Note that a request to ``owner`` got no answer."""
        silence = self._silences.setdefault(owner, _Silence())
        silence.lost += 1
        if silence.lost <= LOST_IN_A_ROW:
            silence.tried_at = now

    def should_avoid(self, owner: str, now: float) -> bool:
        """Tell whether to pass ``owner`` by; False once in a while, to try it."""
        silence = self._silences.get(owner)
        if silence is None or silence.lost < LOST_IN_A_ROW:
            return False
        if now - silence.tried_at >= TRY_EVERY:
            silence.tried_at = now
            return False
        return True
