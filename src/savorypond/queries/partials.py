"""Decodes the answer of a backend server and checks it against the request."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Literal

from msgspec import DecodeError, ValidationError, convert
from msgspec.json import Decoder

from savorypond.exceptions import WireError
from savorypond.model import Holding, Pin, ShardPartial
from savorypond.reasons import DropReason


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerPartial:
    """The results of one shard as sent by a backend server.

    :param count: number of results according to the backend server.
    """

    shard: str
    count: int
    results: tuple[object, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerAnswer:
    """An answer of a backend server, with the fields echoed from the request.

    :param complete: false if the backend server itself truncated the answer.
    """

    request_id: str
    snapshot: int
    layout: int
    partials: tuple[ServerPartial, ...]
    complete: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldSnapshot:
    """One snapshot listed in the body of a 409 response."""

    snapshot: int
    layout: int
    shards: frozenset[str]


@dataclass(frozen=True, slots=True, kw_only=True)
class NotHeldAnswer:
    """The body of a 409 response."""

    reason: Literal["snapshot-not-held"]
    held: tuple[HeldSnapshot, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ShedAnswer:
    """The body of a 503 response to a request that did not run.

    :param request_id: the id of that request, or None from a server that does not
        repeat it.
    """

    execution: Literal["not-run"]
    reason: str = ""
    request_id: str | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class RefusedRequest:
    """What a refusal says of the request that it answers.

    :param request_id: the id of that request, or None from a server that does not
        repeat it.
    """

    request_id: str | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Drop:
    """A part of an answer that was dropped.

    :param shard: the dropped shard, or None for the whole answer.
    """

    reason: DropReason
    shard: str | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class CheckedAnswer:
    """The accepted and the dropped parts of one answer."""

    accepted: tuple[ShardPartial, ...] = ()
    drops: tuple[Drop, ...] = ()


DRAINING = "draining"  # reason in the 503 response of a server that is draining

_ANSWER = Decoder(ServerAnswer)
_NOT_HELD = Decoder(NotHeldAnswer)
_SHED = Decoder(ShedAnswer)
_REFUSED = Decoder(RefusedRequest)


def decode_answer(body: bytes, *, server: str) -> ServerAnswer:
    """Decode the JSON body of a 200 response of backend server ``server``.

    :raises WireError: the body is not an answer; count DropReason.MALFORMED.
    """
    try:
        return _ANSWER.decode(body)
    except (DecodeError, RecursionError) as error:
        raise WireError(sender=server, problem=str(error)) from error


def convert_answer(decoded: object, *, server: str) -> ServerAnswer:
    """Convert an answer that is already decoded to plain values or a Struct.

    :raises WireError: ``decoded`` is not an answer; count DropReason.MALFORMED.
    """
    try:
        return convert(decoded, ServerAnswer, from_attributes=True)
    except ValidationError as error:
        raise WireError(sender=server, problem=str(error)) from error


def decode_not_held(body: bytes, *, server: str) -> tuple[Holding, ...]:
    """Decode the snapshots listed in the JSON body of a 409 response.

    :raises WireError: the body does not describe a snapshot that is not held.
    """
    try:
        answer = _NOT_HELD.decode(body)
    except (DecodeError, RecursionError) as error:
        raise WireError(sender=server, problem=str(error)) from error
    return tuple(
        Holding(snapshot=held.snapshot, layout=held.layout, shards=held.shards)
        for held in answer.held
    )


def is_shed(body: bytes) -> bool:
    """Tell whether the body of a 503 response says that the request did not run."""
    return _decode_shed(body) is not None


def is_shed_of(body: bytes, *, request_id: str, reused: bool) -> bool:
    """Tell whether the body of a 503 response says that ``request_id`` did not run.

    :param reused: whether the connection has carried a request before. There, a body
        without an id may be a late second copy of an earlier one.
    """
    shed = _decode_shed(body)
    if shed is None:
        return False
    if shed.request_id is None:
        return not reused
    return shed.request_id == request_id


def names_other_request(body: bytes, *, request_id: str) -> bool:
    """Tell whether the body of a refusal names another request than ``request_id``."""
    try:
        refused = _REFUSED.decode(body)
    except (DecodeError, RecursionError):
        return False
    return refused.request_id not in (None, request_id)


def is_draining(body: bytes) -> bool:
    """Tell whether the body of a 503 response says that the server is draining."""
    shed = _decode_shed(body)
    return shed is not None and shed.reason == DRAINING


def _decode_shed(body: bytes) -> ShedAnswer | None:
    try:
        return _SHED.decode(body)
    except (DecodeError, RecursionError):
        return None


def check_answer(
    *, answer: ServerAnswer, request_id: str, pin: Pin, asked: Iterable[str]
) -> CheckedAnswer:
    """Accept the partials of ``answer`` that were requested and are complete.

    All partials of a repeated shard are dropped because nothing shows which of
    them is correct. A requested shard without a partial counts as truncated.

    :param asked: the shards requested by the attempt.
    """
    answer_reason = _answer_drop_reason(answer, request_id, pin)
    if answer_reason is not None:
        return CheckedAnswer(drops=(Drop(reason=answer_reason),))
    accepted: list[ShardPartial] = []
    drops: list[Drop] = []
    outstanding = set(asked)
    names = [partial.shard for partial in answer.partials]
    seen = set(names)
    duplicates = _find_duplicates(names) if len(seen) < len(names) else frozenset()
    for partial in answer.partials:
        reason = _partial_drop_reason(partial, outstanding, duplicates)
        if reason is not None:
            drops.append(Drop(reason=reason, shard=partial.shard))
            continue
        accepted.append(ShardPartial(shard=partial.shard, results=partial.results))
    outstanding.difference_update(seen)
    drops.extend(
        Drop(reason=DropReason.TRUNCATED, shard=shard) for shard in sorted(outstanding)
    )
    return CheckedAnswer(accepted=tuple(accepted), drops=tuple(drops))


def _answer_drop_reason(
    answer: ServerAnswer, request_id: str, pin: Pin
) -> DropReason | None:
    if answer.request_id != request_id:
        return DropReason.WRONG_REQUEST
    if answer.snapshot != pin.snapshot:
        return DropReason.WRONG_SNAPSHOT
    if answer.layout != pin.layout:
        return DropReason.WRONG_LAYOUT
    if not answer.complete:
        return DropReason.TRUNCATED
    return None


def _find_duplicates(names: list[str]) -> frozenset[str]:
    return frozenset(name for name, times in Counter(names).items() if times > 1)


def _partial_drop_reason(
    partial: ServerPartial, asked: set[str], duplicates: frozenset[str]
) -> DropReason | None:
    if partial.shard not in asked:
        return DropReason.WRONG_SHARD
    if partial.shard in duplicates:
        return DropReason.DUPLICATE
    if partial.count != len(partial.results):
        return DropReason.TRUNCATED
    return None
