"""Finds out whether servers crash under requests, and tells other instances.

A crash is told apart from what else ends an attempt. After a crash the server's host
refuses connections. A cut connection or link, a frozen server and a host without power
leave the attempt without an answer, or with a server that accepts connections. A server
that stops as planned is no longer listed for use when it closes its connections.
"""

from collections.abc import Awaitable, Callable, Sequence
from random import Random

from curio import TaskTimeout, spawn
from msgspec import DecodeError, Struct
from msgspec.msgpack import Decoder, encode

from savorypond.clock import Clock
from savorypond.exceptions import BackendServerError, PoolExhausted, RequestRefused
from savorypond.gateway.connection_pool import ConnectionPools
from savorypond.gateway.crash_isolation import Blame, CrashIsolation
from savorypond.gateway.peers import CRASHES_PATH, PeerClient
from savorypond.gateway.servers import RegisteredServer, ServerRegistry
from savorypond.http.messages import HttpRequest, HttpResponse
from savorypond.logs import log_event
from savorypond.model import Counters, Instance
from savorypond.reasons import RefusalReason
from savorypond.timeouts import timeout_after

CHECK_TIMEOUT = 0.1  # seconds; a host without the process refuses at once
ANNOUNCE_TIMEOUT = 1.0  # seconds
MAX_ANNOUNCED = 64  # instances that are told; others find out themselves
MAX_MESSAGES = 256  # messages under way; further news is not sent
_MAX_PATH = 200  # characters in a log line


class CrashNews(Struct, frozen=True, kw_only=True):
    """The message that tells other instances of a crash, or of the end of an isolation.

    :param fingerprint: what identifies requests like the one that the server had.
    :param server: name of the server that crashed or, after an isolation, answered.
    :param started: its start time in Unix milliseconds.
    :param isolated_for: seconds for which such requests are isolated, or 0.0.
    :param released: whether an answer has ended an isolation.
    """

    fingerprint: bytes
    server: str
    started: int
    isolated_for: float = 0.0
    released: bool = False


_decoder = Decoder(CrashNews)


class CrashReports:
    """Records crashes and answers of servers, and shares which requests are isolated.

    :param is_leaving: whether a server has said in an answer that it leaves.
    :param peers: returns the live instances other than this one.
    :param stop: ends the running requests with a fingerprint.
    """

    def __init__(
        self,
        *,
        isolation: CrashIsolation,
        pools: ConnectionPools,
        registry: ServerRegistry,
        is_leaving: Callable[[RegisteredServer], bool],
        client: PeerClient,
        peers: Callable[[], Sequence[Instance]],
        stop: Callable[[bytes], Awaitable[None]],
        clock: Clock,
        random: Random,
        counters: Counters,
    ) -> None:
        self._isolation = isolation
        self._pools = pools
        self._registry = registry
        self._is_leaving = is_leaving
        self._client = client
        self._peers = peers
        self._stop = stop
        self._clock = clock
        self._random = random
        self._counters = counters
        self._messages = 0

    async def has_crashed(self, server: RegisteredServer) -> bool:
        """Return whether ``server`` has crashed, after it ended a connection early."""
        if not self._is_in_use(server):
            self._counters.add("gateway_lost_connections", "leaving")
            return False
        try:
            # The ends of idle connections may arrive later.
            lease = await self._pools.lease(
                server, fresh=True, new=True, connect_timeout=CHECK_TIMEOUT
            )
            async with lease:
                pass
        except PoolExhausted:
            self._counters.add("gateway_lost_connections", "unclear")
            return False
        except BackendServerError as error:
            is_refused = isinstance(error.__cause__, ConnectionRefusedError)
            reason = "crashed" if is_refused else "unclear"
            self._counters.add("gateway_lost_connections", reason)
            return is_refused
        self._counters.add("gateway_lost_connections", "accepting")
        return False

    async def record_crash(
        self,
        fingerprint: bytes,
        server: RegisteredServer,
        *,
        request_id: str,
        path: str,
        ended_at: float,
    ) -> None:
        """Record that ``server`` crashed while it had a request.

        :param ended_at: monotonic seconds at which its connection ended.
        """
        log_event("server-crashed", server=server.name, request=request_id)
        incarnation = (server.name, server.started)
        blame = self._isolation.record_crash(fingerprint, incarnation, ended_at)
        if blame is Blame.NONE:
            return
        left = self._isolation.isolation_left(fingerprint, self._clock.now())
        news = CrashNews(
            fingerprint=fingerprint,
            server=server.name,
            started=server.started,
            isolated_for=left,
        )
        if blame is Blame.ISOLATED or not left:
            await self._announce(news)
        if blame is Blame.ISOLATED:
            self._counters.add("gateway_isolations", "isolated")
            log_event(
                "request-isolated",
                fingerprint=fingerprint.hex(),
                request=request_id,
                path=path[:_MAX_PATH],
                seconds=round(left, 1),
            )
            await self._stop(fingerprint)

    async def record_answer(self, fingerprint: bytes, server: RegisteredServer) -> None:
        """Record that ``server`` ran a request and answered."""
        if not self._isolation.record_answer(fingerprint, self._clock.now()):
            return
        self._record_release(fingerprint)
        await self._announce(
            CrashNews(
                fingerprint=fingerprint,
                server=server.name,
                started=server.started,
                released=True,
            )
        )

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Record a crash of which another instance tells."""
        try:
            news = _decoder.decode(request.body)
        except DecodeError as error:
            raise RequestRefused(
                reason=RefusalReason.MALFORMED,
                detail=f"invalid message from a peer: {error}",
            ) from error
        if news.released:
            if self._isolation.release(news.fingerprint):
                self._record_release(news.fingerprint)
            return HttpResponse(status=200)
        now = self._clock.now()
        fingerprint = news.fingerprint
        blame = self._isolation.record_crash(
            fingerprint, (news.server, news.started), now, is_news=True
        )
        is_isolated = blame is Blame.ISOLATED
        if news.isolated_for > 0.0:
            is_isolated |= self._isolation.adopt(fingerprint, news.isolated_for, now)
        if is_isolated:
            left = self._isolation.isolation_left(fingerprint, now)
            self._counters.add("gateway_isolations", "learned")
            log_event(
                "request-isolated",
                fingerprint=fingerprint.hex(),
                peer=request.peer,
                seconds=round(left, 1),
            )
            await self._stop(fingerprint)
        return HttpResponse(status=200)

    def _record_release(self, fingerprint: bytes) -> None:
        self._counters.add("gateway_isolations", "released")
        log_event("request-released", fingerprint=fingerprint.hex())

    def _is_in_use(self, server: RegisteredServer) -> bool:
        if self._is_leaving(server):
            return False
        return any(
            listed.name == server.name and listed.started == server.started
            for listed in self._registry.servers(server.service)
        )

    async def _announce(self, news: CrashNews) -> None:
        request = HttpRequest(method="POST", path=CRASHES_PATH, body=encode(news))
        peers = list(self._peers())
        if len(peers) > MAX_ANNOUNCED:
            peers = self._random.sample(peers, MAX_ANNOUNCED)
        for peer in peers[: MAX_MESSAGES - self._messages]:
            self._messages += 1
            await spawn(self._send, peer, request, daemon=True)

    async def _send(self, peer: Instance, request: HttpRequest) -> None:
        try:
            async with timeout_after(ANNOUNCE_TIMEOUT):
                await self._client.send(peer, request)
        except (TaskTimeout, BackendServerError, PoolExhausted):
            self._counters.add("gateway_isolations", "untold")
        finally:
            self._messages -= 1
