"""Simulates the gateway's decisions under load on a virtual clock.

A simulated backend server has slots, a queue, a speed, regular pauses, a network delay
and a period in which it may be slow or unreachable. Nothing sleeps and nothing is sent.
"""

from collections import deque
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from math import inf
from random import Random

from savorypond.gateway.gather_plan import GatherPlan
from savorypond.gateway.plan_types import HedgeDelays, PlanLimits, Verdict
from savorypond.gateway.rate_control import RankedRequest
from savorypond.gateway.request_run import LINGER_TIME
from savorypond.gateway.retry_budget import ServiceRetryBudget, ServiceRetryBudgetConfig
from savorypond.gateway.route_latency import RouteLatencies
from savorypond.gateway.server_chooser import RegistryServerChooser
from savorypond.gateway.server_load import ServerLoadTracker
from savorypond.gateway.servers import ServerRegistry
from tests.gateway_fakes import make_notices, make_rates, server

DATA_CENTRES = ("a", "b", "c")
LOCAL_DELAY = 0.0002  # seconds one way
REMOTE_DELAY = 0.005  # seconds one way
HANDSHAKE_TIME = 0.006  # seconds to open a connection
KEEP_ALIVE = 3.0  # seconds for which an idle connection stays open


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """The load, the servers and the faults of a simulation; times in seconds.

    :param work: mean processing time of a request on a server.
    :param slow: share of the servers that are slower by ``slow_factor``.
    :param unreachable: share of the shards of which no server is reachable.
    :param fault_period: start and end of the time in which these faults occur.
    """

    shards: int = 20
    replicas: int = 2
    slots: int = 2
    arrival_rate: float = 7.0
    duration: float = 30.0
    work: float = 0.0225
    goal: float = 0.175
    time_limit: float = 1.2
    least_share: float = 0.89
    pause: float = 0.15
    pause_every: float = 3.6
    slow: float = 0.0
    slow_factor: float = 6.0
    unreachable: float = 0.0
    fault_period: tuple[float, float] = (8.0, 16.0)
    seed: int = 1


@dataclass(kw_only=True)
class Outcome:
    """The results of a simulation.

    :param mean_value: mean value of a request: the square of the share of shards in its
        answer, reduced to a tenth if late, and 0 without an answer.
    """

    requests: int = 0
    in_time: int = 0
    late: int = 0
    failed: int = 0
    failed_times: list = field(default_factory=list)
    mean_value: float = 0.0
    attempts: int = 0
    remote_attempts: int = 0
    extra_attempts: int = 0


@dataclass(kw_only=True, eq=False)
class _Job:
    work: float
    done: object
    cancelled: bool = False
    running: bool = False


class SimulatedServer:
    """A simulated backend server."""

    def __init__(self, simulation, registered, *, speed, phase, slow, unreachable):
        self.registered = registered
        self._simulation = simulation
        self._speed = speed
        self._phase = phase
        self._slow = slow
        self._unreachable = unreachable
        self._queue = deque()
        self._running = 0
        self._last_used = -inf

    def connect_time(self, now):
        """Return the seconds needed to open a connection, 0 if one is open."""
        is_new = now - self._last_used > KEEP_ALIVE
        self._last_used = now
        return HANDSHAKE_TIME if is_new else 0.0

    def submit(self, job, now):
        """Queue a job; refuse it while the server is unreachable."""
        scenario = self._simulation.scenario
        if (
            self._unreachable
            and scenario.fault_period[0] <= now < scenario.fault_period[1]
        ):
            job.done(False, now)
            return
        self._queue.append(job)
        self._begin(now)

    def _begin(self, now):
        while self._queue and self._running < self._simulation.scenario.slots:
            job = self._queue.popleft()
            if job.cancelled:
                continue
            self._running += 1
            job.running = True
            end = self._end(now, job.work * self._speed)
            self._simulation.schedule(
                end, lambda job=job, end=end: self._finish(job, end)
            )

    def _finish(self, job, now):
        self._running -= 1
        if not job.cancelled:
            job.done(True, now)
        self._begin(now)

    def _end(self, now, work):
        scenario = self._simulation.scenario
        if self._slow and scenario.fault_period[0] <= now < scenario.fault_period[1]:
            work *= scenario.slow_factor
        end = now + work
        pause = (now - self._phase) // scenario.pause_every * scenario.pause_every
        pause += self._phase
        if now < pause + scenario.pause:
            return end + pause + scenario.pause - now
        if end > pause + scenario.pause_every:
            return end + scenario.pause
        return end


