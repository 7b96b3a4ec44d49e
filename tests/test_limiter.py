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
PASSED_OVER = (0, 2, 4)


class GateMachine(RuleBasedStateMachine):
    """Any order of events at one gate."""

    def __init__(self):
        super().__init__()
        self.slots, self.connections = 2, 3
        config = LimiterConfig(max_skips=PASSED_OVER)
        self.gate = ServerLimiter(slots=2, connections=3, config=config)
        self.now = 0.0
        self.offered = 0
        self.waiting = {}
        self.in_flight = 0
        self.open = 0
        self.ended = Counter()
        self.skipped = Counter()

    def take(self, change):
        for waiter in change.expired:
            del self.waiting[waiter]
            self.ended[waiter] += 1
        for waiter in change.granted:
            priority = self.waiting.pop(waiter)
            self.ended[waiter] += 1
            self.granted(priority)

    def granted(self, priority):
        self.in_flight += 1
        assert self.in_flight <= self.slots
        for other in Priority:
            passed = other is not priority and other in self.waiting.values()
            self.skipped[other] = self.skipped[other] + 1 if passed else 0
            # Each lower class that is due at the same moment may go first.
            lower_classes = BACKGROUND - other
            assert self.skipped[other] <= PASSED_OVER[other] + lower_classes

    @rule(gap=GAPS, priority=st.sampled_from(Priority), left=st.floats(-0.01, 0.5))
    def offer(self, gap, priority, left):
        self.now += gap
        waiter, self.offered = self.offered, self.offered + 1
        verdict = self.gate.offer(
            waiter=waiter, priority=priority, deadline=self.now + left, now=self.now
        )
        if isinstance(verdict, Queued):
            self.waiting[waiter] = priority
            return
        self.ended[waiter] += 1
        if isinstance(verdict, Granted):
            self.granted(priority)

    @precondition(lambda self: self.in_flight)
    @rule(gap=GAPS, held=GAPS, outcome=st.sampled_from(SlotOutcome))
    def release(self, gap, held, outcome):
        self.now += gap
        self.in_flight -= 1
        self.take(self.gate.release(now=self.now, service_time=held, outcome=outcome))

    @precondition(lambda self: self.offered)
    @rule(data=st.data())
    def cancel(self, data):
        waiter = data.draw(st.integers(0, self.offered - 1))
        waited = self.waiting.pop(waiter, None) is not None
        assert self.gate.cancel(waiter=waiter) is waited
        self.ended[waiter] += waited

    @rule(gap=GAPS)
    def advance(self, gap):
        self.now += gap
        self.take(self.gate.advance(now=self.now))

    @rule(slots=st.integers(1, 6), share=st.sampled_from([0.01, 0.3, 0.5, 1.0]))
    def set_limits(self, slots, share):
        self.slots = max(1, int(slots * share))
        self.connections = max(1, int(4 * share))
        self.take(
            self.gate.set_limits(slots=slots, connections=4, share=share, now=self.now)
        )

    @rule(opening=st.booleans())
    def connect(self, opening):
        if opening:
            opened = self.gate.connect()
            assert opened is (self.open < self.connections)
            self.open += opened
        elif self.open:
            self.gate.disconnect()
            self.open -= 1

    @invariant()
    def counts_agree(self):
        assert self.gate.in_flight == self.in_flight
        assert self.gate.connections == self.open
        assert self.gate.waiting == len(self.waiting)
        assert 1 <= self.gate.window <= self.slots
        for priority in set(Priority) - set(self.waiting.values()):
            self.skipped[priority] = 0

    @invariant()
    def nothing_is_lost(self):
        assert set(self.ended.values()) <= {0, 1}
        assert sum(self.ended.values()) + len(self.waiting) == self.offered

    def teardown(self):
        while self.waiting:
            due = self.gate.next_event()
            assert due is not None
            self.now = max(self.now, due)
            self.take(self.gate.advance(now=self.now))
            while self.in_flight:
                self.release(gap=0.0, held=0.001, outcome=SlotOutcome.SUCCESS)
        assert set(self.ended.values()) <= {1}


GateMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=60)
AnyOrderTests = GateMachine.TestCase


def offer(gate, waiter, *, left, now=0.0, priority=INTERACTIVE):
    return gate.offer(waiter=waiter, priority=priority, deadline=now + left, now=now)


