"""Encode and decode the values that the configuration service stores."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import Decoder, encode
from xxhash import xxh3_64_intdigest

from savorypond.config.bundle import MAX_VALUE_BYTES, check_bundle, raise_problems
from savorypond.config.entries import encode_entry, entries_digest
from savorypond.config.messages import Stamp
from savorypond.config.store import Change
from savorypond.exceptions import BundleError
from savorypond.model import Bundle, Service

HEAD_KEY = "head"
PART_BYTES = 500_000  # target size of a part, which grows with its services
MAX_PARTS = 4096


class Head(Struct, frozen=True, kw_only=True):
    """Value of ``head``: the state in force and the number of its parts.

    :param digest: 16 hexadecimal digits.
    """

    revision: int
    digest: str
    parts: int

    @property
    def stamp(self) -> Stamp:
        """The state in force."""
        return Stamp(self.revision, int(self.digest, 16))


class ChangeValue(Struct, frozen=True, kw_only=True):
    """Value of ``change/<revision>``: the changes made by that revision."""

    revision: int
    digest: str
    base_digest: str
    changed: tuple[Service, ...]
    removed: tuple[str, ...]


class PartValue(Struct, frozen=True, kw_only=True):
    """Value of ``part/<parts>/<number>``: the services assigned to that part.

    :param revision: revision that last changed the part.
    """

    revision: int
    services: tuple[Service, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Value:
    """One value to be stored under its key."""

    key: str
    data: bytes


_head_decoder = Decoder(Head)
_change_decoder = Decoder(ChangeValue)
_part_decoder = Decoder(PartValue)


def change_key(revision: int) -> str:
    """Return the key of the changes made by ``revision``."""
    return f"change/{revision}"


def part_key(parts: int, number: int) -> str:
    """Return the key of part ``number``, counted from 0, out of ``parts``."""
    return f"part/{parts}/{number}"


def decode_head(data: bytes) -> Head:
    """Decode the head.

    :raises ValueError: if it is malformed.
    """
    try:
        head = _head_decoder.decode(data)
        if head.stamp.revision >= 1 and 1 <= head.parts <= MAX_PARTS:
            return head
    except (DecodeError, ValidationError) as error:
        raise ValueError(str(error)) from error
    raise ValueError("head has a revision or number of parts out of range")


def decode_change(data: bytes) -> Change:
    """Decode the changes of a revision without validating the services.

    :raises ValueError: if it is malformed.
    """
    try:
        value = _change_decoder.decode(data)
    except (DecodeError, ValidationError) as error:
        raise ValueError(str(error)) from error
    return Change(
        base=Stamp(value.revision - 1, int(value.base_digest, 16)),
        held=Stamp(value.revision, int(value.digest, 16)),
        entries=tuple(encode_entry(service) for service in value.changed),
        removed=value.removed,
    )


def decode_part(data: bytes) -> PartValue:
    """Decode one part without validating the services.

    :raises ValueError: if it is malformed.
    """
    try:
        return _part_decoder.decode(data)
    except (DecodeError, ValidationError) as error:
        raise ValueError(str(error)) from error


def part_count(services: int, total_bytes: int) -> int:
    """Return the number of parts of a bundle, a power of two."""
    parts = 1
    while parts * PART_BYTES < total_bytes and parts < min(services, MAX_PARTS):
        parts *= 2
    return parts


def part_number(name: str, parts: int) -> int:
    """Return the number of the part that holds the service ``name``."""
    return xxh3_64_intdigest(name.encode()) % parts


def bundle_values(in_force: Bundle | None, bundle: Bundle) -> list[Value]:
    """Return the values that put ``bundle`` into force, in the order to write them.

    Parts equal to those of ``in_force`` are left out. The head comes last:
    readers see no change until it is written.

    :raises ExceptionGroup: of BundleErrors if the bundle is invalid, does not
        follow ``in_force``, or needs a value above MAX_VALUE_BYTES.
    """
    check_bundle(bundle)
    _check_revision(in_force, bundle)
    old = _entries(in_force)
    new = _entries(bundle)
    parts = _count_parts(bundle.services)
    old_parts = _count_parts(in_force.services) if in_force else 0
    changed = {name for name, data in new.items() if old.get(name) != data}
    removed = tuple(sorted(old.keys() - new.keys()))
    numbers = {part_number(name, parts) for name in {*changed, *removed}}
    if parts != old_parts:
        numbers = set(range(parts))
    digest = f"{entries_digest(new.values()):016x}"
    change = ChangeValue(
        revision=bundle.revision,
        digest=digest,
        base_digest=f"{entries_digest(old.values()):016x}",
        changed=tuple(bundle.services[name] for name in sorted(changed)),
        removed=removed,
    )
    values = list(_part_values(bundle, parts, numbers))
    change_data = encode(change)
    if in_force is not None and len(change_data) <= MAX_VALUE_BYTES:
        values.append(Value(key=change_key(bundle.revision), data=change_data))
    head = Head(revision=bundle.revision, digest=digest, parts=parts)
    return [*values, Value(key=HEAD_KEY, data=encode(head))]


def _check_revision(in_force: Bundle | None, bundle: Bundle) -> None:
    if in_force is not None and bundle.revision != in_force.revision + 1:
        text = f"does not follow revision {in_force.revision}"
        raise_problems(bundle.revision, [text])


def _entries(bundle: Bundle | None) -> dict[str, bytes]:
    if bundle is None:
        return {}
    return {name: encode_entry(service) for name, service in bundle.services.items()}


def _count_parts(services: Mapping[str, Service]) -> int:
    total = sum(len(encode(service)) + 1 for service in services.values())
    return part_count(len(services), total)


def _part_values(bundle: Bundle, parts: int, numbers: Iterable[int]) -> Iterator[Value]:
    assigned: dict[int, list[Service]] = {number: [] for number in sorted(numbers)}
    for name in sorted(bundle.services):
        number = part_number(name, parts)
        if number in assigned:
            assigned[number].append(bundle.services[name])
    for number, services in assigned.items():
        part = PartValue(revision=bundle.revision, services=tuple(services))
        data = encode(part)
        if len(data) > MAX_VALUE_BYTES:
            text = f"part {number}: {len(data)} bytes exceed {MAX_VALUE_BYTES}"
            raise_problems(bundle.revision, [text])
        yield Value(key=part_key(parts, number), data=data)


def bundle_from_values(values: Mapping[str, bytes]) -> Bundle | None:
    """Return the validated bundle that the values hold, or None without a head.

    :raises ExceptionGroup: of one BundleError for each problem.
    """
    if HEAD_KEY not in values:
        return None
    try:
        head = decode_head(values[HEAD_KEY])
        keys = [part_key(head.parts, number) for number in range(head.parts)]
        parts = [decode_part(values[key]) for key in keys]
    except (ValueError, KeyError) as error:
        problem = BundleError(revision=0, problem=str(error))
        raise ExceptionGroup("bundle cannot be decoded", [problem]) from error
    services = {s.name: s for part in parts for s in part.services}
    bundle = Bundle(revision=head.revision, services=services)
    if entries_digest(_entries(bundle).values()) != head.stamp.digest:
        raise_problems(head.revision, ["the parts do not match the digest of the head"])
    check_bundle(bundle)
    return bundle
