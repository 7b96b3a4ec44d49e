from contextlib import suppress
from unittest import TestCase

from curio import run, sleep

from savorypond.balancing.admission import Admission, AdmissionConfig
from savorypond.clock import SystemClock, VirtualClock
from savorypond.exceptions import RequestRefused
from savorypond.filters.admission import AdmissionFilter
from savorypond.filters.chain import Chain, Exchange
from savorypond.filters.coverage import CoverageFilter
from savorypond.filters.deadline import DeadlineFilter
from savorypond.filters.services import ServiceFilter
from savorypond.filters.snapshot import SnapshotFilter
from savorypond.model import (
    Answer,
    Bundle,
    Coverage,
    MissingShard,
    Preference,
    Priority,
    Query,
    ServerLimits,
    Service,
    ServiceKind,
)
from savorypond.reasons import Execution, MissingReason, RefusalReason


def make_query(*, index="boats", services=(), deadline=1.0, least_coverage=0.0):
    return Query(
        request_id="q1",
        index=index,
        services=services,
        body=None,
        deadline=deadline,
        prefer=Preference.LATENCY,
        priority=Priority.INTERACTIVE,
        least_coverage=least_coverage,
    )


def make_service(name, index, kind=ServiceKind.SEARCH):
    return Service(
        name=name,
        kind=kind,
        index=index,
        layouts=(),
        backend_servers=(),
        limits=ServerLimits(slots=2, connections=25, connect_time=0.006),
        priority=Priority.INTERACTIVE,
        prefer=Preference.LATENCY,
        time_limit=0.054,
        least_coverage=0.0,
    )


def make_answer(covered, missing):
    return Answer(
        request_id="q1",
        snapshot=1,
        layout=1,
        partials=(),
        coverage=Coverage(
            asked=frozenset({*covered, *missing}),
            covered=frozenset(covered),
            missing=tuple(
                MissingShard(shard=s, reason=MissingReason.TIMED_OUT) for s in missing
            ),
        ),
    )


class Config:
    def __init__(self, *services):
        named = {service.name: service for service in services}
        self.bundle = Bundle(revision=1, services=named) if services else None


async def full_answer(exchange):
    return make_answer({"a", "b"}, set())


def run_filter(tested, query, endpoint=full_answer):
    async def main():
        exchange = Exchange(query=query, arrived=0.0)
        answer = await Chain(filters=(tested,), endpoint=endpoint).run(exchange)
        return exchange, answer

    return run(main)


def get_refusal(tested, query, endpoint=full_answer):
    try:
        run_filter(tested, query, endpoint)
    except RequestRefused as error:
        return error
    raise AssertionError("not refused")


class ServiceFilterTests(TestCase):
    def setUp(self):
        self.config = Config(
            make_service("b1", "boats"),
            make_service("b2", "boats"),
            make_service("p1", "portal"),
            make_service("e1", "", ServiceKind.CALLS),
        )

    def test_refusals(self):
        cases = [
            (make_query(index="nope"), RefusalReason.UNKNOWN_INDEX),
            (make_query(index=""), RefusalReason.UNKNOWN_INDEX),
            (make_query(services=("nope",)), RefusalReason.UNKNOWN_SERVICE),
            (make_query(services=("e1",)), RefusalReason.UNKNOWN_SERVICE),
            (make_query(services=("b1", "p1")), RefusalReason.MIXED_INDEXES),
            (make_query(index="boats", services=("p1",)), RefusalReason.MIXED_INDEXES),
        ]
        for query, reason in cases:
            with self.subTest(index=query.index, services=query.services):
                error = get_refusal(ServiceFilter(config=self.config), query)
                self.assertIs(error.reason, reason)
                self.assertIs(error.execution, Execution.NOT_RUN)

    def test_missing_configuration_is_not_ready_and_retryable(self):
        error = get_refusal(ServiceFilter(config=Config()), make_query())
        self.assertIs(error.reason, RefusalReason.NOT_READY)
        self.assertIsNotNone(error.retry_after)

    def test_index_resolves_to_all_its_services(self):
        exchange, _ = run_filter(ServiceFilter(config=self.config), make_query())
        self.assertEqual([s.name for s in exchange.services], ["b1", "b2"])


class DeadlineFilterTests(TestCase):
    def test_query_without_time_is_refused_as_not_run(self):
        for deadline in (-1.0, 0.0, 0.003):
            with self.subTest(deadline=deadline):
                tested = DeadlineFilter(clock=VirtualClock(), margin=0.003)
                error = get_refusal(tested, make_query(deadline=deadline))
                self.assertIs(error.reason, RefusalReason.TIME_TOO_SHORT)
                self.assertIs(error.execution, Execution.NOT_RUN)

    def test_overdue_query_is_aborted_as_unknown(self):
        async def never_answers(exchange):
            await sleep(3600)

        clock = SystemClock()
        tested = DeadlineFilter(clock=clock, margin=0.003)
        error = get_refusal(
            tested, make_query(deadline=clock.now() + 0.05), never_answers
        )
        self.assertIs(error.reason, RefusalReason.TIMED_OUT)
        self.assertIs(error.execution, Execution.UNKNOWN)


class AdmissionFilterTests(TestCase):
    def make(self):
        config = AdmissionConfig(initial=4, min_limit=4, max_limit=4)
        admission = Admission(config=config)
        return admission, AdmissionFilter(admission=admission, clock=VirtualClock())

    def test_full_instance_refuses_with_retry_after(self):
        admission, tested = self.make()
        while admission.in_flight < admission.limit:
            for priority in Priority:
                admission.offer(priority=priority, deadline=9.0, now=0.0)
        error = get_refusal(tested, make_query())
        self.assertIs(error.reason, RefusalReason.OVERLOADED)
        self.assertIsNotNone(error.retry_after)

    def test_no_query_stays_in_flight_after_any_outcome(self):
        async def refuses(exchange):
            raise RequestRefused(reason=RefusalReason.NO_SNAPSHOT, detail="none")

        async def raises_error(exchange):
            raise ZeroDivisionError

        for endpoint in (full_answer, refuses, raises_error):
            with self.subTest(endpoint.__name__):
                admission, tested = self.make()
                with suppress(RequestRefused, ZeroDivisionError):
                    run_filter(tested, make_query(), endpoint)
                self.assertEqual(admission.in_flight, 0)


class CoverageFilterTests(TestCase):
    def test_insufficient_coverage_is_refused(self):
        async def half_answer(exchange):
            return make_answer({"a"}, {"b"})

        _, answer = run_filter(
            CoverageFilter(), make_query(least_coverage=0.5), half_answer
        )
        self.assertEqual(answer.coverage.share, 0.5)
        error = get_refusal(
            CoverageFilter(), make_query(least_coverage=0.51), half_answer
        )
        self.assertIs(error.reason, RefusalReason.COVERAGE_TOO_LOW)
        self.assertIs(error.execution, Execution.UNKNOWN)
        self.assertIn("timed-out", error.detail)


class SnapshotFilterTests(TestCase):
    def test_query_without_known_snapshot_is_refused_as_not_run(self):
        class NoPins:
            async def pin(self, services):
                return None

        error = get_refusal(SnapshotFilter(pins=NoPins()), make_query())
        self.assertIs(error.reason, RefusalReason.NO_SNAPSHOT)
        self.assertIs(error.execution, Execution.NOT_RUN)
