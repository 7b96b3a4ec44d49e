"""The publishing step's program: from service files to the next bundle."""

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
MAX_REMOVED_SHARE = 0.5  # of the services in force, without --allow-shrink


class PublishedValue(Struct, frozen=True, kw_only=True):
    """One value to be put into the configuration service."""

    key: str
    value: Raw


class Publication(Struct, frozen=True, kw_only=True):
    """The values of one revision, in the order in which to put them."""

    revision: int
    values: tuple[PublishedValue, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Summary:
    """What a bundle changes against the one in force, by service name."""

    revision: int
    added: tuple[str, ...]
    changed: tuple[str, ...]
    removed: tuple[str, ...]

    @property
    def empty(self) -> bool:
        """Whether nothing changes."""
        return not (self.added or self.changed or self.removed)

    def lines(self) -> list[str]:
        """Return the summary for a person."""
        if self.empty:
            return ["nothing changes: there is nothing to publish"]
        counts = f"{len(self.added)} added, {len(self.changed)} changed"
        lines = [f"revision {self.revision}: {counts}, {len(self.removed)} removed"]
        for sign, names in (
            ("+", self.added),
            ("~", self.changed),
            ("-", self.removed),
        ):
            lines += [f"  {sign} {name}" for name in names]
        return lines


def summarise(in_force: Bundle | None, bundle: Bundle) -> Summary:
    """Return what ``bundle`` changes."""
    old = in_force.services if in_force is not None else {}
    new = bundle.services
    common = old.keys() & new.keys()
    return Summary(
        revision=bundle.revision,
        added=tuple(sorted(new.keys() - old.keys())),
        changed=tuple(sorted(name for name in common if old[name] != new[name])),
        removed=tuple(sorted(old.keys() - new.keys())),
    )


def check_shrink(in_force: Bundle | None, summary: Summary) -> None:
    """Refuse to remove more than half of the services at once.

    :raises ExceptionGroup: of one BundleError.
    """
    held = len(in_force.services) if in_force is not None else 0
    if len(summary.removed) > held * MAX_REMOVED_SHARE:
        text = f"removes {len(summary.removed)} of {held} services"
        raise_problems(summary.revision, [f"{text}; --allow-shrink permits that"])


def read_in_force(source: str) -> Bundle | None:
    """Read the bundle in force from a file or a configuration service's URL.

    :returns: None where the service holds none.
    :raises ExceptionGroup: of BundleErrors where it cannot be used.
    :raises SavorypondError: where the service does not answer.
    :raises OSError: where the file cannot be read.
    :raises ValueError: where the URL holds no IP number and port.
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
    """Return the values to put for ``bundle`` as one JSON document.

    :raises ExceptionGroup: of BundleErrors where the bundle breaks a rule.
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
    """Make the next bundle out of service files, for the publishing step.

    Checks the files and the bundle as a whole, and prints what it changes to
    standard error. It puts nothing into force. To roll back, run it on the
    older files: they get a new revision. Exits with 0 where all is well, 1
    where the bundle is refused, 2 on wrong usage or an unreadable source.

    :param paths: files, and directories whose .yaml and .yml files are meant
    :param in_force: file with the bundle in force, or http://IP:PORT of the
        configuration service that holds it
    :param first: there is no bundle in force yet
    :param output: file to write to instead of standard output
    :param values: write the values to put, in order, instead of the bundle
    :param allow_shrink: allow the removal of more than half of the services
    """
    if not paths or bool(in_force) == first:
        print("name the service files, and --in-force or --first", file=stderr)
        return EXIT_USAGE
    try:
        held = read_in_force(in_force) if in_force else None
    except (ExceptionGroup, SavorypondError, OSError, ValueError) as error:
        _print_errors(error, f"{in_force}: ")
        return EXIT_USAGE
    try:
        made = Bundle(revision=next_revision(held), services=load_services([*paths]))
        summary = summarise(held, made)
        if not allow_shrink:
            check_shrink(held, summary)
        if values:
            data = encode_publication(held, made)
        else:
            data = encode_bundle(made, most=MAX_BUNDLE_BYTES)
    except ExceptionGroup as group:
        _print_errors(group, "")
        return EXIT_REFUSED
    print("\n".join(summary.lines()), file=stderr)
    if not summary.empty:
        _write(data, output)
    return 0


def _print_errors(error: Exception, prefix: str) -> None:
    errors = error.exceptions if isinstance(error, ExceptionGroup) else (error,)
    for one in errors:
        print(f"{prefix}{one}", file=stderr)


def _write(data: bytes, output: Path | None) -> None:
    if output is None:
        stdout.buffer.write(data + b"\n")
        stdout.flush()
    else:
        output.write_bytes(data + b"\n")


def run() -> None:
    """Run the program."""
    raise SystemExit(run_command(bundle))
