"""A stand-in for a backend server, with faults that can be switched on.

Its interface is specified in docs/INTERFACES.md. Service times are lognormal with
a given mean and squared coefficient of variation.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from math import exp, log, sqrt
from random import Random
from typing import Self, TypeVar

from curio import Event, Semaphore, TaskTimeout, sleep
from msgspec import Struct, ValidationError, convert
from pydantic import BaseModel, ConfigDict

from savorypond.exceptions import RequestRefused
from savorypond.http.messages import (
    HttpRequest,
    HttpResponse,
    decode_json,
    json_response,
)
from savorypond.http.server import HttpLimits, HttpServer
from savorypond.model import Address, ServerLimits, Service
from savorypond.reasons import RefusalReason
from savorypond.timeouts import ignore_after, timeout_after

_SILENCE_TIME = 3600.0  # seconds for which a request on a silent connection hangs
_MAX_WAITING_PER_SLOT = 4  # queued requests per slot before new ones are shed


class Faults(BaseModel):
    """Faults to inject into a stand-in backend server.

    :param slow_factor: factor on service times.
    :param cold_for: seconds from now during which service times are ten times
        as long.
    :param silent: requests on connections that are open when the fault is set are
        never answered; those on later connections are.
    :param lost: new connections are reset, and requests are never answered.
    :param shed: every request is shed as not run.
    :param draining: the health answer says so and requests are refused as not run.
    :param health_lies: the health answer always says ready and idle.
    :param late_by: seconds by which answers are delayed after the work is done.
    :param truncated: answers lack the last result of each shard.
    :param wrong_request_id: answers carry the id of another request.
    :param wrong_snapshot: answers carry another snapshot than requested.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    slow_factor: float = 1.0
    cold_for: float = 0.0
    silent: bool = False
    lost: bool = False
    shed: bool = False
    draining: bool = False
    health_lies: bool = False
    late_by: float = 0.0
    truncated: bool = False
    wrong_request_id: bool = False
    wrong_snapshot: bool = False


