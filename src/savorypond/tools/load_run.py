"""Open-loop load: sends queries at given times without waiting for the answers.

Latency is measured from the intended send time, so that a slow answer does not hide
the delay of the queries behind it (coordinated omission).
"""

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random

from curio import TaskGroup, TaskTimeout, sleep
from msgspec import DecodeError, Struct
from msgspec.json import Decoder, encode

from savorypond.clock import Clock
from savorypond.exceptions import BackendServerError
from savorypond.http.client import HttpConnection
from savorypond.http.messages import Header, HttpRequest, HttpResponse
from savorypond.metrics import LatencyHistogram
from savorypond.model import Address
from savorypond.timeouts import timeout_after

_ANSWER_GRACE = 2.0  # seconds after the time limit before an answer counts as lost
_JSON = Header(name="content-type", value="application/json")


class _Missing(Struct, frozen=True):
    shard: str
    reason: str


class _Coverage(Struct, frozen=True):
    asked: int
    covered: int
    missing: tuple[_Missing, ...] = ()


class AnswerBody(Struct, frozen=True):
    """The fields of an answer that the load tool reads."""

    request_id: str
    snapshot: int
    coverage: _Coverage


class ProblemBody(Struct, frozen=True):
    """The fields of a refusal that the load tool reads."""

    reason: str
    execution: str


_answer_decoder = Decoder(AnswerBody)
_problem_decoder = Decoder(ProblemBody)


@dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """The arrival of one query.

    :param at: seconds after the start of the run.
    :param target: position in the list of targets.
    """

    at: float
    target: int


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadOptions:
    """The parameters of the queries.

    :param time_limit: seconds, or None for the default of the service.
    """

    index: str
    time_limit: float | None = None


@dataclass(slots=True, kw_only=True)
class LoadResult:
    """The result of one run.

    :param full: number of answers that cover all shards.
    :param least_coverage: lowest coverage of an answer.
    :param seconds: length of the run.
    """

    sent: int = 0
    answered: int = 0
    full: int = 0
    asked_shards: int = 0
    covered_shards: int = 0
    least_coverage: float = 1.0
    seconds: float = 0.0
    latency: LatencyHistogram = field(default_factory=LatencyHistogram)
    refusals: Counter[str] = field(default_factory=Counter)
    missing: Counter[str] = field(default_factory=Counter)

    @property
    def mean_coverage(self) -> float:
        """Share of the asked shards that were covered, over all answers."""
        if not self.asked_shards:
            return 0.0
        return self.covered_shards / self.asked_shards


def poisson_arrivals(
    *, rate: float, seconds: float, targets: int, random: Random
) -> tuple[Arrival, ...]:
    """Return Poisson arrivals at ``rate`` per second, each at a random target."""
    arrivals = []
    at = random.expovariate(rate)
    while at < seconds:
        arrivals.append(Arrival(at=at, target=random.randrange(targets)))
        at += random.expovariate(rate)
    return tuple(arrivals)


class LoadRun:
    """Sends queries to the targets and collects the answers.

    :param progress: called about once per second with the result so far.
    """

    def __init__(
        self,
        *,
        targets: Sequence[Address],
        options: LoadOptions,
        clock: Clock,
        progress: Callable[[LoadResult], None] | None = None,
    ) -> None:
        self._targets = tuple(targets)
        self._options = options
        self._clock = clock
        self._progress = progress
        self._idle_connections: dict[Address, list[HttpConnection]] = {
            t: [] for t in targets
        }
        self._result = LoadResult()

    async def run(self, arrivals: Sequence[Arrival]) -> LoadResult:
        """Send a query at each arrival and return the result."""
        started = self._clock.now()
        shown_at = started
        async with TaskGroup(wait=all) as group:
            for arrival in arrivals:
                due = started + arrival.at
                wait = due - self._clock.now()
                if wait > 0:
                    await sleep(wait)
                self._result.sent += 1
                target = self._targets[arrival.target]
                await group.spawn(self._send, target, due)
                if self._progress is not None and due - shown_at >= 1.0:
                    shown_at = due
                    self._progress(self._result)
        self._result.seconds = self._clock.now() - started
        await self._close()
        return self._result

    async def _send(self, target: Address, due: float) -> None:
        try:
            async with timeout_after((self._options.time_limit or 1.0) + _ANSWER_GRACE):
                response = await self._exchange(target)
        except TaskTimeout:
            self._result.refusals["lost: no answer"] += 1
            return
        except BackendServerError:
            self._result.refusals["lost: connection"] += 1
            return
        self._count(response, self._clock.now() - due)

    async def _exchange(self, target: Address) -> HttpResponse:
        idle = self._idle_connections[target]
        connection = idle.pop() if idle else HttpConnection(address=target)
        try:
            if not connection.reusable:
                await connection.open()
            response = await connection.request(query_request(self._options))
        except BaseException:
            await connection.close()
            raise
        if connection.reusable:
            idle.append(connection)
        else:
            await connection.close()
        return response

    def _count(self, response: HttpResponse, seconds: float) -> None:
        result = self._result
        try:
            if response.status != 200:
                problem = _problem_decoder.decode(response.body)
                result.refusals[f"{problem.reason} ({problem.execution})"] += 1
                return
            coverage = _answer_decoder.decode(response.body).coverage
        except DecodeError:
            result.refusals["unreadable"] += 1
            return
        result.answered += 1
        result.full += coverage.asked == coverage.covered
        result.asked_shards += coverage.asked
        result.covered_shards += coverage.covered
        share = coverage.covered / coverage.asked if coverage.asked else 1.0
        result.least_coverage = min(result.least_coverage, share)
        result.missing.update(missing.reason for missing in coverage.missing)
        result.latency.record(seconds)

    async def _close(self) -> None:
        for idle in self._idle_connections.values():
            for connection in idle:
                await connection.close()


def query_request(options: LoadOptions) -> HttpRequest:
    """Return the query that the load tool sends."""
    body: dict[str, object] = {"index": options.index, "query": {"text": "load"}}
    if options.time_limit is not None:
        body["time_limit_ms"] = options.time_limit * 1000.0
    return HttpRequest(
        method="POST", path="/v1/query", headers=(_JSON,), body=encode(body)
    )
