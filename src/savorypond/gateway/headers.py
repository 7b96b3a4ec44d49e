"""The names of the headers by which requests, answers and parts are told apart."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class HeaderNames:
    """Header names, in lower case.

    :param request_id: id of one attempt of a caller.
    :param time_left: milliseconds that the sender will wait.
    :param signature: a backend server's signature of its answer.
    :param expected_server: name of the only server that may run the request.
    :param not_run: present where a server did not run the request.
    :param part_signatures: signatures of the parts that a merged answer holds.
    :param missing_parts: how many shards a merged answer lacks.
    """

    request_id: str
    time_left: str
    signature: str
    expected_server: str
    not_run: str
    part_signatures: str
    missing_parts: str


# They concern one connection only (RFC 9110, section 7.6.1).
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