class SearchRequest(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The body of a search request."""

    request_id: str
    snapshot: int
    layout: int
    shards: tuple[str, ...]
    query: object
    time_left_ms: float


class CallRequest(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The body of a non-idempotent call."""

    request_id: str
    payload: object
    time_left_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class LognormalServiceTime:
    """A lognormal distribution of service times.

    :param mean: seconds.
    :param scv: squared coefficient of variation.
    """

    mean: float = 0.005
    scv: float = 1.0

    def draw(self, random: Random) -> float:
        """Return one service time in seconds."""
        variance = log(1.0 + self.scv)
        location = log(self.mean) - variance / 2.0
        return exp(random.gauss(location, sqrt(variance)))


@dataclass(slots=True, kw_only=True)
class HeldSnapshots:
    """The snapshots that the backend servers of a site hold, newest last."""

    numbers: list[int] = field(default_factory=lambda: [100, 101])
    layout: int = 1

    def newest(self) -> int:
        """Return the newest snapshot."""
        return self.numbers[-1]


LinkDelay = Callable[[str], float]

_Body = TypeVar("_Body", bound=Struct)


class StandinBackendServer:
    """A backend server with slots, a queue, a connection limit, and faults.

    :param link_delay: returns the one-way seconds to the IP address of a peer.
    :param now: returns monotonic seconds.
    """

    def __init__(
        self,
        *,
        name: str,
        address: Address,
        service: Service,
        snapshots: HeldSnapshots,
        random: Random,
        service_time: LognormalServiceTime | None = None,
        link_delay: LinkDelay | None = None,
        now: Callable[[], float],
    ) -> None:
        self._name = name
        self._service = service
        self._snapshots = snapshots
        self._random = random
        self._service_time = service_time or LognormalServiceTime()
        self._link_delay = link_delay or _no_delay
        self._now = now
        self._faults = Faults()
        self._cold_until = 0.0
        self._silent_connections: set[int] = set()
        self._open_connections: set[int] = set()
        self._slots = Semaphore(service.limits.slots)
        self._waiting = 0
        self._running: dict[str, Event] = {}
        self._counts: Counter[str] = Counter()
        self._call_runs: Counter[str] = Counter()
        self._server = HttpServer(
            address=address,
            handler=self._handle,
            limits=HttpLimits(connections_per_peer=service.limits.connections),
            limiter=self,
        )

    @property
    def name(self) -> str:
        """Name of the backend server."""
        return self._name

    @property
    def address(self) -> Address:
        """The address on which it listens."""
        return self._server.address

    @property
    def counts(self) -> Counter[str]:
        """Event counts by name."""
        return self._counts

    @property
    def call_runs(self) -> Counter[str]:
        """Number of runs of each non-idempotent call, by request id."""
        return self._call_runs

    async def __aenter__(self) -> Self:
        await self._server.__aenter__()
        return self

    async def __aexit__(self, *reason: object) -> None:
        await self._server.__aexit__(None, None, None)

    @property
    def running(self) -> int:
        """Number of requests that the server is working on."""
        return len(self._running)

    def set_faults(self, faults: Faults) -> None:
        """Replace the injected faults."""
        self._faults = faults
        self._cold_until = self._now() + faults.cold_for
        self._silent_connections = (
            set(self._open_connections) if faults.silent else set()
        )

    async def acquire(self, peer: str, connection_id: int) -> None:
        """Accept a connection.

        :raises ConnectionResetError: if the limit is reached or the server is lost.
        """
        limits: ServerLimits = self._service.limits
        if self._faults.lost:
            raise ConnectionResetError(self._name)
        if len(self._open_connections) >= limits.connections:
            self._counts["connections_over_cap"] += 1
            raise ConnectionResetError(self._name)
        self._open_connections.add(connection_id)
        self._counts["connections"] += 1
        peak = max(self._counts["peak_connections"], len(self._open_connections))
        self._counts["peak_connections"] = peak
        try:
            await sleep(limits.connect_time)
        except BaseException:
            self._open_connections.discard(connection_id)
            raise

    def release(self, peer: str, connection_id: int) -> None:
        """Remove a closed connection."""
        self._open_connections.discard(connection_id)
        self._silent_connections.discard(connection_id)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        if request.path.startswith("/standin/"):
            return self._control(request)
        delay = self._link_delay(request.peer)
        await sleep(delay)
        if request.connection_id in self._silent_connections or self._faults.lost:
            await sleep(_SILENCE_TIME)
        response = await self._dispatch(request)
        if request.connection_id in self._silent_connections or self._faults.lost:
            await sleep(_SILENCE_TIME)
        await sleep(delay + self._faults.late_by)
        return response

    async def _dispatch(self, request: HttpRequest) -> HttpResponse:
        route = (request.method, request.path)
        if route == ("POST", "/v1/search"):
            return await self._search(_decode(request, SearchRequest))
        if route == ("POST", "/v1/calls"):
            return await self._call(_decode(request, CallRequest))
        if route == ("GET", "/v1/health"):
            return self._health()
        if request.method == "DELETE" and request.path.startswith("/v1/requests/"):
            return await self._cancel(request.path.rpartition("/")[2])
        raise RequestRefused(reason=RefusalReason.NOT_FOUND, detail=request.path)

    async def _search(self, search: SearchRequest) -> HttpResponse:
        if search.snapshot not in self._snapshots.numbers:
            self._counts["snapshot_not_held"] += 1
            return json_response(
                {
                    "reason": "snapshot-not-held",
                    "held": self._holdings(),
                    "request_id": search.request_id,
                },
                status=409,
            )
        return await self._run(
            search.request_id,
            search.time_left_ms,
            lambda: self._search_answer(search),
        )

    async def _call(self, call: CallRequest) -> HttpResponse:
        return await self._run(
            call.request_id, call.time_left_ms, lambda: self._call_answer(call)
        )

    async def _run(
        self, request_id: str, time_left_ms: float, answer: Callable[[], HttpResponse]
    ) -> HttpResponse:
        refusal = self._refusal()
        if refusal:
            self._counts["sheds"] += 1
            return _not_run(refusal, request_id)
        self._waiting += 1
        try:
            async with timeout_after(max(0.0, time_left_ms) / 1000.0):
                await self._slots.acquire()
        except TaskTimeout:
            self._counts["timed_out_waiting"] += 1
            return _not_run("timed-out", request_id)
        finally:
            self._waiting -= 1
        try:
            return await self._work(request_id, answer)
        finally:
            await self._slots.release()

    def _refusal(self) -> str:
        if self._faults.draining:
            return "draining"
        max_waiting = self._service.limits.slots * _MAX_WAITING_PER_SLOT
        if self._faults.shed or self._waiting >= max_waiting:
            return "shed"
        return ""

    async def _work(
        self, request_id: str, answer: Callable[[], HttpResponse]
    ) -> HttpResponse:
        cancelled = Event()
        self._running[request_id] = cancelled
        self._counts["runs"] += 1
        self._counts["peak_running"] = max(
            self._counts["peak_running"], len(self._running)
        )
        try:
            async with ignore_after(self._draw_service_time()):
                await cancelled.wait()
        finally:
            self._running.pop(request_id, None)
        if cancelled.is_set():
            self._counts["cancelled"] += 1
            return json_response({"reason": "cancelled"}, status=499)
        return answer()

    def _draw_service_time(self) -> float:
        seconds = self._service_time.draw(self._random) * self._faults.slow_factor
        return seconds * 10.0 if self._now() < self._cold_until else seconds

    def _search_answer(self, search: SearchRequest) -> HttpResponse:
        partials = [self._partial(shard, search) for shard in search.shards]
        faults = self._faults
        request_id = "other" if faults.wrong_request_id else search.request_id
        snapshot = search.snapshot - 1 if faults.wrong_snapshot else search.snapshot
        return json_response(
            {
                "request_id": request_id,
                "snapshot": snapshot,
                "layout": search.layout,
                "partials": partials,
            }
        )

    def _partial(self, shard: str, search: SearchRequest) -> dict[str, object]:
        results = [f"{shard}/{search.snapshot}/{number}" for number in range(3)]
        count = len(results)
        if self._faults.truncated:
            results.pop()
        return {"shard": shard, "count": count, "results": results}

    def _call_answer(self, call: CallRequest) -> HttpResponse:
        self._call_runs[call.request_id] += 1
        if self._call_runs[call.request_id] > 1:
            self._counts["duplicate_calls"] += 1
        return json_response(
            {"request_id": call.request_id, "result": {"recorded": call.request_id}}
        )

    async def _cancel(self, request_id: str) -> HttpResponse:
        running = self._running.get(request_id)
        if running is not None:
            await running.set()
        return HttpResponse(status=204)

    def _health(self) -> HttpResponse:
        state = "ready"
        if self._faults.draining and not self._faults.health_lies:
            state = "draining"
        elif self._now() < self._cold_until and not self._faults.health_lies:
            state = "cold"
        running = 0 if self._faults.health_lies else len(self._running)
        waiting = 0 if self._faults.health_lies else self._waiting
        return json_response(
            {
                "state": state,
                "running": running,
                "waiting": waiting,
                "held": self._holdings(),
            }
        )

    def _holdings(self) -> list[dict[str, object]]:
        layout = self._service.layout(self._snapshots.layout)
        shards = [s.shard for s in layout.shards] if layout else []
        return [
            {"snapshot": number, "layout": self._snapshots.layout, "shards": shards}
            for number in self._snapshots.numbers
        ]

    def _control(self, request: HttpRequest) -> HttpResponse:
        if request.method == "PUT" and request.path == "/standin/faults":
            self.set_faults(Faults.model_validate_json(request.body))
            return HttpResponse(status=204)
        if request.method == "GET" and request.path == "/standin/counts":
            return json_response({"name": self._name, "counts": dict(self._counts)})
        raise RequestRefused(reason=RefusalReason.NOT_FOUND, detail=request.path)


def _no_delay(peer: str) -> float:
    return 0.0


def _not_run(reason: str, request_id: str) -> HttpResponse:
    return json_response(
        {"reason": reason, "execution": "not-run", "request_id": request_id},
        status=503,
    )


def _decode(request: HttpRequest, kind: type[_Body]) -> _Body:
    try:
        return convert(decode_json(request), kind)
    except ValidationError as error:
        raise RequestRefused(
            reason=RefusalReason.MALFORMED, detail=str(error)
        ) from error
