"""Validate a change together with the unchanged services."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from savorypond.config.bundle import tiling_problems
from savorypond.config.entries import decode_entry
from savorypond.config.stored_bundle import UniqueKeys, key_hashes
from savorypond.model import Service
from savorypond.services.rules import service_problems

MAX_ENTRY_BYTES = 64 * 1024  # one encoded service, well below MAX_REPLY_BYTES


class InvalidChangeError(ValueError):
    """An offered configuration is invalid."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Catalogue:
    """Lookup data over all services, kept next to their encoded form.

    :param names: sorted names of the services of each index.
    :param keys: names and addresses of all backend servers.
    """

    names: Mapping[str, tuple[str, ...]]
    keys: UniqueKeys


class ChangeValidator:
    """Validates the services that a change adds, modifies or removes.

    Of the unchanged services it decodes only those of indexes whose layouts
    change, so that a small change stays cheap in a large configuration.

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
        self._index_services: dict[str, set[str]] = {}
        self._changed_indexes: set[str] = set()
        self._old_keys: list[int] = []
        self._new_keys: list[int] = []

    def validate(self) -> Catalogue:
        """Return the catalogue after the change.

        :raises ValueError: if the change is invalid.
        """
        for name, data in self._changed.items():
            if data is not None and len(data) > MAX_ENTRY_BYTES:
                text = f"{len(data)} bytes exceed the limit {MAX_ENTRY_BYTES}"
                raise InvalidChangeError(f"service {name!r}: {text}")
            new = decode_entry(data) if data is not None else None
            old = self._service_in_force(name)
            self._check_service(new)
            self._old_keys.extend(key_hashes(old))
            self._new_keys.extend(key_hashes(new))
            self._update_indexes(name, old, new)
        keys = self._catalogue.keys.replaced(self._old_keys, self._new_keys)
        if keys is None:
            raise InvalidChangeError("duplicate name or address of a backend server")
        names = dict(self._catalogue.names)
        names.update((i, tuple(sorted(m))) for i, m in self._index_services.items())
        for index in self._changed_indexes:
            self._check_tiling(names[index])
        return Catalogue(names={i: n for i, n in names.items() if n}, keys=keys)

    def _service_in_force(self, name: str) -> Service | None:
        data = self._entries.get(name)
        return decode_entry(data) if data is not None else None

    def _check_service(self, service: Service | None) -> None:
        problem = next(service_problems(service), None) if service else None
        if service is not None and problem is not None:
            where = f"service {service.name!r}: {problem.field}"
            raise InvalidChangeError(f"{where}: {problem.text}")

    def _update_indexes(
        self, name: str, old: Service | None, new: Service | None
    ) -> None:
        if old and new and (old.index, old.layouts) == (new.index, new.layouts):
            return
        if old is not None and old.index:
            self._services_of_index(old.index).discard(name)
        if new is not None and new.index:
            self._services_of_index(new.index).add(name)

    def _services_of_index(self, index: str) -> set[str]:
        self._changed_indexes.add(index)
        if index not in self._index_services:
            self._index_services[index] = set(self._catalogue.names.get(index, ()))
        return self._index_services[index]

    def _check_tiling(self, names: Iterable[str]) -> None:
        problem = next(tiling_problems(self._services(names)), None)
        if problem is not None:
            raise InvalidChangeError(problem)

    def _services(self, names: Iterable[str]) -> Iterator[Service]:
        for name in names:
            data = self._changed.get(name)
            yield decode_entry(data if data is not None else self._entries[name])
