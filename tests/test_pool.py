from random import Random
from unittest import TestCase

from hypothesis import given, strategies as st

from savorypond.balancing.pool import (
    ConnectionOutcome,
    ConnectionPool,
    Open,
    PoolLimits,
    ProbeFirst,
    Refuse,
    Use,
    Wait,
)

LIMITS = PoolLimits(cap=3, idle_limit=30.0, verified_for=1.0)


def make_pool(*, idle=0, limits=LIMITS):
    pool = ConnectionPool(limits=limits, random=Random(1))
    opened = [pool.acquire(0.0).connection for _ in range(idle)]
    for at, connection in enumerate(opened):
        pool.opened(connection, 0.0)
        pool.released(connection, at / 100, ConnectionOutcome.ANSWERED)
    return pool, opened


class CapTests(TestCase):
    def test_a_cap_of_zero_refuses(self):
        pool, _ = make_pool(limits=PoolLimits(cap=0))
        self.assertEqual(pool.acquire(0.0), Refuse(retry_after=None))

    def test_a_lower_cap_closes_idle_connections_and_later_released_ones(self):
        pool, (first, second, third) = make_pool(idle=3)
        self.assertEqual(pool.acquire(0.1), Use(connection=third))
        self.assertEqual(pool.resize(0, 0.1), (first, second))
        self.assertEqual(
            pool.released(third, 0.2, ConnectionOutcome.ANSWERED), (third,)
        )
        self.assertEqual(pool.open, 0)


class ChoiceTests(TestCase):
    def test_uses_the_newest_then_opens_then_waits(self):
        pool, (first, second) = make_pool(idle=2)
        self.assertEqual(pool.acquire(0.1), Use(connection=second))
        self.assertEqual(pool.acquire(0.1), Use(connection=first))
        self.assertIsInstance(pool.acquire(0.1), Open)
        self.assertEqual(pool.acquire(0.1), Wait())

    def test_calls_probe_connections_that_were_not_verified_recently(self):
        for now, verified, expected in [
            (1.0, True, Use),
            (1.1, True, ProbeFirst),
            (1.1, False, Use),
        ]:
            with self.subTest(now=now, verified=verified):
                pool, _ = make_pool(idle=1)
                self.assertIsInstance(pool.acquire(now, verified=verified), expected)

    def test_connections_past_the_idle_limit_are_not_used_unprobed(self):
        pool, _ = make_pool(idle=3)
        self.assertIsInstance(pool.acquire(40.0), ProbeFirst)
        self.assertEqual(len(pool.reap(40.0)), 2)
        self.assertIsInstance(pool.acquire(40.0), Open)

    def test_a_timeout_makes_the_other_connections_suspect(self):
        pool, (first, second) = make_pool(idle=2)
        pool.acquire(0.1)
        self.assertEqual(
            pool.released(second, 5.0, ConnectionOutcome.TIMED_OUT), (second,)
        )
        self.assertEqual(pool.suspects, 1)
        replacements = [pool.acquire(5.0), pool.acquire(5.0)]
        self.assertTrue(all(isinstance(f, Open) for f in replacements))
        self.assertEqual(pool.acquire(5.0), ProbeFirst(connection=first))
        pool.probed(first, 5.1)
        self.assertTrue(pool.is_verified(first, 5.1))
        pool.released(first, 5.1, ConnectionOutcome.UNUSED)
        self.assertEqual(pool.acquire(5.2, verified=True), Use(connection=first))
        pool.mark_all_suspect()
        pool.released(first, 5.3, ConnectionOutcome.ANSWERED)
        self.assertEqual(pool.acquire(5.4, verified=True), Use(connection=first))

    def test_a_timeout_does_not_make_a_connection_being_opened_suspect(self):
        pool, _ = make_pool()
        silent, idle, opening = (pool.acquire(0.0).connection for _ in range(3))
        pool.opened(silent, 0.0)
        pool.opened(idle, 0.0)
        self.assertEqual(pool.released(idle, 0.0, ConnectionOutcome.UNUSED), ())
        self.assertEqual(
            pool.released(silent, 0.1, ConnectionOutcome.TIMED_OUT), (silent,)
        )
        self.assertEqual(pool.acquire(0.1), Open(connection=4))
        self.assertEqual(pool.acquire(0.1), ProbeFirst(connection=idle))
        pool.opened(opening, 0.1)
        self.assertEqual(pool.released(opening, 0.1, ConnectionOutcome.UNUSED), ())
        self.assertEqual(pool.acquire(0.1), Use(connection=opening))

    def test_a_failed_probe_leaves_verified_connections_usable(self):
        pool, (first, second, third) = make_pool(idle=3)
        pool.mark_all_suspect()
        self.assertEqual(len(pool.acquire_suspects()), 3)
        pool.probed(first, 5.0)
        pool.released(first, 5.0, ConnectionOutcome.UNUSED)
        pool.released(second, 5.5, ConnectionOutcome.TIMED_OUT)
        pool.released(third, 5.5, ConnectionOutcome.CLOSED)
        self.assertEqual(pool.acquire(5.5), Use(connection=first))

    def test_connects_back_off_with_jitter_and_reset(self):
        pool, _ = make_pool()
        delays = []
        now = 0.0
        for _ in range(12):
            pool.failed(pool.acquire(now).connection, now)
            delays.append(pool.acquire(now).retry_after)
            now += delays[-1]
        for failures, delay in enumerate(delays):
            ceiling = min(LIMITS.backoff_cap, LIMITS.backoff_base * 2**failures)
            self.assertTrue(ceiling / 2 <= delay <= ceiling)
        opened = pool.acquire(now).connection
        pool.opened(opened, now)
        pool.released(opened, now, ConnectionOutcome.CLOSED)
        pool.failed(pool.acquire(now).connection, now)
        self.assertLessEqual(pool.acquire(now).retry_after, LIMITS.backoff_base)

    def test_opening_ahead_stops_at_the_target_and_at_the_cap(self):
        pool, _ = make_pool(idle=1)
        self.assertEqual(len(pool.open_ahead(0.0, target=2)), 1)
        self.assertEqual(len(pool.open_ahead(0.0, target=9)), 1)
        self.assertEqual((pool.open, pool.opening), (1, 2))


