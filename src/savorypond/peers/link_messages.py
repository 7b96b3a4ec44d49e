"""The messages that instances forward work with, coded as MessagePack.

A frame is a big-endian 32-bit length and one encoded Frame. A sender numbers
its frames; the reply carries the number of the frame it answers.
"""

from struct import Struct as ByteLayout

from msgspec import DecodeError, EncodeError, Struct
from msgspec.msgpack import Decoder, Encoder

from savorypond.exceptions import WireError
from savorypond.model import Preference, Priority
from savorypond.reasons import Execution, MissingReason, RefusalReason

LINK_VERSION = 1
MOST_FRAME_BYTES = 32 * 1024 * 1024
_LENGTH = ByteLayout(">I")
LENGTH_BYTES = _LENGTH.size


class ForwardQuery(Struct, tag="query", frozen=True, kw_only=True):
    """Asks an owner for the partial answers of some services.

    :param time_left: seconds until the sender needs the answer.
    """

    request_id: str
    index: str
    services: tuple[str, ...]
    snapshot: int
    layout: int
    body: object
    time_left: float
    prefer: Preference
    priority: Priority


class WirePartial(Struct, frozen=True, array_like=True):
    """The results of one shard."""

    shard: str
    results: tuple[object, ...]


class WireMissing(Struct, frozen=True, array_like=True):
    """A shard that the owner could not cover."""

    shard: str
    reason: MissingReason


class WireHeldSnapshot(Struct, frozen=True, array_like=True):
    """A snapshot whose shards all have a usable holder."""

    snapshot: int
    layout: int


class ForwardAnswer(Struct, tag="answer", frozen=True, kw_only=True):
    """An owner's merged partial answers, all of the pinned snapshot.

    :param held: the snapshots that all the services asked can be answered from.
    :param final: whether this is the last answer to its frame.
    """

    request_id: str
    snapshot: int
    layout: int
    partials: tuple[WirePartial, ...]
    missing: tuple[WireMissing, ...]
    held: tuple[WireHeldSnapshot, ...] = ()
    final: bool = True


class HoldingsRequest(Struct, tag="holdings", frozen=True, kw_only=True):
    """Asks an owner which snapshots its services can be answered from."""

    services: tuple[str, ...]


class ServiceHoldings(Struct, frozen=True, array_like=True):
    """The snapshots that one service can be answered from, newest first."""

    service: str
    held: tuple[WireHeldSnapshot, ...]


class HoldingsReply(Struct, tag="held", frozen=True, kw_only=True):
    """An owner's answer to HoldingsRequest."""

    services: tuple[ServiceHoldings, ...]


class ForwardCall(Struct, tag="call", frozen=True, kw_only=True):
    """Hands a non-idempotent call to the instance that its ticket names."""

    ticket: str
    service: str
    payload: object
    time_left: float


class ForwardRevoke(Struct, tag="revoke", frozen=True, kw_only=True):
    """Hands the revocation of a ticket to the instance that issued it."""

    ticket: str


class ForwardResult(Struct, tag="result", frozen=True, kw_only=True):
    """The result of a forwarded call, encoded as JSON."""

    ticket: str
    result: bytes


class ForwardRefusal(Struct, tag="refusal", frozen=True, kw_only=True):
    """A forwarded request that ended without an answer.

    :param retry_after: seconds, or None.
    """

    reason: RefusalReason
    detail: str
    execution: Execution
    retry_after: float | None = None


class CancelForward(Struct, tag="cancel", frozen=True, kw_only=True):
    """Says that nobody waits any longer for the answer to frame ``number``."""

    number: int


LinkMessage = (
    ForwardQuery
    | ForwardAnswer
    | HoldingsRequest
    | HoldingsReply
    | ForwardCall
    | ForwardRevoke
    | ForwardResult
    | ForwardRefusal
    | CancelForward
)


class Frame(Struct, frozen=True, kw_only=True):
    """One message and the number that pairs it with its reply."""

    version: int
    fleet: str
    number: int
    message: LinkMessage


_encoder = Encoder()
_decoder = Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Return ``frame`` with its length before it; raise WireError if too large."""
    try:
        data = _encoder.encode(frame)
    except (EncodeError, TypeError) as error:
        raise WireError(sender="this instance", problem=str(error)) from error
    if len(data) > MOST_FRAME_BYTES:
        raise WireError(sender="this instance", problem=f"frame of {len(data)} bytes")
    return _LENGTH.pack(len(data)) + data


def frame_length(head: bytes, *, sender: str) -> int:
    """Return the length that ``head`` announces; raise WireError if too large."""
    length: int = _LENGTH.unpack(head)[0]
    if length > MOST_FRAME_BYTES:
        raise WireError(sender=sender, problem=f"frame of {length} bytes")
    return length


def decode_frame(data: bytes, *, sender: str, fleet: str) -> Frame:
    """Return the frame in ``data``; raise WireError where it cannot be taken."""
    try:
        frame = _decoder.decode(data)
    except DecodeError as error:
        raise WireError(sender=sender, problem=str(error)) from error
    if frame.version != LINK_VERSION:
        raise WireError(sender=sender, problem=f"version {frame.version}")
    if frame.fleet != fleet:
        raise WireError(sender=sender, problem=f"fleet {frame.fleet!r}")
    return frame
