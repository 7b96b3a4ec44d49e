"""Tests of savorypond.http.embedded_heads."""

from time import perf_counter
from unittest import TestCase

from hypothesis import given, strategies

from savorypond.http.embedded_heads import (
    EmbeddedHead,
    embedded_heads,
    ends_in_version,
    has_two_status_lines,
)
from savorypond.http.messages import Header, HttpResponse

HEAD = b"HTTP/1.1 500 Internal Server Error\r\nX-Id: r1\r\ncontent-length: 3\r\n\r\n"
TEXTS = (
    b"",
    b"records of no form",
    b"We speak HTTP",
    b"HTTP/2 200 \r\n\r\n",
    b"HTTP/1.1 is older than HTTP/2.\r\n\r\n",
    b"GET / HTTP/1.1\r\nhost: a\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nthis is no header\r\n\r\n",
    b"HTTP/1.1 999 OK\r\n\r\n",
    b'{"upstream": "HTTP/1.1 502 Bad Gateway", "tries": 3}',
    b"<p>HTTP/1.1 200 OK is the usual status line.</p>",
    b'"GET /x HTTP/1.1" 200 12ms',
)
QUOTE = b'{"a":"HTTP/1.1 200 OK"},'
MAX_SEARCH_TIME = 5.0  # seconds for 8 MB of any form, on a busy computer


class EmbeddedHeadTests(TestCase):
    def test_a_head_is_found_anywhere(self):
        for before in (b"", b"a" * 100, b"HTTP/", HEAD[:20]):
            for after in (b"", b"xyz", b"HTTP/1.1 200"):
                with self.subTest(before=before, after=after):
                    heads = list(embedded_heads(before + HEAD + after))
                    names = frozenset({"x-id", "content-length"})
                    self.assertIn(EmbeddedHead(names=names, complete=True), heads)

    def test_a_head_is_found_wherever_the_end_of_the_body_cuts_it_off(self):
        for size in range(len(b"HTTP/"), len(HEAD)):
            with self.subTest(size):
                (head,) = embedded_heads(b"a" * 7 + HEAD[:size])
                self.assertFalse(head.complete)

    def test_a_beginning_of_the_version_is_found_at_the_end(self):
        for size in range(1, len(b"HTTP/")):
            self.assertTrue(ends_in_version(b"a" + HEAD[:size]))
        self.assertFalse(ends_in_version(b"HTTP/1.1 is a version."))

    def test_a_head_without_an_empty_line_ends_where_no_header_follows(self):
        """In chunks, the empty line may have become a part of the framing."""
        (head,) = embedded_heads(HEAD[:-2] + b"\x80 records")
        names = frozenset({"x-id", "content-length"})
        self.assertEqual(head, EmbeddedHead(names=names, complete=True))

    def test_other_text_holds_no_head(self):
        for text in TEXTS:
            with self.subTest(text):
                self.assertEqual(list(embedded_heads(text + b".")), [])

    @given(strategies.binary(max_size=200), strategies.binary(max_size=200))
    def test_any_bytes_around_a_head_hide_nothing(self, before, after):
        body = before.replace(b"H", b"") + HEAD + after
        self.assertTrue(any(head.complete for head in embedded_heads(body)))

    def test_searching_takes_time_in_proportion_to_the_body(self):
        for unit in (HEAD, b"HTTP/", b"HTTP/1.1 200 OK\r\n", b"a:HTTP/1.1 200\r\n"):
            with self.subTest(unit):
                body = unit * (8_000_000 // len(unit))
                started = perf_counter()
                for _ in embedded_heads(body):
                    pass
                self.assertLess(perf_counter() - started, MAX_SEARCH_TIME)

    def test_a_long_line_with_many_status_lines_is_searched_once(self):
        """Its search took minutes for 260 kB."""
        for end in (b"", b"\r."):
            with self.subTest(end):
                body = QUOTE * (200_000 // len(QUOTE)) + end
                started = perf_counter()
                self.assertEqual(list(embedded_heads(body)), [])
                self.assertLess(perf_counter() - started, MAX_SEARCH_TIME)

    def test_a_status_line_is_found_in_a_head(self):
        for reason, value, expected in (
            ("OK", "1", False),
            ("OK", "1.1 HTTP/1.1 proxy", False),
            ("OHTTP/1.1 500 Internal Server Error", "1", True),
            ("OK", "timeHTTP/1.1 200 OK", True),
        ):
            with self.subTest(reason=reason, value=value):
                response = HttpResponse(
                    status=200, reason=reason, headers=(Header(name="a", value=value),)
                )
                self.assertEqual(has_two_status_lines(response), expected)
