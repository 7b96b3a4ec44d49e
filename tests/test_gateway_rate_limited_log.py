"""Tests of savorypond.gateway.rate_limited_log."""

from unittest import TestCase

from savorypond.gateway.rate_limited_log import (
    LINES_PER_SECOND,
    LINES_SAVED_UP,
    BoundedLog,
)


class BoundedLogTests(TestCase):
    def setUp(self):
        self.now = 0.0
        self.full = False
        self.written = []
        self.log = BoundedLog(write=self.write, clock=lambda: self.now)

    def write(self, data):
        if self.full:
            raise BlockingIOError
        self.written.append(data.decode())
        return len(data)

    def test_writes_whole_lines(self):
        self.log.write("a")
        self.assertEqual(self.written, [])
        self.log.write("b\nc\n")
        self.assertEqual(self.written, ["ab\n", "c\n"])

    def test_bounds_the_rate_and_says_what_was_dropped(self):
        for _ in range(int(LINES_SAVED_UP) + 50):
            self.log.write("x\n")
        self.assertEqual(len(self.written), LINES_SAVED_UP)
        self.now = 1.0
        self.log.write("y\n")
        self.assertIn('"count":50', self.written[-1])
        self.assertTrue(self.written[-1].endswith("\ny\n"))
        for _ in range(1000):
            self.log.write("x\n")
        self.assertLessEqual(len(self.written), LINES_SAVED_UP + LINES_PER_SECOND)

    def test_a_reader_that_stands_still_does_not_block(self):
        self.full = True
        self.log.write("x\n")
        self.assertEqual(self.log.dropped, 1)
        self.full = False
        self.log.write("y\n")
        self.assertIn('"count":1', self.written[0])
