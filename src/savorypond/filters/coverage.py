"""Refuses answers with a lower coverage than the caller accepts."""

from savorypond.exceptions import RequestRefused
from savorypond.filters.chain import Exchange, Handler
from savorypond.model import Answer
from savorypond.reasons import Execution, RefusalReason


class CoverageFilter:
    """Checks the coverage of answers against the minimum required by the query."""

    async def __call__(self, exchange: Exchange, call_next: Handler) -> Answer:
        """Return the answer of ``call_next``; raise RequestRefused if insufficient."""
        answer = await call_next(exchange)
        required = exchange.query.least_coverage
        share = answer.coverage.share
        if share >= required:
            return answer
        missing = answer.coverage.missing
        reasons = sorted({shard.reason.value for shard in missing})
        raise RequestRefused(
            reason=RefusalReason.COVERAGE_TOO_LOW,
            detail=f"{share:.3f} of the shards were covered and {required:.3f} are "
            f"required; {len(missing)} shards are missing: {', '.join(reasons)}",
            execution=Execution.UNKNOWN,
            retry_after=1.0,
        )
