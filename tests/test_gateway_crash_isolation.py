"""Tests of savorypond.gateway.crash_isolation and crash_hold, on a virtual clock."""

from random import Random
from unittest import TestCase

from savorypond.gateway.crash_hold import HOLD_TIME, CrashHold
from savorypond.gateway.crash_isolation import (
    DEFAULT_CRASH_ISOLATION as CONFIG,
    Admission,
    Blame,
    CrashIsolation,
    request_fingerprint,
)

DEADLY = b"deadly"
OTHER = b"other"
APART = CONFIG.common_cause_time * 1.5  # seconds between crashes with no common cause
CRASH_SHARE = 0.02  # of the attempts, at servers that crash by themselves


def make_isolation():
    return CrashIsolation(random=Random(1))


def crash(isolation, request, times, *, first_server=0, is_news=False):
    """Record crashes of different servers; return the last blame."""
    for number, now in enumerate(times, start=first_server):
        blame = isolation.record_crash(request, f"i{number}", now, is_news=is_news)
    return blame


def isolate(isolation, request=DEADLY, *, at=0.0):
    """Isolate ``request``; return when that ends."""
    now = at + 2 * APART
    blame = crash(isolation, request, (at, at + APART, now))
    assert blame is Blame.ISOLATED
    return now + isolation.isolation_left(request, now)


class FingerprintTests(TestCase):
    def test_it_differs_with_what_a_server_gets(self):
        base = {"method": "GET", "host": "a.example", "path": "/q?x=1", "body": b"b"}
        same = request_fingerprint(**{**base, "host": "A.example"})
        self.assertEqual(request_fingerprint(**base), same)
        for field, value in (
            ("method", "POST"),
            ("host", "b.example"),
            ("path", "/q?x=2"),
            ("path", "/q?x=1\0b"),
            ("body", b"c"),
        ):
            with self.subTest(field):
                changed = request_fingerprint(**{**base, field: value})
                self.assertNotEqual(request_fingerprint(**base), changed)


class BlameTests(TestCase):
    def test_three_crashes_one_after_the_other_isolate_a_request(self):
        isolation = make_isolation()
        self.assertIs(crash(isolation, DEADLY, (0.0, APART)), Blame.SUSPECTED)
        self.assertIs(isolation.admit(DEADLY, 2 * APART), Admission.FREE)
        blame = isolation.record_crash(DEADLY, "i9", 2 * APART)
        self.assertIs(blame, Blame.ISOLATED)
        self.assertIs(isolation.admit(DEADLY, 2 * APART), Admission.ISOLATED)
        self.assertTrue(isolation.is_isolated(DEADLY, 2 * APART))
        self.assertIs(isolation.admit(OTHER, 2 * APART), Admission.FREE)

    def test_servers_that_crash_at_once_isolate_nothing(self):
        isolation = make_isolation()
        times = [n * CONFIG.common_cause_time / 40 for n in range(39)]
        self.assertIs(crash(isolation, OTHER, times), Blame.SUSPECTED)
        self.assertIs(isolation.admit(OTHER, 1.0), Admission.FREE)

    def test_news_of_servers_that_crash_at_once_isolates_nothing(self):
        isolation = make_isolation()
        crash(isolation, OTHER, (0.0, 0.001))
        times = (CONFIG.news_delay * 0.9,) * 3
        blame = crash(isolation, OTHER, times, first_server=5, is_news=True)
        self.assertIs(blame, Blame.SUSPECTED)

    def test_crashes_at_several_instances_add_up(self):
        isolation = make_isolation()
        crash(isolation, DEADLY, (0.0, 0.5), is_news=True)
        blame = isolation.record_crash(DEADLY, "i7", 0.7)
        self.assertIs(blame, Blame.ISOLATED)

    def test_a_server_counts_once(self):
        isolation = make_isolation()
        for number in range(10):
            blame = isolation.record_crash(DEADLY, "i1", number * APART)
        self.assertIs(blame, Blame.SUSPECTED)

    def test_a_request_that_servers_answer_is_not_blamed(self):
        isolation = make_isolation()
        isolation.record_answer(OTHER, 0.0)
        blame = crash(isolation, OTHER, (0.1, 0.4, 0.9))
        self.assertIs(blame, Blame.NONE)
        crash(isolation, OTHER, (1.1, 1.2))
        isolation.record_answer(OTHER, 1.25)
        blame = crash(isolation, OTHER, (2.3, 2.4), first_server=2)
        self.assertIs(blame, Blame.SUSPECTED)

    def test_old_crashes_do_not_count(self):
        isolation = make_isolation()
        crash(isolation, DEADLY, (0.0, 1.0))
        now = CONFIG.crash_memory + 0.5
        blame = isolation.record_crash(DEADLY, "i9", now)
        self.assertIs(blame, Blame.SUSPECTED)


