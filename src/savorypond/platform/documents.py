"""Decoders for the documents in the platform's store."""

from collections.abc import Callable, Mapping
from ipaddress import IPv4Address
from re import compile as compile_pattern
from typing import Annotated, TypeVar

from msgspec import Meta, Struct, ValidationError, convert, field
from msgspec.json import Decoder

from savorypond.gateway.routes import (
    Route,
    RoutedService,
    RouteTable,
    WeightedService,
)
from savorypond.gateway.servers import RegisteredServer
from savorypond.http.channel import HttpLimits
from savorypond.model import Address

_MILLISECONDS = 1000.0  # per second
_SAFE = "safe"  # type of routes whose requests are idempotent
_LEAVING_BY_PHASE = {"ready": False, "draining": True}
_MAX_INT = 2**63 - 1  # larger numbers cannot be sent to other instances
_MAX_DURATION = 10**10  # milliseconds
_MAX_SLOTS = 2**16
_MAX_PORT = 2**16 - 1
_MAX_NAME_LENGTH = 200  # characters
_EXCERPT = 80  # characters of an invalid value in an error
# Server names are sent in headers.
_SERVER_NAME = compile_pattern(rf"[!-~]{{1,{_MAX_NAME_LENGTH}}}")

_Count = Annotated[int, Meta(ge=0, le=_MAX_INT)]
_Number = Annotated[int, Meta(ge=-_MAX_INT, le=_MAX_INT)]
# Milliseconds, also fractions of them.
_Duration = Annotated[float, Meta(ge=-_MAX_DURATION, le=_MAX_DURATION)]
_Name = Annotated[str, Meta(max_length=_MAX_NAME_LENGTH)]
_Document = TypeVar("_Document")


class _WeightedBackend(Struct, frozen=True):
    backend: str
    weight: float


class _Route(Struct, frozen=True):
    name: str
    hostname: str
    prefix: str
    type: str = _SAFE
    timeout_ms: _Duration = 0
    target_latency_ms: _Duration = 0
    max_attempts: _Number = 1
    priority: _Number = 0
    backend: str = ""
    traffic_split: tuple[_WeightedBackend, ...] = ()
    gather: tuple[str, ...] = ()
    top_k: _Number = 0
    # Despite its name, the minimum share of the shards that an answer must cover.
    min_version: float = 0.0


class _Service(Struct, frozen=True):
    name: str
    health_path: str = ""
    max_connections: _Number = 0


class _Limits(Struct, frozen=True):
    max_header_bytes: _Number = 16 * 1024
    max_body_bytes: _Number = 1024 * 1024
    header_timeout_ms: _Duration = 5000
    idle_timeout_ms: _Duration = 75_000


class _Configuration(Struct, frozen=True):
    version: _Count
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...] = ()
    limits: _Limits = field(default_factory=_Limits)


class _Registration(Struct, frozen=True):
    """What a server says of itself, in full.

    An entry that lacks a field or has one of another type was not written by a server,
    and must not be used even if what it has would do.
    """

    # Service that the server belongs to.
    backend: _Name
    address: str
    phase: str
    zone: _Name
    # Version of the server's software.
    version: str
    # Maximum number of requests that the server runs concurrently.
    max_concurrency: Annotated[int, Meta(ge=-_MAX_INT, le=_MAX_SLOTS)]
    warmup_left_ms: _Duration
    # Number of the server's last report.
    sequence: _Number
    # Unix milliseconds at which this incarnation of the server started.
    born: _Number = 0


_decode_configuration = Decoder(_Configuration).decode
_decode_registration = Decoder().decode


def read_route_table(data: bytes) -> RouteTable:
    """Return the configuration in ``data``.

    :raises msgspec.DecodeError: the data is not JSON, a field has a wrong type, or a
        number is out of range.
    """
    document = _decode(_decode_configuration, data)
    return RouteTable(
        version=document.version,
        routes=tuple(_to_route(route) for route in document.routes),
        services=tuple(
            RoutedService(
                name=service.name,
                health_path=service.health_path,
                max_connections=service.max_connections,
            )
            for service in document.services
        ),
        limits=HttpLimits(
            header_bytes=document.limits.max_header_bytes,
            body_bytes=document.limits.max_body_bytes,
            receive_time=document.limits.header_timeout_ms / _MILLISECONDS,
            idle_time=document.limits.idle_timeout_ms / _MILLISECONDS,
        ),
    )


def _to_route(route: _Route) -> Route:
    split = tuple(
        WeightedService(service=weighted.backend, weight=weighted.weight)
        for weighted in route.traffic_split
    )
    if not split and route.backend:
        split = (WeightedService(service=route.backend, weight=1.0),)
    return Route(
        name=route.name,
        host=route.hostname.lower(),
        prefix=route.prefix,
        idempotent=route.type == _SAFE,
        time_limit=route.timeout_ms / _MILLISECONDS,
        goal=route.target_latency_ms / _MILLISECONDS,
        max_attempts=max(1, route.max_attempts),
        priority=route.priority,
        split=split,
        shards=route.gather,
        top=route.top_k,
        least_share=route.min_version,
    )


def _decode(decode: Callable[[bytes], _Document], data: bytes) -> _Document:
    try:
        return decode(data)
    except RecursionError as error:
        raise ValidationError("document is nested too deeply") from error


def _parse_address(text: str) -> Address:
    """Return the IPv4 address and port in ``text``; raise ValueError."""
    host, _, digits = text[:_EXCERPT].rpartition(":")
    port = int(digits) if digits.isascii() and digits.isdigit() else 0
    if not 0 < port <= _MAX_PORT:
        raise ValueError(f"invalid address {text[:_EXCERPT]!r}")
    return Address(host=str(IPv4Address(host)), port=port)


def read_registration(*, name: str, data: bytes) -> RegisteredServer:
    """Return the registration of the backend server ``name``.

    :raises msgspec.DecodeError: the data is not JSON, a field has a wrong type, or a
        number is out of range.
    :raises ValueError: the name, the phase or the address is invalid.
    """
    if not _SERVER_NAME.fullmatch(name):
        raise ValueError(f"invalid name {name[:_EXCERPT]!r}")
    content = _decode(_decode_registration, data)
    if not isinstance(content, Mapping):
        raise ValidationError("registration is not a JSON object")
    entry = convert(content, _Registration)
    if entry.phase not in _LEAVING_BY_PHASE:
        raise ValueError(f"unknown phase {entry.phase[:_EXCERPT]!r}")
    return RegisteredServer(
        name=name,
        service=entry.backend,
        address=_parse_address(entry.address),
        data_centre=entry.zone,
        slots=max(1, entry.max_concurrency),
        leaving=_LEAVING_BY_PHASE[entry.phase],
        cold_for=max(0, entry.warmup_left_ms) / _MILLISECONDS,
        started=entry.born,
    )
