"""An accepted configuration whose services are decoded on use."""

from array import array
from bisect import bisect_left
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from itertools import pairwise

from xxhash import xxh3_64_intdigest

from savorypond.config.entries import decode_entry
from savorypond.model import Bundle, Service

CACHE_SIZE = 2048  # decoded services


class ServiceCache:
    """LRU cache of decoded services, by their encoded bytes."""

    def __init__(self, *, size: int = CACHE_SIZE) -> None:
        self._size = size
        self._services: dict[bytes, Service] = {}

    def __len__(self) -> int:
        return len(self._services)

    def get(self, data: bytes) -> Service:
        """Return the service that ``data`` encodes."""
        service = self._services.pop(data, None)
        if service is None:
            service = decode_entry(data)
        if len(self._services) >= self._size:
            del self._services[next(iter(self._services))]
        self._services[data] = service
        return service


class StoredServices(Mapping[str, Service]):
    """Mapping of names to services that stores the services encoded."""

    def __init__(self, *, entries: dict[str, bytes], cache: ServiceCache) -> None:
        self._entries = entries
        self._cache = cache

    @property
    def entries(self) -> Mapping[str, bytes]:
        """The encoded services by name."""
        return self._entries

    def __getitem__(self, name: str) -> Service:
        return self._cache.get(self._entries[name])

    def __iter__(self) -> Iterator[str]:
        return iter(self._entries)

    def __len__(self) -> int:
        return len(self._entries)


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredBundle(Bundle):
    """A bundle that looks up the services of an index without decoding others."""

    names_by_index: Mapping[str, tuple[str, ...]]

    def index_services(self, index: str) -> tuple[Service, ...]:
        """Return the search services of ``index``, by name."""
        names = self.names_by_index.get(index, ())
        return tuple(self.services[name] for name in names)


class UniqueKeys:
    """Set of the names and addresses of backend servers, as sorted 64-bit hashes."""

    def __init__(self, *, hashes: "array[int] | None" = None) -> None:
        self._hashes = hashes if hashes is not None else array("Q")

    def __len__(self) -> int:
        return len(self._hashes)

    def replaced(self, old: Iterable[int], new: Iterable[int]) -> "UniqueKeys | None":
        """Return the keys without ``old`` and with ``new``, or None on a duplicate."""
        hashes = array("Q", self._hashes)
        for value in old:
            del hashes[bisect_left(hashes, value)]
        added = sorted(new)
        if len(added) > len(hashes):
            hashes = array("Q", sorted([*hashes, *added]))
            duplicate = any(a == b for a, b in pairwise(hashes))
        else:
            duplicate = any(not _insert_unique(hashes, value) for value in added)
        return None if duplicate else UniqueKeys(hashes=hashes)


def _insert_unique(hashes: "array[int]", value: int) -> bool:
    position = bisect_left(hashes, value)
    if position < len(hashes) and hashes[position] == value:
        return False
    hashes.insert(position, value)
    return True


def key_hashes(service: Service | None) -> Iterator[int]:
    """Yield the hashes of a service's server names and addresses.

    No two services may share one of these.
    """
    if service is not None:
        for server in service.backend_servers:
            yield xxh3_64_intdigest(server.name.encode())
            yield xxh3_64_intdigest(str(server.address).encode())
