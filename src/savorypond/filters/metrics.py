"""Counts queries and measures their latency."""

from savorypond.clock import Clock
from savorypond.exceptions import RequestRefused
from savorypond.filters.chain import Exchange, Handler
from savorypond.logs import log_event
from savorypond.metrics import Metrics
from savorypond.model import Answer


class MetricsFilter:
    """Counts outcomes by reason, and records the latency of answers."""

    def __init__(self, *, metrics: Metrics, clock: Clock) -> None:
        self._metrics = metrics
        self._clock = clock

    async def __call__(self, exchange: Exchange, call_next: Handler) -> Answer:
        """Return the answer of ``call_next``."""
        try:
            answer = await call_next(exchange)
        except RequestRefused as refusal:
            self._metrics.counters.add("refusals", refusal.reason)
            log_event(
                "query-refused",
                request_id=exchange.query.request_id,
                index=exchange.query.index,
                reason=refusal.reason,
                execution=refusal.execution,
                detail=refusal.detail,
            )
            raise
        self._count(exchange, answer)
        return answer

    def _count(self, exchange: Exchange, answer: Answer) -> None:
        seconds = self._clock.now() - exchange.arrived
        self._metrics.latency("query").record(seconds)
        coverage = answer.coverage
        kind = "partial" if coverage.missing else "full"
        self._metrics.counters.add("answers", kind)
        for missing in coverage.missing:
            self._metrics.counters.add("missing_shards", missing.reason)
        if coverage.missing:
            log_event(
                "answer-partial",
                request_id=answer.request_id,
                index=exchange.query.index,
                snapshot=answer.snapshot,
                covered=len(coverage.covered),
                asked=len(coverage.asked),
                milliseconds=round(seconds * 1000.0, 3),
            )
