"""Merges partial answers into the greatest of their records."""

from collections.abc import Iterable
from dataclasses import dataclass

RECORD_BYTES = 16


@dataclass(frozen=True, slots=True, kw_only=True)
class PartialAnswer:
    """Unordered records of one or more shards.

    :param signatures: one signature for each shard.
    """

    signatures: tuple[str, ...]
    body: bytes


def merge_records(parts: Iterable[PartialAnswer], *, top: int) -> bytes:
    """Return the ``top`` greatest records of ``parts``, greatest first.

    Records compare byte by byte; duplicates are kept. A trailing incomplete record
    is ignored.
    """
    records = []
    for part in parts:
        body = part.body
        complete_bytes = len(body) - len(body) % RECORD_BYTES
        records += [
            body[i : i + RECORD_BYTES] for i in range(0, complete_bytes, RECORD_BYTES)
        ]
    records.sort(reverse=True)
    return b"".join(records[:top])
