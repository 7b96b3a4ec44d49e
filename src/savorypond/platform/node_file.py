"""Reads the settings file that the platform writes for a process."""

from os import environ
from pathlib import Path
from re import search
from tomllib import TOMLDecodeError, loads

from msgspec import Struct, ValidationError, convert, field

from savorypond.exceptions import SettingsError
from savorypond.gateway.settings import GatewaySettings
from savorypond.model import Address
from savorypond.platform.names import SETTINGS_VARIABLE

_MILLISECONDS = 1000.0  # in a second


class _Listen(Struct, frozen=True):
    # Where callers connect.
    front: str
    # Where the platform asks whether this instance takes callers.
    ready: str
    # Where other instances connect.
    control: str = ""


class _Platform(Struct, frozen=True):
    address: str
    reads_per_s: float = 2000.0


class _Limits(Struct, frozen=True):
    max_fds: int = 1024
    # Share of the time in which the process may run.
    cpu_share: float = 1.0
    # How many times as fast as one processor it then is, not a count of them.
    cpu_cores: float = 1.0


class _Bounds(Struct, frozen=True):
    drain_ms: float = 3000.0
    grace_s: float = 6.0
    retry_budget_ratio: float = 0.2
    retry_budget_slack: float = 0.0
    budget_window_s: float = 10.0


class _NodeFile(Struct, frozen=True):
    node_name: str
    ip: str
    zone: str
    internal_ports: tuple[int, int]
    listen_addrs: _Listen
    platform: _Platform
    seeds: tuple[str, ...] = ()
    limits: _Limits = field(default_factory=_Limits)
    bounds: _Bounds = field(default_factory=_Bounds)


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host=host, port=int(port))


def parse_node_file(text: str, *, path: str = "<text>") -> GatewaySettings:
    """Return the settings in ``text``; raise SettingsError."""
    try:
        node = convert(loads(text), _NodeFile)
        return _to_settings(node)
    except TOMLDecodeError as error:
        raise SettingsError(path=path, field="file", problem=str(error)) from error
    except ValidationError as error:
        found = search(r"required field `(\w+)`|`\$\.(.+)`", str(error))
        name = (found[1] or found[2]) if found else "file"
        raise SettingsError(path=path, field=name, problem=str(error)) from error
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
        store_address=_address(node.platform.address),
        termination_grace=bounds.grace_s,
        retry_ratio=bounds.retry_budget_ratio,
        retry_slack=bounds.retry_budget_slack,
        retry_window=bounds.budget_window_s,
        cpu_capacity=node.limits.cpu_share * node.limits.cpu_cores or 1.0,
        max_descriptors=node.limits.max_fds,
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
