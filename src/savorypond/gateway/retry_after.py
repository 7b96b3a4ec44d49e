"""Reads for how long a backend server wants no requests.

Guards against values that would keep a server out of use for no reason: times of any
length, in any notation, or none at all.
"""

from dataclasses import dataclass
from datetime import UTC, datetime
from email.utils import parsedate_to_datetime
from math import isnan

MAX_PAUSE = 60.0  # seconds; longer times are cut to this
UNREADABLE_PAUSE = 1.0  # seconds, in place of a time that cannot be read
_MAX_LENGTH = 64  # characters


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestedPause:
    """The time for which a server wants no requests.

    :param problem: why it is not the time that the server stated, or "".
    """

    seconds: float
    problem: str = ""


def parse_retry_after(
    text: str, *, date: str | None, wall_time: float
) -> RequestedPause:
    """Return the pause that the Retry-After header ``text`` asks for.

    :param text: seconds, also fractions of them, or an HTTP date.
    :param date: the Date header of the response, to which an HTTP date is compared.
    :param wall_time: Unix seconds, used if there is no such header.
    """
    seconds = _parse_seconds(text)
    if seconds is None:
        until = _parse_date(text)
        if until is None:
            return RequestedPause(seconds=UNREADABLE_PAUSE, problem="unreadable")
        sent_at = _parse_date(date) if date is not None else None
        seconds = max(0.0, until - (wall_time if sent_at is None else sent_at))
    if seconds > MAX_PAUSE:
        return RequestedPause(seconds=MAX_PAUSE, problem="too long")
    return RequestedPause(seconds=seconds)


def _parse_seconds(text: str) -> float | None:
    if not text.isascii() or "_" in text or len(text) > _MAX_LENGTH:
        return None
    try:
        seconds = float(text)
    except ValueError:
        return None
    return None if isnan(seconds) or seconds < 0.0 else seconds


def _parse_date(text: str) -> float | None:
    """Return Unix seconds."""
    if len(text) > _MAX_LENGTH:
        return None
    try:
        moment = parsedate_to_datetime(text)
        if moment.tzinfo is None:
            moment = moment.replace(tzinfo=UTC)
        return (moment - datetime(1970, 1, 1, tzinfo=UTC)).total_seconds()
    except (ValueError, TypeError, IndexError, OverflowError):
        return None
