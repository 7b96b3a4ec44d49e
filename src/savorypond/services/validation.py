"""Turns failed validation of a caller's body into a refusal."""

from pydantic import ValidationError

from savorypond.exceptions import RequestRefused
from savorypond.reasons import RefusalReason


def body_refusal(error: ValidationError) -> RequestRefused:
    """Return a refusal that names each field of the body that is wrong."""
    problems = [
        f"{'.'.join(str(part) for part in one['loc']) or 'body'}: {one['msg']}"
        for one in error.errors()
    ]
    return RequestRefused(reason=RefusalReason.MALFORMED, detail="; ".join(problems))
