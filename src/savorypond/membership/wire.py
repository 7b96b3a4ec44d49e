"""Datagrams between instances: liveness probes with piggybacked member updates."""

from typing import Annotated, TypeVar

from msgspec import DecodeError, Meta, Raw, Struct
from msgspec.msgpack import Decoder, Encoder

from savorypond.exceptions import DatagramError
from savorypond.model import Address, Instance, InstanceState
from savorypond.reasons import DatagramReason

WIRE_VERSION = 1
MAX_DATAGRAM = 1200  # bytes; stays under the usual path MTU with all headers
MAX_NAME = 48  # bytes of an instance, data centre, host or fleet name
MAX_LOOK_AT = 3  # data centres named in one ping or ack
UPDATE_OVERHEAD = 40  # bytes of an encoded update without its three strings
HEADER_SIZE = 120  # bytes of a datagram without its sender, names and updates

_T = TypeVar("_T")

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME)]
Port = Annotated[int, Meta(ge=1, le=65535)]
Counter = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Digest = int  # 64 bits


class MemberUpdate(Struct, frozen=True, array_like=True, kw_only=True):
    """The state of one member as reported by an instance.

    :param incarnation: increases when the member restarts or resumes after a pause.
    :param refutation: increases within an incarnation when the member refutes a
        suspicion, so that everything tied to the incarnation stays valid.
    """

    name: Name
    data_centre: Name
    host: Name
    port: Port
    incarnation: Counter
    refutation: Counter
    state: InstanceState

    @property
    def address(self) -> Address:
        """The address on which the member receives datagrams."""
        return Address(host=self.host, port=self.port)

    @property
    def precedence(self) -> tuple[int, int, int, int]:
        """Rank among the updates about one member; the highest wins.

        It is a total order, so that instances converge whatever the order in which
        updates arrive. Leaving is final within an incarnation.
        """
        if self.state is InstanceState.LEAVING:
            return (self.incarnation, 1, 0, 0)
        return (self.incarnation, 0, self.refutation, _SEVERITY[self.state])

    def to_instance(self) -> Instance:
        """Return the member as the rest of the package represents it."""
        return Instance(
            name=self.name,
            data_centre=self.data_centre,
            peer_address=self.address,
            incarnation=self.incarnation,
            state=self.state,
        )


_SEVERITY = {
    InstanceState.LIVE: 0,
    InstanceState.SUSPECT: 1,
    InstanceState.DEAD: 2,
}


class Ping(Struct, frozen=True, array_like=True, kw_only=True, tag=1):
    """A request that one member acknowledge.

    :param target: name of the member; a different one does not answer.
    :param catching_up: the sender has missed updates and wants as many as fit.
    :param look_at: data centres that the sender has recently found unreachable or
        reachable again.
    """

    number: Counter
    target: Name
    catching_up: bool
    config_revision: Counter
    config_digest: Digest
    updates: tuple[MemberUpdate, ...] = ()
    look_at: tuple[Name, ...] = ()


class PingReq(Struct, frozen=True, array_like=True, kw_only=True, tag=2):
    """A request that the recipient ping ``target`` and relay its ack."""

    number: Counter
    target: Name
    updates: tuple[MemberUpdate, ...] = ()


class Ack(Struct, frozen=True, array_like=True, kw_only=True, tag=3):
    """The answer to a ping, or the relayed answer of ``subject``.

    The other fields describe the sender of this datagram.

    :param look_at: data centres that the sender has recently found unreachable or
        reachable again.
    """

    number: Counter
    subject: Name
    config_revision: Counter
    config_digest: Digest
    updates: tuple[MemberUpdate, ...] = ()
    look_at: tuple[Name, ...] = ()


class Leave(Struct, frozen=True, array_like=True, kw_only=True, tag=4):
    """An announcement that the sender is leaving; its state is in the packet."""

    updates: tuple[MemberUpdate, ...] = ()


class Sync(Struct, frozen=True, array_like=True, kw_only=True, tag=5):
    """Further members for the sender of a ping that is catching up."""

    updates: tuple[MemberUpdate, ...] = ()


Message = Ping | PingReq | Ack | Leave | Sync


class Packet(Struct, frozen=True, array_like=True, kw_only=True):
    """One message and its sender."""

    sender: MemberUpdate
    message: Message


class _Envelope(Struct, frozen=True, array_like=True):
    version: int
    fleet: str
    packet: Raw


_encoder = Encoder()
_envelope_decoder = Decoder(_Envelope)
_packet_decoder = Decoder(Packet)


def update_size(update: MemberUpdate) -> int:
    """Return an upper bound of the encoded size of ``update`` in bytes."""
    texts = update.name + update.data_centre + update.host
    return UPDATE_OVERHEAD + (len(texts) if texts.isascii() else len(texts.encode()))


def update_capacity(sender: MemberUpdate) -> int:
    """Return the bytes left for updates in a datagram of ``sender``."""
    names = MAX_NAME * (2 + MAX_LOOK_AT)
    return MAX_DATAGRAM - HEADER_SIZE - names - update_size(sender)


def encode(packet: Packet, *, fleet: str) -> bytes:
    """Return the datagram of ``packet``.

    :raises ValueError: the datagram would exceed ``MAX_DATAGRAM`` bytes.
    """
    envelope = _Envelope(WIRE_VERSION, fleet, Raw(_encoder.encode(packet)))
    data = _encoder.encode(envelope)
    if len(data) > MAX_DATAGRAM:
        raise ValueError(f"datagram of {len(data)} bytes exceeds {MAX_DATAGRAM}")
    return data


def decode(data: bytes, *, fleet: str, source: Address) -> Packet:
    """Return the packet in ``data``.

    :raises DatagramError: it is too long, malformed, or of another version or
        fleet.
    """
    if len(data) > MAX_DATAGRAM:
        raise _error(source, DatagramReason.TOO_LONG, f"{len(data)} bytes")
    envelope = _decode(_envelope_decoder, data, source)
    version = envelope.version
    if version != WIRE_VERSION:
        raise _error(source, DatagramReason.OTHER_VERSION, f"version {version}")
    if envelope.fleet != fleet:
        name = envelope.fleet[:MAX_NAME]
        raise _error(source, DatagramReason.OTHER_FLEET, f"fleet {name!r}")
    return _decode(_packet_decoder, bytes(envelope.packet), source)


def _decode(decoder: Decoder[_T], data: bytes, source: Address) -> _T:
    try:
        return decoder.decode(data)
    except DecodeError as error:
        raise _error(source, DatagramReason.MALFORMED, str(error)) from error


def _error(source: Address, reason: DatagramReason, problem: str) -> DatagramError:
    return DatagramError(sender=str(source), reason=reason, problem=problem)
