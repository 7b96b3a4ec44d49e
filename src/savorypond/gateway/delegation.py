"""Decides which shards of a query are delegated to other instances.

Saves traffic between data centres: shards without a backend server in this data centre
are gathered by an instance in theirs, so that one merged answer crosses the link
instead of one answer for each shard.

Speeds up queries to very many shards on small instances, where sending to all of them
takes one instance longer than the servers need to answer. The shards are split into
chunks, and each chunk always goes to the same few instances, which thus need few
connections and keep them open.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from savorypond.gateway.rendezvous import rendezvous_score
from savorypond.gateway.servers import ServerRegistry
from savorypond.model import Instance

# For fewer shards, one merged answer saves too little for the additional hop.
MIN_GROUP_SHARDS = 3
MAX_DIRECT_SHARDS = 32  # a query to more shards is split among several instances
CHUNK_SHARDS = 15  # shards of such a query that one instance gathers
DELEGATES_PER_CHUNK = 2  # candidates for a chunk; the less busy one gets it
BASE_EJECTION = 0.5  # seconds without groups after a failure; doubles each time
MAX_EJECTION = 8.0  # seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardGroup:
    """Shards delegated to one peer, by their index in the query."""

    peer: Instance
    shards: tuple[int, ...]


@dataclass(slots=True, kw_only=True)
class _PeerState:
    due: dict[int, float] = field(default_factory=dict)
    failures: int = 0
    ejected_until: float = 0.0


class DelegationPolicy:
    """Selects peers to gather shards on behalf of this instance."""

    def __init__(
        self,
        *,
        own_name: str,
        data_centre: str,
        registry: ServerRegistry,
        random: Random,
    ) -> None:
        self._own_name = own_name
        self._data_centre = data_centre
        self._registry = registry
        self._random = random
        self._states: dict[str, _PeerState] = {}
        self._remote_cache: dict[tuple[str, ...], dict[int, frozenset[str]]] = {}
        self._version = -1
        self._last_group = 0
        self._peers: Sequence[Instance] = ()
        self._peers_by_data_centre: dict[str, list[Instance]] = {}
        self._delegates: dict[tuple[str, str], tuple[Instance | None, ...]] = {}

    def choose(
        self, services: tuple[str, ...], peers: Sequence[Instance], now: float
    ) -> tuple["ShardGroup", ...]:
        """Return the groups of shards to delegate.

        :param services: the service of each shard.
        :param peers: the live instances other than this one.
        """
        self._index_peers(peers)
        remaining = self._remote_shards(services)
        groups = []
        while len(remaining) >= MIN_GROUP_SHARDS:
            data_centre = max(
                self._peers_by_data_centre,
                key=lambda name: _count_in(remaining, name),
                default="",
            )
            shards = tuple(
                shard
                for shard, data_centres in remaining.items()
                if data_centre in data_centres
            )
            if len(shards) < MIN_GROUP_SHARDS:
                break
            groups += self._assign(services, shards, data_centre, now)
            remaining = {
                index: data_centres
                for index, data_centres in remaining.items()
                if data_centre not in data_centres
            }
        if len(services) > MAX_DIRECT_SHARDS:
            assigned = {shard for group in groups for shard in group.shards}
            unassigned = tuple(
                index for index in range(len(services)) if index not in assigned
            )
            groups += self._assign(services, unassigned, self._data_centre, now)
        return tuple(groups)

    def _index_peers(self, peers: Sequence[Instance]) -> None:
        """Group the peers by data centre if they have changed."""
        if peers is self._peers:
            return
        self._peers = peers
        self._delegates.clear()
        self._peers_by_data_centre = {}
        for peer in peers:
            self._peers_by_data_centre.setdefault(peer.data_centre, []).append(peer)

    def _assign(
        self,
        services: tuple[str, ...],
        shards: tuple[int, ...],
        data_centre: str,
        now: float,
    ) -> list[ShardGroup]:
        """Return the groups of ``shards`` to delegate to peers in ``data_centre``."""
        groups = []
        for key, shards_of_chunk in self._chunks(services, shards, data_centre):
            delegates = self._delegates_of(key, data_centre)
            available = [
                delegate
                for delegate in delegates
                if delegate is None or not self._is_ejected(delegate, now)
            ]
            selected = min(available, key=self._load_order, default=None)
            if selected is not None:
                groups.append(ShardGroup(peer=selected, shards=shards_of_chunk))
        return groups

    def _chunks(
        self, services: tuple[str, ...], shards: tuple[int, ...], data_centre: str
    ) -> list[tuple[str, tuple[int, ...]]]:
        """Return chunks of ``shards``, each with the key that selects its delegates."""
        size = CHUNK_SHARDS if len(services) > MAX_DIRECT_SHARDS else len(services)
        if data_centre != self._data_centre:
            # Use as few messages as possible, since each one crosses data centres.
            chunk_count = -(-len(shards) // size)
            chunk_size = -(-len(shards) // chunk_count)
            chunks = [
                shards[i : i + chunk_size] for i in range(0, len(shards), chunk_size)
            ]
            return [(services[members[0]], members) for members in chunks]
        # Fixed ranges keep most chunks as they are when a server comes or goes.
        width = size * max(1, round(len(services) / max(1, len(shards))))
        by_range: dict[int, list[int]] = {}
        for shard in shards:
            by_range.setdefault(shard // width, []).append(shard)
        return [
            (services[number * width], tuple(members))
            for number, members in by_range.items()
        ]

    def _delegates_of(self, key: str, data_centre: str) -> tuple[Instance | None, ...]:
        """Return the candidates for the chunk ``key``; None is this instance."""
        found = self._delegates.get((key, data_centre))
        if found is None:
            candidates: dict[str, Instance | None] = {
                peer.name: peer
                for peer in self._peers_by_data_centre.get(data_centre, ())
            }
            if data_centre == self._data_centre:
                candidates[self._own_name] = None
            ranked = sorted(candidates, key=lambda name: rendezvous_score(key, name))
            found = tuple(candidates[name] for name in ranked[:DELEGATES_PER_CHUNK])
            self._delegates[(key, data_centre)] = found
        return found

    def group_started(self, peer: Instance, *, due: float) -> int:
        """Record a group sent to ``peer``; return its number.

        :param due: monotonic seconds by which a healthy peer has answered; one that
            has not gets no further groups until it does.
        """
        self._last_group += 1
        self._state(peer).due[self._last_group] = due
        return self._last_group

    def group_finished(
        self, peer: Instance, number: int, *, answered: bool, now: float
    ) -> None:
        """Record the end of a group sent to ``peer``."""
        state = self._state(peer)
        del state.due[number]
        if answered:
            state.failures = 0
            return
        ejection = min(BASE_EJECTION * 2**state.failures, MAX_EJECTION)
        state.failures = min(state.failures + 1, 8)
        state.ejected_until = now + ejection * self._random.uniform(0.75, 1.0)

    def _remote_shards(self, services: tuple[str, ...]) -> dict[int, frozenset[str]]:
        """Return the shards without a local server, with their data centres."""
        if self._version != self._registry.version:
            self._version = self._registry.version
            self._remote_cache.clear()
        remote = self._remote_cache.get(services)
        if remote is None:
            remote = self._remote_cache[services] = self._find_remote(services)
        return remote

    def _find_remote(self, services: tuple[str, ...]) -> dict[int, frozenset[str]]:
        remote = {}
        for shard, service in enumerate(services):
            servers = self._registry.servers(service)
            data_centres = frozenset(server.data_centre for server in servers)
            if data_centres and self._data_centre not in data_centres:
                remote[shard] = data_centres
        return remote

    def _is_ejected(self, peer: Instance | None, now: float) -> bool:
        state = self._states.get(peer.name) if peer is not None else None
        if state is None:
            return False
        return now < state.ejected_until or any(now > due for due in state.due.values())

    def _load_order(self, peer: Instance | None) -> tuple[int, float]:
        busy = len(self._state(peer).due) if peer is not None else 0
        return busy, self._random.random()

    def _state(self, peer: Instance) -> _PeerState:
        return self._states.setdefault(peer.name, _PeerState())


def _count_in(shards: dict[int, frozenset[str]], data_centre: str) -> int:
    return sum(data_centre in data_centres for data_centres in shards.values())
