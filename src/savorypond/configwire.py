"""Messages by which instances exchange configuration."""

from enum import StrEnum
from typing import NamedTuple

from msgspec import Struct

MAX_REPLY_BYTES = 256 * 1024  # entries of one reply


class Stamp(NamedTuple):
    """A state of the configuration; stamps are ordered and only rise.

    The digest decides between two different bundles of one revision, so that
    all instances settle on the same one whichever they saw first.
    """

    revision: int = 0
    digest: int = 0


class PullRequest(Struct, tag="config-pull", frozen=True, kw_only=True):
    """Asks a peer for what has changed since ``have``.

    :param held: what the sender has in force.
    :param have: state that the changes are asked for, zero for everything.
    :param after: name of the last service already received, or empty.
    :param limit: bytes of entries wanted; 0 asks for the peer's stamp only.
    """

    sender: str
    held: Stamp
    have: Stamp = Stamp()
    after: str = ""
    limit: int = MAX_REPLY_BYTES


class ReplyKind(StrEnum):
    """What a reply holds."""

    STAMP = "stamp"
    CHANGES = "changes"


class PullReply(Struct, tag="config-reply", frozen=True, kw_only=True):
    """A piece of the changes between ``base`` and ``held``, in order of names.

    :param held: what the peer had in force when it cut the piece.
    :param base: the state that the changes apply to, zero where the piece
        belongs to the whole bundle.
    :param entries: encoded services.
    :param removed: names of services that are no longer there.
    :param last: name to continue after, or empty where nothing is left.
    """

    kind: ReplyKind
    held: Stamp
    base: Stamp = Stamp()
    entries: tuple[bytes, ...] = ()
    removed: tuple[str, ...] = ()
    last: str = ""
