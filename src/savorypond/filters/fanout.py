"""The end of the chain: runs the fan-out and returns its answer."""

from savorypond.filters.chain import Exchange
from savorypond.model import Answer
from savorypond.queryrun import QueryRun, QueryTools


class FanoutStep:
    """Sends the work of every service itself."""

    def __init__(self, *, tools: QueryTools) -> None:
        self._tools = tools

    async def __call__(self, exchange: Exchange) -> Answer:
        """Return the answer to ``exchange``."""
        assert exchange.pin is not None
        run = QueryRun(
            tools=self._tools,
            query=exchange.query,
            pin=exchange.pin,
            services=exchange.services,
        )
        return await run.run()
