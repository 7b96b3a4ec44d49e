"""HTTP requests and responses, and problem documents (RFC 9457)."""

from collections.abc import Awaitable
from dataclasses import dataclass
from typing import Protocol

from msgspec import DecodeError
from msgspec.json import decode, encode

from savorypond.exceptions import RequestRefused
from savorypond.reasons import RefusalReason

JSON_TYPE = "application/json"
PROBLEM_TYPE = "application/problem+json"

_STATUS_BY_REASON = {
    RefusalReason.MALFORMED: 400,
    RefusalReason.MIXED_INDEXES: 400,
    RefusalReason.TOO_SLOW: 408,
    RefusalReason.TOO_LARGE: 413,
    RefusalReason.NOT_FOUND: 404,
    RefusalReason.UNKNOWN_INDEX: 404,
    RefusalReason.UNKNOWN_SERVICE: 404,
    RefusalReason.METHOD_NOT_ALLOWED: 405,
    RefusalReason.TICKET_UNKNOWN: 409,
    RefusalReason.TICKET_SPENT: 409,
    RefusalReason.TICKET_FOREIGN: 409,
    RefusalReason.TICKET_IN_PROGRESS: 409,
    RefusalReason.TICKET_UNRESOLVED: 409,
    RefusalReason.TICKET_VOID: 410,
    RefusalReason.TICKET_EXPIRED: 410,
    RefusalReason.INSTANCE_GONE: 410,
    RefusalReason.TOO_MANY_CONNECTIONS: 429,
    RefusalReason.UNSUPPORTED_VERSION: 505,
    RefusalReason.TIMED_OUT: 504,
    RefusalReason.CONNECTION_LOST: 502,
    RefusalReason.ISOLATED: 502,
    RefusalReason.INTERNAL: 500,
}
_DEFAULT_REFUSAL_STATUS = 503


@dataclass(frozen=True, slots=True, kw_only=True)
class Header:
    """One header field; the name is in lower case."""

    name: str
    value: str


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpRequest:
    """One request that a server received or a client sends.

    :param peer: IP address of the client; empty on the client side.
    :param connection_id: id of the server's connection; 0 on the client side.
    :param network_delay: seconds of the client's waiting time that are spent in the
        network, as estimated from the connection's round-trip time.
    :param unread_time: seconds since the end of the request arrived, which it has
        waited for a busy process to read it.
    """

    method: str
    path: str
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    peer: str = ""
    connection_id: int = 0
    network_delay: float = 0.0
    unread_time: float = 0.0

    def header(self, name: str) -> str | None:
        """Return the first value of the header ``name`` (lower case), or None."""
        return _find_header(self.headers, name)


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpResponse:
    """One response with its complete body.

    :param close: whether the connection is closed after this response.
    :param reason: reason phrase of a received response.
    :param framed: whether a received response states where it ends; otherwise it ends
        with its connection.
    :param trailing: whether further bytes arrived with the end of a received response.
    """

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    close: bool = False
    reason: str = ""
    framed: bool = True
    trailing: bool = False

    def header(self, name: str) -> str | None:
        """Return the first value of the header ``name`` (lower case), or None."""
        return _find_header(self.headers, name)


class Handler(Protocol):
    """Answers HTTP requests."""

    def __call__(self, request: HttpRequest) -> Awaitable[HttpResponse]:
        """Return the response to ``request``, or raise RequestRefused."""


def _find_header(headers: tuple[Header, ...], name: str) -> str | None:
    for header in headers:
        if header.name == name:
            return header.value
    return None


def json_response(content: object, *, status: int = 200) -> HttpResponse:
    """Return ``content`` as a JSON response."""
    return HttpResponse(
        status=status,
        headers=(Header(name="content-type", value=JSON_TYPE),),
        body=encode(content),
    )


def text_response(content: str, *, status: int = 200) -> HttpResponse:
    """Return ``content`` as a plain text response."""
    return HttpResponse(
        status=status,
        headers=(Header(name="content-type", value="text/plain; charset=utf-8"),),
        body=content.encode(),
    )


def decode_json(request: HttpRequest) -> object:
    """Return the decoded JSON body of ``request``.

    :raises RequestRefused: the body is not JSON.
    """
    try:
        return decode(request.body)
    except (DecodeError, UnicodeDecodeError) as error:
        raise RequestRefused(
            reason=RefusalReason.MALFORMED, detail=f"body is not JSON: {error}"
        ) from error


def refusal_status(reason: RefusalReason) -> int:
    """Return the HTTP status for ``reason``."""
    return _STATUS_BY_REASON.get(reason, _DEFAULT_REFUSAL_STATUS)


def problem_response(
    refusal: RequestRefused, *, request_id: str = "", close: bool = False
) -> HttpResponse:
    """Return ``refusal`` as a problem document (RFC 9457)."""
    status = refusal_status(refusal.reason)
    document: dict[str, object] = {
        "type": f"urn:savorypond:refusal:{refusal.reason.value}",
        "title": refusal.reason.value.replace("-", " ").capitalize(),
        "status": status,
        "detail": refusal.detail,
        "reason": refusal.reason.value,
        "execution": refusal.execution.value,
    }
    if request_id:
        document["request_id"] = request_id
    headers = [Header(name="content-type", value=PROBLEM_TYPE)]
    if refusal.retry_after is not None:
        document["retry_after"] = refusal.retry_after
        seconds = max(1, int(refusal.retry_after + 0.999))
        headers.append(Header(name="retry-after", value=str(seconds)))
    return HttpResponse(
        status=status, headers=tuple(headers), body=encode(document), close=close
    )