def busy_gate(*, slots=1, service_time=0.01, **config):
    """Return a gate at time 0 whose slots are taken and whose times are known."""
    gate = ServerLimiter(slots=slots, connections=9, config=LimiterConfig(**config))
    for _ in range(50):
        offer(gate, "warm", left=1.0)
        gate.release(now=0.0, service_time=service_time, outcome=SlotOutcome.SUCCESS)
    for slot in range(slots):
        offer(gate, f"busy-{slot}", left=1.0)
    return gate


class GateTests(TestCase):
    def release(self, gate, *, now=0.0, held=0.01, outcome=SlotOutcome.SUCCESS):
        return gate.release(now=now, service_time=held, outcome=outcome)

    def test_refuses_what_cannot_be_answered_in_time(self):
        gate = busy_gate()
        too_short = Refused(reason=RefusalReason.TIME_TOO_SHORT, retry_after=None)
        self.assertEqual(offer(gate, "past", left=0.0), too_short)
        self.assertEqual(offer(gate, "a", left=0.1), Queued(wait=0.01))
        late = offer(gate, "b", left=0.011)
        self.assertEqual(late.reason, RefusalReason.OVERLOADED)
        self.assertGreater(late.retry_after, 0.0)

    def test_refuses_beyond_the_queue_limit(self):
        gate = busy_gate(queue_limit=2)
        verdicts = [offer(gate, n, left=9.0) for n in range(3)]
        kinds = [type(verdict) for verdict in verdicts]
        self.assertEqual(kinds, [Queued, Queued, Refused])
        urgent = offer(gate, "urgent", left=9.0, priority=URGENT)
        self.assertIsInstance(urgent, Queued)

    def test_grants_by_class_then_by_deadline(self):
        gate = busy_gate()
        offer(gate, "background", left=1.0, priority=BACKGROUND)
        offer(gate, "later", left=3.0)
        offer(gate, "sooner", left=2.0)
        offer(gate, "urgent", left=4.0, priority=URGENT)
        order = [self.release(gate).granted[0] for _ in range(4)]
        self.assertEqual(order, ["urgent", "sooner", "later", "background"])

    def test_expires_waiters_that_can_no_longer_be_answered(self):
        gate = busy_gate()
        offer(gate, "short", left=0.05)
        offer(gate, "long", left=5.0)
        due = gate.next_event()
        self.assertLess(due, 0.05)
        self.assertEqual(gate.advance(now=due), QueueChange(expired=("short",)))
        self.assertEqual(self.release(gate, now=due).granted, ("long",))

    def test_an_idle_server_is_tried_however_slow_it_was(self):
        gate = busy_gate(service_time=30.0)
        self.assertIsInstance(offer(gate, "queued", left=1.0), Refused)
        self.release(gate, held=30.0)
        self.assertIsInstance(offer(gate, "tried", left=0.1), Granted)

    def test_window_falls_once_for_a_round_trip_of_sheds(self):
        gate = busy_gate(slots=8)
        for _ in range(4):
            self.release(gate, now=1.0, held=0.5, outcome=SlotOutcome.SHED)
        self.assertEqual(gate.window, 4)
        for step in range(200):
            offer(gate, "again", left=1.0, now=2.0 + step)
            self.release(gate, now=2.1 + step)
        self.assertEqual(gate.window, 8)

    def test_sheds_at_the_smallest_window_hold_grants_back(self):
        gate = busy_gate()
        offer(gate, "waiter", left=1.0)
        shed = self.release(gate, now=0.001, held=0.001, outcome=SlotOutcome.SHED)
        self.assertEqual(shed, QueueChange())
        due = gate.next_event()
        self.assertAlmostEqual(due, 0.011)
        self.assertEqual(gate.advance(now=due).granted, ("waiter",))

    def test_only_what_ran_long_or_succeeded_changes_the_service_time(self):
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
                gate = busy_gate()
                before = gate.service_time
                self.release(gate, held=held, outcome=outcome)
                self.assertEqual(gate.service_time != before, changes)

    def test_misuse_is_an_error(self):
        gate = busy_gate()
        offer(gate, "waiter", left=1.0)
        with self.assertRaises(ValueError):
            offer(gate, "waiter", left=1.0)
        self.release(gate)
        self.release(gate)
        with self.assertRaises(ValueError):
            self.release(gate)
        with self.assertRaises(ValueError):
            gate.disconnect()
        for max_skips in [(0, 1, 19), (0, 3, 1)]:
            config = LimiterConfig(max_skips=max_skips)
            with self.assertRaises(ValueError):
                ServerLimiter(slots=1, connections=1, config=config)
