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
MAX_KEYS = 100_000  # services remembered; beyond, all are looked up anew


@dataclass(frozen=True, slots=True, kw_only=True)
class Owners:
    """The instances that a service is placed on, as far as there are any."""

    owner: Instance | None
    backup: Instance | None


@dataclass(frozen=True, slots=True, kw_only=True)
class _Key:
    """What is hashed, and the data centres it prefers, best first."""

    text: str
    data_centres: tuple[str, ...]


@dataclass(frozen=True, slots=True, order=True)
class _Seat:
    """An instance with its score; the name settles equal scores alike everywhere."""

    score: int
    name: str
    data_centre: str


@dataclass(frozen=True, slots=True, kw_only=True)
class _Entry:
    key: _Key
    seats: tuple[_Seat, ...]


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
        self._keys: dict[str, tuple[Service, _Key]] = {}
        self._entries: dict[_Key, _Entry] = {}
        self._entries_in: dict[str, dict[_Key, _Entry]] = {}

    def follow(self, instances: Iterable[Instance]) -> None:
        """Place on ``instances`` from now on."""
        before = self._instances
        after = {instance.name: instance for instance in instances}
        self._instances = after
        for name, instance in before.items():
            kept = after.get(name)
            if kept is None or kept.data_centre != instance.data_centre:
                self._remove(instance)
        for name, instance in after.items():
            known = before.get(name)
            if known is None or known.data_centre != instance.data_centre:
                self._add(instance)

    def lookup(self, service: Service) -> Owners:
        """Return the owner and the backup of ``service``."""
        key = self._key(service)
        entry = self._entries.get(key) or self._place(key)
        seated = [self._instances[seat.name] for seat in entry.seats]
        return Owners(
            owner=seated[0] if seated else None,
            backup=seated[1] if len(seated) > 1 else None,
        )

    def _key(self, service: Service) -> _Key:
        known = self._keys.get(service.name)
        if known is not None and known[0] is service:
            return known[1]
        if len(self._keys) >= MAX_KEYS:
            self._keys.clear()
            self._drop_all()
        text = _text(service, self._groups)
        key = _Key(text=text, data_centres=_preferred(service, text))
        self._keys[service.name] = (service, key)
        return key

    def _place(self, key: _Key) -> _Entry:
        entry = _Entry(key=key, seats=self._find_seats(key))
        self._entries[key] = entry
        for seat in entry.seats:
            self._entries_in.setdefault(seat.data_centre, {})[key] = entry
        return entry

    def _find_seats(self, key: _Key) -> tuple[_Seat, ...]:
        near = [name for name in key.data_centres if self._seeds.get(name)]
        far = [name for name in self._seeds if name not in key.data_centres]
        order = near + _by_hash(key.text, far)
        if not order:
            return ()
        first = self._best(key, order[0])
        if len(near) > 1:
            return (first[0], self._best(key, near[1])[0])
        if len(first) > 1 or len(order) == 1:
            return tuple(first)
        return (first[0], self._best(key, order[1])[0])

    def _best(self, key: _Key, data_centre: str) -> list[_Seat]:
        """Return the two best instances in ``data_centre``."""
        data = key.text.encode()
        scores = [
            (xxh3_64_intdigest(data, seed), name)
            for name, seed in self._seeds[data_centre].items()
        ]
        best = max(scores)
        if len(scores) == 1:
            return [_Seat(*best, data_centre)]
        second = max(score for score in scores if score is not best)
        return [_Seat(*best, data_centre), _Seat(*second, data_centre)]

    def _add(self, instance: Instance) -> None:
        seed = _hash(instance.name)
        present = self._seeds.setdefault(instance.data_centre, {})
        few = len(present) < FEW
        present[instance.name] = seed
        if few:
            self._drop_all()
            return
        for entry in self._held_in(instance.data_centre):
            score = xxh3_64_intdigest(entry.key.text.encode(), seed)
            seat = _Seat(score, instance.name, instance.data_centre)
            if any(seat > taken for taken in entry.seats if _same(seat, taken)):
                self._drop(entry)

    def _remove(self, instance: Instance) -> None:
        present = self._seeds[instance.data_centre]
        del present[instance.name]
        if not present:
            del self._seeds[instance.data_centre]
        if len(present) < FEW:
            self._drop_all()
            return
        for entry in self._held_in(instance.data_centre):
            if any(seat.name == instance.name for seat in entry.seats):
                self._drop(entry)

    def _held_in(self, data_centre: str) -> list[_Entry]:
        return list(self._entries_in.get(data_centre, {}).values())

    def _drop(self, entry: _Entry) -> None:
        del self._entries[entry.key]
        for seat in entry.seats:
            self._entries_in[seat.data_centre].pop(entry.key, None)

    def _drop_all(self) -> None:
        self._entries.clear()
        self._entries_in.clear()


def _hash(text: str) -> int:
    return xxh3_64_intdigest(text.encode())


def _same(seat: _Seat, other: _Seat) -> bool:
    return seat.data_centre == other.data_centre


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
