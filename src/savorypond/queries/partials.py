"""Check what one backend server answered against what it was asked."""

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
    """The results of one shard as a backend server sent them.

    :param count: how many results the backend server says it sent.
    """

    shard: str
    count: int
    results: tuple[object, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerAnswer:
    """One answer of a backend server, with all it echoes of the request.

    :param complete: false where the backend server itself cut the answer short.
    """

    request_id: str
    snapshot: int
    layout: int
    partials: tuple[ServerPartial, ...]
    complete: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldSnapshot:
    """One snapshot in the body of a 409 answer."""

    snapshot: int
    layout: int
    shards: frozenset[str]


@dataclass(frozen=True, slots=True, kw_only=True)
class NotHeldAnswer:
    """The body of a 409 answer."""

    reason: Literal["snapshot-not-held"]
    held: tuple[HeldSnapshot, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ShedAnswer:
    """The body of a 503 answer that says the request did not run."""

    execution: Literal["not-run"]
    reason: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Drop:
    """One part of an answer that is not used.

    :param shard: the shard it concerns, or None for the whole answer.
    """

    reason: DropReason
    shard: str | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class CheckedAnswer:
    """The usable partials of one answer and what was dropped of it."""

    accepted: tuple[ShardPartial, ...] = ()
    drops: tuple[Drop, ...] = ()


DRAINING = "draining"  # reason of a 503 answer of a server that is leaving

_ANSWER = Decoder(ServerAnswer)
_NOT_HELD = Decoder(NotHeldAnswer)
_SHED = Decoder(ShedAnswer)


def decode_answer(body: bytes, *, server: str) -> ServerAnswer:
    """Read the JSON body of a 200 answer of backend server ``server``.

    :raises WireError: the body is not an answer; count DropReason.MALFORMED.
    """
    try:
        return _ANSWER.decode(body)
    except (DecodeError, RecursionError) as error:
        raise WireError(sender=server, problem=str(error)) from error


def convert_answer(decoded: object, *, server: str) -> ServerAnswer:
    """Check an already decoded answer, of plain values or of a Struct.

    :raises WireError: ``decoded`` is not an answer; count DropReason.MALFORMED.
    """
    try:
        return convert(decoded, ServerAnswer, from_attributes=True)
    except ValidationError as error:
        raise WireError(sender=server, problem=str(error)) from error


def decode_not_held(body: bytes, *, server: str) -> tuple[Holding, ...]:
    """Read the snapshots that the JSON body of a 409 answer lists.

    :raises WireError: the body is not one of a snapshot that is not held.
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
    """Tell whether the body of a 503 answer says that the request did not run."""
    return _decode_shed(body) is not None


def is_draining(body: bytes) -> bool:
    """Tell whether the body of a 503 answer says that the server is leaving."""
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
    """Take from ``answer`` the partials that were asked for and are whole.

    A shard that comes twice is not used at all, since nothing tells which of
    the two is right. An asked shard that does not come counts as truncated.

    :param asked: the shards that the attempt asked for.
    """
    wrong = _whole_answer_fault(answer, request_id, pin)
    if wrong is not None:
        return CheckedAnswer(drops=(Drop(reason=wrong),))
    accepted: list[ShardPartial] = []
    drops: list[Drop] = []
    lacking = set(asked)
    names = [partial.shard for partial in answer.partials]
    seen = set(names)
    repeated = _repeated(names) if len(seen) < len(names) else frozenset()
    for partial in answer.partials:
        fault = _partial_fault(partial, lacking, repeated)
        if fault is not None:
            drops.append(Drop(reason=fault, shard=partial.shard))
            continue
        accepted.append(ShardPartial(shard=partial.shard, results=partial.results))
    lacking.difference_update(seen)
    drops.extend(
        Drop(reason=DropReason.TRUNCATED, shard=shard) for shard in sorted(lacking)
    )
    return CheckedAnswer(accepted=tuple(accepted), drops=tuple(drops))


def _whole_answer_fault(
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


def _repeated(names: list[str]) -> frozenset[str]:
    return frozenset(name for name, times in Counter(names).items() if times > 1)


def _partial_fault(
    partial: ServerPartial, asked: set[str], repeated: frozenset[str]
) -> DropReason | None:
    if partial.shard not in asked:
        return DropReason.WRONG_SHARD
    if partial.shard in repeated:
        return DropReason.DUPLICATE
    if partial.count != len(partial.results):
        return DropReason.TRUNCATED
    return None
