from unittest import TestCase

from savorypond.attempts import (
    Finish,
    SendAttempt,
)
from tests.fanout_fakes import FanoutBench, make_answer, make_service


def send_of(actions):
    return next(a.attempt for a in actions if isinstance(a, SendAttempt))


def finish_of(actions):
    return next(a.answer for a in actions if isinstance(a, Finish))


def missing_of(actions):
    return {m.shard: m.reason for m in finish_of(actions).coverage.missing}


class SmokeTests(TestCase):
    def test_all_covered(self):
        bench = FanoutBench(services=[make_service("a"), make_service("b")])
        sends = [a.attempt for a in bench.start(0.0)]
        for attempt in sends:
            bench.dispatched(attempt, 0.001)
        bench.answered(sends[0], make_answer(sends[0]), 0.002)
        answer = finish_of(bench.answered(sends[1], make_answer(sends[1]), 0.003))
        self.assertEqual(answer.coverage.share, 1.0)
