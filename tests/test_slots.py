"""Tests of savorypond.controllers.slots."""

from unittest import TestCase

from curio import run, sleep, spawn, timeout_after

from savorypond.balancing.limiter import ServerLimiter
from savorypond.clock import VirtualClock
from savorypond.controllers.slots import SlotGate
from savorypond.model import Priority, ServerLimits


class SlotGateTests(TestCase):
    def test_a_waiter_starts_once_the_limits_rise(self):
        async def play():
            gate = SlotGate(
                decision=ServerLimiter(slots=2, connections=8, share=0.5),
                clock=VirtualClock(),
            )
            async with timeout_after(60):
                await self.take(gate)
                waiter = await spawn(self.take, gate)
                await sleep(0)
                self.assertEqual(gate.decision.waiting, 1)
                limits = ServerLimits(slots=2, connections=8, connect_time=0.0)
                await gate.set_limits(limits=limits, share=1.0)
                await waiter.join()
                self.assertEqual(gate.decision.in_flight, 2)

        run(play)

    async def take(self, gate):
        return await gate.take(priority=Priority.URGENT, deadline=1000.0)
