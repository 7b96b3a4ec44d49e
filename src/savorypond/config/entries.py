"""The compact encoding in which instances store and exchange a service."""

from collections.abc import Iterable
from typing import NamedTuple

from msgspec import DecodeError, Struct, ValidationError
from msgspec.msgpack import Decoder, Encoder
from xxhash import xxh3_64_intdigest

from savorypond.model import (
    Address,
    BackendServer,
    Preference,
    Priority,
    ServerLimits,
    Service,
    ServiceKind,
    ShardLayout,
    ShardRange,
)

DIGEST_MODULUS = 2**64  # a digest is a sum of hashes modulo this value


class _Shard(NamedTuple):
    shard: str
    low: int
    high: int


class _Layout(NamedTuple):
    number: int
    shards: tuple[_Shard, ...]


class _Server(NamedTuple):
    name: str
    host: str
    port: int
    data_centre: str


class _Entry(Struct, array_like=True, kw_only=True):
    name: str
    kind: ServiceKind
    index: str
    layouts: tuple[_Layout, ...]
    servers: tuple[_Server, ...]
    slots: int
    connections: int
    connect_time: float
    priority: Priority
    prefer: Preference
    time_limit: float
    least_coverage: float


class _EntryName(Struct, array_like=True):
    name: str


_encoder = Encoder()
_decoder = Decoder(_Entry)
_name_decoder = Decoder(_EntryName)


def encode_entry(service: Service) -> bytes:
    """Return the service as msgpack; equal services give equal bytes."""
    limits = service.limits
    return _encoder.encode(
        _Entry(
            name=service.name,
            kind=service.kind,
            index=service.index,
            layouts=tuple(_pack_layout(layout) for layout in service.layouts),
            servers=tuple(_pack_server(s) for s in service.backend_servers),
            slots=limits.slots,
            connections=limits.connections,
            connect_time=limits.connect_time,
            priority=service.priority,
            prefer=service.prefer,
            time_limit=service.time_limit,
            least_coverage=service.least_coverage,
        )
    )


def _pack_layout(layout: ShardLayout) -> _Layout:
    shards = tuple(_Shard(s.shard, s.low, s.high) for s in layout.shards)
    return _Layout(layout.number, shards)


def _pack_server(server: BackendServer) -> _Server:
    address = server.address
    return _Server(server.name, address.host, address.port, server.data_centre)


def decode_entry(data: bytes) -> Service:
    """Decode a service without validating it.

    :raises ValueError: if the bytes do not encode a service.
    """
    try:
        entry = _decoder.decode(data)
    except (DecodeError, ValidationError) as error:
        raise ValueError(str(error)) from error
    limits = ServerLimits(
        slots=entry.slots,
        connections=entry.connections,
        connect_time=entry.connect_time,
    )
    return Service(
        name=entry.name,
        kind=entry.kind,
        index=entry.index,
        layouts=tuple(_unpack_layout(layout) for layout in entry.layouts),
        backend_servers=tuple(_unpack_server(s) for s in entry.servers),
        limits=limits,
        priority=entry.priority,
        prefer=entry.prefer,
        time_limit=entry.time_limit,
        least_coverage=entry.least_coverage,
    )


def _unpack_layout(layout: _Layout) -> ShardLayout:
    shards = tuple(
        ShardRange(shard=s.shard, low=s.low, high=s.high) for s in layout.shards
    )
    return ShardLayout(number=layout.number, shards=shards)


def _unpack_server(server: _Server) -> BackendServer:
    address = Address(host=server.host, port=server.port)
    return BackendServer(
        name=server.name, address=address, data_centre=server.data_centre
    )


def entry_name(data: bytes) -> str:
    """Return the name of an encoded service without decoding the rest.

    :raises ValueError: if the bytes do not start like a service.
    """
    try:
        return _name_decoder.decode(data).name
    except (DecodeError, ValidationError) as error:
        raise ValueError(str(error)) from error


def entry_digest(data: bytes) -> int:
    """Return the digest of one encoded service."""
    return xxh3_64_intdigest(data)


def entries_digest(entries: Iterable[bytes]) -> int:
    """Return the digest of encoded services; it does not depend on their order."""
    return sum(entry_digest(data) for data in entries) % DIGEST_MODULUS
