"""Measures the processor time of the decisions of one query, and of one call."""

from dataclasses import replace
from random import Random
from time import process_time

from benchmarks.bench_config import make_services
from benchmarks.limiter_view import LimiterView
from benchmarks.slopes_state import FleetView
from benchmarks.slopes_wire import PIN, make_query
from savorypond.balancing.balancer import (
    ChoiceRule,
    LinkLatencies,
    ReplicaStatsRegistry,
    make_chooser,
)
from savorypond.balancing.budget import RetryBudget
from savorypond.balancing.latency import LatencyTracker, PercentileHedge
from savorypond.balancing.limiter import ServerLimiter
from savorypond.calls.issuer import TicketIssuer
from savorypond.calls.ledger import Claimed, TicketLedger
from savorypond.calls.tickets import TicketLimits, TicketSigner
from savorypond.model import Answer, Counters, Coverage, Service, ShardPartial
from savorypond.placement.forwarding import FinishForwarding, Forwarding, SendSubquery
from savorypond.placement.policies import OwnerPlacement
from savorypond.queries.attempts import Finish, SendAttempt
from savorypond.queries.fanout import Fanout
from savorypond.queries.fanout_policies import FanoutPolicies
from savorypond.queries.partials import ServerAnswer, ServerPartial
from savorypond.queries.snapshots import SnapshotRegistry

QUERY_SIZES = (10, 60, 300, 650, 1300)  # services
GROUPS = (0, 3)  # groups an index is placed in; 0 places by service
TICKET_SIZES = (100, 1_000, 10_000)
RESULTS = tuple(f"hull-{number}" for number in range(10))
EARLY, FINISH_AT = 0.0, 10.0  # seconds on a virtual clock


def _policies(services: list[Service]) -> FanoutPolicies:
    limiters = {
        server.name: ServerLimiter(slots=2, connections=7)
        for service in services
        for server in service.backend_servers
    }
    chooser = make_chooser(
        rule=ChoiceRule.LEAST_EXPECTED_FINISH,
        rng=Random(1),
        links=LinkLatencies(local="data-centre-00", default=0.003),
        view=LimiterView(limiters=limiters),
        registry=ReplicaStatsRegistry(),
    )
    return FanoutPolicies(
        chooser=chooser,
        budget=RetryBudget(),
        hedging=PercentileHedge(tracker=LatencyTracker()),
        counters=Counters(),
        random=Random(1),
    )


def _fan_out(services: list[Service], policies: FanoutPolicies) -> float:
    """Return the seconds of all decisions of one successful query."""
    started = process_time()
    fanout = Fanout(
        query=make_query(FINISH_AT), pin=PIN, services=services, policies=policies
    )
    finished = False
    for action in fanout.start(EARLY):
        assert isinstance(action, SendAttempt)
        attempt = action.attempt
        fanout.dispatched(attempt, EARLY)
        partials = tuple(
            ServerPartial(shard=shard, count=len(RESULTS), results=RESULTS)
            for shard in attempt.shards
        )
        answer = ServerAnswer(
            request_id="r1",
            snapshot=PIN.snapshot,
            layout=PIN.layout,
            partials=partials,
        )
        after = fanout.answered(attempt, answer, EARLY)
        finished = any(isinstance(one, Finish) for one in after)
    assert finished
    return process_time() - started


def _forward(placement: OwnerPlacement, services: list[Service]) -> tuple[float, int]:
    """Return the seconds of the decisions of a forwarded query, and its subqueries."""
    started = process_time()
    forwarding = Forwarding(
        query=make_query(FINISH_AT),
        pin=PIN,
        routes=placement.routes(services=services, now=EARLY),
        hedging=PercentileHedge(tracker=LatencyTracker()),
        budget=RetryBudget(),
        counters=Counters(),
        finish_at=FINISH_AT,
    )
    subqueries = forwarding.start(EARLY)
    finished = False
    for action in subqueries:
        assert isinstance(action, SendSubquery)
        after = forwarding.answered(action.subquery, _owner_answer(action), EARLY)
        finished = any(isinstance(one, FinishForwarding) for one in after)
    assert finished
    return process_time() - started, len(subqueries)


def _owner_answer(send: SendSubquery) -> Answer:
    names = frozenset(service.name for service in send.subquery.services)
    return Answer(
        request_id="r1",
        snapshot=PIN.snapshot,
        layout=PIN.layout,
        partials=tuple(ShardPartial(shard=name, results=RESULTS) for name in names),
        coverage=Coverage(asked=names, covered=names),
    )


def _pin(services: list[Service]) -> tuple[float, float]:
    """Return the seconds of the first pin of a set of services, and of a later one."""
    registry = SnapshotRegistry()
    for service in services:
        for server in service.backend_servers:
            registry.record_answer(
                index=service.index,
                server=server.name,
                pin=PIN,
                shards=[service.name],
                now=EARLY,
            )
    requested = tuple(services)
    spent = []
    for _ in range(2):
        started = process_time()
        choice = registry.pin(
            services=requested, now=EARLY, usable=lambda _: True, usable_version=1
        )
        spent.append(process_time() - started)
        assert choice is not None and choice.complete
    return spent[0], spent[1]


def one_index(count: int) -> list[Service]:
    """Return ``count`` services of one index."""
    made = make_services(count).values()
    return [replace(service, index="catalogue-0000") for service in made]


def print_queries() -> None:
    print("\nDecisions of one query (microseconds; 4200 instances)")
    print(
        "services  fan-out  a service  first pin  later pin  | by service: subqueries"
        "  forwarding  | in 3 groups: subqueries  forwarding"
    )
    view = FleetView(prefix="data-centre")
    for size in QUERY_SIZES:
        services = one_index(size)
        policies = _policies(services)
        fan_out = min(_fan_out(services, policies) for _ in range(3)) * 1e6
        first, later = (seconds * 1e6 for seconds in _pin(services))
        cells = []
        for groups in GROUPS:
            placement = OwnerPlacement(view=view, groups=groups)
            _forward(placement, services)
            seconds, subqueries = min(_forward(placement, services) for _ in range(3))
            cells.append(f"{subqueries:8} {seconds * 1e6:11.0f}")
        decided = f"{size:8} {fan_out:8.0f} {fan_out / size:10.1f}"
        print(f"{decided} {first:10.0f} {later:10.0f} {cells[0]} {cells[1]}")


def print_tickets() -> None:
    print("\nTickets (microseconds each)")
    print(" tickets  issue  claim, dispatch and finish")
    for size in TICKET_SIZES:
        limits = TicketLimits()
        signer = TicketSigner(key=bytes(32))
        issuer = TicketIssuer(
            instance="entry-00000",
            incarnation=1,
            fleet="baric",
            signer=signer,
            limits=limits,
        )
        ledger = TicketLedger(incarnation=1, signer=signer, limits=limits)
        started = process_time()
        tickets = [issuer.issue(now=EARLY)[0] for _ in range(size)]
        issued = process_time() - started
        started = process_time()
        for ticket in tickets:
            assert isinstance(ledger.claim(ticket, now=EARLY), Claimed)
            assert ledger.try_dispatch(ticket, now=EARLY) is None
            ledger.record_result(ticket, b"{}")
        ran = process_time() - started
        print(f"{size:8} {issued / size * 1e6:6.1f} {ran / size * 1e6:10.1f}")
