"""The endpoint of the chain: runs the fan-out and returns its answer."""

from savorypond.clock import Clock
from savorypond.filters.chain import Exchange
from savorypond.filters.snapshot import PinSource
from savorypond.model import Answer, Counters, Pin
from savorypond.placement.forward_run import ForwardDependencies, ForwardRun
from savorypond.reasons import MissingReason, RepinReason

MIN_REPIN_TIME = 0.015  # seconds that must remain to start a second run


class FanoutHandler:
    """Runs a query on its pin, and reruns all of it at most once on another pin.

    The second run takes place if shards are missing because their servers do not
    hold the snapshot. Of the two answers, that with the higher coverage is returned.
    """

    def __init__(
        self,
        *,
        dependencies: ForwardDependencies,
        pins: PinSource,
        clock: Clock,
        counters: Counters,
    ) -> None:
        self._dependencies = dependencies
        self._pins = pins
        self._clock = clock
        self._counters = counters

    async def __call__(self, exchange: Exchange) -> Answer:
        """Return the answer to ``exchange``."""
        assert exchange.pin is not None
        started = self._clock.now()
        first = await self._run(exchange, exchange.pin)
        pin = await self._second_pin(exchange, first, started)
        if pin is None:
            return first
        self._counters.add("repins", RepinReason.RESTARTED)
        second = await self._run(exchange, pin)
        return max(second, first, key=lambda answer: answer.coverage.share)

    async def _run(self, exchange: Exchange, pin: Pin) -> Answer:
        run = ForwardRun(
            dependencies=self._dependencies,
            query=exchange.query,
            pin=pin,
            services=exchange.services,
        )
        return await run.run()

    async def _second_pin(
        self, exchange: Exchange, first: Answer, started: float
    ) -> Pin | None:
        reasons = {missing.reason for missing in first.coverage.missing}
        if MissingReason.SNAPSHOT_NOT_HELD not in reasons:
            return None
        now = self._clock.now()
        if exchange.query.deadline - now < max(now - started, MIN_REPIN_TIME):
            self._counters.add("repins", RepinReason.NO_TIME)
            return None
        choice = await self._pins.pin(exchange.services)
        if choice is None or choice.pin == exchange.pin:
            self._counters.add("repins", RepinReason.NO_BETTER_PIN)
            return None
        return choice.pin
