"""Decides what the response of a backend server says about its request.

Guards against servers in trouble. A response counts for no more than it says: a failure
is never a part of a merged answer, however complete it is, and a status that promises
callers that their request has not run counts only with the server's statement that it
did not run it.
"""

from dataclasses import dataclass
from enum import StrEnum

from savorypond.gateway.headers import HeaderNames
from savorypond.http.messages import HttpResponse

_PARTIAL_CONTENT = 206
_MISDIRECTED = 421
_UNAVAILABLE = 503
# Callers take these for a promise that the request has not run and never will.
_PROMISING_STATUSES = frozenset({408, _MISDIRECTED, 429, _UNAVAILABLE})
_IDENTITY = "identity"


class AttemptOutcome(StrEnum):
    """The ways in which an attempt ends."""

    USABLE = "usable"
    NOT_SENT = "not-sent"  # the server could not be reached
    NO_CONNECTION = "no-connection"  # connection limit of this instance
    ENDED = "ended"  # the request had ended before the attempt was sent
    REFUSED = "refused"  # the server states that it did not run the request
    MISDIRECTED = "misdirected"  # another server has the address
    REJECTED = "rejected"  # status from 300 to 499 in place of a part
    # status below 200 or from 500 on, an unfounded promise, or not a whole part
    FAILED = "failed"
    BROKEN = "broken"  # connection lost, or invalid or mismatched response
    SILENT = "silent"  # no answer before the caller's deadline
    FOREIGN = "foreign"  # answer without a signature


@dataclass(frozen=True, slots=True, kw_only=True)
class Classification:
    """What a response says.

    :param problem: description of the failure, empty for a usable response.
    """

    outcome: AttemptOutcome
    problem: str = ""


class ResponseClassifier:
    """Classifies the responses of backend servers."""

    def __init__(self, *, names: HeaderNames) -> None:
        self._names = names

    def classify(self, response: HttpResponse, *, is_part: bool) -> Classification:
        """Return what ``response`` says about its request.

        :param is_part: whether the response is merged with those of other shards. Only
            a success can be merged; otherwise it is passed on unchanged.
        """
        status = response.status
        problem = f"status {status}"
        if status == _MISDIRECTED:
            return Classification(outcome=AttemptOutcome.MISDIRECTED, problem=problem)
        if response.header(self._names.not_run) is not None:
            if 400 <= status < 500 or status == _UNAVAILABLE:
                return Classification(outcome=AttemptOutcome.REFUSED, problem=problem)
            # The statement contradicts the status, so the request may have run.
            problem += " with the statement that the request did not run"
            return Classification(outcome=AttemptOutcome.FAILED, problem=problem)
        if status in _PROMISING_STATUSES:
            problem += " without a statement that the request did not run"
            return Classification(outcome=AttemptOutcome.FAILED, problem=problem)
        if not 200 <= status < 500:
            return Classification(outcome=AttemptOutcome.FAILED, problem=problem)
        if response.header(self._names.signature) is None:
            problem = "answer without a signature"
            return Classification(outcome=AttemptOutcome.FOREIGN, problem=problem)
        if is_part:
            return _classify_part(response)
        return Classification(outcome=AttemptOutcome.USABLE)


def promises_not_run(response: HttpResponse) -> bool:
    """Return whether callers take ``response`` for a promise that nothing has run."""
    return response.status in _PROMISING_STATUSES


def _classify_part(response: HttpResponse) -> Classification:
    status = response.status
    if status >= 300:
        return Classification(
            outcome=AttemptOutcome.REJECTED, problem=f"status {status}"
        )
    if status == _PARTIAL_CONTENT:
        problem = f"status {status}: some records are left out"
        return Classification(outcome=AttemptOutcome.FAILED, problem=problem)
    encoding = response.header("content-encoding")
    if encoding is not None and encoding.lower() != _IDENTITY:
        # Records are merged as bytes; encoded ones would be taken for other records.
        problem = f"records in content encoding {encoding[:40]!r}"
        return Classification(outcome=AttemptOutcome.FAILED, problem=problem)
    return Classification(outcome=AttemptOutcome.USABLE)
