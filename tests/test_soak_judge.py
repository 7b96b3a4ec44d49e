"""Each promise, broken once: what the soak's judge must find."""

from dataclasses import dataclass, replace
from unittest import TestCase

from tests.soak.judge import Bounds, Judge
from tests.soak.records import (
    AttemptRecord,
    Kind,
    Leaving,
    Records,
    RunRecord,
    Trouble,
    Version,
)

A, B, C = b"a" * 16, b"b" * 16, b"c" * 16


def version(number, once="once-1", published=0.0):
    return Version(
        number=number,
        shards=("s1", "s2"),
        safe="plain",
        once=once,
        published=published,
    )


def run(request_id="r1", server="i1", service="plain", **changes):
    values = {
        "method": "GET",
        "path": "/p",
        "body": b"",
        "instance": "g1",
        "arrived": 10.0,
        "ended": 10.1,
        "ran": True,
        "status": 200,
        "signature": f"{server}.{request_id}",
        "answer": A,
        **changes,
    }
    return RunRecord(request_id=request_id, server=server, service=service, **values)


def attempt(request_id="r1", kind=Kind.SAFE, **changes):
    values = {
        "method": "GET",
        "path": "/p",
        "body": b"",
        "instance": "g1",
        "boot": "g1#1",
        "sent": 9.9,
        "ended": 10.2,
        "status": 200,
        "signature": f"i1.{request_id}",
        "answer": A,
        **changes,
    }
    return AttemptRecord(request_id=request_id, kind=kind, **values)


def gathered(**changes):
    return attempt(
        **{
            "kind": Kind.GATHER,
            "signature": "",
            "parts": ("i1.r1", "i2.r1"),
            "answer": B + A,
            **changes,
        }
    )


SHARD_RUNS = (run(service="s1"), run(server="i2", service="s2", answer=B))


@dataclass(frozen=True)
class Case:
    name: str
    word: str
    attempts: tuple
    runs: tuple = ()
    records: dict = None


REFUSED = attempt(status=503, signature="", answer=b"")
ONCE = attempt(kind=Kind.ONCE)
ONCE_RUN = run(service="once-1")

BROKEN = (
    Case("foreign signature", "mixed", (attempt(signature="x"),), (run(),)),
    Case("another body", "mixed", (attempt(answer=B),), (run(),)),
    Case("failure as success", "mixed", (attempt(),), (run(status=500),)),
    Case("wrong records", "mixed", (gathered(answer=A + B),), SHARD_RUNS),
    Case("one part twice", "mixed", (gathered(parts=("i1.r1",) * 2),), SHARD_RUNS),
    Case("false count", "mixed", (gathered(missing=1),), SHARD_RUNS),
    Case(
        "too few parts",
        "mixed",
        (gathered(parts=("i1.r1",), answer=A, missing=1),),
        SHARD_RUNS,
    ),
    Case(
        "run twice",
        "twice",
        (ONCE,),
        (ONCE_RUN, run(server="i2", service="once-1")),
    ),
    Case("ran though refused", "refused", (REFUSED,), (run(),)),
    Case("nobody asked", "unasked", (), (run(),)),
    Case("changed on the way", "unasked", (attempt(path="/q"),), (run(),)),
    Case("another service", "route", (attempt(),), (run(service="once-1"),)),
    Case(
        "many servers",
        "budget",
        tuple(attempt(f"r{n}") for n in range(4)),
        tuple(run(f"r{n}", f"i{m}") for n in range(4) for m in range(3)),
    ),
    Case(
        "many extra sends",
        "budget",
        tuple(attempt(f"r{n}") for n in range(60)),
        tuple(run(f"r{n}", f"i{m}") for n in range(60) for m in (1, 2)),
    ),
    Case(
        "older version again",
        "config",
        (
            replace(ONCE, request_id="r1", signature="i1.r1"),
            replace(ONCE, request_id="r2", signature="i1.r2", sent=11.0),
        ),
        (run("r1", service="once-2"), run("r2", service="once-1", arrived=11.1)),
        {"versions": [version(1), version(2, "once-2")]},
    ),
    Case(
        "version never taken",
        "config",
        (ONCE,),
        (ONCE_RUN,),
        {"versions": [version(1), version(2, "once-2", published=5.0)]},
    ),
    Case(
        "leaving server",
        "drain",
        (attempt(),),
        (run(),),
        {"leavings": [Leaving(server="i1", at=5.0)]},
    ),
    Case(
        "cut by a stop",
        "lost",
        (attempt(status=0),),
        (run(),),
        {"stops": {"g1#1": 9.0}},
    ),
    Case(
        "work for nobody",
        "gone",
        tuple(attempt(f"r{n}", left=10.0, status=0) for n in range(4)),
        tuple(run(f"r{n}", ended=12.0) for n in range(4)),
    ),
    Case("own end", "exit", (), (), {"exits": ["g1#1 ended with 1"]}),
    Case("no recovery", "recover", (), (), {"probes": 4, "probes_failed": 4}),
)


def judge(case, *, timed=True):
    values = {"versions": [version(1)], **(case.records or {})}
    records = Records(attempts=list(case.attempts), runs=list(case.runs), **values)
    return Judge(records=records, bounds=Bounds(), timed=timed).findings()


class JudgeTests(TestCase):
    def test_each_broken_promise_is_found(self):
        for case in BROKEN:
            with self.subTest(case.name):
                findings = judge(case)
                self.assertTrue(findings)
                words = {line.partition(":")[0] for line in findings}
                self.assertEqual(words, {case.word})

    def test_what_is_right_is_not_found(self):
        good = (
            Case("passed", "", (attempt(),), (run(),)),
            Case("gathered", "", (gathered(),), SHARD_RUNS),
            Case("refused", "", (REFUSED,), (run(ran=False, status=503),)),
            Case("once", "", (ONCE,), (ONCE_RUN,)),
        )
        for case in good:
            with self.subTest(case.name):
                self.assertEqual(judge(case), [])

    def test_a_new_set_of_shards_leaves_other_routes_as_they_were(self):
        case = Case(
            "reshard",
            "",
            (ONCE,),
            (ONCE_RUN,),
            {"versions": [version(1), version(2, published=5.0)]},
        )
        self.assertEqual(judge(case), [])

    def test_time_bounds_do_not_hold_in_trouble(self):
        trouble = Trouble(instance="g1", kind="pause", began=4.0, ended=6.0)
        leavings = [Leaving(server="i1", at=5.0)]
        case = Case(
            "trouble",
            "",
            (attempt(),),
            (run(),),
            {"troubles": [trouble], "leavings": leavings},
        )
        self.assertEqual(judge(case), [])

    def test_a_kill_during_a_planned_stop_may_cut_requests(self):
        kill = Trouble(instance="g1", kind="kill", began=10.1, ended=12.1)
        case = Case(
            "killed",
            "",
            (attempt(status=0),),
            (run(),),
            {"stops": {"g1#1": 9.0}, "troubles": [kill]},
        )
        self.assertEqual(judge(case), [])