class Simulation:
    """One gateway instance, its servers and the virtual clock.

    :param remote_hedges: when to hedge to another data centre: ``late`` as the gateway
        does, ``soon`` as to the same data centre, or ``never``.
    :param baseline: choose servers at random, wait for every shard and never hedge.
    """

    def __init__(self, scenario, *, remote_hedges="late", baseline=False):
        self.scenario = scenario
        self.outcome = Outcome()
        self._remote_hedges = remote_hedges
        self._baseline = baseline
        self._random = Random(scenario.seed)
        self._events = []
        self._sequence = count()
        self._registry = ServerRegistry()
        self._loads = self.make_loads()
        self._latencies = RouteLatencies()
        self._budget = make_budget()
        self._rates = make_rates()
        self._notices = make_notices()
        self._servers = {}
        self._services = tuple(f"s{n}" for n in range(scenario.shards))
        self._place()

    def make_loads(self):
        """Return what an instance of data centre a knows of the servers' load."""
        return ServerLoadTracker(data_centre="a", random=Random(self.scenario.seed))

    def _place(self):
        scenario = self.scenario
        unreachable = set(
            self._random.sample(
                self._services, int(scenario.unreachable * scenario.shards)
            )
        )
        total = scenario.shards * scenario.replicas
        slow = set(self._random.sample(range(total), int(scenario.slow * total)))
        number = count()
        for index, service in enumerate(self._services):
            for replica in range(scenario.replicas):
                data_centre = DATA_CENTRES[(index + replica) % len(DATA_CENTRES)]
                registered = server(
                    f"{service}-{replica}", service=service, data_centre=data_centre
                )
                self._servers[registered.name] = SimulatedServer(
                    self,
                    registered,
                    speed=self._random.choice((0.8, 1.0, 1.3)),
                    phase=self._random.uniform(0.0, scenario.pause_every),
                    slow=next(number) in slow,
                    unreachable=service in unreachable,
                )
        registered_servers = [
            candidate.registered for candidate in self._servers.values()
        ]
        self._registry.replace_all(registered_servers, 0.0)

    def schedule(self, time, action):
        """Call ``action`` at ``time``."""
        heappush(self._events, (time, next(self._sequence), action))

    def run(self):
        """Simulate all requests and return the outcome."""
        now = 0.0
        while now < self.scenario.duration:
            now += self._random.expovariate(self.scenario.arrival_rate)
            self.schedule(now, lambda now=now: self.make_request(now).begin())
        while self._events:
            _, _, action = heappop(self._events)
            action()
        self.outcome.mean_value /= self.outcome.requests
        return self.outcome

    def make_request(self, now):
        """Return a request that arrives at ``now``."""
        return SimulatedRequest(self, now, self._loads)

    def plan(self, now):
        """Return the plan of a request and the mean latency of its route."""
        scenario = self.scenario
        mean_latency = self._latencies.mean(route="r", goal=scenario.goal)
        delays = self._latencies.hedge_delays(
            route="r", goal=scenario.goal, time_left=scenario.goal
        )
        if self._remote_hedges == "soon":
            delays = HedgeDelays(local=delays.local, remote=delays.local)
        elif self._remote_hedges == "never":
            delays = HedgeDelays(local=delays.local, remote=inf)
        if self._baseline:
            delays = HedgeDelays(local=inf, remote=inf)
        chooser = RegistryServerChooser(
            registry=self._registry,
            loads=_RandomChooser(self._random) if self._baseline else self._loads,
            mean_latency=mean_latency,
            rates=self._rates,
            notices=self._notices,
            request=RankedRequest(priority=1, rank=0.0),
        )
        for service in self._services:
            self._budget.record_request(service=service, now=now)
        limits = PlanLimits(
            repeatable=True,
            max_attempts=2,
            least_share=scenario.least_share,
            partial_after=now
            + (scenario.time_limit if self._baseline else scenario.goal),
            deadline=now + scenario.time_limit,
        )
        plan = GatherPlan(
            services=self._services,
            limits=limits,
            hedge_delays=delays,
            chooser=chooser,
            budget=self._budget,
        )
        return plan, mean_latency

    def send(self, request, attempt, now):
        """Send one attempt to its simulated server."""
        simulated = self._servers[attempt.server.name]
        is_remote = request.loads.is_remote(attempt.server)
        link_delay = REMOTE_DELAY if is_remote else LOCAL_DELAY
        self.outcome.attempts += 1
        self.outcome.remote_attempts += is_remote
        number = request.loads.begin(attempt.server, now)
        work_factor = self._random.lognormvariate(-0.06, 0.35)
        job = _Job(work=self.scenario.work * work_factor, done=None)

        def arrived(good, end):
            returns_at = end + link_delay
            self.schedule(
                returns_at,
                lambda: self._arrive(request, attempt, number, good, now, returns_at),
            )

        job.done = arrived
        arrives_at = (
            now
            + link_delay
            + simulated.connect_time(now) * (1.0 + 2.0 * link_delay / HANDSHAKE_TIME)
        )
        self.schedule(arrives_at, lambda: simulated.submit(job, arrives_at))
        return number, job

    def _arrive(self, request, attempt, number, good, started_at, now):
        if attempt.number not in request.running:
            return
        del request.running[attempt.number]
        if good:
            request.loads.record_answer(
                attempt.server, number, mean_latency=request.mean_latency, now=now
            )
            self._latencies.record(route="r", seconds=now - started_at, now=now)
            request.plan.record_answer(attempt.number)
        else:
            request.loads.record_failure(
                attempt.server, number, unreachable=True, now=now
            )
            replacements = request.plan.record_unsent(attempt.number, now)
            request.send(replacements, now)
        request.step(now)

    def abandon(self, request, attempt, number, job, now):
        """Cancel an attempt whose request has ended."""
        job.cancelled = True
        request.loads.record_abandoned(
            attempt.server, number, mean_latency=request.mean_latency, now=now
        )

    def record_end(self, plan, verdict, *, started_at, now):
        """Count how a request ended for its caller."""
        outcome = self.outcome
        waited = now - started_at
        if verdict is Verdict.ANSWER:
            share = plan.answered / self.scenario.shards
            in_time = waited <= self.scenario.goal + 1e-6
            outcome.in_time += in_time
            outcome.late += not in_time
            outcome.mean_value += share * share * (1.0 if in_time else 0.1)
        else:
            outcome.failed += 1
            outcome.failed_times.append(waited)


