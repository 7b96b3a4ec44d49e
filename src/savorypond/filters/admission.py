"""Refuses queries that the instance could not answer in time."""

from savorypond.balancing.admission import Admission, RequestOutcome
from savorypond.balancing.limiter import Refused
from savorypond.clock import Clock
from savorypond.exceptions import RequestRefused
from savorypond.filters.chain import Exchange, Step
from savorypond.model import Answer
from savorypond.reasons import MissingReason, RefusalReason

_SIGNS_OF_OVERLOAD = frozenset(
    {
        RefusalReason.COVERAGE_TOO_LOW,
        RefusalReason.OVERLOADED,
        RefusalReason.TIMED_OUT,
    }
)


class AdmissionFilter:
    """Bounds the queries in flight on this instance."""

    def __init__(self, *, admission: Admission, clock: Clock) -> None:
        self._admission = admission
        self._clock = clock

    async def __call__(self, exchange: Exchange, proceed: Step) -> Answer:
        """Return the answer of ``proceed``; raise RequestRefused when full."""
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
            answer = await proceed(exchange)
            outcome = _outcome(answer)
        except RequestRefused as refusal:
            if refusal.reason in _SIGNS_OF_OVERLOAD:
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
