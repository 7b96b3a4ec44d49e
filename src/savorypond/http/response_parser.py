"""Parser for one HTTP/1.1 response.

Based on httptools: a query reads a response from each shard, and h11, which the
servers use, takes several times as long per response.
"""

from httptools import HttpParserError, HttpResponseParser

from savorypond.exceptions import ResponseError
from savorypond.http.messages import Header, HttpResponse

_MAX_HEAD_BYTES = 64 * 1024
_MAX_BODY_BYTES = 16 * 1024 * 1024
_SWITCHING_PROTOCOLS = 101
_MIN_FINAL_STATUS = 200


class ResponseParser:
    """Incremental parser for one response, which also detects trailing data.

    :param method: method of the request; a response to HEAD has no body.
    """

    def __init__(self, *, method: str) -> None:
        self._method = method
        self._parser = HttpResponseParser(self)
        self._headers: list[Header] = []
        self._body: list[bytes] = []
        self._head_bytes = 0
        self._body_bytes = 0
        self._has_head = False
        self._complete = False
        self._has_trailing_data = False

    @property
    def complete(self) -> bool:
        """Whether the response is complete."""
        return self._complete

    @property
    def has_trailing_data(self) -> bool:
        """Whether bytes arrived after the end of the response."""
        return self._has_trailing_data

    def feed(self, data: bytes) -> None:
        """Parse ``data``; raise ResponseError if it is not a valid response."""
        if not self._has_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except HttpParserError as error:
            # An error after a complete response is caused by trailing data.
            if not self._complete:
                raise ResponseError(problem=str(error)) from error
            self._has_trailing_data = True
        if not self._has_head and self._head_bytes > _MAX_HEAD_BYTES:
            raise ResponseError(problem="response headers are too large")

    def feed_eof(self) -> None:
        """Process the end of the connection.

        :raises ResponseError: the response is incomplete.
        """
        if not self._complete and self._is_delimited_by_close():
            self._complete = True
        if not self._complete:
            raise ResponseError(
                problem="connection closed before the response was complete"
            )

    def response(self) -> HttpResponse:
        """Return the parsed response, which must be complete."""
        return HttpResponse(
            status=self._status,
            headers=tuple(self._headers),
            body=b"".join(self._body),
            close=self._closes_connection(),
        )

    def on_message_begin(self) -> None:
        """Detect trailing data; httptools calls this and the other ``on_`` methods."""
        if self._complete:
            self._has_trailing_data = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header."""
        if not self._complete:
            self._headers.append(
                Header(
                    name=name.decode("latin-1").lower(),
                    value=value.decode("latin-1"),
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
        if self._body_bytes > _MAX_BODY_BYTES:
            raise ResponseError(problem="response body is too large")
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Process the end of the final or of an informational response."""
        if self._complete:
            return
        if self._status == _SWITCHING_PROTOCOLS:
            raise ResponseError(problem="unexpected status 101 (Switching Protocols)")
        if self._status < _MIN_FINAL_STATUS:
            self._headers.clear()
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
