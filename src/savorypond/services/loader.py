"""Load service files: YAML files that describe one service each."""

from collections.abc import Iterator
from dataclasses import dataclass
from operator import attrgetter
from pathlib import Path

from pydantic import ValidationError

from savorypond.exceptions import ServiceFileError
from savorypond.model import Service
from savorypond.services.sections import ServiceSections, validation_problems
from savorypond.services.yaml_document import (
    Document,
    Location,
    Problem,
    parse_document,
)

MAX_FILE_BYTES = 64 * 1024
SUFFIXES = (".yaml", ".yml")


@dataclass(frozen=True, slots=True, kw_only=True)
class ParsedFile:
    """A service with the document that it was parsed from."""

    path: str
    document: Document
    service: Service

    def error(self, location: Location, text: str) -> ServiceFileError:
        """Return an error with the position of ``location`` in this file."""
        problem = Problem(location=location, text=text)
        return _file_error(self.path, self.document, problem)


def _file_error(path: str, document: Document, problem: Problem) -> ServiceFileError:
    return ServiceFileError(
        path=path,
        line=document.line(problem.location),
        field=problem.field,
        problem=problem.text,
    )


def parse_service(text: str, *, path: str = "<text>") -> Service:
    """Parse one service from YAML text.

    :raises ExceptionGroup: of one ServiceFileError for each problem.
    """
    return _parse(text, path).service


def _parse(text: str, path: str) -> ParsedFile:
    document = parse_document(text)
    problems = list(document.problems)
    sections = None
    if isinstance(document.value, dict):
        try:
            sections = ServiceSections.model_validate(document.value)
        except ValidationError as error:
            problems.extend(validation_problems(error))
    if problems or sections is None:
        errors = [_file_error(path, document, problem) for problem in problems]
        errors.sort(key=attrgetter("line"))
        raise ExceptionGroup(f"{path} is invalid", errors)
    return ParsedFile(path=path, document=document, service=sections.to_model())


def read_text(path: Path) -> str:
    """Return the text of a file of at most MAX_FILE_BYTES.

    :raises ValueError: if it is larger, unreadable or not UTF-8.
    """
    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise ValueError(f"cannot be read: {error.strerror}") from error
    if len(data) > MAX_FILE_BYTES:
        raise ValueError(f"is larger than {MAX_FILE_BYTES} bytes")
    try:
        return data.decode("utf-8")
    except UnicodeDecodeError as error:
        raise ValueError(f"is not UTF-8 at byte {error.start}") from error


def _load(path: Path) -> ParsedFile:
    try:
        text = read_text(path)
    except ValueError as error:
        problem = ServiceFileError(
            path=str(path), line=0, field="file", problem=str(error)
        )
        raise ExceptionGroup(f"{path} is invalid", [problem]) from error
    return _parse(text, str(path))


def load_service_file(path: Path | str) -> Service:
    """Load the service of one file.

    :raises ExceptionGroup: of one ServiceFileError for each problem.
    """
    return _load(Path(path)).service


def load_service_files(directory: Path | str) -> dict[str, Service]:
    """Load the services, by name, of the ``.yaml`` and ``.yml`` files in a directory.

    Subdirectories are not searched.

    :raises ExceptionGroup: of the ServiceFileErrors of all files.
    """
    return load_services([Path(directory)])


def load_services(paths: list[Path]) -> dict[str, Service]:
    """Load the services, by name, of files and of the files directly in directories.

    :raises ExceptionGroup: of the ServiceFileErrors of all files.
    """
    parsed: dict[str, ParsedFile] = {}
    errors: list[Exception] = []
    for path in _expand_directories(paths, errors):
        try:
            file = _load(path)
        except ExceptionGroup as group:
            errors.extend(group.exceptions)
            continue
        name = file.service.name
        if name in parsed:
            text = f"service {name!r} is also defined in {parsed[name].path}"
            errors.append(file.error(("service",), text))
        else:
            parsed[name] = file
    if errors:
        raise ExceptionGroup("service files are invalid", errors)
    return {name: parsed[name].service for name in sorted(parsed)}


def _expand_directories(paths: list[Path], errors: list[Exception]) -> Iterator[Path]:
    for path in paths:
        if not path.is_dir():
            yield path
            continue
        found = sorted(p for p in path.iterdir() if p.suffix in SUFFIXES)
        if not found:
            errors.append(
                ServiceFileError(
                    path=str(path), line=0, field="file", problem="no service files"
                )
            )
        yield from found
