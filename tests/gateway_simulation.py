"""Plays recorded arrivals through the gateway's decisions on a virtual clock.

The model of a backend server has slots, a queue, pauses, a speed, spells in which it
is slow or down, and a distance. Nothing waits and nothing is sent.
"""

from collections import deque
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from math import inf
from random import Random

from savorypond.gateway.gather_plan import GatherPlan, HedgeDelays, PlanLimits, Verdict
from savorypond.gateway.request_run import LINGER_TIME, RegistryServerChooser
from savorypond.gateway.retry_budget import ServiceRetryBudget, ServiceRetryBudgetConfig
from savorypond.gateway.route_latency import RouteLatencies
from savorypond.gateway.server_load import ServerLoadTracker
from savorypond.gateway.servers import ServerRegistry
from tests.gateway_fakes import server

DATA_CENTRES = ("a", "b", "c")
NEAR_LINK = 0.0002  # seconds one way
FAR_LINK = 0.005  # seconds one way
HANDSHAKE = 0.006  # seconds, where the last use of a server is long ago
KEPT = 3.0  # seconds that an idle connection is kept


@dataclass(frozen=True, kw_only=True)
class Site:
    """What is asked and what goes wrong; times in seconds.

    :param slow: share of the servers that are slow, by ``slow_factor``.
    :param down: share of the shards without any server that answers.
    :param spell: from when to when servers are slow or down.
    """

    shards: int = 20
    replicas: int = 2
    slots: int = 2
    rate: float = 7.0
    seconds: float = 30.0
    work: float = 0.0225
    goal: float = 0.175
    limit: float = 1.2
    least: float = 0.89
    pause: float = 0.15
    pause_every: float = 3.6
    slow: float = 0.0
    slow_factor: float = 6.0
    down: float = 0.0
    spell: tuple[float, float] = (8.0, 16.0)
    seed: int = 1


@dataclass(kw_only=True)
class Outcome:
    """What callers got, and what it took.

    :param worth: mean of what each answer is worth: the square of its share of
        shards, a tenth of it when late.
    """

    asked: int = 0
    in_goal: int = 0
    late: int = 0
    failed: int = 0
    failed_times: list = field(default_factory=list)
    worth: float = 0.0
    sends: int = 0
    far_sends: int = 0
    extra: int = 0


@dataclass(kw_only=True, eq=False)
class _Job:
    work: float
    done: object
    cancelled: bool = False
    running: bool = False


class ModelServer:
    """One backend server of the model."""

    def __init__(self, world, registered, *, speed, phase, slow, down):
        self.registered = registered
        self._world = world
        self._speed = speed
        self._phase = phase
        self._slow = slow
        self._down = down
        self._queue = deque()
        self._running = 0
        self._used = -inf

    def connect_time(self, now):
        """Return what a send costs beyond the link."""
        fresh = now - self._used > KEPT
        self._used = now
        return HANDSHAKE if fresh else 0.0

    def take(self, job, now):
        """Queue a job; refuse it where the server is down."""
        site = self._world.site
        if self._down and site.spell[0] <= now < site.spell[1]:
            job.done(False, now)
            return
        self._queue.append(job)
        self._begin(now)

    def _begin(self, now):
        while self._queue and self._running < self._world.site.slots:
            job = self._queue.popleft()
            if job.cancelled:
                continue
            self._running += 1
            job.running = True
            end = self._end(now, job.work * self._speed)
            self._world.at(end, lambda job=job, end=end: self._finish(job, end))

    def _finish(self, job, now):
        self._running -= 1
        if not job.cancelled:
            job.done(True, now)
        self._begin(now)

    def _end(self, now, work):
        site = self._world.site
        if self._slow and site.spell[0] <= now < site.spell[1]:
            work *= site.slow_factor
        end = now + work
        pause = (now - self._phase) // site.pause_every * site.pause_every
        pause += self._phase
        if now < pause + site.pause:
            return end + pause + site.pause - now
        if end > pause + site.pause_every:
            return end + site.pause
        return end


