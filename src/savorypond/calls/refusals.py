"""The refusals of tickets by their issuer, each with its execution status."""

from savorypond.calls.tickets import Refusal
from savorypond.reasons import Execution, RefusalReason

BUSY_RETRY_AFTER = 1.0  # seconds


UNRESOLVED = Refusal(
    reason=RefusalReason.TICKET_UNRESOLVED,
    execution=Execution.UNKNOWN,
    detail="the call was already sent and its outcome is unknown",
)
RESULT_DROPPED = Refusal(
    reason=RefusalReason.TICKET_SPENT,
    execution=Execution.UNKNOWN,
    detail="the call already ran, but its result is no longer stored",
)
ALREADY_REFUSED = Refusal(
    reason=RefusalReason.TICKET_VOID,
    execution=Execution.NOT_RUN,
    detail="the ticket was already refused as not run",
)
TOO_MANY_CALLS = Refusal(
    reason=RefusalReason.OVERLOADED,
    execution=Execution.NOT_RUN,
    detail="too many calls are in progress",
    retry_after=BUSY_RETRY_AFTER,
)
CLAIM_RELEASED = Refusal(
    reason=RefusalReason.TICKET_VOID,
    execution=Execution.NOT_RUN,
    detail="the claim on the ticket was released before the call was sent",
)


REVOKED = Refusal(
    reason=RefusalReason.TICKET_VOID,
    execution=Execution.NOT_RUN,
    detail="the caller revoked the ticket before it was used",
)
VOIDED_BY_PAUSE = Refusal(
    reason=RefusalReason.TICKET_VOID,
    execution=Execution.NOT_RUN,
    detail="the instance was paused before the ticket was used",
)
EXPIRED = Refusal(
    reason=RefusalReason.TICKET_EXPIRED,
    execution=Execution.NOT_RUN,
    detail="the ticket expired before it was used",
)
RECORD_EXPIRED = Refusal(
    reason=RefusalReason.TICKET_EXPIRED,
    execution=Execution.UNKNOWN,
    detail="the ticket expired too long ago; whether it ran is no longer recorded",
)
EARLIER_PROCESS = Refusal(
    reason=RefusalReason.INSTANCE_GONE,
    execution=Execution.UNKNOWN,
    detail="the ticket was issued by an earlier process of this instance",
)
NOT_ISSUED = Refusal(
    reason=RefusalReason.TICKET_UNKNOWN,
    execution=Execution.UNKNOWN,
    detail="the ticket was not issued by this instance",
)
