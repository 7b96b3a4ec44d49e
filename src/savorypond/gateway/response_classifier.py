"""Decides what the response of a backend server says about its request.

Guards against servers in trouble. A response counts for no more than it says: a failure
is never a part of a merged answer, however complete it is, and a status that promises
callers that their request has not run counts only with the server's statement that it
did not run it.
"""

from dataclasses import dataclass
from enum import StrEnum

from savorypond.gateway.headers import HeaderNames
from savorypond.http.embedded_heads import (
    embedded_heads,
    ends_in_version,
    has_two_status_lines,
)
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
    WITHDRAWN = "withdrawn"  # meanwhile the server had asked for no requests
    REFUSED = "refused"  # the server states that it did not run the request
    MISDIRECTED = "misdirected"  # another server has the address
    REJECTED = "rejected"  # status from 300 to 499 in place of a part
    # status below 200 or from 500 on, an unfounded promise, or not a whole part
    FAILED = "failed"
    BROKEN = "broken"  # connection lost, or invalid or mismatched response
    OVERLAPPED = "overlapped"  # the answer may hold bytes of another one
    SILENT = "silent"  # no answer before the caller's deadline
    UNIDENTIFIED = "unidentified"  # perhaps a late copy of an earlier refusal
    FOREIGN = "foreign"  # answer without an intact signature


class ForeignBytes(StrEnum):
    """What shows that a server has sent more than one answer to a request."""

    OTHER_REQUEST = "other-request"  # the answer has another request's id
    NO_REQUEST = "no-request"  # the answer has no id on a reused connection
    BEHIND_ANSWER = "behind-answer"  # bytes follow the answer
    IN_BODY = "in-body"  # the body holds the head of another answer
    IN_HEAD = "in-head"  # the head holds the status line of another answer
    WHILE_IDLE = "while-idle"  # bytes on a connection without a request


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

    def find_foreign_bytes(
        self, response: HttpResponse, *, request_id: str, reused: bool
    ) -> ForeignBytes | None:
        """Return which sign of a second answer there is, or None.

        :param reused: whether the connection has carried a request before. There, a
            response without an id may be a late second copy of an earlier one.
        """
        if has_two_status_lines(response):
            return ForeignBytes.IN_HEAD
        name = self._names.request_id
        received_ids = {h.value for h in response.headers if h.name == name}
        if not received_ids and reused:
            return ForeignBytes.NO_REQUEST
        if received_ids - {request_id}:
            return ForeignBytes.OTHER_REQUEST
        if self._holds_another_answer(response):
            return ForeignBytes.IN_BODY
        return ForeignBytes.BEHIND_ANSWER if response.trailing else None

    def mismatch(
        self,
        response: HttpResponse,
        foreign: ForeignBytes | None,
        *,
        doubted: bool = False,
    ) -> Classification | None:
        """Return why ``response`` may not be the whole answer to its request, or None.

        Nothing that it says counts then, and its connection must be closed, because the
        answer to this request may follow.

        :param foreign: the sign of a second answer in ``response``, if there is one.
        :param doubted: whether the server has lately shown such signs or usually states
            where its answers end. Further bytes may have joined one that does not.
        """
        outcome = AttemptOutcome.OVERLAPPED
        match foreign:
            case ForeignBytes.OTHER_REQUEST:
                outcome = AttemptOutcome.BROKEN
                problem = "answer to another request"
            case ForeignBytes.IN_HEAD:
                problem = "a head with two status lines"
            case ForeignBytes.IN_BODY:
                size = len(response.body)
                problem = f"{size} bytes of body that hold another answer"
            case ForeignBytes.NO_REQUEST:
                return self._unidentified(response)
            case _ if doubted and not response.framed:
                problem = "answer that unexpectedly has no length"
            case _:
                return None
        return Classification(outcome=outcome, problem=problem)

    def _unidentified(self, response: HttpResponse) -> Classification:
        problem = (
            f"status {response.status} without a request id on a reused connection"
        )
        if response.header(self._names.signature) is not None:
            return Classification(outcome=AttemptOutcome.BROKEN, problem=problem)
        return Classification(outcome=AttemptOutcome.UNIDENTIFIED, problem=problem)

    def _holds_another_answer(self, response: HttpResponse) -> bool:
        """Return whether the body holds the head of an answer, or a part of it.

        A body with a length may quote a whole head for its own purposes, but not one of
        a backend server. Without a length, whatever follows the body is in it, and with
        bytes behind the answer, they may begin in the body.
        """
        own_names = {
            self._names.request_id,
            self._names.signature,
            self._names.not_run,
        }
        if response.trailing and ends_in_version(response.body):
            return True
        return any(
            not head.complete
            or not response.framed
            or response.trailing
            or head.names & own_names
            for head in embedded_heads(response.body)
        )

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
        problem = signature_problem(response, names=self._names, is_listed=is_part)
        if problem:
            return Classification(outcome=AttemptOutcome.FOREIGN, problem=problem)
        if is_part:
            return _classify_part(response)
        return Classification(outcome=AttemptOutcome.USABLE)


def signature_problem(
    response: HttpResponse, *, names: HeaderNames, is_listed: bool
) -> str:
    """Return why ``response`` has no usable signature, or "" if it has one.

    A damaged signature is worth nothing to the caller. In a merged answer it makes the
    whole answer worthless.

    :param is_listed: whether the signature is one of a list that is joined by commas.
    """
    signatures = [h.value for h in response.headers if h.name == names.signature]
    if not signatures:
        return "answer without a signature"
    if len(signatures) > 1:
        return f"answer with {len(signatures)} signatures"
    (signature,) = signatures
    is_intact = signature.isascii() and signature.isprintable()
    if not is_intact or not signature or " " in signature:
        return f"damaged signature {signature[:40]!r}"
    if is_listed and "," in signature:
        return f"signature {signature[:40]!r} with a comma"
    return ""


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
