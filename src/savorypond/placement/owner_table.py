"""Owner and backup of each service by rendezvous hashing, found when asked for.

Highest random weight hashing (Thaler and Ravishankar, 1998) moves only what a
changed instance held, and instances with the same view find the same owner.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from savorypond.model import Instance, Service

FEW = 2  # instances in a data centre below which the choice of data centres shifts
MAX_ENTRIES = 100_000  # services remembered; beyond, all are placed anew
DIGEST_BYTES = 8


@dataclass(frozen=True, slots=True, kw_only=True)
class Owners:
    """The instances that a service is placed on, as far as there are any."""

    owner: Instance | None = None
    backup: Instance | None = None


@dataclass(frozen=True, slots=True)
class _Site:
    """All that the placement of a service depends on besides its name."""

    index: str
    data_centres: tuple[str, ...]


@dataclass(slots=True, kw_only=True, eq=False)
class _Entry:
    """Where one service is placed, with the scores that a newcomer must beat.

    It does not keep the service itself, of which far fewer are held decoded.
    """

    name: str
    site: _Site
    data: bytes
    owners: Owners = Owners()
    owner_score: int = 0
    backup_score: int = 0

    def loses_to(self, newcomer: Instance, seed: int) -> bool:
        """Tell whether ``newcomer`` takes a place from one in its data centre."""
        rank = (xxh3_64_intdigest(self.data, seed), newcomer.name)
        places = (
            (self.owners.owner, self.owner_score),
            (self.owners.backup, self.backup_score),
        )
        return any(
            holder is not None
            and holder.data_centre == newcomer.data_centre
            and rank > (score, holder.name)
            for holder, score in places
        )


class OwnerTable:
    """Owners by service, kept until an instance that matters to them changes.

    The owner is the best in the data centre with most backend servers of the
    service. The backup is in the next of their data centres if there is one,
    so that both are not lost with a data centre; else the second in the first.

    :param groups: groups into which the services of one index are put, each
        placed as a whole, or 0 to place every service by itself.
    """

    def __init__(self, *, groups: int) -> None:
        self._groups = groups
        self._instances: dict[str, Instance] = {}
        self._seeds: dict[str, dict[str, int]] = {}
        self._entries: dict[str, _Entry] = {}
        self._sites: dict[_Site, _Site] = {}
        self._held_in: dict[str, set[_Entry]] = {}

    def update(self, instances: Iterable[Instance]) -> None:
        """Place on ``instances`` from now on."""
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
        site = _site(service)
        if entry is not None and entry.site == site:
            return entry.owners
        if entry is not None:
            self._drop(entry)
        if len(self._entries) >= MAX_ENTRIES:
            self._drop_all()
        return self._place(service, site).owners

    def _place(self, service: Service, site: _Site) -> _Entry:
        text = _text(service, self._groups)
        data = _hash(text).to_bytes(DIGEST_BYTES, "big")
        # Services share their few hundred sites.
        shared = self._sites.setdefault(site, site)
        entry = _Entry(name=service.name, site=shared, data=data)
        ranks = self._find_places(data, _preferred(service, text), text)
        seated = [self._instances[name] for _, name in ranks]
        if seated:
            entry.owners = Owners(owner=seated[0])
            entry.owner_score = ranks[0][0]
        if len(seated) > 1:
            entry.owners = Owners(owner=seated[0], backup=seated[1])
            entry.backup_score = ranks[1][0]
        self._entries[service.name] = entry
        for instance in seated:
            self._held_in.setdefault(instance.data_centre, set()).add(entry)
        return entry

    def _find_places(
        self, data: bytes, preferred: tuple[str, ...], text: str
    ) -> list[tuple[int, str]]:
        """Return score and name of the owner and the backup."""
        near = [name for name in preferred if name in self._seeds]
        if len(near) > 1:
            return [self._best(data, near[0])[0], self._best(data, near[1])[0]]
        far = [name for name in self._seeds if name not in preferred]
        order = near + _by_hash(text, far)
        if not order:
            return []
        places = self._best(data, order[0])
        if len(places) < 2 and len(order) > 1:
            places.append(self._best(data, order[1])[0])
        return places

    def _best(self, data: bytes, data_centre: str) -> list[tuple[int, str]]:
        """Return score and name of the two best instances in ``data_centre``."""
        ranks = [
            (xxh3_64_intdigest(data, seed), name)
            for name, seed in self._seeds[data_centre].items()
        ]
        best = max(ranks)
        if len(ranks) == 1:
            return [best]
        return [best, max(rank for rank in ranks if rank is not best)]

    def _add(self, instance: Instance) -> None:
        seed = _hash(instance.name)
        present = self._seeds.setdefault(instance.data_centre, {})
        few = len(present) < FEW
        present[instance.name] = seed
        if few:
            self._drop_all()
            return
        for entry in self._entries_in(instance.data_centre):
            if entry.loses_to(instance, seed):
                self._drop(entry)

    def _remove(self, instance: Instance) -> None:
        present = self._seeds[instance.data_centre]
        del present[instance.name]
        if not present:
            del self._seeds[instance.data_centre]
        if len(present) < FEW:
            self._drop_all()
            return
        for entry in self._entries_in(instance.data_centre):
            if instance in (entry.owners.owner, entry.owners.backup):
                self._drop(entry)

    def _entries_in(self, data_centre: str) -> tuple[_Entry, ...]:
        return tuple(self._held_in.get(data_centre, ()))

    def _drop(self, entry: _Entry) -> None:
        del self._entries[entry.name]
        for instance in (entry.owners.owner, entry.owners.backup):
            if instance is not None:
                self._held_in[instance.data_centre].discard(entry)

    def _drop_all(self) -> None:
        self._entries.clear()
        self._sites.clear()
        self._held_in.clear()


def _site(service: Service) -> _Site:
    servers = service.backend_servers
    return _Site(service.index, tuple([server.data_centre for server in servers]))


def _hash(text: str) -> int:
    return xxh3_64_intdigest(text.encode())


def _text(service: Service, groups: int) -> str:
    """Return what is hashed for ``service``: its name or its group."""
    if not groups or not service.index:
        return f"service {service.name}"
    group = _hash(service.name) % groups
    return f"index {service.index} {group}"


def _preferred(service: Service, text: str) -> tuple[str, ...]:
    """Return the data centres of the backend servers, those with most first."""
    counts = Counter(server.data_centre for server in service.backend_servers)
    ranked = _by_hash(text, counts)
    return tuple(sorted(ranked, key=lambda name: -counts[name]))


def _by_hash(text: str, data_centres: Iterable[str]) -> list[str]:
    """Return ``data_centres`` in an order that differs from text to text."""

    def score(name: str) -> tuple[int, str]:
        return (_hash(f"{text} in {name}"), name)

    return sorted(data_centres, key=score)
