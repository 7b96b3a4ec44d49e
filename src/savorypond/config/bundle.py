"""Encode, decode and validate bundles: all services under one revision."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, replace

from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import Decoder, encode

from savorypond.exceptions import BundleError
from savorypond.model import KEY_SPACE, Address, Bundle, Service, ShardRange
from savorypond.services.rules import service_problems

MAX_VALUE_BYTES = 1_000_000  # limit of the configuration service for one value
MAX_REVISION = 2**63 - 1


class _BundleValue(Struct, forbid_unknown_fields=True):
    revision: int
    services: list[Service]


_decoder = Decoder(_BundleValue)


def next_revision(in_force: Bundle | None) -> int:
    """Return the revision after that of the bundle in force, or 1 if there is none."""
    return 1 if in_force is None else in_force.revision + 1


def bundle_problems(services: Iterable[Service]) -> list[str]:
    """Return the violations within each service and across services."""
    services = list(services)
    problems = []
    for service in services:
        problems += [
            f"service {service.name!r}: {problem.field}: {problem.text}"
            for problem in service_problems(service)
        ]
    problems += _duplicates("service", (s.name for s in services))
    servers = [server for s in services for server in s.backend_servers]
    problems += _duplicates("backend server", (server.name for server in servers))
    problems += _duplicates("address", (str(server.address) for server in servers))
    return problems + list(tiling_problems(services))


def _duplicates(what: str, names: Iterable[str]) -> list[str]:
    seen: set[str] = set()
    problems = []
    for name in names:
        if name in seen:
            problems.append(f"duplicate {what} {name!r}")
        seen.add(name)
    return problems


@dataclass(frozen=True, slots=True)
class _LayoutKey:
    index: str
    number: int


def tiling_problems(services: Iterable[Service]) -> Iterator[str]:
    """Yield the gaps and overlaps of each index layout in the key space."""
    layouts: dict[_LayoutKey, list[ShardRange]] = {}
    for service in services:
        for layout in service.layouts:
            key = _LayoutKey(service.index, layout.number)
            layouts.setdefault(key, []).extend(layout.shards)
    for key, shards in layouts.items():
        where = f"index {key.index!r} layout {key.number}"
        for text in _duplicates("shard", (shard.shard for shard in shards)):
            yield f"{where}: {text}"
        for text in _coverage_problems(shards):
            yield f"{where}: {text}"


def _coverage_problems(shards: list[ShardRange]) -> Iterator[str]:
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
    """Validate every service, and the services together.

    :raises ExceptionGroup: of one BundleError for each problem.
    """
    problems = bundle_problems(bundle.services.values())
    if not 1 <= bundle.revision <= MAX_REVISION:
        problems.append(f"revision is not between 1 and {MAX_REVISION}")
    for name, service in bundle.services.items():
        if name != service.name:
            problems.append(f"service {service.name!r} is keyed as {name!r}")
    raise_problems(bundle.revision, problems)


def raise_problems(revision: int, problems: list[str]) -> None:
    """Raise all problems of one revision as a group; return if there are none.

    :raises ExceptionGroup: of one BundleError for each problem.
    """
    if problems:
        errors = [BundleError(revision=revision, problem=text) for text in problems]
        raise ExceptionGroup(f"bundle revision {revision} is invalid", errors)


def encode_bundle(bundle: Bundle, *, most: int = MAX_VALUE_BYTES) -> bytes:
    """Return the bundle as JSON; equal bundles give equal bytes.

    :param most: maximum size of the value in bytes.
    :raises ExceptionGroup: of BundleErrors if the bundle is invalid or larger
        than ``most``.
    """
    check_bundle(bundle)
    services = [bundle.services[name] for name in sorted(bundle.services)]
    value = encode(_BundleValue(revision=bundle.revision, services=services))
    if len(value) > most:
        raise_problems(bundle.revision, [f"{len(value)} bytes exceed the limit {most}"])
    return value


def decode_bundle(value: bytes, *, most: int = MAX_VALUE_BYTES) -> Bundle:
    """Return the validated bundle that a JSON value encodes.

    :param most: maximum size of the value in bytes.
    :raises ExceptionGroup: of one BundleError for each problem.
    """
    if len(value) > most:
        raise_problems(0, [f"{len(value)} bytes exceed the limit {most}"])
    try:
        decoded = _decoder.decode(value)
    except (DecodeError, ValidationError) as error:
        problem = BundleError(revision=0, problem=str(error))
        raise ExceptionGroup("bundle cannot be decoded", [problem]) from error
    raise_problems(
        decoded.revision,
        _duplicates("service", (s.name for s in decoded.services)),
    )
    services = {service.name: service for service in decoded.services}
    bundle = Bundle(revision=decoded.revision, services=services)
    check_bundle(bundle)
    return bundle


def with_addresses(
    services: Mapping[str, Service], addresses: Mapping[str, Address]
) -> dict[str, Service]:
    """Return the services with the addresses of some backend servers replaced.

    :param addresses: new address by backend server name; other servers keep theirs.
    """
    updated = {}
    for name, service in services.items():
        servers = tuple(
            replace(server, address=addresses.get(server.name, server.address))
            for server in service.backend_servers
        )
        updated[name] = replace(service, backend_servers=servers)
    return updated
