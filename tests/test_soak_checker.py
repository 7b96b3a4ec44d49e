"""Tests that the soak's checker finds a violation of each guarantee."""

from dataclasses import dataclass, replace
from unittest import TestCase

from tests.soak.checker import Bounds, Checker
from tests.soak.records import (
    AttemptRecord,
    ConfigVersion,
    DrainStart,
    FaultWindow,
    RateLimitPeriod,
    Records,
    RequestKind,
    RunRecord,
)

A, B, C = b"a" * 16, b"b" * 16, b"c" * 16


def version(number, once="once-1", published=0.0):
    return ConfigVersion(
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


def attempt(request_id="r1", kind=RequestKind.SAFE, **changes):
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
            "kind": RequestKind.GATHER,
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
    category: str
    attempts: tuple
    runs: tuple = ()
    records: dict = None


REFUSED = attempt(status=503, signature="", answer=b"")
ONCE = attempt(kind=RequestKind.ONCE)
ONCE_RUN = run(service="once-1")

LIMITED = [RateLimitPeriod(server="i1", rate=1.0, began=5.0, ended=20.0)]

VIOLATIONS = (
    Case("foreign signature", "answer", (attempt(signature="x"),), (run(),)),
    Case("another body", "answer", (attempt(answer=B),), (run(),)),
    Case("failure as success", "answer", (attempt(),), (run(status=500),)),
    Case(
        "signed failure with another status",
        "answer",
        (attempt(status=502),),
        (run(status=500),),
    ),
    Case("wrong records", "answer", (gathered(answer=A + B),), SHARD_RUNS),
    Case("one part twice", "answer", (gathered(parts=("i1.r1",) * 2),), SHARD_RUNS),
    Case("false count", "answer", (gathered(missing=1),), SHARD_RUNS),
    Case(
        "too few parts",
        "answer",
        (gathered(parts=("i1.r1",), answer=A, missing=1),),
        SHARD_RUNS,
    ),
    Case(
        "run twice",
        "duplicate",
        (ONCE,),
        (ONCE_RUN, run(server="i2", service="once-1")),
    ),
    Case("ran though refused", "refused", (REFUSED,), (run(),)),
    Case("request of no caller", "unsolicited", (), (run(),)),
    Case("changed in transit", "unsolicited", (attempt(path="/q"),), (run(),)),
    Case("another service", "route", (attempt(),), (run(service="once-1"),)),
    Case(
        "many servers",
        "budget",
        tuple(attempt(f"r{n}") for n in range(4)),
        tuple(run(f"r{n}", f"i{m}") for n in range(4) for m in range(3)),
    ),
    Case(
        "many extra attempts",
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
        "version never applied",
        "config",
        (ONCE,),
        (ONCE_RUN,),
        {"versions": [version(1), version(2, "once-2", published=5.0)]},
    ),
    Case(
        "draining server",
        "drain",
        (attempt(),),
        (run(),),
        {"drain_starts": [DrainStart(server="i1", at=5.0)]},
    ),
    Case(
        "interrupted by a stop",
        "stop",
        (attempt(status=0),),
        (run(),),
        {"stops": {"g1#1": 9.0}},
    ),
    Case(
        "work for a disconnected caller",
        "disconnect",
        tuple(attempt(f"r{n}", abandoned_at=10.0, status=0) for n in range(4)),
        tuple(run(f"r{n}", ended=12.0) for n in range(4)),
    ),
    Case(
        "more than a rate limit",
        "rate limit",
        tuple(attempt(f"r{n}") for n in range(30)),
        tuple(
            run(f"r{n}", arrived=10.0 + n / 5, ended=10.1 + n / 5) for n in range(30)
        ),
        {"rate_limits": LIMITED},
    ),
    Case(
        "server that leaves",
        "leaving",
        (attempt(), attempt("r2", sent=11.0)),
        (run(leaving=True), run("r2", arrived=11.1)),
    ),
    Case(
        "server that leaves, known from a delegate",
        "leaving",
        (gathered(), attempt("r2", sent=11.0, instance="g2")),
        (
            run(service="s1", leaving=True, instance="g2"),
            SHARD_RUNS[1],
            run("r2", arrived=11.1, instance="g1"),
        ),
    ),
    Case(
        "pause of a server",
        "pause",
        tuple(attempt(f"r{n}", signature=f"i{1 + (n > 2)}.r{n}") for n in range(4)),
        (
            run("r0", pause=3.0),
            *(run(f"r{n}", arrived=11.0, ended=11.1) for n in (1, 2)),
            run("r3", "i2"),
            run("r3", "i1", arrived=12.0),
        ),
    ),
    Case("unexpected exit", "exit", (), (), {"exits": ["g1#1 ended with 1"]}),
    Case("no recovery", "recovery", (), (), {"probes": 4, "probes_failed": 4}),
)


def check(case, *, timed=True):
    values = {"versions": [version(1)], **(case.records or {})}
    records = Records(attempts=list(case.attempts), runs=list(case.runs), **values)
    return Checker(records=records, bounds=Bounds(), timed=timed).violations()


class CheckerTests(TestCase):
    def test_each_violation_is_found(self):
        for case in VIOLATIONS:
            with self.subTest(case.name):
                violations = check(case)
                self.assertTrue(violations)
                categories = {line.partition(":")[0] for line in violations}
                self.assertEqual(categories, {case.category})

    def test_correct_records_pass(self):
        valid = (
            Case("forwarded", "", (attempt(),), (run(),)),
            Case("gathered", "", (gathered(),), SHARD_RUNS),
            Case("refused", "", (REFUSED,), (run(ran=False, status=503),)),
            Case("once", "", (ONCE,), (ONCE_RUN,)),
        )
        for case in valid:
            with self.subTest(case.name):
                self.assertEqual(check(case), [])

    def test_a_new_set_of_shards_does_not_affect_other_routes(self):
        case = Case(
            "reshard",
            "",
            (ONCE,),
            (ONCE_RUN,),
            {"versions": [version(1), version(2, published=5.0)]},
        )
        self.assertEqual(check(case), [])

    def test_time_limits_do_not_apply_during_faults(self):
        window = FaultWindow(instance="g1", kind="pause", began=4.0, ended=6.0)
        drain_starts = [DrainStart(server="i1", at=5.0)]
        case = Case(
            "fault",
            "",
            (attempt(),),
            (run(),),
            {"fault_windows": [window], "drain_starts": drain_starts},
        )
        self.assertEqual(check(case), [])

    def test_a_server_that_leaves_may_get_what_an_instance_could_not_know(self):
        restart = FaultWindow(instance="g1", kind="start", began=10.5, ended=10.9)
        requests = (attempt(), attempt("r2", sent=11.0))
        first = run(leaving=True)
        excused = (
            Case("restarted", "", requests, (first, run("r2", arrived=11.1)), None),
            Case(
                "sent soon",
                "",
                (requests[0], attempt("r2", sent=10.4)),
                (first, run("r2", arrived=11.1)),
            ),
            Case(
                "another instance",
                "",
                requests,
                (first, run("r2", instance="g2", arrived=11.1)),
            ),
        )
        for case in excused:
            with self.subTest(case.name):
                windows = [restart] if case.name == "restarted" else []
                records = {"fault_windows": windows}
                self.assertEqual(check(replace(case, records=records)), [])

    def test_a_pause_binds_only_the_instance_that_was_asked(self):
        told = run("r0", pause=3.0)
        after = tuple(run(f"r{n}", arrived=11.0, ended=11.1) for n in range(1, 4))
        requests = tuple(attempt(f"r{n}") for n in range(4))
        cases = {
            "another instance": tuple(replace(one, instance="g2") for one in after),
            "another incarnation": tuple(replace(one, born=2) for one in after),
            "at once": tuple(replace(one, arrived=10.4) for one in after),
            "over": tuple(replace(one, arrived=13.2, ended=13.3) for one in after),
            "two": after[:2],
        }
        for name, runs in cases.items():
            with self.subTest(name):
                case = Case(name, "", requests[: 1 + len(runs)], (told, *runs))
                self.assertEqual(check(case), [])
        self.assertTrue(check(Case("same", "", requests, (told, *after))))

    def test_requests_count_against_a_limit_that_their_instance_knows(self):
        """Ten instances send few requests each; one that restarts sends many."""
        runs = tuple(
            run(f"r{n}", instance=f"g{n % 10}", arrived=10.0 + n / 5, ended=12.0)
            for n in range(9)
        )
        busy = tuple(
            run(f"q{n}", instance="g1", arrived=14.0 + n / 5, ended=14.0 + n / 5)
            for n in range(20)
        )
        restart = FaultWindow(instance="g1", kind="start", began=14.0, ended=17.0)
        case = Case(
            "excused",
            "",
            tuple(attempt(one.request_id) for one in runs + busy),
            runs + busy,
            {"rate_limits": LIMITED, "fault_windows": [restart]},
        )
        self.assertEqual(check(case), [])
        without = replace(case, records={"rate_limits": LIMITED})
        self.assertTrue(check(without))

    def test_a_kill_during_a_planned_stop_may_interrupt_requests(self):
        kill = FaultWindow(instance="g1", kind="kill", began=10.1, ended=12.1)
        case = Case(
            "killed",
            "",
            (attempt(status=0),),
            (run(),),
            {"stops": {"g1#1": 9.0}, "fault_windows": [kill]},
        )
        self.assertEqual(check(case), [])
