"""Finds the head of a response inside another response.

Guards against servers that answer twice or break off. What such a server sends next may
be taken for the rest of a body, or of a status line or header.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from re import compile as compile_pattern

from savorypond.http.messages import HttpResponse

_VERSION = b"HTTP/"
# Without a limit, a long line with many versions would be searched once for each.
_STATUS_LINE = compile_pattern(rb"HTTP/1\.[01] [1-5][0-9]{2}(?: [^\r\n]{0,100})?\r?\n")
_HEADER_LINE = compile_pattern(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[^\r\n]*\r?\n")
_EMPTY_LINE = compile_pattern(rb"\r?\n")
# What is left of a status line or header that is cut off by the end of the body. Its
# reason phrase is one of words, unlike the rest of a line that quotes a status.
_CUT_STATUS_LINE = compile_pattern(
    rb"HTTP/(?:1(?:\.(?:[01](?: (?:[1-5](?:[0-9](?:[0-9]"
    rb"(?: [A-Za-z'() -]{0,100})?)?)?)?)?)?)?)?\r?"
)
_CUT_HEADER_LINE = compile_pattern(
    rb"(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+(?::[^\r\n]*)?)?\r?"
)
_STATUS_IN_TEXT = compile_pattern(r"HTTP/1\.[01] [1-5][0-9]{2}")


@dataclass(frozen=True, slots=True, kw_only=True)
class EmbeddedHead:
    """The head of a response inside a body.

    :param names: names of its headers, in lower case.
    :param complete: whether it ends inside the body, with an empty line or with bytes
        that are no header. In chunks, the empty line may have become framing.
    """

    names: frozenset[str]
    complete: bool


def embedded_heads(body: bytes) -> Iterator[EmbeddedHead]:
    """Yield the heads of responses in ``body``, also one that its end cuts off."""
    start = body.find(_VERSION)
    while start >= 0:
        head, end = _parse_head(body, start)
        if head is not None:
            yield head
        start = body.find(_VERSION, end)


def ends_in_version(body: bytes) -> bool:
    """Return whether ``body`` ends with a beginning of an HTTP version."""
    return any(body.endswith(_VERSION[:size]) for size in range(1, len(_VERSION)))


def has_two_status_lines(response: HttpResponse) -> bool:
    """Return whether a header or the reason phrase holds another status line."""
    texts = (response.reason, *(header.value for header in response.headers))
    return any(_STATUS_IN_TEXT.search(text) for text in texts)


def _parse_head(body: bytes, start: int) -> tuple[EmbeddedHead | None, int]:
    """Return the head at ``start``, if there is one, and where to search on."""
    line = _STATUS_LINE.match(body, start)
    if line is None:
        is_cut = _CUT_STATUS_LINE.fullmatch(body, start) is not None
        head = EmbeddedHead(names=frozenset(), complete=False) if is_cut else None
        return head, start + len(_VERSION)
    names = set()
    end = line.end()
    while (line := _HEADER_LINE.match(body, end)) is not None:
        names.add(line[1].decode("ascii").lower())
        end = line.end()
    is_cut = _CUT_HEADER_LINE.fullmatch(body, end) is not None
    if not names and not is_cut and _EMPTY_LINE.match(body, end) is None:
        return None, end
    return EmbeddedHead(names=frozenset(names), complete=not is_cut), end
