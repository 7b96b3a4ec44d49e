from collections import Counter
from unittest import TestCase

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from savorypond.balancing.limiter import (
    Granted,
    LimiterConfig,
    QueueChange,
    Queued,
    Refused,
    ServerLimiter,
    SlotOutcome,
)
from savorypond.model import Priority
from savorypond.reasons import RefusalReason

GAPS = st.sampled_from([0.0, 0.001, 0.01, 0.1])
URGENT, INTERACTIVE, BACKGROUND = Priority
MAX_SKIPS = (0, 2, 4)


class LimiterMachine(RuleBasedStateMachine):
    """Drives one limiter through any order of events."""

    def __init__(self):
        super().__init__()
        self.slots, self.connections = 2, 3
        config = LimiterConfig(max_skips=MAX_SKIPS)
        self.limiter = ServerLimiter(slots=2, connections=3, config=config)
        self.now = 0.0
        self.offered = 0
        self.waiting = {}
        self.in_flight = 0
        self.open = 0
        self.ended = Counter()
        self.skipped = Counter()

    def apply(self, change):
        for waiter in change.expired:
            del self.waiting[waiter]
            self.ended[waiter] += 1
        for waiter in change.granted:
            priority = self.waiting.pop(waiter)
            self.ended[waiter] += 1
            self.record_grant(priority)

    def record_grant(self, priority):
        self.in_flight += 1
        assert self.in_flight <= self.slots
        for other in Priority:
            was_skipped = other is not priority and other in self.waiting.values()
            self.skipped[other] = self.skipped[other] + 1 if was_skipped else 0
            # Each lower class that is due at the same time may go first.
            lower_classes = BACKGROUND - other
            assert self.skipped[other] <= MAX_SKIPS[other] + lower_classes

    @rule(gap=GAPS, priority=st.sampled_from(Priority), left=st.floats(-0.01, 0.5))
    def offer(self, gap, priority, left):
        self.now += gap
        waiter, self.offered = self.offered, self.offered + 1
        decision = self.limiter.offer(
            waiter=waiter, priority=priority, deadline=self.now + left, now=self.now
        )
        if isinstance(decision, Queued):
            self.waiting[waiter] = priority
            return
        self.ended[waiter] += 1
        if isinstance(decision, Granted):
            self.record_grant(priority)

    @precondition(lambda self: self.in_flight)
    @rule(gap=GAPS, held=GAPS, outcome=st.sampled_from(SlotOutcome))
    def release(self, gap, held, outcome):
        self.now += gap
        self.in_flight -= 1
        self.apply(
            self.limiter.release(now=self.now, service_time=held, outcome=outcome)
        )

    @precondition(lambda self: self.offered)
    @rule(data=st.data())
    def cancel(self, data):
        waiter = data.draw(st.integers(0, self.offered - 1))
        waited = self.waiting.pop(waiter, None) is not None
        assert self.limiter.cancel(waiter=waiter) is waited
        self.ended[waiter] += waited

    @rule(gap=GAPS)
    def advance(self, gap):
        self.now += gap
        self.apply(self.limiter.advance(now=self.now))

    @rule(slots=st.integers(1, 6), share=st.sampled_from([0.01, 0.3, 0.5, 1.0]))
    def set_limits(self, slots, share):
        self.slots = max(1, int(slots * share))
        self.connections = max(1, int(4 * share))
        self.apply(
            self.limiter.set_limits(
                slots=slots, connections=4, share=share, now=self.now
            )
        )

    @rule(opening=st.booleans())
    def connect(self, opening):
        if opening:
            opened = self.limiter.connect()
            assert opened is (self.open < self.connections)
            self.open += opened
        elif self.open:
            self.limiter.disconnect()
            self.open -= 1

    @invariant()
    def counts_agree(self):
        assert self.limiter.in_flight == self.in_flight
        assert self.limiter.connections == self.open
        assert self.limiter.waiting == len(self.waiting)
        assert 1 <= self.limiter.window <= self.slots
        for priority in set(Priority) - set(self.waiting.values()):
            self.skipped[priority] = 0

    @invariant()
    def every_waiter_ends_at_most_once(self):
        assert set(self.ended.values()) <= {0, 1}
        assert sum(self.ended.values()) + len(self.waiting) == self.offered

    def teardown(self):
        while self.waiting:
            due = self.limiter.next_event()
            assert due is not None
            self.now = max(self.now, due)
            self.apply(self.limiter.advance(now=self.now))
            while self.in_flight:
                self.release(gap=0.0, held=0.001, outcome=SlotOutcome.SUCCESS)
        assert set(self.ended.values()) <= {1}


LimiterMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=60)
AnyOrderTests = LimiterMachine.TestCase


def offer(limiter, waiter, *, left, now=0.0, priority=INTERACTIVE):
    return limiter.offer(waiter=waiter, priority=priority, deadline=now + left, now=now)


