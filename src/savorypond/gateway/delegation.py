"""Decides which shards another instance gathers in this one's place.

Answers dear links between data centres: the shards without a backend server near
this instance are gathered by one that is beside theirs, so that one merged answer
crosses the link in place of an answer from each shard.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from savorypond.gateway.servers import ServerRegistry
from savorypond.model import Instance

# Fewer parts hardly outweigh a merged answer and the further step.
LEAST_SHARDS = 3
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
        self, *, data_centre: str, registry: ServerRegistry, random: Random
    ) -> None:
        self._data_centre = data_centre
        self._registry = registry
        self._random = random
        self._states: dict[str, _PeerState] = {}
        self._far: dict[tuple[str, ...], dict[int, frozenset[str]]] = {}
        self._version = -1
        self._groups = 0

    def choose(
        self, services: tuple[str, ...], peers: Sequence[Instance], now: float
    ) -> tuple["Group", ...]:
        """Return the groups of shards that peers should gather.

        :param services: the service of each shard.
        :param peers: the live instances other than this one.
        """
        groups = []
        left = self._far_shards(services)
        while len(left) >= LEAST_SHARDS:
            usable: dict[str, list[Instance]] = {}
            for peer in peers:
                if not self._rests(peer, now):
                    usable.setdefault(peer.data_centre, []).append(peer)
            best = max(usable, key=lambda name: _count_near(left, name), default="")
            shards = tuple(shard for shard, near in left.items() if best in near)
            if len(shards) < LEAST_SHARDS:
                break
            peer = min(usable[best], key=self._order)
            groups.append(Group(peer=peer, shards=shards))
            left = {s: near for s, near in left.items() if best not in near}
        return tuple(groups)

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

    def _rests(self, peer: Instance, now: float) -> bool:
        state = self._states.get(peer.name)
        if state is None:
            return False
        return now < state.rest_until or any(now > due for due in state.due.values())

    def _order(self, peer: Instance) -> tuple[int, float]:
        return len(self._state(peer).due), self._random.random()

    def _state(self, peer: Instance) -> _PeerState:
        return self._states.setdefault(peer.name, _PeerState())


def _count_near(shards: dict[int, frozenset[str]], data_centre: str) -> int:
    return sum(data_centre in near for near in shards.values())
