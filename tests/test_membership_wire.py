from unittest import TestCase

from hypothesis import given, strategies as st
from msgspec.msgpack import encode as pack

from savorypond.exceptions import DatagramError
from savorypond.membership.wire import (
    MAX_DATAGRAM,
    MAX_NAME,
    WIRE_VERSION,
    Ack,
    Leave,
    MemberUpdate,
    Packet,
    Ping,
    PingReq,
    decode,
    encode,
    update_capacity,
    update_size,
)
from savorypond.model import Address, InstanceState
from savorypond.reasons import DatagramReason

SOURCE = Address(host="127.0.0.1", port=9)
names = st.text(min_size=1, max_size=MAX_NAME // 4)
numbers = st.integers(min_value=0, max_value=2**63 - 1)
updates = st.builds(
    MemberUpdate,
    name=names,
    data_centre=names,
    host=names,
    port=st.integers(min_value=1, max_value=65535),
    incarnation=numbers,
    refutation=numbers,
    state=st.sampled_from(InstanceState),
)
config = {"config_revision": numbers, "config_digest": numbers}
messages = st.one_of(
    st.builds(Ping, number=numbers, target=names, catching_up=st.booleans(), **config),
    st.builds(PingReq, number=numbers, target=names),
    st.builds(Ack, number=numbers, subject=names, **config),
    st.builds(Leave, updates=st.lists(updates, max_size=2).map(tuple)),
)


def make_update(name="a", state=InstanceState.LIVE, incarnation=1, refutation=0):
    return MemberUpdate(
        name=name,
        data_centre="dc",
        host="127.0.0.1",
        port=9,
        incarnation=incarnation,
        refutation=refutation,
        state=state,
    )


class MembershipWireTests(TestCase):
    @given(updates, messages)
    def test_encoding_round_trips(self, sender, message):
        packet = Packet(sender=sender, message=message)
        data = encode(packet, fleet="f")
        self.assertEqual(decode(data, fleet="f", source=SOURCE), packet)

    @given(updates, st.lists(updates, max_size=40), names)
    def test_updates_within_the_capacity_fit_in_the_datagram(
        self, sender, offered, name
    ):
        free_bytes = update_capacity(sender)
        taken = []
        for update in offered:
            free_bytes -= update_size(update)
            if free_bytes >= 0:
                taken.append(update)
        ping = Ping(
            number=2**63 - 1,
            target=name,
            catching_up=True,
            config_revision=2**63 - 1,
            config_digest=2**64 - 1,
            updates=tuple(taken),
            look_at=(name, name, name),
        )
        data = encode(Packet(sender=sender, message=ping), fleet="f" * MAX_NAME)
        self.assertLessEqual(len(data), MAX_DATAGRAM)

    def test_a_packet_that_is_too_long_is_not_encoded(self):
        many = tuple(make_update(f"instance-{n}") for n in range(50))
        packet = Packet(sender=make_update(), message=Leave(updates=many))
        with self.assertRaises(ValueError):
            encode(packet, fleet="f")

    def test_invalid_datagrams_are_rejected_with_their_reason(self):
        valid = encode(Packet(sender=make_update(), message=Leave()), fleet="f")
        cases = {
            "empty": (b"", DatagramReason.MALFORMED),
            "random bytes": (b"\xc1\xff\x00", DatagramReason.MALFORMED),
            "truncated": (valid[:-3], DatagramReason.MALFORMED),
            "trailing byte": (valid + b"\x00", DatagramReason.MALFORMED),
            "no envelope": (pack({"a": 1}), DatagramReason.MALFORMED),
            "no packet": (pack([WIRE_VERSION, "f", 7]), DatagramReason.MALFORMED),
            "unknown message": (
                pack([WIRE_VERSION, "f", [[], [99]]]),
                DatagramReason.MALFORMED,
            ),
            "later version": (
                pack([WIRE_VERSION + 1, "f", ["?"]]),
                DatagramReason.OTHER_VERSION,
            ),
            "other fleet": (
                encode(Packet(sender=make_update(), message=Leave()), fleet="g"),
                DatagramReason.OTHER_FLEET,
            ),
            "too long": (valid + bytes(MAX_DATAGRAM), DatagramReason.TOO_LONG),
        }
        for name, (data, reason) in cases.items():
            with self.subTest(name), self.assertRaises(DatagramError) as caught:
                decode(data, fleet="f", source=SOURCE)
            self.assertEqual(caught.exception.reason, reason)

    @given(st.binary(max_size=64))
    def test_random_bytes_raise_only_datagram_errors(self, data):
        with self.assertRaises(DatagramError):
            decode(data, fleet="f", source=SOURCE)
