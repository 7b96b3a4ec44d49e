"""Computes the owner and backup of each service by rendezvous hashing on demand.

With highest random weight hashing (Thaler and Ravishankar, 1998), a change of
one instance moves only the services placed on it, and instances with the same
view of the fleet compute the same owner.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from savorypond.model import Instance, Service

MIN_INSTANCES = 2  # per data centre; with fewer, placement may use another one
MAX_ENTRIES = 100_000  # cached services; the cache is cleared when it is full
DIGEST_BYTES = 8


@dataclass(frozen=True, slots=True, kw_only=True)
class Owners:
    """The instances that a service is placed on, None where none is available."""

    owner: Instance | None = None
    backup: Instance | None = None


@dataclass(frozen=True, slots=True)
class _PlacementKey:
    """The properties of a service, besides its name, that determine placement."""

    index: str
    data_centres: tuple[str, ...]


@dataclass(slots=True, kw_only=True, eq=False)
class _Entry:
    """The placement of one service and the scores that a new instance must beat.

    The entry holds no reference to the service, because far fewer services are
    kept decoded than there are entries.
    """

    name: str
    placement_key: _PlacementKey
    digest: bytes
    owners: Owners = Owners()
    owner_score: int = 0
    backup_score: int = 0

    def is_displaced_by(self, candidate: Instance, seed: int) -> bool:
        """Tell whether ``candidate`` outranks an instance in its data centre."""
        rank = (xxh3_64_intdigest(self.digest, seed), candidate.name)
        places = (
            (self.owners.owner, self.owner_score),
            (self.owners.backup, self.backup_score),
        )
        return any(
            holder is not None
            and holder.data_centre == candidate.data_centre
            and rank > (score, holder.name)
            for holder, score in places
        )


class OwnerTable:
    """Caches the owners of services until a relevant instance changes.

    The owner is the highest-ranked instance in the data centre with the most
    backend servers of the service. The backup is in the data centre with the
    next most servers, so that the loss of one data centre does not remove both.
    If there is no such data centre, the backup is the second-ranked instance in
    the data centre of the owner.

    :param groups: number of groups per index, each placed as a unit, or 0 to
        place every service individually.
    """

    def __init__(self, *, groups: int) -> None:
        self._groups = groups
        self._instances: dict[str, Instance] = {}
        self._seeds: dict[str, dict[str, int]] = {}
        self._entries: dict[str, _Entry] = {}
        self._placement_keys: dict[_PlacementKey, _PlacementKey] = {}
        self._entries_by_data_centre: dict[str, set[_Entry]] = {}

    def update(self, instances: Iterable[Instance]) -> None:
        """Replace the set of instances that services are placed on."""
        before = self._instances
        after = {instance.name: instance for instance in instances}
        self._instances = after
        for name, instance in before.items():
            if after.get(name) != instance:
                self._remove(instance)
        for name, instance in after.items():
            if before.get(name) != instance:
                self._add(instance)

    def lookup(self, service: Service) -> Owners:
        """Return the owner and the backup of ``service``."""
        entry = self._entries.get(service.name)
        placement_key = _placement_key(service)
        if entry is not None and entry.placement_key == placement_key:
            return entry.owners
        if entry is not None:
            self._discard(entry)
        if len(self._entries) >= MAX_ENTRIES:
            self._clear()
        return self._place(service, placement_key).owners

    def _place(self, service: Service, placement_key: _PlacementKey) -> _Entry:
        text = _hash_input(service, self._groups)
        digest = _hash(text).to_bytes(DIGEST_BYTES, "big")
        # Share equal keys: there are only a few hundred distinct ones.
        shared = self._placement_keys.setdefault(placement_key, placement_key)
        entry = _Entry(name=service.name, placement_key=shared, digest=digest)
        ranks = self._rank_instances(digest, _preferred(service, text), text)
        placed = [self._instances[name] for _, name in ranks]
        if placed:
            entry.owners = Owners(owner=placed[0])
            entry.owner_score = ranks[0][0]
        if len(placed) > 1:
            entry.owners = Owners(owner=placed[0], backup=placed[1])
            entry.backup_score = ranks[1][0]
        self._entries[service.name] = entry
        for instance in placed:
            self._entries_by_data_centre.setdefault(instance.data_centre, set()).add(
                entry
            )
        return entry

    def _rank_instances(
        self, digest: bytes, preferred: tuple[str, ...], text: str
    ) -> list[tuple[int, str]]:
        """Return the scores and names of the owner and the backup."""
        near = [name for name in preferred if name in self._seeds]
        if len(near) > 1:
            return [self._best(digest, near[0])[0], self._best(digest, near[1])[0]]
        far = [name for name in self._seeds if name not in preferred]
        order = near + _by_hash(text, far)
        if not order:
            return []
        places = self._best(digest, order[0])
        if len(places) < 2 and len(order) > 1:
            places.append(self._best(digest, order[1])[0])
        return places

    def _best(self, digest: bytes, data_centre: str) -> list[tuple[int, str]]:
        """Return the scores and names of the two best instances in ``data_centre``."""
        ranks = [
            (xxh3_64_intdigest(digest, seed), name)
            for name, seed in self._seeds[data_centre].items()
        ]
        best = max(ranks)
        if len(ranks) == 1:
            return [best]
        return [best, max(rank for rank in ranks if rank is not best)]

    def _add(self, instance: Instance) -> None:
        seed = _hash(instance.name)
        present = self._seeds.setdefault(instance.data_centre, {})
        scarce = len(present) < MIN_INSTANCES
        present[instance.name] = seed
        if scarce:
            self._clear()
            return
        for entry in self._entries_in(instance.data_centre):
            if entry.is_displaced_by(instance, seed):
                self._discard(entry)

    def _remove(self, instance: Instance) -> None:
        present = self._seeds[instance.data_centre]
        del present[instance.name]
        if not present:
            del self._seeds[instance.data_centre]
        if len(present) < MIN_INSTANCES:
            self._clear()
            return
        for entry in self._entries_in(instance.data_centre):
            if instance in (entry.owners.owner, entry.owners.backup):
                self._discard(entry)

    def _entries_in(self, data_centre: str) -> tuple[_Entry, ...]:
        return tuple(self._entries_by_data_centre.get(data_centre, ()))

    def _discard(self, entry: _Entry) -> None:
        del self._entries[entry.name]
        for instance in (entry.owners.owner, entry.owners.backup):
            if instance is not None:
                self._entries_by_data_centre[instance.data_centre].discard(entry)

    def _clear(self) -> None:
        self._entries.clear()
        self._placement_keys.clear()
        self._entries_by_data_centre.clear()


def _placement_key(service: Service) -> _PlacementKey:
    servers = service.backend_servers
    return _PlacementKey(
        service.index, tuple([server.data_centre for server in servers])
    )


def _hash(text: str) -> int:
    return xxh3_64_intdigest(text.encode())


def _hash_input(service: Service, groups: int) -> str:
    """Return the text to hash for ``service``: its name or its group."""
    if not groups or not service.index:
        return f"service {service.name}"
    group = _hash(service.name) % groups
    return f"index {service.index} {group}"


def _preferred(service: Service, text: str) -> tuple[str, ...]:
    """Return the data centres of the backend servers, those with the most first."""
    counts = Counter(server.data_centre for server in service.backend_servers)
    ranked = _by_hash(text, counts)
    return tuple(sorted(ranked, key=lambda name: -counts[name]))


def _by_hash(text: str, data_centres: Iterable[str]) -> list[str]:
    """Return ``data_centres`` in an order that depends on ``text``."""

    def score(name: str) -> tuple[int, str]:
        return (_hash(f"{text} in {name}"), name)

    return sorted(data_centres, key=score)
