"""Tests of savorypond.controllers.slots."""

from unittest import TestCase

from curio import run, sleep, spawn, timeout_after

from savorypond.balancing.limiter import ServerLimiter
from savorypond.clock import VirtualClock
from savorypond.controllers.slots import SlotPool
from savorypond.model import Priority, ServerLimits


class SlotPoolTests(TestCase):
    def test_waiter_gets_a_slot_once_the_limits_rise(self):
        async def scenario():
            slot_pool = SlotPool(
                limiter=ServerLimiter(slots=2, connections=8, share=0.5),
                clock=VirtualClock(),
            )
            async with timeout_after(60):
                await self.acquire(slot_pool)
                waiter = await spawn(self.acquire, slot_pool)
                await sleep(0)
                self.assertEqual(slot_pool.limiter.waiting, 1)
                limits = ServerLimits(slots=2, connections=8, connect_time=0.0)
                await slot_pool.set_limits(limits=limits, share=1.0)
                await waiter.join()
                self.assertEqual(slot_pool.limiter.in_flight, 2)

        run(scenario)

    async def acquire(self, slot_pool):
        return await slot_pool.acquire(priority=Priority.URGENT, deadline=1000.0)
