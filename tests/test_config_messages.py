from unittest import TestCase

from hypothesis import given, strategies as st

from savorypond.config.messages import (
    MAX_MESSAGE_BYTES,
    PullReply,
    PullRequest,
    ReplyKind,
    Stamp,
    decode_reply,
    decode_request,
    encode_message,
)
from savorypond.exceptions import WireError

REQUEST = PullRequest(fleet="f", sender="i1", held=Stamp(3, 2**64 - 1), after="s1")
REPLY = PullReply(
    fleet="f",
    sender="i1",
    kind=ReplyKind.CHANGES,
    held=Stamp(3, 4),
    entries=(b"\x00",),
    removed=("s2",),
)


class WireTests(TestCase):
    def test_messages_round_trip(self):
        data = encode_message(REQUEST)
        self.assertEqual(decode_request(data, fleet="f", sender="i1"), REQUEST)
        data = encode_message(REPLY)
        self.assertEqual(decode_reply(data, fleet="f", sender="i1"), REPLY)

    def test_decode_errors_name_the_sender(self):
        good = encode_message(REQUEST)
        later = encode_message(
            PullRequest(version=2, fleet="f", sender="a", held=Stamp())
        )
        table = (
            ("other fleet", good, "g", "fleet 'f'"),
            ("other version", later, "f", "version 2"),
            ("truncated", good[:-1], "f", "truncated"),
            ("reply for request", encode_message(REPLY), "f", "Expected"),
            ("too large", b"\0" * (MAX_MESSAGE_BYTES + 1), "f", "exceed the limit"),
        )
        for name, data, fleet, problem in table:
            with self.subTest(name), self.assertRaises(WireError) as caught:
                decode_request(data, fleet=fleet, sender="i7")
            self.assertIn(problem, caught.exception.problem)
            self.assertEqual(caught.exception.sender, "i7")

    @given(data=st.binary(max_size=80))
    def test_arbitrary_bytes_raise_only_wire_errors(self, data):
        with self.assertRaises(WireError):
            decode_reply(data, fleet="f", sender="i7")
