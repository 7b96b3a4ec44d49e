"""The daemon's settings, read from one YAML file."""

from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import Annotated, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from savorypond.exceptions import SettingsError
from savorypond.http.response_memory import DEFAULT_RESPONSE_BYTES
from savorypond.logs import LogFormat as LogFormat
from savorypond.model import Address
from savorypond.services.loader import read_text
from savorypond.services.sections import Name, validation_problems
from savorypond.services.units import Duration, IPAddress, Size
from savorypond.services.yaml_document import parse_document


class PlacementMode(StrEnum):
    """How instances share the slots of the backend servers.

    With ``DIRECT``, every instance may use all slots, and the servers shed excess
    load. With ``STATIC``, the instances have equal shares. With ``OWNER``, one
    instance sends all requests of a service.
    """

    DIRECT = "direct"
    STATIC = "static"
    OWNER = "owner"


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestLimits:
    """Limits on the requests of callers.

    :param header_bytes: size of the request line and headers of one request.
    :param body_bytes: size of the body of one request.
    :param receive_time: seconds that one request may take to arrive.
    :param connections_per_caller: open connections from one IP address.
    :param in_flight: requests in flight on this instance.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 1024 * 1024
    receive_time: float = 5.0
    connections_per_caller: int = 256
    in_flight: int = 512


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """The settings of one instance.

    :param fleet: name that all instances of one installation share.
    :param peer_address: UDP port for membership and TCP port for gRPC.
    :param response_bytes: memory that responses of backend servers may occupy while
        they arrive.
    :param deadline_margin: seconds before the deadline at which the answer is
        composed of the results received so far.
    :param drain_time: seconds that a graceful stop waits for requests in flight.
    :param emulated_link_delay: one-way seconds added between loopback addresses
        of different data centres, for tests.
    """

    name: str
    fleet: str
    data_centre: str
    caller_address: Address
    peer_address: Address
    operator_address: Address
    config_service: Address
    instance_list: Address
    placement: PlacementMode = PlacementMode.OWNER
    requests: RequestLimits = RequestLimits()
    response_bytes: int = DEFAULT_RESPONSE_BYTES
    watchers_per_data_centre: int = 2
    log_format: LogFormat = LogFormat.JSON
    deadline_margin: float = 0.003
    drain_time: float = 10.0
    emulated_link_delay: float = 0.0


def _require_port(address: Address) -> Address:
    if address.port == 0:
        raise ValueError("port 0 cannot be connected to")
    return address


RemoteAddress = Annotated[IPAddress, AfterValidator(_require_port)]


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)


class _RequestSection(_Section):
    header_bytes: Annotated[Size, Field(ge=1024, le=1 << 20)] = 16 * 1024
    body_bytes: Annotated[Size, Field(ge=1024, le=64 << 20)] = 1024 * 1024
    receive_time: Annotated[Duration, Field(ge=0.01, le=300)] = 5.0
    connections_per_caller: Annotated[int, Field(ge=1, le=65536)] = 256
    in_flight: Annotated[int, Field(ge=1, le=65536)] = 512


class _SettingsSections(_Section):
    name: Name
    fleet: Name
    data_centre: Name
    caller_address: IPAddress
    peer_address: IPAddress
    operator_address: IPAddress
    config_service: RemoteAddress
    instance_list: RemoteAddress
    placement: Literal["direct", "static", "owner"] = "owner"
    requests: _RequestSection = _RequestSection()
    response_bytes: Annotated[Size, Field(ge=1 << 20, le=1 << 40)] = (
        DEFAULT_RESPONSE_BYTES
    )
    watchers_per_data_centre: Annotated[int, Field(ge=1, le=16)] = 2
    log_format: Literal["json", "text"] = "json"
    deadline_margin: Annotated[Duration, Field(le=1.0)] = 0.003
    drain_time: Annotated[Duration, Field(ge=0.1, le=600)] = 10.0
    emulated_link_delay: Annotated[Duration, Field(le=1.0)] = 0.0

    def to_settings(self) -> Settings:
        values = {name: getattr(self, name) for name in type(self).model_fields}
        values["placement"] = PlacementMode(self.placement)
        values["log_format"] = LogFormat(self.log_format)
        values["requests"] = RequestLimits(**self.requests.model_dump())
        return Settings(**values)


def parse_settings(text: str, *, path: str = "<text>") -> Settings:
    """Parse settings from YAML text.

    :raises ExceptionGroup: of one SettingsError for each problem; the path of each
        ends in the line number, if it is known.
    """
    document = parse_document(text)
    problems = list(document.problems)
    sections = None
    if isinstance(document.value, dict):
        try:
            sections = _SettingsSections.model_validate(document.value)
        except ValidationError as error:
            problems.extend(validation_problems(error))
    if problems or sections is None:
        errors = [
            SettingsError(
                path=f"{path}:{document.line(problem.location)}",
                field=problem.field,
                problem=problem.text,
            )
            for problem in problems
        ]
        raise ExceptionGroup(f"invalid settings in {path}", errors)
    return sections.to_settings()


def load_settings(path: Path | str) -> Settings:
    """Load settings from a YAML file.

    :raises ExceptionGroup: of one SettingsError for each problem.
    """
    try:
        text = read_text(Path(path))
    except ValueError as error:
        problem = SettingsError(path=str(path), field="file", problem=str(error))
        raise ExceptionGroup(f"cannot read settings from {path}", [problem]) from error
    return parse_settings(text, path=str(path))
