"""Tickets, each of which lets one incarnation of one instance run a call once."""

from base64 import b64decode, urlsafe_b64encode
from binascii import Error as Base64Error
from dataclasses import dataclass
from hashlib import blake2s
from hmac import compare_digest

from msgspec import DecodeError, Struct
from msgspec.msgpack import decode as decode_msgpack, encode as encode_msgpack
from xxhash import xxh32_intdigest

from savorypond.exceptions import TicketError
from savorypond.reasons import Execution, RefusalReason

TICKET_VERSION = 1
MAX_TICKET_LENGTH = 256  # characters
SIGNATURE_SIZE = 12  # bytes
MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True, kw_only=True)
class TicketLimits:
    """Bounds on the tickets of one instance and on its records of them.

    :param lifetime: seconds from issue until a ticket can no longer run.
    :param grace: seconds after the lifetime for which it is still recorded whether
        a ticket ran.
    :param max_outstanding: number of tickets whose lifetime and grace have not
        ended.
    :param max_entries: number of calls in progress and kept results, together.
    :param max_result_bytes: total size of the kept results in bytes.
    """

    lifetime: float = 120.0
    grace: float = 60.0
    max_outstanding: int = 1 << 18
    max_entries: int = 20_000
    max_result_bytes: int = 4 << 20


@dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """The right to run one call once, at one incarnation of one instance.

    :param fleet: hash of the fleet's identity.
    :param number: serial number of the ticket in its process, across incarnations.
    :param expires_ms: milliseconds on the monotonic clock of the issuing process,
        without meaning for any other process.
    :param signature: keyed hash of the other fields, which only the issuer can
        check.
    """

    fleet: int
    instance: str
    incarnation: int
    number: int
    expires_ms: int
    signature: bytes = b""

    @property
    def expires_at(self) -> float:
        """Monotonic seconds of the issuer at which the ticket expires."""
        return self.expires_ms / MS_PER_SECOND


@dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """The call is refused.

    :param execution: NOT_RUN only where the work never ran under this ticket and
        never can.
    :param retry_after: seconds until the work may be tried again, or None.
    """

    reason: RefusalReason
    execution: Execution
    detail: str
    retry_after: float | None = None


class _Body(Struct, array_like=True, frozen=True):
    version: int
    fleet: int
    instance: str
    incarnation: int
    number: int
    expires_ms: int


class TicketSigner:
    """Signs tickets with a key that never leaves the process.

    Only the issuer ever has to check a ticket, so the key is random for each
    process and not part of any settings file. It also invalidates the tickets of an
    earlier process if both have the same incarnation.

    :param key: 16 to 32 random bytes.
    """

    def __init__(self, *, key: bytes) -> None:
        if not 16 <= len(key) <= 32:
            raise ValueError(f"a ticket key must have 16 to 32 bytes, not {len(key)}")
        self._key = key

    def sign(self, ticket: Ticket) -> bytes:
        """Return the keyed hash of all fields of ``ticket`` except the signature."""
        body = _encode_body(ticket)
        return blake2s(body, key=self._key, digest_size=SIGNATURE_SIZE).digest()

    def verify(self, ticket: Ticket) -> bool:
        """Return whether this process issued ``ticket`` in this form."""
        return compare_digest(self.sign(ticket), ticket.signature)


def fleet_hash(fleet: str) -> int:
    """Return the hash that identifies the fleet called ``fleet`` in tickets."""
    return xxh32_intdigest(fleet.encode())


def encode_ticket(ticket: Ticket) -> str:
    """Return ``ticket`` as text that fits in a header or a URL."""
    return (
        urlsafe_b64encode(_encode_body(ticket) + ticket.signature).decode().rstrip("=")
    )


def decode_ticket(text: str) -> Ticket:
    """Decode the text of a ticket without a check of its signature.

    :raises TicketError: the text is not a ticket of this version.
    """
    if len(text) > MAX_TICKET_LENGTH:
        raise TicketError(problem=f"longer than {MAX_TICKET_LENGTH} characters")
    padded = text + "=" * (-len(text) % 4)
    try:
        raw = b64decode(padded.encode("ascii"), altchars=b"-_", validate=True)
        body = decode_msgpack(raw[:-SIGNATURE_SIZE], type=_Body)
    except (UnicodeEncodeError, Base64Error, DecodeError) as error:
        raise TicketError(problem=f"cannot be decoded: {error}") from error
    if body.version != TICKET_VERSION:
        raise TicketError(problem=f"version {body.version} is not supported")
    return Ticket(
        fleet=body.fleet,
        instance=body.instance,
        incarnation=body.incarnation,
        number=body.number,
        expires_ms=body.expires_ms,
        signature=raw[-SIGNATURE_SIZE:],
    )


def _encode_body(ticket: Ticket) -> bytes:
    body = _Body(
        version=TICKET_VERSION,
        fleet=ticket.fleet,
        instance=ticket.instance,
        incarnation=ticket.incarnation,
        number=ticket.number,
        expires_ms=ticket.expires_ms,
    )
    return encode_msgpack(body)
