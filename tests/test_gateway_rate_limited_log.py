"""Tests of savorypond.gateway.rate_limited_log."""

from unittest import TestCase

from savorypond.gateway.rate_limited_log import (
    BURST_LINES,
    LINES_PER_SECOND,
    RateLimitedLog,
)


class RateLimitedLogTests(TestCase):
    def setUp(self):
        self.now = 0.0
        self.blocked = False
        self.lines = []
        self.log = RateLimitedLog(write=self.write, clock=lambda: self.now)

    def write(self, data):
        if self.blocked:
            raise BlockingIOError
        self.lines.append(data.decode())
        return len(data)

    def test_writes_complete_lines(self):
        self.log.write("a")
        self.assertEqual(self.lines, [])
        self.log.write("b\nc\n")
        self.assertEqual(self.lines, ["ab\n", "c\n"])

    def test_limits_the_rate_and_reports_dropped_lines(self):
        for _ in range(int(BURST_LINES) + 50):
            self.log.write("x\n")
        self.assertEqual(len(self.lines), BURST_LINES)
        self.now = 1.0
        self.log.write("y\n")
        self.assertIn('"count":50', self.lines[-1])
        self.assertTrue(self.lines[-1].endswith("\ny\n"))
        for _ in range(1000):
            self.log.write("x\n")
        self.assertLessEqual(len(self.lines), BURST_LINES + LINES_PER_SECOND)

    def test_a_stalled_reader_does_not_block(self):
        self.blocked = True
        self.log.write("x\n")
        self.assertEqual(self.log.dropped, 1)
        self.blocked = False
        self.log.write("y\n")
        self.assertIn('"count":1', self.lines[0])
