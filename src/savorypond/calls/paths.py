"""The URL paths of calls and tickets, and refusals made before the ledger check."""

from savorypond.exceptions import RequestRefused
from savorypond.reasons import Execution

TICKETS_PATH = "/v1/tickets"
SERVICES_PATH = "/v1/services/"
CALLS_SUFFIX = "/calls"


def is_call(path: str) -> bool:
    """Return whether ``path`` is that of a non-idempotent call."""
    return path.startswith(SERVICES_PATH) and path.endswith(CALLS_SUFFIX)


def with_unknown_execution(refusal: RequestRefused) -> RequestRefused:
    """Return ``refusal`` with the execution set to unknown.

    The same request may have been sent to another instance and may have run there,
    which only the issuer's ledger knows. The caller repeats it with its ticket.
    """
    return RequestRefused(
        reason=refusal.reason,
        detail=f"{refusal.detail}; repeat the call with the same ticket",
        execution=Execution.UNKNOWN,
        retry_after=refusal.retry_after,
    )