class _RandomChooser:
    def __init__(self, random):
        self._random = random

    def choose(self, servers, *, exclude, mean_latency, now):
        candidates = [
            candidate for candidate in servers if candidate.name not in exclude
        ]
        return self._random.choice(candidates) if candidates else None

    def is_remote(self, registered):
        return True


def make_budget():
    """Return the retry budget of one instance."""
    return ServiceRetryBudget(
        config=ServiceRetryBudgetConfig(ratio=0.2, slack=9.0, window=10.0)
    )


class SimulatedRequest:
    """A request whose shards one instance asks itself."""

    def __init__(self, simulation, now, loads):
        self.running = {}
        self.loads = loads
        self._simulation = simulation
        self._started_at = now
        self.plan, self.mean_latency = simulation.plan(now)
        self._ended = False

    def begin(self):
        self._simulation.outcome.requests += 1
        self.send(self.plan.start(self._started_at), self._started_at)
        self.step(self._started_at)

    def send(self, attempts, now):
        for attempt in attempts:
            number, job = self._simulation.send(self, attempt, now)
            self.running[attempt.number] = (attempt, number, job)

    def step(self, now):
        if self._ended:
            return
        verdict = self.plan.verdict(now)
        if verdict is not None:
            self._end(verdict, now)
            return
        self.send(self.plan.due_hedges(now), now)
        wakeup = self.plan.next_wakeup()
        if wakeup < inf:
            self._simulation.schedule(
                max(wakeup, now), lambda: self.step(max(wakeup, now))
            )

    def _end(self, verdict, now):
        self._ended = True
        self._simulation.outcome.extra_attempts += self.plan.hedges + self.plan.retries
        self._simulation.record_end(
            self.plan, verdict, started_at=self._started_at, now=now
        )
        cancel_at = now + LINGER_TIME
        self._simulation.schedule(cancel_at, lambda: self._abandon_running(cancel_at))

    def _abandon_running(self, now):
        for attempt, number, job in self.running.values():
            self._simulation.abandon(self, attempt, number, job, now)
        self.running.clear()


def run_scenario(scenario, **options):
    """Simulate ``scenario`` and return its outcome."""
    return Simulation(scenario, **options).run()
