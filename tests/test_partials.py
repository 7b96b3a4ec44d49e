from unittest import TestCase

from hypothesis import given, strategies as st
from msgspec import Struct
from msgspec.json import encode

from savorypond.exceptions import WireError
from savorypond.model import Pin
from savorypond.queries.partials import (
    ServerAnswer,
    ServerPartial,
    check_answer,
    convert_answer,
    decode_answer,
    decode_not_held,
    is_shed,
    is_shed_of,
)

PIN = Pin(snapshot=7, layout=1)


def part(shard, count=1, results=("x",)):
    return ServerPartial(shard=shard, count=count, results=results)


def check(partials, asked=("a", "b"), **changes):
    fields = {"request_id": "r", "snapshot": 7, "layout": 1, **changes}
    answer = ServerAnswer(partials=tuple(partials), **fields)
    return check_answer(answer=answer, request_id="r", pin=PIN, asked=asked)


class CheckTests(TestCase):
    def test_check_table(self):
        full = [part("a"), part("b")]
        cases = (
            ("correct", full, {}, ["a", "b"], []),
            ("wrong request", full, {"request_id": "s"}, [], ["wrong-request None"]),
            ("wrong snapshot", full, {"snapshot": 6}, [], ["wrong-snapshot None"]),
            ("wrong layout", full, {"layout": 2}, [], ["wrong-layout None"]),
            ("incomplete", full, {"complete": False}, [], ["truncated None"]),
            ("missing shard", full[:1], {}, ["a"], ["truncated b"]),
            ("extra shard", [*full, part("z")], {}, ["a", "b"], ["wrong-shard z"]),
            ("too few results", [part("a", 2), part("b")], {}, ["b"], ["truncated a"]),
            ("too many results", [part("a", 0), part("b")], {}, ["b"], ["truncated a"]),
            ("negative count", [part("a", -1), part("b")], {}, ["b"], ["truncated a"]),
            (
                "repeated shard",
                [*full, part("a")],
                {},
                ["b"],
                ["duplicate a", "duplicate a"],
            ),
            ("no partials", [], {}, [], ["truncated a", "truncated b"]),
        )
        for name, partials, changes, accepted, drops in cases:
            with self.subTest(name):
                checked = check(partials, **changes)
                self.assertEqual([p.shard for p in checked.accepted], accepted)
                found = [f"{drop.reason.value} {drop.shard}" for drop in checked.drops]
                self.assertEqual(found, drops)

    @given(st.lists(st.builds(part, st.sampled_from("abz"), st.integers(0, 2))))
    def test_every_asked_shard_is_accepted_once_or_dropped(self, partials):
        checked = check(partials)
        accepted = [each.shard for each in checked.accepted]
        dropped = {drop.shard for drop in checked.drops}
        self.assertEqual(len(set(accepted)), len(accepted))
        self.assertEqual(set(accepted) | (dropped & {"a", "b"}), {"a", "b"})
        self.assertFalse(set(accepted) & dropped)


class DecodeTests(TestCase):
    def test_round_trip(self):
        answer = ServerAnswer(
            request_id="r", snapshot=7, layout=1, partials=(part("a"),)
        )
        self.assertEqual(decode_answer(encode(answer), server="a/0"), answer)

    def test_converts_plain_values_and_structs(self):
        class Echo(Struct):
            request_id: str
            snapshot: int
            layout: int
            partials: list[object]

        fields = {"request_id": "r", "snapshot": 7, "layout": 1, "partials": []}
        for decoded in (fields, Echo(**fields)):
            with self.subTest(decoded):
                found = convert_answer(decoded, server="a/0")
                self.assertEqual((found.snapshot, found.partials), (7, ()))

    def test_malformed_bodies_name_the_server(self):
        valid = '"request_id": "r", "layout": 1, "partials": []'
        bodies = (
            b"",
            b"\xff\xfe",
            b"[]",
            b"null",
            b"{" * 5000,
            b"[" * 100000,
            b'{"request_id": "r"}',
            f'{{{valid}, "snapshot": "7"}}'.encode(),
            f'{{{valid}, "snapshot": 7.5}}'.encode(),
            f'{{{valid}, "snapshot": 7'.encode(),
            b'{"request_id":"r","snapshot":7,"layout":1,"partials":[{"shard":"a"}]}',
        )
        for body in bodies:
            with (
                self.subTest(body[:60]),
                self.assertRaisesRegex(WireError, "message from a/0"),
            ):
                decode_answer(body, server="a/0")
        with self.assertRaises(WireError):
            convert_answer({"snapshot": 7}, server="a/0")

    @given(st.binary(max_size=64))
    def test_any_bytes_are_rejected_or_decoded(self, body):
        try:
            decode_answer(body, server="a/0")
        except WireError as error:
            self.assertEqual(error.sender, "a/0")

    def test_decodes_refusals(self):
        body = (
            b'{"reason": "snapshot-not-held",'
            b' "held": [{"snapshot": 6, "layout": 1, "shards": ["a"]}]}'
        )
        (held,) = decode_not_held(body, server="a/0")
        self.assertEqual((held.snapshot, held.shards), (6, frozenset({"a"})))
        with self.assertRaises(WireError):
            decode_not_held(b'{"reason": "busy", "held": []}', server="a/0")
        self.assertTrue(is_shed(b'{"execution": "not-run"}'))
        for body in (b"", b"{}", b'{"execution": "unknown"}', b"oops"):
            self.assertFalse(is_shed(body))

    def test_a_refusal_counts_only_for_its_own_request(self):
        """A late copy on a connection in use made a call run twice."""
        own = b'{"execution": "not-run", "request_id": "c1"}'
        other = b'{"execution": "not-run", "request_id": "c0"}'
        unnamed = b'{"execution": "not-run"}'
        cases = (
            (own, True, True),
            (own, False, True),
            (other, True, False),
            (other, False, False),
            (unnamed, True, False),
            (unnamed, False, True),
            (b'{"execution": "unknown", "request_id": "c1"}', False, False),
            (b"oops", False, False),
        )
        for body, reused, expected in cases:
            with self.subTest(body=body, reused=reused):
                is_shed = is_shed_of(body, request_id="c1", reused=reused)
                self.assertEqual(is_shed, expected)
