"""Messages by which instances exchange configuration."""

from enum import StrEnum
from typing import NamedTuple, TypeVar

from msgspec import DecodeError, Struct, ValidationError
from msgspec.msgpack import Decoder, Encoder

from savorypond.exceptions import WireError

WIRE_VERSION = 1
MAX_REPLY_BYTES = 256 * 1024  # total size of the entries in one reply
MAX_MESSAGE_BYTES = 2 * MAX_REPLY_BYTES


class Stamp(NamedTuple):
    """Identifies a state of the configuration; stamps are totally ordered.

    The digest orders different bundles of the same revision, so that all
    instances converge on one of them, whichever they received first.
    """

    revision: int = 0
    digest: int = 0


class PullRequest(Struct, array_like=True, frozen=True, kw_only=True):
    """Requests the changes since ``have`` from a peer.

    :param held: state that the sender has in force.
    :param have: state that the changes start from; zero requests everything.
    :param after: name of the last service already received, or empty.
    :param limit: maximum bytes of entries; 0 requests the peer's stamp only.
    """

    version: int = WIRE_VERSION
    fleet: str
    sender: str
    held: Stamp
    have: Stamp = Stamp()
    after: str = ""
    limit: int = MAX_REPLY_BYTES


class ReplyKind(StrEnum):
    """Content of a reply."""

    STAMP = "stamp"
    CHANGES = "changes"


class PullReply(Struct, array_like=True, frozen=True, kw_only=True):
    """A page of the changes between ``base`` and ``held``, ordered by name.

    :param held: state that the peer had in force when it built the page.
    :param base: state that the changes apply to; zero if the page belongs to
        the whole bundle.
    :param entries: encoded services.
    :param removed: names of removed services.
    :param last: name to continue after, or empty on the last page.
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
    """Decode a request from an instance of this fleet.

    :raises WireError: if it is malformed, too large, or of another version
        or fleet.
    """
    return _decode(_request_decoder, data, fleet, sender)


def decode_reply(data: bytes, *, fleet: str, sender: str) -> PullReply:
    """Decode a reply from an instance of this fleet.

    :raises WireError: if it is malformed, too large, or of another version
        or fleet.
    """
    return _decode(_reply_decoder, data, fleet, sender)


def _decode(
    decoder: Decoder[_Message], data: bytes, fleet: str, sender: str
) -> _Message:
    if len(data) > MAX_MESSAGE_BYTES:
        problem = f"{len(data)} bytes exceed the limit {MAX_MESSAGE_BYTES}"
        raise WireError(sender=sender, problem=problem)
    try:
        message = decoder.decode(data)
    except (DecodeError, ValidationError) as error:
        raise WireError(sender=sender, problem=str(error)) from error
    if message.version != WIRE_VERSION:
        raise WireError(sender=sender, problem=f"unsupported version {message.version}")
    if message.fleet != fleet:
        raise WireError(sender=sender, problem=f"wrong fleet {message.fleet!r}")
    return message