class World:
    """One instance, its servers, and the clock.

    :param hedge_far: when far hedges are made: ``late`` as the design does,
        ``soon`` as near ones, or ``never``.
    :param plain: choose servers at random, wait for every shard, never hedge.
    """

    def __init__(self, site, *, hedge_far="late", plain=False):
        self.site = site
        self.outcome = Outcome()
        self._hedge_far = hedge_far
        self._plain = plain
        self._random = Random(site.seed)
        self._events = []
        self._order = count()
        self._registry = ServerRegistry()
        self._loads = ServerLoadTracker(data_centre="a", random=Random(site.seed))
        self._latencies = RouteLatencies()
        self._budget = ServiceRetryBudget(
            config=ServiceRetryBudgetConfig(ratio=0.2, slack=9.0, window=10.0)
        )
        self._servers = {}
        self._services = tuple(f"s{n}" for n in range(site.shards))
        self._place()

    def _place(self):
        site = self.site
        down = set(self._random.sample(self._services, int(site.down * site.shards)))
        total = site.shards * site.replicas
        slow = set(self._random.sample(range(total), int(site.slow * total)))
        number = count()
        for index, service in enumerate(self._services):
            for replica in range(site.replicas):
                where = DATA_CENTRES[(index + replica) % len(DATA_CENTRES)]
                registered = server(
                    f"{service}-{replica}", service=service, data_centre=where
                )
                self._servers[registered.name] = ModelServer(
                    self,
                    registered,
                    speed=self._random.choice((0.8, 1.0, 1.3)),
                    phase=self._random.uniform(0.0, site.pause_every),
                    slow=next(number) in slow,
                    down=service in down,
                )
        every = [one.registered for one in self._servers.values()]
        self._registry.replace_all(every, 0.0)

    def at(self, time, action):
        """Do ``action`` at ``time``."""
        heappush(self._events, (time, next(self._order), action))

    def play(self):
        """Play all arrivals and return what callers got."""
        now = 0.0
        while now < self.site.seconds:
            now += self._random.expovariate(self.site.rate)
            self.at(now, lambda now=now: _Request(self, now).begin())
        while self._events:
            _, _, action = heappop(self._events)
            action()
        self.outcome.worth /= self.outcome.asked
        return self.outcome

    def plan(self, now):
        """Return the plan of a request, and what is usual for its route."""
        site = self.site
        mean_latency = self._latencies.mean(route="r", goal=site.goal)
        delays = self._latencies.hedge_delays(
            route="r", goal=site.goal, time_left=site.goal
        )
        if self._hedge_far == "soon":
            delays = HedgeDelays(local=delays.local, remote=delays.local)
        elif self._hedge_far == "never":
            delays = HedgeDelays(local=delays.local, remote=inf)
        if self._plain:
            delays = HedgeDelays(local=inf, remote=inf)
        chooser = RegistryServerChooser(
            registry=self._registry,
            loads=_RandomLoads(self._random) if self._plain else self._loads,
            mean_latency=mean_latency,
        )
        for service in self._services:
            self._budget.record_request(service=service, now=now)
        limits = PlanLimits(
            repeatable=True,
            max_attempts=2,
            least_share=site.least,
            partial_after=now + (site.limit if self._plain else site.goal),
            deadline=now + site.limit,
        )
        plan = GatherPlan(
            services=self._services,
            limits=limits,
            hedge_delays=delays,
            chooser=chooser,
            budget=self._budget,
        )
        return plan, mean_latency

    def send(self, request, send, now):
        """Send one attempt to its server of the model."""
        server_ = self._servers[send.server.name]
        far = self._loads.is_remote(send.server)
        link = FAR_LINK if far else NEAR_LINK
        self.outcome.sends += 1
        self.outcome.far_sends += far
        number = self._loads.begin(send.server, now)
        spread = self._random.lognormvariate(-0.06, 0.35)
        job = _Job(work=self.site.work * spread, done=None)

        def arrived(good, end):
            back = end + link
            self.at(back, lambda: self._arrive(request, send, number, good, now, back))

        job.done = arrived
        there = now + link + server_.connect_time(now) * (1.0 + 2.0 * link / HANDSHAKE)
        self.at(there, lambda: server_.take(job, there))
        return number, job

    def _arrive(self, request, send, number, good, began, now):
        if send.number not in request.running:
            return
        del request.running[send.number]
        if good:
            self._loads.record_answer(
                send.server, number, mean_latency=request.mean_latency, now=now
            )
            self._latencies.record(route="r", seconds=now - began, now=now)
            request.plan.record_answer(send.number)
        else:
            self._loads.record_failure(send.server, number, unreachable=True, now=now)
            more = request.plan.record_unsent(send.number, now)
            request.send(more, now)
        request.step(now)

    def abandon(self, send, number, job, mean_latency, now):
        """Give up on an attempt that nobody waits for."""
        job.cancelled = True
        self._loads.record_abandoned(
            send.server, number, mean_latency=mean_latency, now=now
        )


class _RandomLoads:
    def __init__(self, random):
        self._random = random

    def choose(self, servers, *, exclude, mean_latency, now):
        left = [one for one in servers if one.name not in exclude]
        return self._random.choice(left) if left else None

    def is_remote(self, server_):
        return True


class _Request:
    def __init__(self, world, now):
        self.running = {}
        self._world = world
        self._began = now
        self.plan, self.mean_latency = world.plan(now)
        self._over = False

    def begin(self):
        self._world.outcome.asked += 1
        self.send(self.plan.start(self._began), self._began)
        self.step(self._began)

    def send(self, sends, now):
        for send in sends:
            number, job = self._world.send(self, send, now)
            self.running[send.number] = (send, number, job)

    def step(self, now):
        if self._over:
            return
        verdict = self.plan.verdict(now)
        if verdict is not None:
            self._end(verdict, now)
            return
        self.send(self.plan.due_hedges(now), now)
        wake = self.plan.next_wakeup()
        if wake < inf:
            self._world.at(max(wake, now), lambda: self.step(max(wake, now)))

    def _end(self, verdict, now):
        self._over = True
        outcome = self._world.outcome
        outcome.extra += self.plan.hedges + self.plan.retries
        waited = now - self._began
        if verdict is Verdict.ANSWER:
            share = self.plan.answered / self._world.site.shards
            in_goal = waited <= self._world.site.goal + 1e-6
            outcome.in_goal += in_goal
            outcome.late += not in_goal
            outcome.worth += share * share * (1.0 if in_goal else 0.1)
        else:
            outcome.failed += 1
            outcome.failed_times.append(waited)
        until = now + LINGER_TIME
        self._world.at(until, lambda: self._leave(until))

    def _leave(self, now):
        for send, number, job in self.running.values():
            self._world.abandon(send, number, job, self.mean_latency, now)
        self.running.clear()


def play(site, **choices):
    """Return what callers of ``site`` get."""
    return World(site, **choices).play()
