"""Decides what a caller gets whose request has no usable answer.

Guards against untrue promises. Callers repeat a request, even one that must not run
twice, after a status that says that it has not run and never will.
"""

from savorypond.exceptions import RequestRefused
from savorypond.gateway.headers import HeaderNames
from savorypond.gateway.plan_types import Verdict
from savorypond.gateway.response_classifier import promises_not_run, signature_problem
from savorypond.gateway.run_types import RunResult
from savorypond.http.messages import HttpResponse
from savorypond.reasons import Execution, RefusalReason

_FIRST_ERROR_STATUS = 400
_FULL_RETRY_AFTER = 0.3  # seconds, while servers have no room


def failure_to_pass_on(result: RunResult, *, names: HeaderNames) -> HttpResponse | None:
    """Return the last failure if its server signed it, else None.

    A promise that the request has not run is passed on only if it is true of all
    attempts, also of those that still run. A response whose status is no error is among
    the failures only if it contradicts itself, and is not passed on.
    """
    failure = result.last_failure
    response = failure.response if failure is not None else None
    if response is None or response.status < _FIRST_ERROR_STATUS:
        return None
    if signature_problem(response, names=names, is_listed=False):
        return None
    return None if result.may_run and promises_not_run(response) else response


def refusal_of(result: RunResult, services: tuple[str, ...]) -> RequestRefused:
    """Return the refusal of a request without a usable answer.

    :param services: the services that were to be queried.
    """
    missing = ", ".join(result.missing[:4])
    answered = len(services) - len(result.missing)
    detail = f"{answered} of {len(services)} services answered; not {missing}"
    if result.isolated:
        return RequestRefused(
            reason=RefusalReason.ISOLATED,
            detail=f"servers crash under this request: {detail}",
            execution=Execution.UNKNOWN,
        )
    if result.verdict is Verdict.TIMED_OUT:
        return RequestRefused(
            reason=RefusalReason.TIMED_OUT,
            detail=detail,
            execution=Execution.UNKNOWN,
        )
    if result.may_run or result.parts:
        return RequestRefused(
            reason=RefusalReason.CONNECTION_LOST,
            detail=detail,
            execution=Execution.UNKNOWN,
        )
    if result.rate_limited:
        return RequestRefused(
            reason=RefusalReason.RATE_LIMITED,
            detail=f"rate limits of backend servers: {detail}",
            retry_after=_FULL_RETRY_AFTER,
        )
    if result.wait > 0.0:
        return RequestRefused(
            reason=RefusalReason.SHED,
            detail=f"backend servers want no requests for now: {detail}",
            retry_after=result.wait + _FULL_RETRY_AFTER,
            retry_from=result.wait,
        )
    shed = result.reached
    return RequestRefused(
        reason=RefusalReason.SHED if shed else RefusalReason.NO_BACKEND_SERVER,
        detail=detail,
        retry_after=_FULL_RETRY_AFTER if shed else 1.0,
    )
