"""The program savorypond-bundle: builds the next bundle from service files."""

from dataclasses import dataclass
from pathlib import Path
from sys import stderr, stdout
from urllib.parse import urlsplit

from curio import run as run_curio
from defopt import run as run_command
from msgspec import Raw, Struct
from msgspec.json import encode

from savorypond.config.bundle import (
    decode_bundle,
    encode_bundle,
    next_revision,
    raise_problems,
)
from savorypond.config.platform_client import HttpConfigService
from savorypond.config.publication import (
    HEAD_KEY,
    bundle_from_values,
    bundle_values,
    decode_head,
    part_key,
)
from savorypond.exceptions import SavorypondError
from savorypond.model import Bundle
from savorypond.services.loader import load_services
from savorypond.services.units import parse_address

EXIT_REFUSED = 1
EXIT_USAGE = 2
MAX_BUNDLE_BYTES = 256 * 1024 * 1024
MAX_REMOVED_SHARE = 0.5  # share of the services in force, unless --allow-shrink


class PublishedValue(Struct, frozen=True, kw_only=True):
    """A value to store in the configuration service."""

    key: str
    value: Raw


class Publication(Struct, frozen=True, kw_only=True):
    """The values of one revision, in the order in which to store them."""

    revision: int
    values: tuple[PublishedValue, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeSummary:
    """The changes of a bundle from the one in force, by service name."""

    revision: int
    added: tuple[str, ...]
    changed: tuple[str, ...]
    removed: tuple[str, ...]

    @property
    def empty(self) -> bool:
        """Whether there are no changes."""
        return not (self.added or self.changed or self.removed)

    def lines(self) -> list[str]:
        """Return the summary as lines of text."""
        if self.empty:
            return ["no changes: there is nothing to publish"]
        counts = f"{len(self.added)} added, {len(self.changed)} changed"
        lines = [f"revision {self.revision}: {counts}, {len(self.removed)} removed"]
        for sign, names in (
            ("+", self.added),
            ("~", self.changed),
            ("-", self.removed),
        ):
            lines += [f"  {sign} {name}" for name in names]
        return lines


def summarise_changes(in_force: Bundle | None, bundle: Bundle) -> ChangeSummary:
    """Return the changes from ``in_force`` to ``bundle``."""
    old = in_force.services if in_force is not None else {}
    new = bundle.services
    common = old.keys() & new.keys()
    return ChangeSummary(
        revision=bundle.revision,
        added=tuple(sorted(new.keys() - old.keys())),
        changed=tuple(sorted(name for name in common if old[name] != new[name])),
        removed=tuple(sorted(old.keys() - new.keys())),
    )


def check_shrink(in_force: Bundle | None, summary: ChangeSummary) -> None:
    """Check that not more than half of the services are removed at once.

    :raises ExceptionGroup: of one BundleError if they are.
    """
    service_count = len(in_force.services) if in_force is not None else 0
    if len(summary.removed) > service_count * MAX_REMOVED_SHARE:
        text = f"removes {len(summary.removed)} of {service_count} services"
        raise_problems(summary.revision, [f"{text}; use --allow-shrink to permit it"])


def read_in_force(source: str) -> Bundle | None:
    """Read the bundle in force from a file or from the configuration service.

    :param source: path of the file, or URL of the configuration service.
    :returns: the bundle, or None if the service has none.
    :raises ExceptionGroup: of BundleErrors if the bundle is invalid.
    :raises SavorypondError: if the service does not answer.
    :raises OSError: if the file cannot be read.
    :raises ValueError: if the URL has no IP address and port.
    """
    if source.startswith("http://"):
        address = parse_address(urlsplit(source).netloc)
        service = HttpConfigService(address=address, source_host="")
        return bundle_from_values(run_curio(_fetch, service))
    return decode_bundle(Path(source).read_bytes(), most=MAX_BUNDLE_BYTES)


async def _fetch(service: HttpConfigService) -> dict[str, bytes]:
    head = await service.get(HEAD_KEY)
    if head is None:
        return {}
    values = {HEAD_KEY: head.data}
    parts = decode_head(values[HEAD_KEY]).parts
    for key in (part_key(parts, number) for number in range(parts)):
        stored = await service.get(key)
        if stored is not None:
            values[key] = stored.data
    return values


def encode_publication(in_force: Bundle | None, bundle: Bundle) -> bytes:
    """Return the values to store for ``bundle`` as one JSON document.

    :raises ExceptionGroup: of BundleErrors if the bundle is invalid.
    """
    values = bundle_values(in_force, bundle)
    published = (PublishedValue(key=v.key, value=Raw(v.data)) for v in values)
    return encode(Publication(revision=bundle.revision, values=tuple(published)))


def bundle(
    *paths: Path,
    in_force: str = "",
    first: bool = False,
    output: Path | None = None,
    values: bool = False,
    allow_shrink: bool = False,
) -> int:
    """Build the next bundle from service files.

    Checks the files and the bundle as a whole, and prints the changes to standard
    error. It publishes nothing. To roll back, run it on the older files, which get
    a new revision. Exits with 0 on success, 1 if the bundle is refused, 2 on wrong
    usage or if the bundle in force cannot be read.

    :param paths: service files, or directories of .yaml and .yml files
    :param in_force: file with the bundle in force, or http://IP:PORT of the
        configuration service
    :param first: there is no bundle in force yet
    :param output: file to write to instead of standard output
    :param values: write the values to store, in order, instead of the bundle
    :param allow_shrink: allow the removal of more than half of the services
    """
    if not paths or bool(in_force) == first:
        print("give service files, and either --in-force or --first", file=stderr)
        return EXIT_USAGE
    try:
        current = read_in_force(in_force) if in_force else None
    except (ExceptionGroup, SavorypondError, OSError, ValueError) as error:
        _print_errors(error, f"{in_force}: ")
        return EXIT_USAGE
    try:
        next_bundle = Bundle(
            revision=next_revision(current), services=load_services([*paths])
        )
        summary = summarise_changes(current, next_bundle)
        if not allow_shrink:
            check_shrink(current, summary)
        if values:
            data = encode_publication(current, next_bundle)
        else:
            data = encode_bundle(next_bundle, most=MAX_BUNDLE_BYTES)
    except ExceptionGroup as group:
        _print_errors(group, "")
        return EXIT_REFUSED
    print("\n".join(summary.lines()), file=stderr)
    if not summary.empty:
        _write(data, output)
    return 0


def _print_errors(error: Exception, prefix: str) -> None:
    errors = error.exceptions if isinstance(error, ExceptionGroup) else (error,)
    for problem in errors:
        print(f"{prefix}{problem}", file=stderr)


def _write(data: bytes, output: Path | None) -> None:
    if output is None:
        stdout.buffer.write(data + b"\n")
        stdout.flush()
    else:
        output.write_bytes(data + b"\n")


def run() -> None:
    """Run the program with the arguments of the command line."""
    raise SystemExit(run_command(bundle))
