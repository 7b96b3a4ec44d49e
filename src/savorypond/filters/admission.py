"""Refuses queries that the instance cannot answer in time."""

from savorypond.balancing.admission import Admission, RequestOutcome
from savorypond.balancing.limiter import Refused
from savorypond.clock import Clock
from savorypond.exceptions import RequestRefused
from savorypond.filters.chain import Exchange, Handler
from savorypond.model import Answer
from savorypond.reasons import MissingReason, RefusalReason

_OVERLOAD_REASONS = frozenset(
    {
        RefusalReason.COVERAGE_TOO_LOW,
        RefusalReason.OVERLOADED,
        RefusalReason.TIMED_OUT,
    }
)


class AdmissionFilter:
    """Limits the queries in flight on this instance."""

    def __init__(self, *, admission: Admission, clock: Clock) -> None:
        self._admission = admission
        self._clock = clock

    async def __call__(self, exchange: Exchange, call_next: Handler) -> Answer:
        """Return the answer of ``call_next``; raise RequestRefused if full."""
        query = exchange.query
        started = self._clock.now()
        offer = self._admission.offer(
            priority=query.priority, deadline=query.deadline, now=started
        )
        if isinstance(offer, Refused):
            raise RequestRefused(
                reason=offer.reason,
                detail=f"{self._admission.in_flight} requests are in flight",
                retry_after=offer.retry_after,
            )
        outcome = RequestOutcome.FAILED
        try:
            answer = await call_next(exchange)
            outcome = _outcome(answer)
        except RequestRefused as refusal:
            if refusal.reason in _OVERLOAD_REASONS:
                outcome = RequestOutcome.OVERLOADED
            raise
        finally:
            now = self._clock.now()
            self._admission.finish(
                priority=query.priority,
                now=now,
                elapsed=now - started,
                outcome=outcome,
            )
        return answer


def _outcome(answer: Answer) -> RequestOutcome:
    reasons = {missing.reason for missing in answer.coverage.missing}
    if reasons & {MissingReason.OVERLOADED, MissingReason.SHED}:
        return RequestOutcome.OVERLOADED
    return RequestOutcome.ANSWERED