class PoolProperties(TestCase):
    @given(st.data())
    def test_cap_holds_and_a_timed_out_connection_never_returns(self, data):
        pool, _ = make_pool()
        opening, held, closed, issued = set(), set(), set(), set()
        suspected = set()
        now = 0.0
        for _ in range(data.draw(st.integers(1, 40))):
            now += data.draw(st.sampled_from([0.0, 0.5, 20.0]))
            decisions = ()
            match data.draw(st.integers(0, 7)):
                case 0 | 1 | 2:
                    decisions = (pool.acquire(now, verified=data.draw(st.booleans())),)
                case 3:
                    decisions = pool.open_ahead(
                        now, target=data.draw(st.integers(0, 5))
                    )
                case 4 if opening:
                    connection = opening.pop()
                    if data.draw(st.booleans()):
                        pool.opened(connection, now)
                        held.add(connection)
                    else:
                        pool.failed(connection, now)
                case 5 | 6 if held:
                    connection = data.draw(st.sampled_from(sorted(held)))
                    outcome = data.draw(st.sampled_from(ConnectionOutcome))
                    held.remove(connection)
                    if (
                        outcome is ConnectionOutcome.TIMED_OUT
                        and connection not in suspected
                    ):
                        suspected |= issued - opening
                    if outcome is ConnectionOutcome.ANSWERED:
                        suspected.discard(connection)
                    closed.update(pool.released(connection, now, outcome))
                case 7:
                    closed.update(pool.reap(now))
            for decision in decisions:
                if isinstance(decision, Open):
                    opening.add(decision.connection)
                    issued.add(decision.connection)
                elif isinstance(decision, Use | ProbeFirst):
                    self.assertNotIn(decision.connection, closed)
                    self.assertNotIn(decision.connection, held)
                    if isinstance(decision, Use):
                        self.assertNotIn(decision.connection, suspected)
                    held.add(decision.connection)
            self.assertLessEqual(pool.open + pool.opening, pool.cap)
            self.assertEqual((pool.in_use, pool.opening), (len(held), len(opening)))
