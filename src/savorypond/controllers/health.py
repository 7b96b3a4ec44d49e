"""Polling the health of backend servers."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any, Self

from curio import TaskGroup, sleep, spawn
from msgspec import DecodeError, Struct
from msgspec.json import Decoder

from savorypond.balancing.drain_detector import DrainDetector
from savorypond.clock import Clock
from savorypond.controllers.backend_servers import BackendServers, KnownServer
from savorypond.controllers.pools import ConnectionPools
from savorypond.exceptions import BackendServerError
from savorypond.http.messages import HttpRequest, HttpResponse
from savorypond.model import Counters, Holding, Service, ServiceKind

HEALTH_PATH = "/v1/health"
NOT_OWNED_FACTOR = 5.0  # intervals between polls if another instance is the owner
_POLL_TIMEOUT = 0.25  # seconds
_OK = 200
_DRAINING = "draining"  # state of a server that must get no new work
_BATCH_SIZE = 32  # health requests in flight at once
_REQUEST = HttpRequest(method="GET", path=HEALTH_PATH)


class HeldSnapshot(Struct, frozen=True, kw_only=True):
    """One snapshot that a health answer lists."""

    snapshot: int
    layout: int
    shards: frozenset[str]


class HealthAnswer(Struct, frozen=True, kw_only=True):
    """The body of a backend server's health answer."""

    state: str
    running: int = 0
    waiting: int = 0
    held: tuple[HeldSnapshot, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class HealthInterval:
    """Interval between two polls of a backend server.

    :param seconds: mean interval.
    :param jitter: largest random share by which an interval is shorter or longer.
    """

    seconds: float = 1.0
    jitter: float = 0.2


_decoder = Decoder(HealthAnswer)


class HealthPoller:
    """Polls the backend servers of the active services at intervals."""

    def __init__(
        self,
        *,
        servers: BackendServers,
        pools: ConnectionPools,
        drain_detector: DrainDetector,
        clock: Clock,
        rng: Random,
        counters: Counters,
        interval: HealthInterval,
        owns: Callable[[Service], bool],
    ) -> None:
        self._servers = servers
        self._pools = pools
        self._drain_detector = drain_detector
        self._clock = clock
        self._rng = rng
        self._counters = counters
        self._interval = interval
        self._owns = owns
        self._due: dict[str, float] = {}
        self._cold: set[str] = set()
        self._task: Any = None

    async def __aenter__(self) -> Self:
        self._task = await spawn(self._run)
        return self

    async def __aexit__(self, *reason: object) -> None:
        await self._task.cancel()

    async def poll_now(self, services: Sequence[Service]) -> None:
        """Poll every backend server of ``services`` and wait for the answers."""
        names = [s.name for service in services for s in service.backend_servers]
        for batch in _batches(names):
            async with TaskGroup(wait=all) as group:
                for name in batch:
                    await group.spawn(self._poll, name)

    async def _run(self) -> None:
        while True:
            for batch in _batches(self._take_due()):
                async with TaskGroup(wait=all) as group:
                    for name in batch:
                        await group.spawn(self._poll, name)
            await sleep(self._interval.seconds / 20.0)

    def _take_due(self) -> list[str]:
        now = self._clock.now()
        known = self._servers.known
        for removed in self._due.keys() - known.keys():
            del self._due[removed]
        for added in known.keys() - self._due.keys():
            # A random start spreads the polls over the interval.
            self._due[added] = now + self._rng.random() * self._interval.seconds
        due = [name for name in known if self._due[name] <= now]
        for name in due:
            offset = self._interval.jitter * (2.0 * self._rng.random() - 1.0)
            seconds = self._interval.seconds
            if not self._owns(known[name].service):
                seconds *= NOT_OWNED_FACTOR
            self._due[name] = now + seconds * (1.0 + offset)
        return due

    async def _poll(self, name: str) -> None:
        known = self._servers.known.get(name)
        connections = self._pools.connections(name)
        if known is None or connections is None:
            return
        asked_at = self._clock.now()
        try:
            async with await connections.lease(seconds=_POLL_TIMEOUT) as lease:
                response = await lease.request(_REQUEST, seconds=_POLL_TIMEOUT)
                answer = read_health_answer(response)
        except BackendServerError:
            self._counters.add("health_failures", "connection")
            return
        except DecodeError:
            self._counters.add("health_failures", "malformed")
            return
        if answer is None:
            self._counters.add("health_failures", "status")
            return
        self._record_answer(name, known, answer, asked_at)

    def _record_answer(
        self, name: str, known: KnownServer, answer: HealthAnswer, asked_at: float
    ) -> None:
        self._drain_detector.record_health(
            server=name,
            leaving=answer.state == _DRAINING,
            asked_at=asked_at,
            now=self._clock.now(),
        )
        self._servers.set_leaving(
            server=name, leaving=self._drain_detector.is_leaving(name)
        )
        self._record_cold(name, answer.state == "cold")
        if known.service.kind is ServiceKind.SEARCH:
            held = [
                Holding(snapshot=h.snapshot, layout=h.layout, shards=h.shards)
                for h in answer.held
            ]
            self._servers.record_report(service=known.service, server=name, held=held)

    def _record_cold(self, name: str, cold: bool) -> None:
        if not cold:
            self._cold.discard(name)
        elif name not in self._cold:
            self._cold.add(name)
            self._servers.mark_cold(server=name)


def read_health_answer(response: HttpResponse) -> HealthAnswer | None:
    """Return what a health answer says, or None if it is a failure.

    A failure is no evidence that a server is ready or what it holds. It may still say
    that the server drains.

    :raises DecodeError: the body is not a health answer.
    """
    answer = _decoder.decode(response.body)
    is_usable = response.status == _OK or answer.state == _DRAINING
    return answer if is_usable else None


def _batches(names: list[str]) -> list[list[str]]:
    return [names[i : i + _BATCH_SIZE] for i in range(0, len(names), _BATCH_SIZE)]
