"""The shards held by a set of services in each layout of their index."""

from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import dataclass

from savorypond.model import Service, ShardRange


@dataclass(frozen=True, slots=True, kw_only=True)
class AskedShards:
    """The shards of one layout that a query to a set of services covers.

    :param orphaned: services without a shard in this layout whose keys are not
        held by any of the other services.
    """

    number: int
    asked: frozenset[str]
    by_service: tuple[tuple[Service, frozenset[str]], ...]
    orphaned: tuple[str, ...]


class IndexShards:
    """The shards of a set of services of one index, computed once per layout."""

    def __init__(self, *, services: Sequence[Service]) -> None:
        self._services = tuple(services)
        self._layouts: dict[int, AskedShards] = {}

    @property
    def services(self) -> tuple[Service, ...]:
        """The services in their original order."""
        return self._services

    def layout(self, number: int) -> AskedShards:
        """Return the shards that the services hold in layout ``number``."""
        found = self._layouts.get(number)
        if found is None:
            found = self._layouts[number] = asked_shards(self._services, number)
        return found


def asked_shards(services: Sequence[Service], number: int) -> AskedShards:
    """Return the shards that ``services`` hold in layout ``number``."""
    by_service: list[tuple[Service, frozenset[str]]] = []
    unassigned: list[Service] = []
    ranges: list[ShardRange] = []
    for service in services:
        layout = service.layout(number)
        if layout is None or not layout.shards:
            unassigned.append(service)
            continue
        ranges.extend(layout.shards)
        names = frozenset([shard.shard for shard in layout.shards])
        by_service.append((service, names))
    held = _merge_ranges(ranges)
    return AskedShards(
        number=number,
        asked=frozenset().union(*(names for _, names in by_service)),
        by_service=tuple(by_service),
        orphaned=tuple(s.name for s in unassigned if not _is_absorbed(s, held)),
    )


def _merge_ranges(ranges: Sequence[ShardRange]) -> tuple[tuple[int, int], ...]:
    """Return the union of ``ranges`` as disjoint half-open key ranges."""
    merged: list[tuple[int, int]] = []
    for shard in sorted(ranges, key=lambda key_range: key_range.low):
        if merged and shard.low <= merged[-1][1]:
            low, high = merged.pop()
            merged.append((low, max(high, shard.high)))
        else:
            merged.append((shard.low, shard.high))
    return tuple(merged)


def _is_absorbed(service: Service, held: Sequence[tuple[int, int]]) -> bool:
    """Tell whether ``held`` contains the keys of ``service`` in all its layouts."""
    return all(
        _is_covered(shard, held)
        for layout in service.layouts
        for shard in layout.shards
    )


def _is_covered(shard: ShardRange, held: Sequence[tuple[int, int]]) -> bool:
    at = bisect_right(held, shard.low, key=lambda key_range: key_range[0]) - 1
    return at >= 0 and shard.high <= held[at][1]
