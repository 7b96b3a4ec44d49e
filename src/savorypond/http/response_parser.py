"""Parser for one HTTP/1.1 response.

Based on httptools: a query reads a response from each shard, and h11, which the
servers use, takes several times as long per response.
"""

from httptools import HttpParserError, HttpResponseParser

from savorypond.exceptions import ResponseError
from savorypond.http.messages import Header, HttpResponse

_MAX_HEAD_BYTES = 64 * 1024
MAX_BODY_BYTES = 16 * 1024 * 1024
_MAX_HEADERS = 100
# Chunk sizes, chunk extensions and trailers. A small body may come in chunks of one
# byte, with 5 bytes of framing each; a large one would take much processor time.
_MAX_FRAMING_BYTES = 16 * 1024
_MAX_FRAMING_PER_BODY_BYTE = 6
_SMALL_BODY_BYTES = 64 * 1024
_MAX_FRAMING_PER_FURTHER_BYTE = 0.5
_SWITCHING_PROTOCOLS = 101
_MIN_FINAL_STATUS = 200


class ResponseParser:
    """Incremental parser for one response, which also detects trailing data.

    Limits the size of everything that a server may send: the status line and headers,
    together with those of informational responses, the body, and the framing of a
    chunked body. Keeps little more than the bytes that it accepts, however they are cut
    into headers and chunks. Trailers are discarded, because a field of a trailer must
    not be taken for a header (RFC 9110, section 6.5.1).

    :param method: method of the request; a response to HEAD has no body.
    :param max_body_bytes: maximum size of the body.
    """

    def __init__(self, *, method: str, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self._method = method
        self._max_body_bytes = max_body_bytes
        self._parser = HttpResponseParser(self)
        self._reason = bytearray()
        self._headers: list[Header] = []
        self._header_count = 0
        self._body = bytearray()
        self._head_bytes = 0
        self._body_bytes = 0
        self._framing_bytes = 0
        self._has_head = False
        self._complete = False
        self._ended_by_close = False
        self._has_trailing_data = False

    @property
    def complete(self) -> bool:
        """Whether the response is complete."""
        return self._complete

    @property
    def body_bytes(self) -> int:
        """Number of bytes of the body that have arrived."""
        return self._body_bytes

    @property
    def held_bytes(self) -> int:
        """Number of bytes of the head and the body that are kept."""
        return self._head_bytes + self._body_bytes

    @property
    def has_trailing_data(self) -> bool:
        """Whether bytes arrived after the end of the response."""
        return self._has_trailing_data

    def feed(self, data: bytes) -> None:
        """Parse ``data``; raise ResponseError if it is not a valid response."""
        had_head = self._has_head
        body_bytes = self._body_bytes
        try:
            self._parser.feed_data(data)
        except HttpParserError as error:
            # An error after a complete response is caused by trailing data.
            if not self._complete:
                raise ResponseError(problem=str(error)) from error
            self._has_trailing_data = True
        if had_head:
            self._framing_bytes += len(data) - (self._body_bytes - body_bytes)
        else:
            self._head_bytes += len(data)
        self._check_sizes()

    def _check_sizes(self) -> None:
        if self._body_bytes > self._max_body_bytes:
            raise ResponseError(
                problem=f"response body exceeds {self._max_body_bytes} bytes"
            )
        if self._header_count > _MAX_HEADERS:
            raise ResponseError(problem=f"response has over {_MAX_HEADERS} headers")
        if self._complete:
            return
        if not self._has_head and self._head_bytes > _MAX_HEAD_BYTES:
            raise ResponseError(
                problem=f"response headers exceed {_MAX_HEAD_BYTES} bytes"
            )
        if self._framing_bytes > _max_framing(self._body_bytes):
            raise ResponseError(
                problem=f"{self._framing_bytes} bytes of chunk extensions or trailers"
                f" for {self._body_bytes} bytes of body"
            )

    def feed_eof(self) -> None:
        """Process the end of the connection.

        :raises ResponseError: the response is incomplete.
        """
        if not self._complete and self._is_delimited_by_close():
            self._complete = True
            self._ended_by_close = True
        if not self._complete:
            raise ResponseError(
                problem="connection closed before the response was complete"
            )

    def response(self) -> HttpResponse:
        """Return the parsed response, which must be complete."""
        return HttpResponse(
            status=self._status,
            headers=tuple(self._headers),
            body=bytes(self._body),
            close=self._closes_connection(),
            reason=self._reason.decode("latin-1"),
            framed=not self._ended_by_close,
            trailing=self._has_trailing_data,
        )

    def on_message_begin(self) -> None:
        """Detect trailing data; httptools calls this and the other ``on_`` methods."""
        if self._complete:
            self._has_trailing_data = True

    def on_status(self, reason: bytes) -> None:
        """Store the reason phrase."""
        if not self._has_head:
            self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header; discard a field of the trailer.

        httptools keeps white space behind a value, which is not part of it.
        """
        if self._has_head:
            return
        self._header_count += 1
        if self._header_count <= _MAX_HEADERS:
            self._headers.append(
                Header(
                    name=name.decode("latin-1").lower(),
                    value=value.strip(b" \t").decode("latin-1"),
                )
            )

    def on_headers_complete(self) -> None:
        """Process the end of the headers."""
        if self._complete:
            return
        self._status = self._parser.get_status_code()
        if self._status < _MIN_FINAL_STATUS:
            return
        self._has_head = True
        if self._method == "HEAD":
            self._complete = True

    def on_body(self, data: bytes) -> None:
        """Store a chunk of the body."""
        if self._complete:
            self._has_trailing_data = True
            return
        self._body_bytes += len(data)
        if self._body_bytes <= self._max_body_bytes:
            self._body += data

    def on_message_complete(self) -> None:
        """Process the end of the final or of an informational response."""
        if self._complete:
            return
        if self._status == _SWITCHING_PROTOCOLS:
            raise ResponseError(problem="unexpected status 101 (Switching Protocols)")
        if self._status < _MIN_FINAL_STATUS:
            self._headers.clear()
            self._reason.clear()
        else:
            self._complete = True

    def _is_delimited_by_close(self) -> bool:
        framing_headers = ("content-length", "transfer-encoding")
        return self._has_head and all(
            h.name not in framing_headers for h in self._headers
        )

    def _closes_connection(self) -> bool:
        if self._parser.get_http_version() != "1.1":
            return True
        return any(
            header.name == "connection" and "close" in header.value.lower()
            for header in self._headers
        )


def _max_framing(body_bytes: int) -> float:
    """Return the bytes of framing that a chunked body of ``body_bytes`` may have."""
    small = min(body_bytes, _SMALL_BODY_BYTES)
    return (
        _MAX_FRAMING_BYTES
        + _MAX_FRAMING_PER_BODY_BYTE * small
        + _MAX_FRAMING_PER_FURTHER_BYTE * (body_bytes - small)
    )
