"""Reads the settings file that the platform writes for each process."""

from os import environ
from pathlib import Path
from re import search
from tomllib import TOMLDecodeError, loads

from msgspec import Struct, ValidationError, convert, field

from savorypond.exceptions import SettingsError
from savorypond.gateway.settings import GatewaySettings
from savorypond.model import Address
from savorypond.platform.names import SETTINGS_VARIABLE

_MILLISECONDS = 1000.0  # per second
_MEGABYTE = 1024 * 1024  # bytes
# A response is held twice while its parts are joined, beside some 50 MB of the process.
_RESPONSE_MEMORY_SHARE = 0.2


class _Listen(Struct, frozen=True):
    # Address for callers.
    front: str
    # Address of the platform's readiness check.
    ready: str
    # Address for other instances.
    control: str = ""


class _Platform(Struct, frozen=True):
    address: str
    reads_per_s: float = 2000.0


class _Limits(Struct, frozen=True):
    max_fds: int = 1024
    memory_mb: float = 256.0
    # Share of the time in which the process may run.
    cpu_share: float = 1.0
    # Speed relative to one processor while it runs; not a number of processors.
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
    # Whether the whole system starts for the first time.
    bootstrap: bool = False
    limits: _Limits = field(default_factory=_Limits)
    bounds: _Bounds = field(default_factory=_Bounds)


def _parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host=host, port=int(port))


def parse_node_file(text: str, *, path: str = "<text>") -> GatewaySettings:
    """Return the settings in ``text``; raise SettingsError if they are invalid."""
    try:
        node = convert(loads(text), _NodeFile)
        return _to_settings(node)
    except TOMLDecodeError as error:
        raise SettingsError(path=path, field="file", problem=str(error)) from error
    except ValidationError as error:
        match = search(r"required field `(\w+)`|`\$\.(.+)`", str(error))
        name = (match[1] or match[2]) if match else "file"
        raise SettingsError(path=path, field=name, problem=str(error)) from error
    except ValueError as error:
        raise SettingsError(path=path, field="address", problem=str(error)) from error


def _to_settings(node: _NodeFile) -> GatewaySettings:
    bounds = node.bounds
    return GatewaySettings(
        name=node.node_name,
        data_centre=node.zone,
        host=node.ip,
        caller_address=_parse_address(node.listen_addrs.front),
        ready_address=_parse_address(node.listen_addrs.ready),
        operator_address=Address(host=node.ip, port=node.internal_ports[0]),
        peer_address=Address(host=node.ip, port=node.internal_ports[0] + 1),
        seeds=tuple(seed.rpartition(":")[0] for seed in node.seeds),
        store_address=_parse_address(node.platform.address),
        first_start=node.bootstrap,
        termination_grace=bounds.grace_s,
        retry_ratio=bounds.retry_budget_ratio,
        retry_slack=bounds.retry_budget_slack,
        retry_window=bounds.budget_window_s,
        cpu_capacity=node.limits.cpu_share * node.limits.cpu_cores or 1.0,
        response_bytes=int(node.limits.memory_mb * _MEGABYTE * _RESPONSE_MEMORY_SHARE),
        max_descriptors=node.limits.max_fds,
    )


def node_file_path() -> Path:
    """Return the path of the settings file; raise SettingsError if it is unset."""
    path = environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise SettingsError(path="", field=SETTINGS_VARIABLE, problem="is not set")
    return Path(path)


def load_node_file(path: Path) -> GatewaySettings:
    """Return the settings in the file at ``path``.

    :raises SettingsError: the file cannot be read or is invalid.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(path=str(path), field="file", problem=str(error)) from error
    return parse_node_file(text, path=str(path))
