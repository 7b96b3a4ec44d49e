"""Tests of savorypond.timeouts."""

from time import sleep as block
from unittest import TestCase

from curio import (
    Event,
    TaskTimeout,
    UncaughtTimeoutError,
    run,
    sleep,
    spawn,
    timeout_after as curio_timeout_after,
)

from savorypond.timeouts import ignore_after, timeout_after

OUTER, INNER = 0.08, 0.02  # seconds


async def expire_late(limit):
    """Let an inner block expire while its task is ready to run, the outer one after.

    The event loop is blocked meanwhile, as by other tasks on a busy processor.
    """
    ready = Event()

    async def hold_loop():
        await ready.set()
        block(1.5 * INNER)

    async with limit(OUTER):
        await spawn(hold_loop, daemon=True)
        async with limit(INNER):
            await ready.wait()
            block(OUTER)
        async with limit(OUTER):
            await sleep(10 * OUTER)


class TimeoutTests(TestCase):
    def test_a_late_timeout_of_an_earlier_block_is_a_timeout(self):
        with self.assertRaises(TaskTimeout):
            run(expire_late, timeout_after)

    def test_a_late_timeout_is_ignored_where_timeouts_are(self):
        run(expire_late, ignore_after)

    def test_curio_reports_it_as_another_error(self):
        """The helper is no longer needed once this fails."""
        with self.assertRaises(UncaughtTimeoutError):
            run(expire_late, curio_timeout_after)

    def test_a_block_in_time_is_not_ended(self):
        async def main():
            async with timeout_after(30), ignore_after(30):
                await sleep(0)
                return "ended"

        self.assertEqual(run(main), "ended")

    def test_the_innermost_expired_block_raises(self):
        async def main():
            async with timeout_after(30):
                try:
                    async with timeout_after(INNER):
                        await sleep(30)
                except TaskTimeout:
                    return "inner"

        self.assertEqual(run(main), "inner")
