"""Merges the records of partial answers into the greatest ones."""

from collections.abc import Iterable
from dataclasses import dataclass

RECORD_BYTES = 16


@dataclass(frozen=True, slots=True, kw_only=True)
class Part:
    """A partial answer: its servers' signatures and records in no order.

    :param signatures: one of each shard that the records are of.
    """

    signatures: tuple[str, ...]
    body: bytes


def merge_records(parts: Iterable[Part], *, top: int) -> bytes:
    """Return the ``top`` greatest records of ``parts``, greatest first.

    Records compare byte by byte; equal ones all count. A remainder shorter than
    a record is none.
    """
    records = []
    for part in parts:
        body = part.body
        whole = len(body) - len(body) % RECORD_BYTES
        records += [body[i : i + RECORD_BYTES] for i in range(0, whole, RECORD_BYTES)]
    records.sort(reverse=True)
    return b"".join(records[:top])
