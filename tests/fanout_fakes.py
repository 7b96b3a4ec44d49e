"""Builders, and fakes of the protocols that a fan-out uses."""

from heapq import heappop, heappush
from random import Random

from savorypond.model import (
    Address,
    BackendServer,
    Counters,
    Pin,
    Preference,
    Priority,
    Query,
    ServerLimits,
    Service,
    ServiceKind,
    ShardLayout,
    ShardRange,
)
from savorypond.queries.attempts import AttemptFailure, Finish, Repin, SendAttempt
from savorypond.queries.fanout import Fanout
from savorypond.queries.fanout_policies import FanoutPolicies
from savorypond.queries.partials import ServerAnswer, ServerPartial

PIN = Pin(snapshot=7, layout=1)


def make_service(name, layouts=None, replicas=2, index="boats"):
    """Return a service; ``layouts`` maps numbers to {shard: (low, high)}."""
    layouts = layouts or {1: {f"{name}-0": (0, 10)}}
    return Service(
        name=name,
        kind=ServiceKind.SEARCH,
        index=index,
        layouts=tuple(
            ShardLayout(
                number=number,
                shards=tuple(
                    ShardRange(shard=shard, low=low, high=high)
                    for shard, (low, high) in shards.items()
                ),
            )
            for number, shards in layouts.items()
        ),
        backend_servers=tuple(
            BackendServer(
                name=f"{name}/{number}",
                address=Address(host="127.0.0.1", port=1),
                data_centre="split",
            )
            for number in range(replicas)
        ),
        limits=ServerLimits(slots=2, connections=25, connect_time=0.006),
        priority=Priority.INTERACTIVE,
        prefer=Preference.LATENCY,
        time_limit=0.1,
        least_coverage=0.0,
    )


def make_query(*, deadline=0.1, prefer=Preference.LATENCY):
    return Query(
        request_id="r1",
        index="boats",
        services=(),
        body={},
        deadline=deadline,
        prefer=prefer,
        priority=Priority.INTERACTIVE,
        least_coverage=0.0,
    )


def make_answer(attempt, **changes):
    """Return the correct answer to ``attempt``, modified by ``changes``."""
    fields = {
        "request_id": "r1",
        "snapshot": attempt.pin.snapshot,
        "layout": attempt.pin.layout,
        "partials": tuple(
            ServerPartial(
                shard=shard, count=1, results=((attempt.pin.snapshot, shard),)
            )
            for shard in sorted(attempt.shards)
        ),
    }
    return ServerAnswer(**{**fields, **changes})


class InOrderChooser:
    """Chooses the first replica that is neither tried nor lost.

    :param lost: names of lost replicas, or pairs of a name and a pin that the
        replica no longer holds.
    """

    def __init__(self, *, lost=()):
        self.lost = set(lost)

    def choose(self, *, service, pin, tried, now, purpose):
        for server in service.backend_servers:
            if server.name in tried or server.name in self.lost:
                continue
            if (server.name, pin) not in self.lost:
                return server
        return None


class CountedBudget:
    """Grants a fixed number of extra attempts."""

    def __init__(self, *, grants=1000):
        self.grants = grants
        self.opens_at = 0.0
        self.first_attempts = 0
        self.spent = 0

    def record_first(self, *, server, now):
        self.first_attempts += 1

    def try_spend(self, *, server, now):
        if self.spent >= self.grants or now < self.opens_at:
            return False
        self.spent += 1
        return True


class FixedHedging:
    """Hedges every service after a fixed delay."""

    def __init__(self, *, seconds=0.01):
        self.seconds = seconds

    def delay(self, *, service):
        return self.seconds


class FanoutHarness:
    """A fan-out with fakes; records every action that it returns."""

    def __init__(
        self,
        *,
        services,
        deadline=0.1,
        prefer=Preference.LATENCY,
        grants=1000,
        hedge_after=0.01,
        lost=(),
        pin=PIN,
        unavailable=frozenset(),
    ):
        self.chooser = InOrderChooser(lost=lost)
        self.budget = CountedBudget(grants=grants)
        self.counters = Counters()
        self.actions = []
        self.fanout = Fanout(
            query=make_query(deadline=deadline, prefer=prefer),
            pin=pin,
            services=services,
            policies=FanoutPolicies(
                chooser=self.chooser,
                budget=self.budget,
                hedging=FixedHedging(seconds=hedge_after),
                counters=self.counters,
                random=Random(1),
            ),
            unavailable=unavailable,
        )

    def __getattr__(self, event):
        """Pass an event to the fan-out and record the returned actions."""

        def call(*args):
            actions = getattr(self.fanout, event)(*args)
            self.actions.extend(actions)
            return actions

        return call

    def actions_of(self, kind):
        """Return the recorded actions of type ``kind``."""
        return [action for action in self.actions if isinstance(action, kind)]


def ok(attempt, after=0.002, **changes):
    """Answer after ``after`` seconds, with ``changes`` to the correct answer."""
    return [(after, make_answer(attempt, **changes))]


def fails(kind, after=0.001, **fields):
    """Return a behaviour that fails every attempt."""
    failure = AttemptFailure(kind=kind, **fields)
    return lambda attempt: [(after, failure)]


def simulate(harness, behaviours, repin=None, end=1.0):
    """Run ``harness`` until no events are left; return (answer, seconds).

    :param behaviours: by server name, a function from an attempt to its outcomes
        as pairs of seconds and answer or failure; ``ok`` by default.
    :param repin: the pin to restart on if the fan-out requests another one.
    """
    heap, count, finished = [], 0, []
    pending, now = harness.start(0.0), 0.0
    while True:
        for action in pending:
            if isinstance(action, Finish):
                finished.append((action.answer, now))
            if isinstance(action, Repin):
                count += 1
                heappush(heap, (now, count, "restart", None, repin))
            if isinstance(action, SendAttempt):
                attempt = action.attempt
                behave = behaviours.get(attempt.server.name, ok)
                harness.dispatched(attempt, now)
                for after, outcome in behave(attempt):
                    count += 1
                    heappush(heap, (now + after, count, "end", attempt, outcome))
        timer = harness.fanout.next_timer()
        if timer is not None and (not heap or timer <= heap[0][0]) and timer <= end:
            now = max(now, timer)
            pending = harness.tick(now)
        elif heap:
            now, _, event, attempt, outcome = heappop(heap)
            if event == "restart":
                pending = harness.restart(outcome, now)
            elif isinstance(outcome, AttemptFailure):
                pending = harness.failed(attempt, outcome, now)
            else:
                pending = harness.answered(attempt, outcome, now)
        else:
            (result,) = finished
            return result
