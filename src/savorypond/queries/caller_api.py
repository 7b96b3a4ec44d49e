"""The HTTP interface for callers: routes requests and parses queries."""

from itertools import count
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from savorypond.calls.api import CallApi
from savorypond.calls.paths import (
    CALLS_SUFFIX,
    SERVICES_PATH,
    TICKETS_PATH,
    is_call,
)
from savorypond.clock import Clock
from savorypond.exceptions import RequestRefused
from savorypond.filters.chain import Chain, Exchange
from savorypond.http.messages import (
    HttpRequest,
    HttpResponse,
    json_response,
    problem_response,
)
from savorypond.model import (
    Answer,
    Bundle,
    Counters,
    Preference,
    Priority,
    Query,
    Service,
)
from savorypond.protocols import ConfigView
from savorypond.reasons import RefusalReason
from savorypond.services.request_validation import body_refusal

QUERY_PATH = "/v1/query"
MAX_TIME_LIMIT_MS = 60_000.0
DEFAULT_TIME_LIMIT = 0.054  # seconds, if no service specifies one
_MS_PER_SECOND = 1000.0
_MAX_SERVICES = 10_000


class QueryBody(BaseModel):
    """The JSON body of a query.

    :param time_limit_ms: milliseconds from arrival until the answer must be sent.
    :param least_coverage: share of shards, from 0 to 1, below which the caller
        prefers a refusal to a partial answer.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    index: str = Field(default="", max_length=200)
    services: tuple[str, ...] = Field(default=(), max_length=_MAX_SERVICES)
    query: Any
    time_limit_ms: float | None = Field(default=None, ge=0.0, le=MAX_TIME_LIMIT_MS)
    prefer: Preference | None = None
    least_coverage: float | None = Field(default=None, ge=0.0, le=1.0)


class CallerApi:
    """Handles the requests of callers."""

    def __init__(
        self,
        *,
        instance: str,
        incarnation: int,
        chain: Chain,
        calls: CallApi,
        config: ConfigView,
        clock: Clock,
        counters: Counters,
    ) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._chain = chain
        self._calls = calls
        self._config = config
        self._clock = clock
        self._counters = counters
        self._numbers = count(1)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to ``request``."""
        path = request.path.partition("?")[0]
        if is_query(request):
            _require_method(request, "POST")
            return await self._query(request)
        if path == TICKETS_PATH:
            _require_method(request, "POST")
            return await self._calls.tickets(request)
        if path.startswith(TICKETS_PATH + "/"):
            _require_method(request, "DELETE")
            return await self._calls.revoke(path[len(TICKETS_PATH) + 1 :])
        if is_call(path):
            _require_method(request, "POST")
            name = path[len(SERVICES_PATH) : -len(CALLS_SUFFIX)]
            return await self._calls.call(request, name)
        raise RequestRefused(
            reason=RefusalReason.NOT_FOUND, detail=f"no resource at {path}"
        )

    async def _query(self, request: HttpRequest) -> HttpResponse:
        arrived = self._clock.now()
        number = next(self._numbers)
        request_id = f"{self._instance}-{self._incarnation:x}-{number:x}"
        try:
            query = self._read_query(request, request_id, arrived)
        except RequestRefused as refusal:
            self._counters.add("refusals", refusal.reason)
            return problem_response(refusal, request_id=request_id)
        try:
            answer = await self._chain.run(Exchange(query=query, arrived=arrived))
        except RequestRefused as refusal:
            return problem_response(refusal, request_id=request_id)
        return _answer_response(answer)

    def _read_query(
        self, request: HttpRequest, request_id: str, arrived: float
    ) -> Query:
        try:
            body = QueryBody.model_validate_json(request.body)
        except ValidationError as error:
            raise body_refusal(error) from error
        if not body.index and not body.services:
            raise RequestRefused(
                reason=RefusalReason.MALFORMED,
                detail="index: a query must name an index or services",
            )
        asked = _asked_services(self._config.bundle, body)
        limit = _time_limit(body, asked)
        return Query(
            request_id=request_id,
            index=body.index,
            services=body.services,
            body=body.query,
            deadline=arrived + limit,
            prefer=body.prefer or _preference(asked),
            priority=min((s.priority for s in asked), default=Priority.INTERACTIVE),
            least_coverage=_least_coverage(body, asked),
        )


def is_query(request: HttpRequest) -> bool:
    """Return whether ``request`` is a query, which ends if its caller leaves."""
    return request.path.partition("?")[0] == QUERY_PATH


def _require_method(request: HttpRequest, method: str) -> None:
    if request.method != method:
        raise RequestRefused(
            reason=RefusalReason.METHOD_NOT_ALLOWED,
            detail=f"{request.path} accepts {method}, not {request.method}",
        )


def _asked_services(bundle: Bundle | None, body: QueryBody) -> tuple[Service, ...]:
    if bundle is None:
        return ()
    if body.services:
        found = (bundle.services.get(name) for name in body.services)
        return tuple(service for service in found if service is not None)
    return bundle.index_services(body.index)


def _time_limit(body: QueryBody, asked: tuple[Service, ...]) -> float:
    if body.time_limit_ms is not None:
        return body.time_limit_ms / _MS_PER_SECOND
    return max((s.time_limit for s in asked), default=DEFAULT_TIME_LIMIT)


def _preference(asked: tuple[Service, ...]) -> Preference:
    coverage_first = any(s.prefer is Preference.COVERAGE for s in asked)
    return Preference.COVERAGE if coverage_first else Preference.LATENCY


def _least_coverage(body: QueryBody, asked: tuple[Service, ...]) -> float:
    if body.least_coverage is not None:
        return body.least_coverage
    return max((s.least_coverage for s in asked), default=0.0)


def _answer_response(answer: Answer) -> HttpResponse:
    coverage = answer.coverage
    content = {
        "request_id": answer.request_id,
        "snapshot": answer.snapshot,
        "layout": answer.layout,
        "results": [
            {"shard": partial.shard, "results": partial.results}
            for partial in answer.partials
        ],
        "coverage": {
            "asked": len(coverage.asked),
            "covered": len(coverage.covered),
            "missing": [
                {"shard": missing.shard, "reason": missing.reason}
                for missing in coverage.missing
            ],
        },
    }
    return json_response(content)