class TrialTests(TestCase):
    def test_one_request_is_tried_after_an_isolation(self):
        isolation = make_isolation()
        until = isolate(isolation)
        self.assertIs(isolation.admit(DEADLY, until - 0.01), Admission.ISOLATED)
        self.assertIs(isolation.admit(DEADLY, until), Admission.TRIAL)
        self.assertIs(isolation.admit(DEADLY, until + 0.1), Admission.ISOLATED)
        self.assertFalse(isolation.is_cleared(DEADLY))
        self.assertTrue(isolation.record_answer(DEADLY, until + 0.2))
        self.assertTrue(isolation.is_cleared(DEADLY))
        self.assertIs(isolation.admit(DEADLY, until + 0.3), Admission.FREE)

    def test_a_trial_without_result_is_repeated(self):
        isolation = make_isolation()
        until = isolate(isolation)
        isolation.admit(DEADLY, until)
        admission = isolation.admit(DEADLY, until + CONFIG.trial_time)
        self.assertIs(admission, Admission.TRIAL)

    def test_one_crash_in_a_trial_isolates_for_twice_as_long(self):
        isolation = make_isolation()
        now, longest = isolate(isolation), 0.0
        for number in range(12):
            self.assertIs(isolation.admit(DEADLY, now), Admission.TRIAL)
            blame = isolation.record_crash(DEADLY, f"n{number}", now + 0.1)
            self.assertIs(blame, Blame.ISOLATED)
            left = isolation.isolation_left(DEADLY, now + 0.1)
            longest = max(longest, left)
            now += 0.1 + left
        self.assertLessEqual(longest, CONFIG.max_isolation)
        self.assertGreater(longest, CONFIG.max_isolation / 2)

    def test_an_isolation_is_forgotten_in_time(self):
        isolation = make_isolation()
        until = isolate(isolation)
        admission = isolation.admit(DEADLY, until + CONFIG.isolation_memory)
        self.assertIs(admission, Admission.FREE)
        self.assertEqual(isolation.count, 0)


class AdoptTests(TestCase):
    def test_the_isolation_of_another_instance_is_adopted_once(self):
        isolation = make_isolation()
        self.assertTrue(isolation.adopt(DEADLY, 30.0, 0.0))
        self.assertFalse(isolation.adopt(DEADLY, 30.0, 1.0))
        self.assertIs(isolation.admit(DEADLY, 1.0), Admission.ISOLATED)

    def test_its_time_is_bounded(self):
        isolation = make_isolation()
        isolation.adopt(DEADLY, 1e9, 0.0)
        left = isolation.isolation_left(DEADLY, 0.0)
        self.assertLessEqual(left, CONFIG.max_isolation * 1.2)

    def test_a_request_that_servers_answer_here_is_not_isolated(self):
        isolation = make_isolation()
        isolation.record_answer(OTHER, 0.0)
        self.assertFalse(isolation.adopt(OTHER, 30.0, CONFIG.answer_memory - 0.1))
        self.assertIs(isolation.admit(OTHER, 1.0), Admission.FREE)

    def test_it_ends_when_the_other_instance_says_so(self):
        isolation = make_isolation()
        isolation.adopt(DEADLY, 30.0, 0.0)
        self.assertTrue(isolation.release(DEADLY))
        self.assertFalse(isolation.release(DEADLY))
        self.assertIs(isolation.admit(DEADLY, 1.0), Admission.FREE)


class BoundsTests(TestCase):
    def test_the_number_of_requests_is_bounded(self):
        isolation = make_isolation()
        for number in range(3 * CONFIG.max_requests):
            request = number.to_bytes(4, "big")
            isolation.record_crash(request, "i1", 0.001 * number)
            isolation.record_answer(b"a" + request, 0.001 * number)
        self.assertEqual(isolation.count, CONFIG.max_requests)

    def test_old_suspicions_are_discarded(self):
        isolation = make_isolation()
        for number in range(100):
            isolation.record_crash(number.to_bytes(4, "big"), "i1", 0.0)
        later = CONFIG.crash_memory + CONFIG.isolation_memory
        isolation.record_crash(DEADLY, "i1", later)
        self.assertEqual(isolation.count, 1)


class HistoryTests(TestCase):
    """Random histories: of many servers, some end for reasons of their own."""

    def test_servers_that_crash_by_themselves_isolate_no_request(self):
        for seed in range(50):
            random = Random(seed)
            isolation, now = make_isolation(), 0.0
            for step in range(400):
                now += random.expovariate(50.0)
                request = bytes([random.randrange(20)])
                if random.random() < CRASH_SHARE:
                    blame = isolation.record_crash(request, f"i{step}", now)
                    self.assertIsNot(blame, Blame.ISOLATED, f"seed {seed}")
                else:
                    isolation.record_answer(request, now)

    def test_a_deadly_request_ends_few_servers(self):
        for seed in range(50):
            random = Random(seed)
            isolations = [CrashIsolation(random=Random(seed)) for _ in range(5)]
            now, ended = 0.0, 0
            while now < 10.0:
                now += random.expovariate(2.0)
                isolation = random.choice(isolations)
                if isolation.admit(DEADLY, now) is not Admission.FREE:
                    continue
                ended += 1
                for told in isolations:
                    told.record_crash(
                        DEADLY, f"i{ended}", now, is_news=told is not isolation
                    )
            self.assertLessEqual(ended, CONFIG.crashes + 1, f"seed {seed}")


class HoldTests(TestCase):
    def test_attempts_are_held_after_the_first_crash_for_a_time(self):
        hold = CrashHold()
        self.assertFalse(hold.holds(0.0))
        hold.record_crash(1.0)
        hold.record_crash(1.05)
        self.assertTrue(hold.holds(1.05))
        self.assertEqual(hold.until, 1.0 + HOLD_TIME)
        self.assertFalse(hold.holds(hold.until))

    def test_an_answer_ends_it(self):
        for crash_first in (True, False):
            with self.subTest(crash_first):
                hold = CrashHold()
                if crash_first:
                    hold.record_crash(1.0)
                hold.record_answer()
                if not crash_first:
                    hold.record_crash(1.0)
                self.assertFalse(hold.holds(1.01))
