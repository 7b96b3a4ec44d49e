"""Decides which shards another instance gathers in this one's place.

Answers dear links between data centres: the shards without a backend server near
this instance are gathered by one that is beside theirs, so that one merged answer
crosses the link in place of an answer from each shard.

Answers queries to very many shards on small instances: sending to all of them takes
one instance longer than the servers need. The shards are dealt out in chunks, each
to the same few instances, which therefore need few connections and keep them warm.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from xxhash import xxh64_intdigest

from savorypond.gateway.servers import ServerRegistry
from savorypond.model import Instance

# Fewer parts hardly outweigh a merged answer and the further step.
LEAST_SHARDS = 3
# Shards from which on a query is dealt out to several instances.
SPREAD_ABOVE = 32
CHUNK = 15  # shards that one instance gathers of such a query
KEEPERS = 2  # instances that take turns at a chunk; the less busy one gets it
FIRST_REST = 0.5  # seconds that a peer rests after a failure; doubles each time
LONGEST_REST = 8.0  # seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class Group:
    """Shards, by their numbers, that one peer gathers."""

    peer: Instance
    shards: tuple[int, ...]


@dataclass(slots=True, kw_only=True)
class _PeerState:
    due: dict[int, float] = field(default_factory=dict)
    failures: int = 0
    rest_until: float = 0.0


class Delegation:
    """Chooses peers for shards whose servers are far from here."""

    def __init__(
        self,
        *,
        own: str,
        data_centre: str,
        registry: ServerRegistry,
        random: Random,
    ) -> None:
        self._own = own
        self._data_centre = data_centre
        self._registry = registry
        self._random = random
        self._states: dict[str, _PeerState] = {}
        self._far: dict[tuple[str, ...], dict[int, frozenset[str]]] = {}
        self._version = -1
        self._groups = 0
        self._peers: Sequence[Instance] = ()
        self._near_peers: dict[str, list[Instance]] = {}
        self._keepers: dict[tuple[str, str], tuple[Instance | None, ...]] = {}

    def choose(
        self, services: tuple[str, ...], peers: Sequence[Instance], now: float
    ) -> tuple["Group", ...]:
        """Return the groups of shards that peers should gather.

        :param services: the service of each shard.
        :param peers: the live instances other than this one.
        """
        self._follow(peers)
        left = self._far_shards(services)
        groups = []
        while len(left) >= LEAST_SHARDS:
            best = max(
                self._near_peers, key=lambda name: _count_near(left, name), default=""
            )
            shards = tuple(shard for shard, near in left.items() if best in near)
            if len(shards) < LEAST_SHARDS:
                break
            groups += self._deal(services, shards, best, now)
            left = {s: near for s, near in left.items() if best not in near}
        if len(services) > SPREAD_ABOVE:
            taken = {shard for group in groups for shard in group.shards}
            rest = tuple(s for s in range(len(services)) if s not in taken)
            groups += self._deal(services, rest, self._data_centre, now)
        return tuple(groups)

    def _follow(self, peers: Sequence[Instance]) -> None:
        """Sort the peers by data centre where they have changed."""
        if peers is self._peers:
            return
        self._peers = peers
        self._keepers.clear()
        self._near_peers = {}
        for peer in peers:
            self._near_peers.setdefault(peer.data_centre, []).append(peer)

    def _deal(
        self,
        services: tuple[str, ...],
        shards: tuple[int, ...],
        data_centre: str,
        now: float,
    ) -> list[Group]:
        """Return the groups of ``shards`` that peers in ``data_centre`` gather."""
        groups = []
        for key, chunk in self._chunks(services, shards, data_centre):
            keepers = self._find_keepers(key, data_centre)
            usable = [
                one for one in keepers if one is None or not self._rests(one, now)
            ]
            chosen = min(usable, key=self._order, default=None)
            if chosen is not None:
                groups.append(Group(peer=chosen, shards=chunk))
        return groups

    def _chunks(
        self, services: tuple[str, ...], shards: tuple[int, ...], data_centre: str
    ) -> list[tuple[str, tuple[int, ...]]]:
        """Return chunks of ``shards``, each with the key that names its keepers."""
        size = CHUNK if len(services) > SPREAD_ABOVE else len(services)
        if data_centre != self._data_centre:
            # Each message between data centres is dear: there are as few as may be.
            count = -(-len(shards) // size)
            even = -(-len(shards) // count)
            parts = [shards[i : i + even] for i in range(0, len(shards), even)]
            return [(services[part[0]], part) for part in parts]
        near: dict[int, list[int]] = {}
        for shard in shards:
            near.setdefault(shard // size, []).append(shard)
        return [(services[n * size], tuple(part)) for n, part in near.items()]

    def _find_keepers(self, key: str, data_centre: str) -> tuple[Instance | None, ...]:
        """Return who takes turns at the chunk ``key``; None is this instance."""
        found = self._keepers.get((key, data_centre))
        if found is None:
            names: dict[str, Instance | None] = {
                peer.name: peer for peer in self._near_peers.get(data_centre, ())
            }
            if data_centre == self._data_centre:
                names[self._own] = None
            ranked = sorted(names, key=lambda name: _score(key, name))
            found = tuple(names[name] for name in ranked[:KEEPERS])
            self._keepers[(key, data_centre)] = found
        return found

    def began(self, peer: Instance, *, due: float) -> int:
        """Note a group handed to ``peer``; return its number.

        :param due: monotonic seconds by which a peer that runs has answered; one
            that has not gets no further groups until it does.
        """
        self._groups += 1
        self._state(peer).due[self._groups] = due
        return self._groups

    def ended(self, peer: Instance, number: int, *, answered: bool, now: float) -> None:
        """Note the end of a group handed to ``peer``."""
        state = self._state(peer)
        del state.due[number]
        if answered:
            state.failures = 0
            return
        rest = min(FIRST_REST * 2**state.failures, LONGEST_REST)
        state.failures = min(state.failures + 1, 8)
        state.rest_until = now + rest * self._random.uniform(0.75, 1.0)

    def _far_shards(self, services: tuple[str, ...]) -> dict[int, frozenset[str]]:
        """Return the shards without a near server, and where each has some."""
        if self._version != self._registry.version:
            self._version = self._registry.version
            self._far.clear()
        found = self._far.get(services)
        if found is None:
            found = self._far[services] = self._find_far(services)
        return found

    def _find_far(self, services: tuple[str, ...]) -> dict[int, frozenset[str]]:
        far = {}
        for shard, service in enumerate(services):
            servers = self._registry.servers(service)
            near = frozenset(server.data_centre for server in servers)
            if near and self._data_centre not in near:
                far[shard] = near
        return far

    def _rests(self, peer: Instance | None, now: float) -> bool:
        state = self._states.get(peer.name) if peer is not None else None
        if state is None:
            return False
        return now < state.rest_until or any(now > due for due in state.due.values())

    def _order(self, peer: Instance | None) -> tuple[int, float]:
        busy = len(self._state(peer).due) if peer is not None else 0
        return busy, self._random.random()

    def _state(self, peer: Instance) -> _PeerState:
        return self._states.setdefault(peer.name, _PeerState())


def _count_near(shards: dict[int, frozenset[str]], data_centre: str) -> int:
    return sum(data_centre in near for near in shards.values())


def _score(key: str, name: str) -> int:
    """Return the rendezvous score of an instance for a chunk."""
    return xxh64_intdigest(f"{key} {name}".encode())
