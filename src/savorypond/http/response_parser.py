"""Reads one HTTP/1.1 response from the bytes of a connection.

The parsing is done by httptools: a query reads a response from each shard, and
h11, which the servers use, takes several times as long for each.
"""

from httptools import HttpParserError, HttpResponseParser

from savorypond.exceptions import ResponseError
from savorypond.http.messages import Header, HttpResponse

_MOST_HEAD_BYTES = 64 * 1024
_MOST_BODY_BYTES = 16 * 1024 * 1024
_SWITCHING = 101
_FIRST_FINAL = 200


class ResponseParser:
    """The bytes of one response, and whether others follow them.

    :param method: the request's method; the response to HEAD has no body.
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
        self._has_extra = False

    @property
    def complete(self) -> bool:
        """Whether the response is whole."""
        return self._complete

    @property
    def has_extra(self) -> bool:
        """Whether bytes came that belong to no request."""
        return self._has_extra

    def feed(self, data: bytes) -> None:
        """Take bytes; raise ResponseError where they are no response."""
        if not self._has_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except HttpParserError as error:
            # Whatever follows a whole response is not part of it.
            if not self._complete:
                raise ResponseError(problem=str(error)) from error
            self._has_extra = True
        if not self._has_head and self._head_bytes > _MOST_HEAD_BYTES:
            raise ResponseError(problem="response headers are too large")

    def feed_end(self) -> None:
        """Take the end of the connection.

        :raises ResponseError: the response is not whole by it.
        """
        if not self._complete and self._ends_with_connection():
            self._complete = True
        if not self._complete:
            raise ResponseError(problem="connection closed before the response")

    def response(self) -> HttpResponse:
        """Return the response, which must be complete."""
        return HttpResponse(
            status=self._status,
            headers=tuple(self._headers),
            body=b"".join(self._body),
            close=self._closes(),
        )

    def on_message_begin(self) -> None:
        """Note a first byte; called by the library, like all that follow."""
        if self._complete:
            self._has_extra = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep one header."""
        if not self._complete:
            self._headers.append(
                Header(
                    name=name.decode("latin-1").lower(),
                    value=value.decode("latin-1"),
                )
            )

    def on_headers_complete(self) -> None:
        """Note the end of the headers."""
        if self._complete:
            return
        self._status = self._parser.get_status_code()
        if self._status < _FIRST_FINAL:
            return
        self._has_head = True
        if self._method == "HEAD":
            self._complete = True

    def on_body(self, data: bytes) -> None:
        """Keep a piece of the body."""
        if self._complete:
            self._has_extra = True
            return
        self._body_bytes += len(data)
        if self._body_bytes > _MOST_BODY_BYTES:
            raise ResponseError(problem="response body is too large")
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Note the end of the response, or of an informational one."""
        if self._complete:
            return
        if self._status == _SWITCHING:
            raise ResponseError(problem="protocol switch that nobody asked for")
        if self._status < _FIRST_FINAL:
            self._headers.clear()
        else:
            self._complete = True

    def _ends_with_connection(self) -> bool:
        framed = ("content-length", "transfer-encoding")
        return self._has_head and all(h.name not in framed for h in self._headers)

    def _closes(self) -> bool:
        if self._parser.get_http_version() != "1.1":
            return True
        return any(
            header.name == "connection" and "close" in header.value.lower()
            for header in self._headers
        )
