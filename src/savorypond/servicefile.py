"""Service files: one YAML file that describes one service."""

from collections.abc import Iterator
from dataclasses import dataclass
from operator import attrgetter
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    ValidationInfo,
    field_validator,
)

from savorypond.exceptions import ServiceFileError
from savorypond.model import (
    BackendServer,
    Preference,
    Priority,
    ServerLimits,
    Service,
    ServiceKind,
    ShardLayout,
    ShardRange,
)
from savorypond.servicerules import (
    MAX_CONNECT_TIME,
    MAX_CONNECTIONS,
    MAX_SLOTS,
    MAX_TIME_LIMIT,
    index_problems,
    is_name,
    layout_problems,
    server_problems,
)
from savorypond.units import Duration, IPAddress
from savorypond.yamldocument import Document, Location, Problem, parse_document

MAX_FILE_BYTES = 64 * 1024
SUFFIXES = (".yaml", ".yml")


class BrokenRules(ValueError):  # noqa: N818
    """Several rules broken by one field, carried through the validator."""

    def __init__(self, *, problems: list[Problem]) -> None:
        super().__init__("; ".join(problem.text for problem in problems))
        self.problems = problems


def _check_name(text: str) -> str:
    if not is_name(text):
        raise ValueError("needs 1 to 63 of a-z, 0-9, dot and hyphen")
    return text


Name = Annotated[str, AfterValidator(_check_name)]
Key = Annotated[int, Field(ge=0, le=65536)]


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)


class _Index(_Section):
    name: Name
    snapshot: Literal["newest-complete"]


class _Shard(_Section):
    shard: Name
    keys: Annotated[list[Key], Field(min_length=2, max_length=2)]

    def to_model(self) -> ShardRange:
        return ShardRange(shard=self.shard, low=self.keys[0], high=self.keys[1])


class _Layout(_Section):
    layout: int
    shards: list[_Shard]

    def to_model(self) -> ShardLayout:
        shards = tuple(shard.to_model() for shard in self.shards)
        return ShardLayout(number=self.layout, shards=shards)


class _BackendServer(_Section):
    name: Name
    address: IPAddress
    data_centre: Name

    def to_model(self) -> BackendServer:
        return BackendServer(
            name=self.name, address=self.address, data_centre=self.data_centre
        )


class _Limits(_Section):
    slots: Annotated[int, Field(ge=1, le=MAX_SLOTS)]
    connections: Annotated[int, Field(ge=1, le=MAX_CONNECTIONS)]
    connect_time: Annotated[Duration, Field(le=MAX_CONNECT_TIME)]

    @field_validator("connections")
    @classmethod
    def _connections_fill_slots(cls, value: int, info: ValidationInfo) -> int:
        if value < info.data.get("slots", 0):
            raise ValueError(f"cannot fill {info.data['slots']} slots")
        return value


class _ServiceSections(_Section):
    service: Name
    kind: Literal["search", "calls"]
    index: Annotated[_Index | None, Field(validate_default=True)] = None
    layouts: Annotated[list[_Layout], Field(validate_default=True)] = []
    backend_servers: list[_BackendServer]
    limits: _Limits
    priority: Literal["urgent", "interactive", "background"] = "interactive"
    prefer: Literal["latency", "coverage"] = "latency"
    time_limit: Annotated[Duration, Field(ge=0.001, le=MAX_TIME_LIMIT)]
    least_coverage: Annotated[float, Field(ge=0.0, le=1.0)] = 0.0

    @field_validator("index")
    @classmethod
    def _index_fits_kind(
        cls, value: _Index | None, info: ValidationInfo
    ) -> _Index | None:
        if "kind" in info.data:
            name = value.name if value else ""
            _refuse(index_problems(ServiceKind(info.data["kind"]), name))
        return value

    @field_validator("layouts")
    @classmethod
    def _layouts_keep_rules(
        cls, value: list[_Layout], info: ValidationInfo
    ) -> list[_Layout]:
        if "kind" in info.data:
            layouts = [layout.to_model() for layout in value]
            _refuse(layout_problems(ServiceKind(info.data["kind"]), layouts))
        return value

    @field_validator("backend_servers")
    @classmethod
    def _servers_keep_rules(cls, value: list[_BackendServer]) -> list[_BackendServer]:
        _refuse(server_problems([server.to_model() for server in value]))
        return value

    def to_model(self) -> Service:
        return Service(
            name=self.service,
            kind=ServiceKind(self.kind),
            index=self.index.name if self.index else "",
            layouts=tuple(layout.to_model() for layout in self.layouts),
            backend_servers=tuple(s.to_model() for s in self.backend_servers),
            limits=ServerLimits(
                slots=self.limits.slots,
                connections=self.limits.connections,
                connect_time=self.limits.connect_time,
            ),
            priority=Priority[self.priority.upper()],
            prefer=Preference(self.prefer),
            time_limit=self.time_limit,
            least_coverage=self.least_coverage,
        )


