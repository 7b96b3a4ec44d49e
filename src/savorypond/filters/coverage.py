"""Refuses an answer that is thinner than its caller accepts."""

from savorypond.exceptions import RequestRefused
from savorypond.filters.chain import Exchange, Step
from savorypond.model import Answer
from savorypond.reasons import Execution, RefusalReason


class CoverageFilter:
    """Holds answers against the least coverage asked for."""

    async def __call__(self, exchange: Exchange, proceed: Step) -> Answer:
        """Return the answer of ``proceed``; raise RequestRefused if too thin."""
        answer = await proceed(exchange)
        least = exchange.query.least_coverage
        share = answer.coverage.share
        if share >= least:
            return answer
        missing = answer.coverage.missing
        reasons = sorted({shard.reason.value for shard in missing})
        raise RequestRefused(
            reason=RefusalReason.COVERAGE_TOO_LOW,
            detail=f"{share:.3f} of the shards were covered and {least:.3f} are "
            f"demanded; {len(missing)} shards are missing: {', '.join(reasons)}",
            execution=Execution.UNKNOWN,
            retry_after=1.0,
        )
