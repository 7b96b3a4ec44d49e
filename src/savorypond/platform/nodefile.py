"""Reads the settings file that the platform writes for a process."""

from os import environ
from pathlib import Path
from tomllib import TOMLDecodeError, loads

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from savorypond.exceptions import SettingsError
from savorypond.gateway.settings import GatewaySettings
from savorypond.model import Address
from savorypond.platform.names import SETTINGS_VARIABLE

_MILLISECONDS = 1000.0  # in a second


class _Part(BaseModel):
    model_config = ConfigDict(extra="ignore")


class _Listen(_Part):
    # Where callers connect.
    front: str
    # Where the platform asks whether this instance takes callers.
    ready: str
    # Where other instances connect.
    control: str = ""


class _Platform(_Part):
    address: str
    reads_per_s: float = 2000.0


class _Limits(_Part):
    max_fds: int = 1024


class _Bounds(_Part):
    drain_ms: float = 3000.0
    grace_s: float = 6.0
    retry_budget_ratio: float = 0.2
    retry_budget_slack: float = 0.0
    budget_window_s: float = 10.0


class _NodeFile(_Part):
    node_name: str
    ip: str
    zone: str
    internal_ports: tuple[int, int]
    seeds: tuple[str, ...] = ()
    listen_addrs: _Listen
    platform: _Platform
    limits: _Limits = Field(default_factory=_Limits)
    bounds: _Bounds = Field(default_factory=_Bounds)


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host=host, port=int(port))


def parse_node_file(text: str, *, path: str = "<text>") -> GatewaySettings:
    """Return the settings in ``text``; raise SettingsError."""
    try:
        node = _NodeFile.model_validate(loads(text))
        return _to_settings(node)
    except TOMLDecodeError as error:
        raise SettingsError(path=path, field="file", problem=str(error)) from error
    except ValidationError as error:
        first = error.errors()[0]
        field = ".".join(str(part) for part in first["loc"])
        raise SettingsError(path=path, field=field, problem=first["msg"]) from error
    except ValueError as error:
        raise SettingsError(path=path, field="address", problem=str(error)) from error


def _to_settings(node: _NodeFile) -> GatewaySettings:
    bounds = node.bounds
    return GatewaySettings(
        name=node.node_name,
        data_centre=node.zone,
        host=node.ip,
        caller_address=_address(node.listen_addrs.front),
        ready_address=_address(node.listen_addrs.ready),
        operator_address=Address(host=node.ip, port=node.internal_ports[0]),
        peer_address=Address(host=node.ip, port=node.internal_ports[0] + 1),
        seeds=tuple(seed.rpartition(":")[0] for seed in node.seeds),
        published=_address(node.platform.address),
        stop_time=bounds.grace_s,
        extra_ratio=bounds.retry_budget_ratio,
        extra_slack=bounds.retry_budget_slack,
        extra_window=bounds.budget_window_s,
        descriptors=node.limits.max_fds,
    )


def node_file_path() -> Path:
    """Return where the settings file lies; raise SettingsError."""
    path = environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise SettingsError(path="", field=SETTINGS_VARIABLE, problem="is not set")
    return Path(path)


def load_node_file(path: Path) -> GatewaySettings:
    """Return the settings of the file at ``path``; raise SettingsError."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(path=str(path), field="file", problem=str(error)) from error
    return parse_node_file(text, path=str(path))
