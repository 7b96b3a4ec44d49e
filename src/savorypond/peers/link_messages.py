"""Messages for forwarding requests between instances, encoded as MessagePack.

A frame on the wire is a big-endian 32-bit length and an encoded Frame. Senders
number their frames, and a reply carries the number of the frame that it answers.
"""

from struct import Struct as ByteLayout

from msgspec import DecodeError, EncodeError, Struct
from msgspec.msgpack import Decoder, Encoder

from savorypond.exceptions import WireError
from savorypond.model import Preference, Priority
from savorypond.reasons import Execution, MissingReason, RefusalReason

LINK_VERSION = 1
MAX_FRAME_BYTES = 32 * 1024 * 1024
_LENGTH = ByteLayout(">I")
LENGTH_BYTES = _LENGTH.size


class ForwardQuery(Struct, tag="query", frozen=True, kw_only=True):
    """A request to an owner for the partial answers of its services.

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
    """A shard without results, and the reason."""

    shard: str
    reason: MissingReason


class WireHeldSnapshot(Struct, frozen=True, array_like=True):
    """A snapshot of which every shard has a usable replica."""

    snapshot: int
    layout: int


class ForwardAnswer(Struct, tag="answer", frozen=True, kw_only=True):
    """The merged partial answers of an owner, all from the pinned snapshot.

    :param held: snapshots from which all requested services can be answered.
    :param final: whether no further answer to the same frame follows.
    """

    request_id: str
    snapshot: int
    layout: int
    partials: tuple[WirePartial, ...]
    missing: tuple[WireMissing, ...]
    held: tuple[WireHeldSnapshot, ...] = ()
    final: bool = True


class HoldingsRequest(Struct, tag="holdings", frozen=True, kw_only=True):
    """A request to an owner for the snapshots that can answer its services."""

    services: tuple[str, ...]


class ServiceHoldings(Struct, frozen=True, array_like=True):
    """The snapshots from which one service can be answered, newest first."""

    service: str
    held: tuple[WireHeldSnapshot, ...]


class HoldingsReply(Struct, tag="held", frozen=True, kw_only=True):
    """The reply to a HoldingsRequest."""

    services: tuple[ServiceHoldings, ...]


class ForwardCall(Struct, tag="call", frozen=True, kw_only=True):
    """A non-idempotent call, forwarded to the instance that issued its ticket.

    :param time_left: seconds that the recipient has for the call.
    """

    ticket: str
    service: str
    payload: object
    time_left: float


class ForwardRevoke(Struct, tag="revoke", frozen=True, kw_only=True):
    """A revocation of a ticket, forwarded to the instance that issued it."""

    ticket: str


class ForwardResult(Struct, tag="result", frozen=True, kw_only=True):
    """The result of a forwarded call or revocation, encoded as JSON."""

    ticket: str
    result: bytes


class ForwardRefusal(Struct, tag="refusal", frozen=True, kw_only=True):
    """The refusal or failure of a forwarded request.

    :param retry_after: seconds until a retry may succeed, or None.
    """

    reason: RefusalReason
    detail: str
    execution: Execution
    retry_after: float | None = None


class CancelForward(Struct, tag="cancel", frozen=True, kw_only=True):
    """The cancellation of the request in frame ``number``."""

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
    """One message and the number that matches it with its reply."""

    version: int
    fleet: str
    number: int
    message: LinkMessage


_encoder = Encoder()
_decoder = Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Return ``frame`` encoded, with its length prefix.

    :raises WireError: it is too large or cannot be encoded.
    """
    try:
        data = _encoder.encode(frame)
    except (EncodeError, TypeError) as error:
        raise WireError(sender="this instance", problem=str(error)) from error
    if len(data) > MAX_FRAME_BYTES:
        raise WireError(
            sender="this instance", problem=f"frame too large: {len(data)} bytes"
        )
    return _LENGTH.pack(len(data)) + data


def frame_length(prefix: bytes, *, sender: str) -> int:
    """Return the frame length in ``prefix``; raise WireError if it is too large."""
    length: int = _LENGTH.unpack(prefix)[0]
    if length > MAX_FRAME_BYTES:
        raise WireError(sender=sender, problem=f"frame too large: {length} bytes")
    return length


def decode_frame(data: bytes, *, sender: str, fleet: str) -> Frame:
    """Return the frame in ``data``.

    :raises WireError: it is malformed, or of another version or fleet.
    """
    try:
        frame = _decoder.decode(data)
    except DecodeError as error:
        raise WireError(sender=sender, problem=str(error)) from error
    if frame.version != LINK_VERSION:
        raise WireError(sender=sender, problem=f"unsupported version {frame.version}")
    if frame.fleet != fleet:
        raise WireError(sender=sender, problem=f"wrong fleet {frame.fleet!r}")
    return frame
