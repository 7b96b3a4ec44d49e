"""The check of a change together with all that it leaves as it is."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from savorypond.config.bundle import tiling_problems
from savorypond.config.entries import decode_entry
from savorypond.config.stored_bundle import UniqueKeys, key_hashes
from savorypond.model import Service
from savorypond.services.rules import service_problems

MAX_ENTRY_BYTES = 64 * 1024  # one encoded service, well within a peer's reply


class BrokenBundle(ValueError):  # noqa: N818
    """Offered configuration breaks a rule."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Catalogue:
    """What is remembered of all services besides their encoded form.

    :param names: sorted names of the services of each index.
    :param keys: names and addresses of all backend servers.
    """

    names: Mapping[str, tuple[str, ...]]
    keys: UniqueKeys


class Review:
    """Checks the services that a change touches, one at a time.

    Of the rest it reads only indexes whose layouts change, so that a small
    change costs little whatever the size of the whole.

    :param entries: encoded services in force.
    :param changed: encoded services offered, by name; None removes one.
    """

    def __init__(
        self,
        *,
        entries: Mapping[str, bytes],
        catalogue: Catalogue,
        changed: Mapping[str, bytes | None],
    ) -> None:
        self._entries = entries
        self._catalogue = catalogue
        self._changed = changed
        self._members: dict[str, set[str]] = {}
        self._touched: set[str] = set()
        self._old_keys: list[int] = []
        self._new_keys: list[int] = []

    def run(self) -> Catalogue:
        """Return the catalogue that holds after the change.

        :raises ValueError: where the change breaks a rule.
        """
        for name, data in self._changed.items():
            if data is not None and len(data) > MAX_ENTRY_BYTES:
                text = f"{len(data)} bytes are more than {MAX_ENTRY_BYTES}"
                raise BrokenBundle(f"service {name!r}: {text}")
            new = decode_entry(data) if data is not None else None
            old = self._old(name)
            self._check_service(new)
            self._old_keys.extend(key_hashes(old))
            self._new_keys.extend(key_hashes(new))
            self._move(name, old, new)
        keys = self._catalogue.keys.replaced(self._old_keys, self._new_keys)
        if keys is None:
            raise BrokenBundle("a backend server's name or address stands twice")
        names = dict(self._catalogue.names)
        names.update((i, tuple(sorted(m))) for i, m in self._members.items())
        for index in self._touched:
            self._check_tiling(names[index])
        return Catalogue(names={i: n for i, n in names.items() if n}, keys=keys)

    def _old(self, name: str) -> Service | None:
        data = self._entries.get(name)
        return decode_entry(data) if data is not None else None

    def _check_service(self, service: Service | None) -> None:
        problem = next(service_problems(service), None) if service else None
        if service is not None and problem is not None:
            where = f"service {service.name!r}: {problem.field}"
            raise BrokenBundle(f"{where}: {problem.text}")

    def _move(self, name: str, old: Service | None, new: Service | None) -> None:
        if old and new and (old.index, old.layouts) == (new.index, new.layouts):
            return
        if old is not None and old.index:
            self._index_members(old.index).discard(name)
        if new is not None and new.index:
            self._index_members(new.index).add(name)

    def _index_members(self, index: str) -> set[str]:
        self._touched.add(index)
        if index not in self._members:
            self._members[index] = set(self._catalogue.names.get(index, ()))
        return self._members[index]

    def _check_tiling(self, names: Iterable[str]) -> None:
        problem = next(tiling_problems(self._services(names)), None)
        if problem is not None:
            raise BrokenBundle(problem)

    def _services(self, names: Iterable[str]) -> Iterator[Service]:
        for name in names:
            data = self._changed.get(name)
            yield decode_entry(data if data is not None else self._entries[name])