def _refuse(problems: Iterator[Problem]) -> None:
    found = list(problems)
    if found:
        raise BrokenRules(problems=found)


def validation_problems(error: ValidationError) -> Iterator[Problem]:
    """Yield one problem for each thing that a validator found."""
    for detail in error.errors(include_url=False):
        cause = detail.get("ctx", {}).get("error")
        if isinstance(cause, BrokenRules):
            yield from cause.problems
        else:
            yield Problem(location=detail["loc"], text=_plain(detail))


def _plain(detail: Any) -> str:
    if detail["type"] == "extra_forbidden":
        return "unknown key"
    if detail["type"] == "missing":
        return "is missing"
    return str(detail["msg"]).removeprefix("Value error, ")


@dataclass(frozen=True, slots=True, kw_only=True)
class ParsedFile:
    """A service and the document that it was read from."""

    path: str
    document: Document
    service: Service

    def error(self, location: Location, text: str) -> ServiceFileError:
        """Return an error that points at ``location`` in this file."""
        problem = Problem(location=location, text=text)
        return _located(self.path, self.document, problem)


def _located(path: str, document: Document, problem: Problem) -> ServiceFileError:
    return ServiceFileError(
        path=path,
        line=document.line(problem.location),
        field=problem.field,
        problem=problem.text,
    )


def parse_service(text: str, *, path: str = "<text>") -> Service:
    """Read one service from YAML text.

    :raises ExceptionGroup: of one ServiceFileError for each problem.
    """
    return _parse(text, path).service


def _parse(text: str, path: str) -> ParsedFile:
    document = parse_document(text)
    problems = list(document.problems)
    sections = None
    if isinstance(document.value, dict):
        try:
            sections = _ServiceSections.model_validate(document.value)
        except ValidationError as error:
            problems.extend(validation_problems(error))
    if problems or sections is None:
        errors = [_located(path, document, problem) for problem in problems]
        errors.sort(key=attrgetter("line"))
        raise ExceptionGroup(f"{path} cannot be used", errors)
    return ParsedFile(path=path, document=document, service=sections.to_model())


def read_text(path: Path) -> str:
    """Return the text of a file of at most MAX_FILE_BYTES.

    :raises ValueError: where it is larger, unreadable or not UTF-8.
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
        raise ExceptionGroup(f"{path} cannot be used", [problem]) from error
    return _parse(text, str(path))


def load_service_file(path: Path | str) -> Service:
    """Read the service of one file.

    :raises ExceptionGroup: of one ServiceFileError for each problem.
    """
    return _load(Path(path)).service


def load_service_files(directory: Path | str) -> dict[str, Service]:
    """Read every ``.yaml`` and ``.yml`` file directly in a directory, by name.

    :raises ExceptionGroup: of the ServiceFileErrors of all files.
    """
    return load_services([Path(directory)])


def load_services(paths: list[Path]) -> dict[str, Service]:
    """Read the services of files, and of the files directly in directories.

    :raises ExceptionGroup: of the ServiceFileErrors of all files.
    """
    parsed: dict[str, ParsedFile] = {}
    errors: list[Exception] = []
    for path in _expand(paths, errors):
        try:
            file = _load(path)
        except ExceptionGroup as group:
            errors.extend(group.exceptions)
            continue
        name = file.service.name
        if name in parsed:
            text = f"service {name!r} is also in {parsed[name].path}"
            errors.append(file.error(("service",), text))
        else:
            parsed[name] = file
    if errors:
        raise ExceptionGroup("service files cannot be used", errors)
    return {name: parsed[name].service for name in sorted(parsed)}


def _expand(paths: list[Path], errors: list[Exception]) -> Iterator[Path]:
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
