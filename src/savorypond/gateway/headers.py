"""Header names used between callers, the gateway and backend servers."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class HeaderNames:
    """Header names, in lower case.

    :param request_id: id of one attempt of a caller.
    :param time_left: milliseconds until the sender stops waiting.
    :param signature: a backend server's signature of its answer.
    :param expected_server: name of the only server that may run the request.
    :param not_run: present if a server did not run the request.
    :param part_signatures: signatures of the partial answers in a merged answer.
    :param rate_limit: requests a second that a backend server accepts from all
        instances together, while it is in trouble.
    :param leaving: "1" if a backend server is about to leave.
    :param retry_after: time for which a server that refuses requests wants no more.
    :param missing_parts: number of shards that a merged answer lacks.
    """

    request_id: str
    time_left: str
    signature: str
    expected_server: str
    not_run: str
    part_signatures: str
    missing_parts: str
    rate_limit: str
    leaving: str
    retry_after: str = "retry-after"


# Hop-by-hop headers (RFC 9110, section 7.6.1).
CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
