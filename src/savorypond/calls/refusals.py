"""Why an instance refuses a ticket that it issued, and with what certainty."""

from savorypond.calls.tickets import Refusal
from savorypond.reasons import Execution, RefusalReason

BUSY_RETRY_AFTER = 1.0  # seconds


UNRESOLVED = Refusal(
    reason=RefusalReason.TICKET_UNRESOLVED,
    execution=Execution.UNKNOWN,
    detail="the call was sent before and its outcome is not known",
)
RESULT_DROPPED = Refusal(
    reason=RefusalReason.TICKET_SPENT,
    execution=Execution.UNKNOWN,
    detail="the call already ran; its result is no longer kept",
)
REFUSED_BEFORE = Refusal(
    reason=RefusalReason.TICKET_VOID,
    execution=Execution.NOT_RUN,
    detail="the ticket was refused before, as not run",
)
FULL = Refusal(
    reason=RefusalReason.OVERLOADED,
    execution=Execution.NOT_RUN,
    detail="too many calls are in progress",
    retry_after=BUSY_RETRY_AFTER,
)
GIVEN_UP = Refusal(
    reason=RefusalReason.TICKET_VOID,
    execution=Execution.NOT_RUN,
    detail="the claim on the ticket was given up before it was used",
)


REVOKED = Refusal(
    reason=RefusalReason.TICKET_VOID,
    execution=Execution.NOT_RUN,
    detail="the caller revoked the ticket before it was used",
)
PAUSED = Refusal(
    reason=RefusalReason.TICKET_VOID,
    execution=Execution.NOT_RUN,
    detail="the instance was paused before the ticket was used",
)
EXPIRED = Refusal(
    reason=RefusalReason.TICKET_EXPIRED,
    execution=Execution.NOT_RUN,
    detail="the ticket expired before it was used",
)
FORGOTTEN = Refusal(
    reason=RefusalReason.TICKET_EXPIRED,
    execution=Execution.UNKNOWN,
    detail="the ticket expired too long ago to know whether it ran",
)
EARLIER_START = Refusal(
    reason=RefusalReason.INSTANCE_GONE,
    execution=Execution.UNKNOWN,
    detail="the ticket was issued by an earlier start of this instance",
)
NOT_ISSUED = Refusal(
    reason=RefusalReason.TICKET_UNKNOWN,
    execution=Execution.UNKNOWN,
    detail="this instance issued no such ticket",
)
