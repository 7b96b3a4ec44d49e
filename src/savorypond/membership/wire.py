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
MAX_LOOK_AT = 3  # data centres named in one ping
UPDATE_OVERHEAD = 40  # bytes of one encoded update besides its three texts
HEADER_ROOM = 120  # bytes of a datagram besides its sender, names and updates

_T = TypeVar("_T")

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME)]
Port = Annotated[int, Meta(ge=1, le=65535)]
Counter = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Digest = int  # of 64 bits


class MemberUpdate(Struct, frozen=True, array_like=True, kw_only=True):
    """What one instance says about one member.

    :param incarnation: rises when the member restarts or wakes from a pause.
    :param refutation: rises within an incarnation when the member denies a
        suspicion, so that its incarnation stays valid for what is tied to it.
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
        """Where the member listens for datagrams."""
        return Address(host=self.host, port=self.port)

    @property
    def precedence(self) -> tuple[int, int, int, int]:
        """Rank among updates of one member; the higher one holds.

        A total order, so that instances agree in whatever order they hear.
        Leaving is final within an incarnation.
        """
        if self.state is InstanceState.LEAVING:
            return (self.incarnation, 1, 0, 0)
        return (self.incarnation, 0, self.refutation, _SEVERITY[self.state])

    def to_instance(self) -> Instance:
        """Return the member as the rest of the package knows it."""
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
    """Ask one member to answer.

    :param target: name of the member asked; another one does not answer.
    :param catching_up: the sender has missed updates and wants as many as fit.
    :param look_at: data centres that the sender has just lost or regained
        sight of.
    """

    number: Counter
    target: Name
    catching_up: bool
    config_revision: Counter
    config_digest: Digest
    updates: tuple[MemberUpdate, ...] = ()
    look_at: tuple[Name, ...] = ()


class PingReq(Struct, frozen=True, array_like=True, kw_only=True, tag=2):
    """Ask a third member to ping ``target`` and to pass its answer on."""

    number: Counter
    target: Name
    updates: tuple[MemberUpdate, ...] = ()


class Ack(Struct, frozen=True, array_like=True, kw_only=True, tag=3):
    """Answer to a ping, or the answer of ``subject`` passed on by a third member.

    The other fields are those of the sender of this datagram.

    :param look_at: data centres that the sender has just lost or regained
        sight of.
    """

    number: Counter
    subject: Name
    config_revision: Counter
    config_digest: Digest
    updates: tuple[MemberUpdate, ...] = ()
    look_at: tuple[Name, ...] = ()


class Leave(Struct, frozen=True, array_like=True, kw_only=True, tag=4):
    """Say that the sender is leaving; the sender's own update tells the rest."""

    updates: tuple[MemberUpdate, ...] = ()


Message = Ping | PingReq | Ack | Leave


class Packet(Struct, frozen=True, array_like=True, kw_only=True):
    """One message and who sent it."""

    sender: MemberUpdate
    message: Message


class _Envelope(Struct, frozen=True, array_like=True):
    version: int
    fleet: str
    packet: Raw


_encoder = Encoder()
_envelopes = Decoder(_Envelope)
_packets = Decoder(Packet)


def update_size(update: MemberUpdate) -> int:
    """Return an upper bound of the encoded size of ``update`` in bytes."""
    texts = update.name + update.data_centre + update.host
    return UPDATE_OVERHEAD + (len(texts) if texts.isascii() else len(texts.encode()))


def update_room(sender: MemberUpdate) -> int:
    """Return the bytes left for updates in a datagram of ``sender``."""
    names = MAX_NAME * (2 + MAX_LOOK_AT)
    return MAX_DATAGRAM - HEADER_ROOM - names - update_size(sender)


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

    :raises DatagramError: it is oversize, malformed, or of another version or
        fleet.
    """
    if len(data) > MAX_DATAGRAM:
        raise _error(source, DatagramReason.TOO_LONG, f"{len(data)} bytes")
    envelope = _decode(_envelopes, data, source)
    version = envelope.version
    if version != WIRE_VERSION:
        raise _error(source, DatagramReason.OTHER_VERSION, f"version {version}")
    if envelope.fleet != fleet:
        name = envelope.fleet[:MAX_NAME]
        raise _error(source, DatagramReason.OTHER_FLEET, f"fleet {name!r}")
    return _decode(_packets, bytes(envelope.packet), source)


def _decode(decoder: Decoder[_T], data: bytes, source: Address) -> _T:
    try:
        return decoder.decode(data)
    except DecodeError as error:
        raise _error(source, DatagramReason.MALFORMED, str(error)) from error


def _error(source: Address, reason: DatagramReason, problem: str) -> DatagramError:
    return DatagramError(sender=str(source), reason=reason, problem=problem)
