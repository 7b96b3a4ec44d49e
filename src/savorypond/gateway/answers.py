"""Builds the responses that callers get."""

from collections.abc import Sequence
from random import Random

from savorypond.exceptions import RequestRefused
from savorypond.gateway.headers import CONNECTION_HEADERS, HeaderNames
from savorypond.gateway.rankedmerge import Part, merge_records
from savorypond.http.messages import Header, HttpResponse, problem_response

# A caller does not wait longer than a third of the time it has left.
_MOST_WAIT_SHARE = 0.3
_NO_LENGTH = CONNECTION_HEADERS | {"content-length"}


def passed_response(response: HttpResponse) -> HttpResponse:
    """Return a server's response without what concerns its connection."""
    named = response.header("connection") or ""
    dropped = {token.strip().lower() for token in named.split(",")} | _NO_LENGTH
    headers = tuple(h for h in response.headers if h.name not in dropped)
    return HttpResponse(status=response.status, headers=headers, body=response.body)


def merged_response(
    parts: Sequence[Part], *, top: int, asked: int, names: HeaderNames
) -> HttpResponse:
    """Return the greatest records of ``parts``.

    :param asked: shards that were asked.
    """
    signatures = [one for part in parts for one in part.signatures]
    return HttpResponse(
        status=200,
        headers=(
            Header(name=names.part_signatures, value=", ".join(signatures)),
            Header(name=names.missing_parts, value=str(asked - len(signatures))),
            Header(name="content-type", value="application/octet-stream"),
        ),
        body=merge_records(parts, top=top),
    )


def retry_time(
    refusal: RequestRefused, left: float | None, random: Random
) -> float | None:
    """Return the seconds after which the caller should come back, or None.

    The times are spread, so that those refused together do not return together.
    """
    if refusal.retry_after is None:
        return None
    wait = refusal.retry_after * random.uniform(0.5, 1.0)
    return wait if left is None else min(wait, left * _MOST_WAIT_SHARE)


def refusal_response(
    refusal: RequestRefused, *, request_id: str, wait: float | None
) -> HttpResponse:
    """Return ``refusal`` as a problem document.

    :param wait: seconds, with fractions, that the caller is told to wait.
    """
    plain = problem_response(refusal, request_id=request_id)
    headers = tuple(h for h in plain.headers if h.name != "retry-after")
    if wait is not None:
        headers += (Header(name="retry-after", value=f"{wait:.2f}"),)
    return HttpResponse(status=plain.status, headers=headers, body=plain.body)