def busy_limiter(*, slots=1, service_time=0.01, **config):
    """Return a limiter at time 0 with all slots taken and a known service time."""
    limiter = ServerLimiter(slots=slots, connections=9, config=LimiterConfig(**config))
    for _ in range(50):
        offer(limiter, "warm", left=1.0)
        limiter.release(now=0.0, service_time=service_time, outcome=SlotOutcome.SUCCESS)
    for slot in range(slots):
        offer(limiter, f"busy-{slot}", left=1.0)
    return limiter


class LimiterTests(TestCase):
    def release(self, limiter, *, now=0.0, held=0.01, outcome=SlotOutcome.SUCCESS):
        return limiter.release(now=now, service_time=held, outcome=outcome)

    def test_refuses_requests_that_cannot_be_answered_in_time(self):
        limiter = busy_limiter()
        too_short = Refused(reason=RefusalReason.TIME_TOO_SHORT, retry_after=None)
        self.assertEqual(offer(limiter, "past", left=0.0), too_short)
        self.assertEqual(offer(limiter, "a", left=0.1), Queued(wait=0.01))
        late = offer(limiter, "b", left=0.011)
        self.assertEqual(late.reason, RefusalReason.OVERLOADED)
        self.assertGreater(late.retry_after, 0.0)

    def test_refuses_beyond_the_queue_limit(self):
        limiter = busy_limiter(queue_limit=2)
        decisions = [offer(limiter, n, left=9.0) for n in range(3)]
        kinds = [type(decision) for decision in decisions]
        self.assertEqual(kinds, [Queued, Queued, Refused])
        urgent = offer(limiter, "urgent", left=9.0, priority=URGENT)
        self.assertIsInstance(urgent, Queued)

    def test_grants_by_class_then_by_deadline(self):
        limiter = busy_limiter()
        offer(limiter, "background", left=1.0, priority=BACKGROUND)
        offer(limiter, "later", left=3.0)
        offer(limiter, "sooner", left=2.0)
        offer(limiter, "urgent", left=4.0, priority=URGENT)
        order = [self.release(limiter).granted[0] for _ in range(4)]
        self.assertEqual(order, ["urgent", "sooner", "later", "background"])

    def test_expires_waiters_that_cannot_be_answered_in_time(self):
        limiter = busy_limiter()
        offer(limiter, "short", left=0.05)
        offer(limiter, "long", left=5.0)
        due = limiter.next_event()
        self.assertLess(due, 0.05)
        self.assertEqual(limiter.advance(now=due), QueueChange(expired=("short",)))
        self.assertEqual(self.release(limiter, now=due).granted, ("long",))

    def test_an_idle_server_is_tried_however_slow_it_was(self):
        limiter = busy_limiter(service_time=30.0)
        self.assertIsInstance(offer(limiter, "queued", left=1.0), Refused)
        self.release(limiter, held=30.0)
        self.assertIsInstance(offer(limiter, "tried", left=0.1), Granted)

    def test_window_shrinks_once_per_round_trip(self):
        limiter = busy_limiter(slots=8)
        for _ in range(4):
            self.release(limiter, now=1.0, held=0.5, outcome=SlotOutcome.SHED)
        self.assertEqual(limiter.window, 4)
        for step in range(200):
            offer(limiter, "again", left=1.0, now=2.0 + step)
            self.release(limiter, now=2.1 + step)
        self.assertEqual(limiter.window, 8)

    def test_sheds_at_the_smallest_window_delay_grants(self):
        limiter = busy_limiter()
        offer(limiter, "waiter", left=1.0)
        shed = self.release(limiter, now=0.001, held=0.001, outcome=SlotOutcome.SHED)
        self.assertEqual(shed, QueueChange())
        due = limiter.next_event()
        self.assertAlmostEqual(due, 0.011)
        self.assertEqual(limiter.advance(now=due).granted, ("waiter",))

    def test_only_successes_and_long_runs_change_the_service_time(self):
        table = [
            (SlotOutcome.SUCCESS, 0.001, True),
            (SlotOutcome.FAILED, 0.001, False),
            (SlotOutcome.CANCELLED, 0.001, False),
            (SlotOutcome.SHED, 0.5, False),
            (SlotOutcome.FAILED, 0.5, True),
            (SlotOutcome.CANCELLED, 0.5, True),
        ]
        for outcome, held, changes in table:
            with self.subTest(outcome=outcome, held=held):
                limiter = busy_limiter()
                before = limiter.service_time
                self.release(limiter, held=held, outcome=outcome)
                self.assertEqual(limiter.service_time != before, changes)

    def test_misuse_raises(self):
        limiter = busy_limiter()
        offer(limiter, "waiter", left=1.0)
        with self.assertRaises(ValueError):
            offer(limiter, "waiter", left=1.0)
        self.release(limiter)
        self.release(limiter)
        with self.assertRaises(ValueError):
            self.release(limiter)
        with self.assertRaises(ValueError):
            limiter.disconnect()
        for max_skips in [(0, 1, 19), (0, 3, 1)]:
            config = LimiterConfig(max_skips=max_skips)
            with self.assertRaises(ValueError):
                ServerLimiter(slots=1, connections=1, config=config)
