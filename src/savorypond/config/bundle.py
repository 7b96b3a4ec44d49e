"""Bundles: all services checked as a whole, under one revision."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, replace

from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import Decoder, encode

from savorypond.exceptions import BundleError
from savorypond.model import KEY_SPACE, Address, Bundle, Service, ShardRange
from savorypond.services.rules import service_problems

MAX_VALUE_BYTES = 1_000_000  # largest value of the configuration service
MAX_REVISION = 2**63 - 1


class _BundleValue(Struct, forbid_unknown_fields=True):
    revision: int
    services: list[Service]


_decoder = Decoder(_BundleValue)


def next_revision(in_force: Bundle | None) -> int:
    """Return the revision that follows the bundle in force, or 1."""
    return 1 if in_force is None else in_force.revision + 1


def bundle_problems(services: Iterable[Service]) -> list[str]:
    """Return what is wrong with each service and with all as a whole."""
    services = list(services)
    problems = []
    for service in services:
        problems += [
            f"service {service.name!r}: {problem.field}: {problem.text}"
            for problem in service_problems(service)
        ]
    problems += _twice("service", (s.name for s in services))
    servers = [server for s in services for server in s.backend_servers]
    problems += _twice("backend server", (server.name for server in servers))
    problems += _twice("address", (str(server.address) for server in servers))
    return problems + list(tiling_problems(services))


def _twice(what: str, names: Iterable[str]) -> list[str]:
    seen: set[str] = set()
    problems = []
    for name in names:
        if name in seen:
            problems.append(f"{what} {name!r} stands twice")
        seen.add(name)
    return problems


@dataclass(frozen=True, slots=True)
class _LayoutKey:
    index: str
    number: int


def tiling_problems(services: Iterable[Service]) -> Iterator[str]:
    """Yield where the shards of an index's layout do not tile its key space."""
    layouts: dict[_LayoutKey, list[ShardRange]] = {}
    for service in services:
        for layout in service.layouts:
            key = _LayoutKey(service.index, layout.number)
            layouts.setdefault(key, []).extend(layout.shards)
    for key, shards in layouts.items():
        where = f"index {key.index!r} layout {key.number}"
        for text in _twice("shard", (shard.shard for shard in shards)):
            yield f"{where}: {text}"
        for text in _gap_problems(shards):
            yield f"{where}: {text}"


def _gap_problems(shards: list[ShardRange]) -> Iterator[str]:
    covered = 0
    for shard in sorted(shards, key=lambda shard: shard.low):
        if shard.low > covered:
            yield f"no shard holds keys [{covered}, {shard.low})"
        if shard.low < covered:
            yield f"shard {shard.shard!r} overlaps another below key {covered}"
        covered = max(covered, shard.high)
    if covered < KEY_SPACE:
        yield f"no shard holds keys [{covered}, {KEY_SPACE})"


def check_bundle(bundle: Bundle) -> None:
    """Check every service and all as a whole.

    :raises ExceptionGroup: of one BundleError for each problem.
    """
    problems = bundle_problems(bundle.services.values())
    if not 1 <= bundle.revision <= MAX_REVISION:
        problems.append(f"revision is not in 1 to {MAX_REVISION}")
    for name, service in bundle.services.items():
        if name != service.name:
            problems.append(f"service {service.name!r} is filed under {name!r}")
    raise_problems(bundle.revision, problems)


def raise_problems(revision: int, problems: list[str]) -> None:
    """Raise the problems of one revision together, if there are any.

    :raises ExceptionGroup: of one BundleError for each problem.
    """
    if problems:
        errors = [BundleError(revision=revision, problem=text) for text in problems]
        raise ExceptionGroup(f"bundle revision {revision} cannot be used", errors)


def encode_bundle(bundle: Bundle, *, most: int = MAX_VALUE_BYTES) -> bytes:
    """Return the bundle as one JSON value, the same for equal bundles.

    :param most: bytes that the value may have.
    :raises ExceptionGroup: of BundleErrors where it breaks a rule or is larger
        than ``most``.
    """
    check_bundle(bundle)
    services = [bundle.services[name] for name in sorted(bundle.services)]
    value = encode(_BundleValue(revision=bundle.revision, services=services))
    if len(value) > most:
        raise_problems(bundle.revision, [f"{len(value)} bytes are more than {most}"])
    return value


def decode_bundle(value: bytes, *, most: int = MAX_VALUE_BYTES) -> Bundle:
    """Read and check a bundle from its JSON value.

    :param most: bytes that the value may have.
    :raises ExceptionGroup: of one BundleError for each problem.
    """
    if len(value) > most:
        raise_problems(0, [f"{len(value)} bytes are more than {most}"])
    try:
        read = _decoder.decode(value)
    except (DecodeError, ValidationError) as error:
        problem = BundleError(revision=0, problem=str(error))
        raise ExceptionGroup("bundle cannot be read", [problem]) from error
    raise_problems(read.revision, _twice("service", (s.name for s in read.services)))
    services = {service.name: service for service in read.services}
    bundle = Bundle(revision=read.revision, services=services)
    check_bundle(bundle)
    return bundle


def with_addresses(
    services: Mapping[str, Service], addresses: Mapping[str, Address]
) -> dict[str, Service]:
    """Return the services with new addresses for the backend servers named.

    :param addresses: address by backend server name; others keep theirs.
    """
    moved = {}
    for name, service in services.items():
        servers = tuple(
            replace(server, address=addresses.get(server.name, server.address))
            for server in service.backend_servers
        )
        moved[name] = replace(service, backend_servers=servers)
    return moved
