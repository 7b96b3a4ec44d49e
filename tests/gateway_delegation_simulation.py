"""Simulates queries whose shards are gathered by delegates, on a virtual clock.

Each delegate always gathers the same chunk of the shards, knows only the load that it
has seen itself, and answers when an answer may be partial, as an instance does.
"""

from dataclasses import dataclass

from savorypond.gateway.gather_plan import GatherPlan
from savorypond.gateway.plan_types import PlanLimits, Verdict
from savorypond.gateway.rate_control import RankedRequest
from savorypond.gateway.server_chooser import RegistryServerChooser
from tests.gateway_simulation import (
    SimulatedRequest,
    Simulation,
    make_budget,
)

CHUNKS = 7
LINK_DELAY = 0.003  # seconds one way between an instance and its delegates
RETURN_TIME = 0.012  # seconds by which a delegate's answer is due earlier


@dataclass(kw_only=True)
class _Delegate:
    """What one delegate knows.

    :param shards: indexes of the shards of its chunk.
    """

    shards: tuple
    loads: object
    budget: object


class DelegationSimulation(Simulation):
    """Queries that one instance delegates in chunks.

    :param follow_ups: whether a delegate that has answered is asked for the rest.
    """

    def __init__(self, scenario, *, follow_ups=True):
        super().__init__(scenario)
        self.follow_ups = follow_ups
        indexes = range(scenario.shards)
        self.delegates = [
            _Delegate(
                shards=tuple(indexes[chunk::CHUNKS]),
                loads=self.make_loads(),
                budget=make_budget(),
            )
            for chunk in range(CHUNKS)
        ]

    def make_request(self, now):
        self.outcome.requests += 1
        return _DelegatedRequest(self, now, first_sent_at=now)

    def record_end(self, plan, verdict, *, started_at, now, first_sent_at):
        """Count how a request ended; a caller repeats a failed one once, at once."""
        if verdict is not Verdict.ANSWER and started_at == first_sent_at:
            repeated = _DelegatedRequest(self, now, first_sent_at=first_sent_at)
            self.schedule(now, repeated.begin)
            return
        super().record_end(plan, verdict, started_at=first_sent_at, now=now)

    def chunk_plan(self, delegate, *, now, due, deadline):
        """Return the plan of a delegate and the mean latency of the route."""
        mean_latency = self._latencies.mean(route="r", goal=self.scenario.goal)
        services = tuple(self._services[shard] for shard in delegate.shards)
        for service in services:
            delegate.budget.record_request(service=service, now=now)
        plan = GatherPlan(
            services=services,
            limits=PlanLimits(
                repeatable=True,
                max_attempts=2,
                least_share=0.0,
                partial_after=due,
                deadline=deadline,
            ),
            hedge_delays=self._latencies.hedge_delays(
                route="r", goal=self.scenario.goal, time_left=due - now
            ),
            chooser=RegistryServerChooser(
                registry=self._registry,
                loads=delegate.loads,
                mean_latency=mean_latency,
                rates=self._rates,
                notices=self._notices,
                request=RankedRequest(priority=1, rank=0.0),
            ),
            budget=delegate.budget,
        )
        return plan, mean_latency


class _DelegatedRequest:
    def __init__(self, simulation, now, *, first_sent_at):
        self._simulation = simulation
        self._started_at = now
        self._first_sent_at = first_sent_at
        self._ended = False
        scenario = simulation.scenario
        self._deadline = first_sent_at + scenario.time_limit
        self._due = first_sent_at + scenario.goal
        services = tuple(f"s{n}" for n in range(scenario.shards))
        self.plan = GatherPlan(
            services=services,
            limits=PlanLimits(
                repeatable=True,
                max_attempts=2,
                least_share=scenario.least_share,
                partial_after=self._due,
                deadline=self._deadline,
            ),
            hedge_delays=None,
            chooser=None,
            budget=None,
        )
        self._chunks = {}

    def begin(self):
        simulation, now = self._simulation, self._started_at
        for delegate in simulation.delegates:
            group = self.plan.delegate(delegate.shards, fallback_at=self._deadline)
            due = self._due - RETURN_TIME
            chunk = _Chunk(self, group, delegate, due=due, deadline=self._deadline)
            self._chunks[group.number] = chunk
            simulation.schedule(now + LINK_DELAY, chunk.begin)
        self.plan.start(now)
        self.step(now)

    def deliver(self, group, answered, pending, now):
        if self._ended:
            return
        if not self._simulation.follow_ups:
            pending = ()
        self.plan.record_group_answer(group, answered, pending=pending)
        self.step(now)

    def step(self, now):
        if self._ended:
            return
        verdict = self.plan.verdict(now)
        if verdict is not None:
            self._ended = True
            self._simulation.record_end(
                self.plan,
                verdict,
                started_at=self._started_at,
                now=now,
                first_sent_at=self._first_sent_at,
            )
            for chunk in self._chunks.values():
                chunk.abandon(now)
            return
        for group in self.plan.due_follow_ups(now):
            chunk = self._chunks[group.number]
            asked_at = now + LINK_DELAY
            self._simulation.schedule(asked_at, lambda c=chunk, t=asked_at: c.resume(t))
        wakeup = max(self.plan.next_wakeup(), now)
        self._simulation.schedule(wakeup, lambda: self.step(wakeup))


class _Chunk(SimulatedRequest):
    """The part of a query that one delegate gathers."""

    def __init__(self, query, group, delegate, *, due, deadline):
        simulation = query._simulation
        self.running = {}
        self.loads = delegate.loads
        self._simulation = simulation
        self._query = query
        self._group = group
        self._due = due
        self._deadline = deadline
        self._shards = delegate.shards
        self._delegate = delegate
        self._reported = set()
        self._awaited = True

    def begin(self):
        now = self._query._started_at + LINK_DELAY
        self.plan, self.mean_latency = self._simulation.chunk_plan(
            self._delegate, now=now, due=self._due, deadline=self._deadline
        )
        self.send(self.plan.start(now), now)
        self.step(now)

    def resume(self, now):
        """Wait for further shards."""
        self._awaited = True
        self.step(now)

    def step(self, now):
        if not self._awaited:
            return
        answered = self._answered() - self._reported
        pending = self._pending()
        is_first = not self._reported
        if (is_first and self.plan.verdict(now) is not None) or (
            not is_first and (answered or not pending)
        ):
            self._report(answered, pending, now)
            return
        self.send(self.plan.due_hedges(now), now)
        wakeup = min(self.plan.next_hedge(), self._deadline)
        if is_first and now < self._due:
            wakeup = min(wakeup, self._due)
        if wakeup > now:
            self._simulation.schedule(wakeup, lambda: self.step(wakeup))

    def abandon(self, now):
        self._awaited = False
        self._abandon_running(now)

    def _report(self, answered, pending, now):
        self._awaited = False
        self._reported |= answered
        arrives_at = now + LINK_DELAY
        self._simulation.schedule(
            arrives_at,
            lambda: self._query.deliver(self._group, answered, pending, arrives_at),
        )

    def _answered(self):
        missing = set(self.plan.missing())
        return {n for n in self._shards if f"s{n}" not in missing}

    def _pending(self):
        return tuple(self._shards[index] for index in self.plan.pending())
