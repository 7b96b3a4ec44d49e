"""Merges partial results of one snapshot into an answer."""

from collections.abc import Iterable, Mapping, Sequence

from savorypond.exceptions import MixedAnswersError
from savorypond.model import (
    Answer,
    Coverage,
    MissingShard,
    Pin,
    ShardPartial,
)
from savorypond.reasons import MissingReason


def build_answer(
    *,
    request_id: str,
    pin: Pin,
    asked: frozenset[str],
    partials: Iterable[ShardPartial],
    missing: Mapping[str, MissingReason],
    default_reason: MissingReason = MissingReason.TIMED_OUT,
) -> Answer:
    """Build an answer from ``partials`` of the snapshot of ``pin``.

    Partials of shards that were not requested are ignored, as are all but the
    first partial of a shard.

    :param missing: why shards without a partial are missing.
    :param default_reason: the reason for shards that ``missing`` does not list.
    """
    used: dict[str, ShardPartial] = {}
    for partial in partials:
        if partial.shard in asked:
            used.setdefault(partial.shard, partial)
    uncovered = sorted(asked - used.keys())
    return Answer(
        request_id=request_id,
        snapshot=pin.snapshot,
        layout=pin.layout,
        partials=tuple(used.values()),
        coverage=Coverage(
            asked=asked,
            covered=frozenset(used),
            missing=tuple(
                MissingShard(shard=shard, reason=missing.get(shard, default_reason))
                for shard in uncovered
            ),
        ),
    )


def merge_answers(
    *,
    request_id: str,
    pin: Pin,
    answers: Sequence[Answer],
    asked: frozenset[str] = frozenset(),
    default_reason: MissingReason = MissingReason.OWNER_UNREACHABLE,
) -> Answer:
    """Merge the answers of several owners to one request.

    A shard is covered if at least one answer covers it.

    :param asked: requested shards in addition to those listed by ``answers``.
    :param default_reason: the reason for shards that no answer lists as missing.
    :raises MixedAnswersError: an answer belongs to another request or pin.
    """
    missing: dict[str, MissingReason] = {}
    for answer in answers:
        _check_matches(request_id, pin, answer)
        for shard in answer.coverage.missing:
            missing.setdefault(shard.shard, shard.reason)
    return build_answer(
        request_id=request_id,
        pin=pin,
        asked=asked.union(*(answer.coverage.asked for answer in answers)),
        partials=(partial for answer in answers for partial in answer.partials),
        missing=missing,
        default_reason=default_reason,
    )


def _check_matches(request_id: str, pin: Pin, answer: Answer) -> None:
    pairs = (
        ("request", request_id, answer.request_id),
        ("snapshot", pin.snapshot, answer.snapshot),
        ("layout", pin.layout, answer.layout),
    )
    for field, expected, found in pairs:
        if expected != found:
            raise MixedAnswersError(field=field, expected=expected, found=found)
