"""Merge partials of one snapshot into one answer."""

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
    unexplained: MissingReason = MissingReason.TIMED_OUT,
) -> Answer:
    """Build the answer that ``partials`` of the snapshot of ``pin`` make.

    Partials of shards that were not asked for, and any but the first of a
    shard, are left out.

    :param missing: why shards without a partial are missing.
    :param unexplained: the reason for those that ``missing`` does not name.
    """
    used: dict[str, ShardPartial] = {}
    for partial in partials:
        if partial.shard in asked:
            used.setdefault(partial.shard, partial)
    lacking = sorted(asked - used.keys())
    return Answer(
        request_id=request_id,
        snapshot=pin.snapshot,
        layout=pin.layout,
        partials=tuple(used.values()),
        coverage=Coverage(
            asked=asked,
            covered=frozenset(used),
            missing=tuple(
                MissingShard(shard=shard, reason=missing.get(shard, unexplained))
                for shard in lacking
            ),
        ),
    )


def merge_answers(
    *,
    request_id: str,
    pin: Pin,
    answers: Sequence[Answer],
    asked: frozenset[str] = frozenset(),
    unexplained: MissingReason = MissingReason.OWNER_UNREACHABLE,
) -> Answer:
    """Merge the answers that several owners gave for one request.

    A shard that one answer covers and another misses is covered.

    :param asked: shards asked for beyond those that ``answers`` state.
    :param unexplained: why a shard is missing of which no answer says so.
    :raises MixedAnswersError: an answer is of another request or pin.
    """
    missing: dict[str, MissingReason] = {}
    for answer in answers:
        _check_same(request_id, pin, answer)
        for shard in answer.coverage.missing:
            missing.setdefault(shard.shard, shard.reason)
    return build_answer(
        request_id=request_id,
        pin=pin,
        asked=asked.union(*(answer.coverage.asked for answer in answers)),
        partials=(partial for answer in answers for partial in answer.partials),
        missing=missing,
        unexplained=unexplained,
    )


def _check_same(request_id: str, pin: Pin, answer: Answer) -> None:
    pairs = (
        ("request", request_id, answer.request_id),
        ("snapshot", pin.snapshot, answer.snapshot),
        ("layout", pin.layout, answer.layout),
    )
    for field, expected, found in pairs:
        if expected != found:
            raise MixedAnswersError(field=field, expected=expected, found=found)
