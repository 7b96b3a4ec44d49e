"""Turn a failed validation of a caller's body into a refusal."""

from pydantic import ValidationError

from savorypond.exceptions import RequestRefused
from savorypond.reasons import RefusalReason


def body_refusal(error: ValidationError) -> RequestRefused:
    """Return a refusal that lists the invalid fields of the body."""
    problems = [
        f"{'.'.join(str(part) for part in item['loc']) or 'body'}: {item['msg']}"
        for item in error.errors()
    ]
    return RequestRefused(reason=RefusalReason.MALFORMED, detail="; ".join(problems))
