"""The HTTP interface for operators: liveness, readiness, metrics and status."""

from collections.abc import Callable
from dataclasses import dataclass

from savorypond.exceptions import RequestRefused
from savorypond.http.messages import (
    Header,
    HttpRequest,
    HttpResponse,
    json_response,
    text_response,
)
from savorypond.metrics import Metrics
from savorypond.reasons import RefusalReason

_EXPOSITION_TYPE = "text/plain; version=1.0.0; charset=utf-8"


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerStatus:
    """A peer as this instance sees it."""

    name: str
    data_centre: str
    state: str
    incarnation: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerStatus:
    """A backend server as this instance sees it.

    :param owner: name of the instance that owns its service.
    :param expected_wait: seconds that a new request would wait for a slot.
    """

    name: str
    service: str
    owner: str
    leaving: bool
    ejected: bool
    in_flight: int
    waiting: int
    connections: int
    expected_wait: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Status:
    """The state of this instance and its view of the others.

    :param leaving: names of the backend servers that must get no new requests.
    :param servers: the backend servers that it sends requests to itself.
    """

    name: str
    fleet: str
    data_centre: str
    incarnation: int
    ready: bool
    draining: bool
    revision: int
    leaving: tuple[str, ...]
    peers: tuple[PeerStatus, ...]
    servers: tuple[ServerStatus, ...]


class OperatorApi:
    """Answers operators and the platform's load balancer.

    :param status: returns a data class with the status of this instance.
    :param not_ready_reason: returns why the instance is not ready, or "" if it is.
    """

    def __init__(
        self,
        *,
        metrics: Metrics,
        status: Callable[[], object],
        not_ready_reason: Callable[[], str],
    ) -> None:
        self._metrics = metrics
        self._status = status
        self._not_ready_reason = not_ready_reason
        self._pages: dict[str, Callable[[], HttpResponse]] = {
            "/livez": self._livez,
            "/readyz": self._readyz,
            "/metrics": self._metrics_page,
            "/status": self._status_page,
        }

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the requested page."""
        path = request.path.partition("?")[0]
        page = self._pages.get(path)
        if page is None:
            raise RequestRefused(
                reason=RefusalReason.NOT_FOUND, detail=f"no resource at {path}"
            )
        if request.method != "GET":
            raise RequestRefused(
                reason=RefusalReason.METHOD_NOT_ALLOWED,
                detail=f"{path} takes GET, not {request.method}",
            )
        return page()

    def _livez(self) -> HttpResponse:
        return text_response("alive\n")

    def _readyz(self) -> HttpResponse:
        reason = self._not_ready_reason()
        if reason:
            return text_response(f"{reason}\n", status=503)
        return text_response("ready\n")

    def _metrics_page(self) -> HttpResponse:
        return HttpResponse(
            status=200,
            headers=(Header(name="content-type", value=_EXPOSITION_TYPE),),
            body=self._metrics.exposition(),
        )

    def _status_page(self) -> HttpResponse:
        return json_response(self._status())
