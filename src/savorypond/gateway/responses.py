"""Builds the responses to callers."""

from collections.abc import Sequence
from random import Random

from savorypond.exceptions import RequestRefused
from savorypond.gateway.headers import CONNECTION_HEADERS, HeaderNames
from savorypond.gateway.ranked_merge import PartialAnswer, merge_records
from savorypond.http.messages import Header, HttpResponse, problem_response

_MAX_WAIT_SHARE = 0.3  # of the caller's remaining time, as the longest retry delay
_DROPPED_HEADERS = CONNECTION_HEADERS | {"content-length"}


def proxied_response(response: HttpResponse) -> HttpResponse:
    """Return a server's response without its connection headers."""
    connection_tokens = response.header("connection") or ""
    dropped = {
        token.strip().lower() for token in connection_tokens.split(",")
    } | _DROPPED_HEADERS
    headers = tuple(h for h in response.headers if h.name not in dropped)
    return HttpResponse(status=response.status, headers=headers, body=response.body)


def merged_response(
    parts: Sequence[PartialAnswer], *, top: int, shard_count: int, names: HeaderNames
) -> HttpResponse:
    """Return a response with the ``top`` greatest records of ``parts``.

    :param shard_count: number of shards that were queried.
    """
    signatures = [signature for part in parts for signature in part.signatures]
    return HttpResponse(
        status=200,
        headers=(
            Header(name=names.part_signatures, value=", ".join(signatures)),
            Header(name=names.missing_parts, value=str(shard_count - len(signatures))),
            Header(name="content-type", value="application/octet-stream"),
        ),
        body=merge_records(parts, top=top),
    )


def retry_delay(
    refusal: RequestRefused, time_left: float | None, random: Random
) -> float | None:
    """Return the seconds after which the caller may retry, or None.

    The delays are randomized, so that callers refused together do not retry together.
    """
    if refusal.retry_after is None:
        return None
    earliest = refusal.retry_from
    spread = refusal.retry_after - earliest
    retry_after = earliest + spread * random.uniform(0.5, 1.0)
    if time_left is None:
        return retry_after
    return max(earliest, min(retry_after, time_left * _MAX_WAIT_SHARE))


def refusal_response(
    refusal: RequestRefused, *, request_id: str, retry_after: float | None
) -> HttpResponse:
    """Return ``refusal`` as a problem document.

    :param retry_after: seconds, with fractions, that the caller is told to wait.
    """
    problem = problem_response(refusal, request_id=request_id)
    headers = tuple(h for h in problem.headers if h.name != "retry-after")
    if retry_after is not None:
        headers += (Header(name="retry-after", value=f"{retry_after:.2f}"),)
    return HttpResponse(status=problem.status, headers=headers, body=problem.body)
