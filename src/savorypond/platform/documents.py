"""Decoders for the documents in the platform's store."""

from collections.abc import Mapping

from msgspec import Struct, ValidationError, convert, field
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


class _WeightedBackend(Struct, frozen=True):
    backend: str
    weight: float


class _Route(Struct, frozen=True):
    name: str
    hostname: str
    prefix: str
    type: str = _SAFE
    timeout_ms: int = 0
    target_latency_ms: int = 0
    max_attempts: int = 1
    priority: int = 0
    backend: str = ""
    traffic_split: tuple[_WeightedBackend, ...] = ()
    gather: tuple[str, ...] = ()
    top_k: int = 0
    # Despite its name, the minimum share of the shards that an answer must cover.
    min_version: float = 0.0


class _Service(Struct, frozen=True):
    name: str
    health_path: str = ""
    max_connections: int = 0


class _Limits(Struct, frozen=True):
    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 1024 * 1024
    header_timeout_ms: int = 5000
    idle_timeout_ms: int = 75_000


class _Configuration(Struct, frozen=True):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...] = ()
    limits: _Limits = field(default_factory=_Limits)


class _Registration(Struct, frozen=True):
    # Service that the server belongs to.
    backend: str
    address: str
    phase: str
    zone: str = ""
    # Maximum number of requests that the server runs concurrently.
    max_concurrency: int = 1
    warmup_left_ms: int = 0
    # Unix milliseconds at which this incarnation of the server started.
    born: int = 0


_decode_configuration = Decoder(_Configuration).decode
_decode_registration = Decoder().decode


def read_route_table(data: bytes) -> RouteTable:
    """Return the configuration in ``data``.

    :raises msgspec.DecodeError: the data is not JSON, or a field has a wrong type.
    :raises ValueError: a number is out of range.
    """
    document = _decode_configuration(data)
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


def read_registration(*, name: str, data: bytes) -> RegisteredServer:
    """Return the registration of the backend server ``name``.

    :raises msgspec.DecodeError: the data is not JSON, or a field has a wrong type.
    :raises ValueError: the phase is unknown or the address is invalid.
    """
    content = _decode_registration(data)
    if not isinstance(content, Mapping):
        raise ValidationError("registration is not a JSON object")
    entry = convert(content, _Registration)
    if entry.phase not in _LEAVING_BY_PHASE:
        raise ValueError(f"unknown phase {entry.phase!r}")
    host, _, port = entry.address.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"invalid address {entry.address!r}")
    return RegisteredServer(
        name=name,
        service=entry.backend,
        address=Address(host=host, port=int(port)),
        data_centre=entry.zone,
        slots=max(1, entry.max_concurrency),
        leaving=_LEAVING_BY_PHASE[entry.phase],
        cold_for=max(0, entry.warmup_left_ms) / _MILLISECONDS,
        started=entry.born,
    )
