from collections import Counter
from unittest import TestCase

from hypothesis import given, strategies as st

from savorypond.balancing.admission import (
    Admission,
    AdmissionConfig,
    Admitted,
    RequestOutcome,
)
from savorypond.model import Priority
from savorypond.reasons import RefusalReason

CONFIG = AdmissionConfig(initial=20, min_limit=4, max_limit=40)
EVENTS = st.lists(
    st.tuples(
        st.booleans(),
        st.sampled_from(Priority),
        st.sampled_from(RequestOutcome),
        st.sampled_from([0.0, 0.01, 0.3]),
    ),
    max_size=300,
)


def offer(admission, *, priority=Priority.INTERACTIVE, left=1.0, now=0.0):
    return admission.offer(priority=priority, deadline=now + left, now=now)


class AdmissionTests(TestCase):
    @given(events=EVENTS)
    def test_never_exceeds_the_limit_in_any_order_of_events(self, events):
        admission = Admission(config=CONFIG)
        in_flight, now = Counter(), 0.0
        for arrives, priority, outcome, gap in events:
            now += gap
            if arrives:
                decision = offer(admission, priority=priority, now=now)
                in_flight[priority] += decision == Admitted()
                if decision == Admitted():
                    self.assertLessEqual(admission.in_flight, admission.limit)
            elif in_flight[priority]:
                in_flight[priority] -= 1
                admission.finish(
                    priority=priority, now=now, elapsed=gap, outcome=outcome
                )
            self.assertEqual(admission.in_flight, in_flight.total())
            self.assertTrue(CONFIG.min_limit <= admission.limit <= CONFIG.max_limit)

    def test_each_class_is_admitted_while_another_fills_the_limit(self):
        for flooding in Priority:
            for other in set(Priority) - {flooding}:
                with self.subTest(flooding=flooding, other=other):
                    admission = Admission(config=CONFIG)
                    while offer(admission, priority=flooding) == Admitted():
                        pass
                    self.assertEqual(offer(admission, priority=other), Admitted())

    def test_refusals_have_a_reason_and_a_retry_time(self):
        admission = Admission(config=CONFIG)
        while offer(admission) == Admitted():
            pass
        self.assertGreater(offer(admission).retry_after, 0.0)
        self.assertEqual(offer(admission).reason, RefusalReason.OVERLOADED)
        late = offer(admission, left=0.0)
        self.assertEqual(late.reason, RefusalReason.TIME_TOO_SHORT)
        self.assertIsNone(late.retry_after)

    def test_limit_shrinks_once_per_round_trip_and_grows_in_use(self):
        admission = Admission(config=CONFIG)
        for _ in range(10):
            offer(admission)
        for _ in range(5):
            admission.finish(
                priority=Priority.INTERACTIVE,
                now=1.0,
                elapsed=0.9,
                outcome=RequestOutcome.OVERLOADED,
            )
        self.assertEqual(admission.limit, 18)
        for step in range(400):
            while offer(admission, now=2.0 + step) == Admitted():
                pass
            admission.finish(
                priority=Priority.INTERACTIVE,
                now=2.1 + step,
                elapsed=0.1,
                outcome=RequestOutcome.ANSWERED,
            )
        self.assertGreater(admission.limit, 25)

    def test_finish_of_a_request_that_was_not_admitted_raises(self):
        with self.assertRaises(ValueError):
            Admission().finish(
                priority=Priority.URGENT,
                now=0.0,
                elapsed=0.0,
                outcome=RequestOutcome.ANSWERED,
            )
