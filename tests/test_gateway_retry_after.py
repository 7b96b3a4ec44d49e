"""Tests of savorypond.gateway.retry_after."""

from random import Random
from unittest import TestCase

from savorypond.gateway.retry_after import (
    MAX_PAUSE,
    UNREADABLE_PAUSE,
    parse_retry_after,
)

NOW = 784_111_777.0  # Sun, 06 Nov 1994 08:49:37 GMT
DATE = "Sun, 06 Nov 1994 08:49:37 GMT"
LATER = "Sun, 06 Nov 1994 08:49:45 GMT"


def parse(text, *, date=None, wall_time=NOW):
    return parse_retry_after(text, date=date, wall_time=wall_time)


class RetryAfterTests(TestCase):
    def test_reads_seconds_and_fractions_of_them(self):
        for text, seconds in (("3", 3.0), ("0.25", 0.25), ("0", 0.0), (".5", 0.5)):
            with self.subTest(text=text):
                pause = parse(text)
                self.assertEqual((pause.seconds, pause.problem), (seconds, ""))

    def test_reads_dates_in_all_notations(self):
        for text in (
            LATER,
            "Sunday, 06-Nov-94 08:49:45 GMT",
            "Sun Nov  6 08:49:45 1994",
        ):
            with self.subTest(text=text):
                pause = parse(text)
                self.assertEqual((pause.seconds, pause.problem), (8.0, ""))

    def test_a_date_is_compared_to_the_clock_of_its_server(self):
        self.assertEqual(parse(LATER, date=DATE, wall_time=NOW + 3600).seconds, 8.0)
        self.assertEqual(parse(LATER, date="then", wall_time=NOW + 2).seconds, 6.0)

    def test_a_date_that_has_passed_is_no_pause(self):
        self.assertEqual(parse(DATE, wall_time=NOW + 9.0).seconds, 0.0)

    def test_absurd_times_do_not_keep_a_server_out_of_use(self):
        for text in ("61", "1e9", "inf", "9" * 60, "Sun, 06 Nov 2094 08:49:37 GMT"):
            with self.subTest(text=text):
                pause = parse(text)
                self.assertEqual(
                    (pause.seconds, pause.problem), (MAX_PAUSE, "too long")
                )

    def test_unreadable_times_are_replaced_by_a_short_one(self):
        texts = ("", "soon", "-1", "nan", "1_0", "\u0663", "9" * 99, "1;2", "Sun, 99")
        for text in texts:
            with self.subTest(text=text):
                pause = parse(text)
                self.assertEqual(pause.seconds, UNREADABLE_PAUSE)
                self.assertEqual(pause.problem, "unreadable")

    def test_any_text_gives_a_bounded_pause(self):
        random = Random(1)
        letters = "0123456789.+-eE:, SunNovGMT\u00e9\x00"
        for _ in range(5000):
            text = "".join(random.choices(letters, k=random.randrange(40)))
            self.assertTrue(0.0 <= parse(text, date=text).seconds <= MAX_PAUSE)
