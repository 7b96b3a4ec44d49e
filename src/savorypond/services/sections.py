"""Pydantic models of the sections of a service file."""

from collections.abc import Iterator
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
from savorypond.services.rules import (
    MAX_CONNECT_TIME,
    MAX_CONNECTIONS,
    MAX_SLOTS,
    MAX_TIME_LIMIT,
    index_problems,
    is_valid_name,
    layout_problems,
    server_problems,
)
from savorypond.services.units import Duration, IPAddress
from savorypond.services.yaml_document import Problem


class RuleViolationsError(ValueError):
    """Carries several violations in one field through a pydantic validator."""

    def __init__(self, *, problems: list[Problem]) -> None:
        super().__init__("; ".join(problem.text for problem in problems))
        self.problems = problems


def _check_name(text: str) -> str:
    if not is_valid_name(text):
        raise ValueError("needs 1 to 63 characters of a-z, 0-9, dot and hyphen")
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
    def _check_connections(cls, value: int, info: ValidationInfo) -> int:
        if value < info.data.get("slots", 0):
            raise ValueError(f"cannot fill {info.data['slots']} slots")
        return value


class ServiceSections(_Section):
    """The top level of a service file."""

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
    def _check_index(cls, value: _Index | None, info: ValidationInfo) -> _Index | None:
        if "kind" in info.data:
            name = value.name if value else ""
            _raise_problems(index_problems(ServiceKind(info.data["kind"]), name))
        return value

    @field_validator("layouts")
    @classmethod
    def _check_layouts(
        cls, value: list[_Layout], info: ValidationInfo
    ) -> list[_Layout]:
        if "kind" in info.data:
            layouts = [layout.to_model() for layout in value]
            _raise_problems(layout_problems(ServiceKind(info.data["kind"]), layouts))
        return value

    @field_validator("backend_servers")
    @classmethod
    def _check_servers(cls, value: list[_BackendServer]) -> list[_BackendServer]:
        _raise_problems(server_problems([server.to_model() for server in value]))
        return value

    def to_model(self) -> Service:
        """Return the service described by the file."""
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


def _raise_problems(problems: Iterator[Problem]) -> None:
    found = list(problems)
    if found:
        raise RuleViolationsError(problems=found)


def validation_problems(error: ValidationError) -> Iterator[Problem]:
    """Yield a problem for each violation found by the validators."""
    for detail in error.errors(include_url=False):
        cause = detail.get("ctx", {}).get("error")
        if isinstance(cause, RuleViolationsError):
            yield from cause.problems
        else:
            yield Problem(location=detail["loc"], text=_problem_text(detail))


def _problem_text(detail: Any) -> str:
    if detail["type"] == "extra_forbidden":
        return "unknown key"
    if detail["type"] == "missing":
        return "is missing"
    return str(detail["msg"]).removeprefix("Value error, ")
