"""Messages by which instances exchange configuration."""

from enum import StrEnum
from typing import NamedTuple, TypeVar

from msgspec import DecodeError, Struct, ValidationError
from msgspec.msgpack import Decoder, Encoder

from savorypond.exceptions import WireError

WIRE_VERSION = 1
MAX_REPLY_BYTES = 256 * 1024  # entries of one reply
MAX_MESSAGE_BYTES = 2 * MAX_REPLY_BYTES


class Stamp(NamedTuple):
    """A state of the configuration; stamps are ordered and only rise.

    The digest decides between two different bundles of one revision, so that
    all instances settle on the same one whichever they saw first.
    """

    revision: int = 0
    digest: int = 0


class PullRequest(Struct, array_like=True, frozen=True, kw_only=True):
    """Asks a peer for what has changed since ``have``.

    :param held: what the sender has in force.
    :param have: state that the changes are asked for, zero for everything.
    :param after: name of the last service already received, or empty.
    :param limit: bytes of entries wanted; 0 asks for the peer's stamp only.
    """

    version: int = WIRE_VERSION
    fleet: str
    sender: str
    held: Stamp
    have: Stamp = Stamp()
    after: str = ""
    limit: int = MAX_REPLY_BYTES


class ReplyKind(StrEnum):
    """What a reply holds."""

    STAMP = "stamp"
    CHANGES = "changes"


class PullReply(Struct, array_like=True, frozen=True, kw_only=True):
    """A piece of the changes between ``base`` and ``held``, in order of names.

    :param held: what the peer had in force when it cut the piece.
    :param base: the state that the changes apply to, zero where the piece
        belongs to the whole bundle.
    :param entries: encoded services.
    :param removed: names of services that are no longer there.
    :param last: name to continue after, or empty where nothing is left.
    """

    version: int = WIRE_VERSION
    fleet: str
    sender: str
    kind: ReplyKind
    held: Stamp
    base: Stamp = Stamp()
    entries: tuple[bytes, ...] = ()
    removed: tuple[str, ...] = ()
    last: str = ""


_Message = TypeVar("_Message", PullRequest, PullReply)

_encoder = Encoder()
_request_decoder = Decoder(PullRequest)
_reply_decoder = Decoder(PullReply)


def encode_message(message: PullRequest | PullReply) -> bytes:
    """Return the message as msgpack."""
    return _encoder.encode(message)


def decode_request(data: bytes, *, fleet: str, sender: str) -> PullRequest:
    """Read a request of an instance of this fleet.

    :raises WireError: where it is malformed, too large, or of another version
        or fleet.
    """
    return _checked(_request_decoder, data, fleet, sender)


def decode_reply(data: bytes, *, fleet: str, sender: str) -> PullReply:
    """Read a reply of an instance of this fleet.

    :raises WireError: where it is malformed, too large, or of another version
        or fleet.
    """
    return _checked(_reply_decoder, data, fleet, sender)


def _checked(
    decoder: Decoder[_Message], data: bytes, fleet: str, sender: str
) -> _Message:
    if len(data) > MAX_MESSAGE_BYTES:
        problem = f"{len(data)} bytes are more than {MAX_MESSAGE_BYTES}"
        raise WireError(sender=sender, problem=problem)
    try:
        message = decoder.decode(data)
    except (DecodeError, ValidationError) as error:
        raise WireError(sender=sender, problem=str(error)) from error
    if message.version != WIRE_VERSION:
        raise WireError(sender=sender, problem=f"version {message.version}")
    if message.fleet != fleet:
        raise WireError(sender=sender, problem=f"fleet {message.fleet!r}")
    return message
