"""Backend servers of the soak, which record every request that arrives."""

from contextlib import AsyncExitStack
from hashlib import sha256
from itertools import count
from time import monotonic

from curio import CancelledError, Semaphore, sleep

from savorypond.exceptions import RequestRefused
from savorypond.http.channel import HttpLimits
from savorypond.http.messages import Header, HttpResponse
from savorypond.http.server import HttpServer
from savorypond.model import Address
from savorypond.platform.names import HEADERS
from savorypond.reasons import Execution, RefusalReason
from tests.soak.proxy import Proxy
from tests.soak.records import LONG_SUFFIX, RunRecord

RECORDS_PER_ANSWER = 8
FAULTY_MODES = ("failing", "shedding", "losing", "damaging")
# Some promise that the request has not run, without the statement of the server.
FAILURE_STATUSES = (500, 504, 404, 429, 503)
LONG_SERVICE_TIME = 0.9  # seconds
_serials = count(1)


class SoakServer:
    """One backend server behind a proxy.

    :param slots: requests that run at the same time.
    :param service_time: median seconds of work for a request.

    ``mode`` is ``good`` or one of ``FAULTY_MODES``: ``failing`` (half of the answers
    have the status of a failure, though the request has run), ``shedding`` (refuses
    requests as not run), ``losing`` (closes the connection of some requests after they
    have run, without an answer) or ``damaging`` (spoils a byte of half of the
    signatures). ``rate_limit`` is the requests a second that it announces, or None;
    ``pause`` the seconds for which it wants no requests after it has refused one, or
    None; ``says_leaving`` whether its answers say that it is leaving.
    """

    def __init__(self, *, name, service, random, records, slots=2, service_time=0.012):
        self.name = name
        self.service = service
        self.mode = "good"
        self.slow_factor = 1.0
        self.rate_limit = None
        self.pause = None
        self.says_leaving = False
        self.draining = False
        self.born = 1
        self.heartbeats = 0
        self._random = random
        self._records = records
        self._slots = slots
        self._service_time = service_time
        self._free = Semaphore(slots)
        self._waiting = 0
        self._stack = AsyncExitStack()
        self._server = None
        self.proxy = None

    async def __aenter__(self):
        self._server = HttpServer(
            address=Address(host="127.0.0.1", port=0),
            handler=self._handle,
            limits=HttpLimits(idle_time=5.0, connections_per_peer=60),
            cancel_on_disconnect=True,
        )
        await self._stack.enter_async_context(self._server)
        self.proxy = await self._stack.enter_async_context(
            Proxy(target=self._server.address, random=self._random)
        )
        return self

    async def __aexit__(self, *reason):
        await self._stack.aclose()

    def entry(self):
        """Return the server's registration."""
        return {
            "backend": self.service,
            "address": str(self.proxy.address),
            "zone": "abc"[sum(self.name.encode()) % 3],
            "version": "v1",
            "max_concurrency": self._slots,
            "phase": "draining" if self.draining else "ready",
            "warmup_left_ms": 0,
            "sequence": self.heartbeats,
            "born": self.born,
        }

    async def _handle(self, request):
        run = RunRecord(
            request_id=request.header(HEADERS.request_id) or "",
            server=self.name,
            service=self.service,
            method=request.method,
            path=request.path,
            body=request.body,
            instance=request.peer,
            arrived=monotonic(),
            born=self.born,
        )
        self._records.runs.append(run)
        expected = request.header(HEADERS.expected_server)
        if expected not in (None, self.name):
            return HttpResponse(status=421)
        if self.mode == "shedding" or self._waiting > 12:
            return self._refuse(run)
        try:
            return await self._run(run)
        except CancelledError:
            run.disconnected = True
            raise
        finally:
            run.ended = monotonic()

    def _refuse(self, run):
        headers = [Header(name=HEADERS.not_run, value="1"), *self._notices(run)]
        if self.pause is not None:
            headers += (
                Header(name=HEADERS.request_id, value=run.request_id),
                Header(name=HEADERS.retry_after, value=str(self.pause)),
            )
            run.pause = self.pause if self.proxy.calm else 0.0
        run.ended = monotonic()
        return HttpResponse(status=503, headers=tuple(headers))

    async def _run(self, run):
        self._waiting += 1
        try:
            async with self._free:
                run.ran = True
                jitter = self._random.lognormvariate(0.0, 0.4)
                long = run.path.endswith(LONG_SUFFIX)
                service_time = (
                    LONG_SERVICE_TIME if long else self._service_time * self.slow_factor
                )
                await sleep(service_time * jitter)
        finally:
            self._waiting -= 1
        if self.mode == "losing" and self._random.random() < 0.3:
            raise RequestRefused(
                reason=RefusalReason.INTERNAL,
                detail="injected fault: answer dropped",
                execution=Execution.UNKNOWN,
            )
        is_faulty = self._random.random() < 0.5
        failing = self.mode == "failing" and is_faulty
        run.signature = f"{self.name}.{run.request_id}.{next(_serials)}"
        run.answer = self._answer(run.request_id)
        run.status = self._random.choice(FAILURE_STATUSES) if failing else 200
        signature = run.signature
        if self.mode == "damaging" and is_faulty:
            signature = chr(ord(signature[0]) | 0x80) + signature[1:]
        return HttpResponse(
            status=run.status,
            headers=(
                Header(name=HEADERS.request_id, value=run.request_id),
                Header(name=HEADERS.signature, value=signature),
                *self._notices(run),
            ),
            body=run.answer,
        )

    def _notices(self, run):
        headers = []
        if self.rate_limit is not None:
            value = str(self.rate_limit)
            headers.append(Header(name=HEADERS.rate_limit, value=value))
        if self.says_leaving:
            headers.append(Header(name=HEADERS.leaving, value="1"))
            run.leaving = True
        return headers

    def _answer(self, request_id):
        """Return records that are unique to this service and request."""
        seeds = (f"{self.service} {request_id} {i}" for i in range(RECORDS_PER_ANSWER))
        return b"".join(sha256(seed.encode()).digest()[:16] for seed in seeds)
