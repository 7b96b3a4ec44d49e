"""Messages with the published state that instances send each other.

A routing table of thousands of routes takes more than half a megabyte, and an instance
that reads the store sends each new one to many others. Tables are therefore compressed,
to about a tenth, once for all of them; so are long lists of servers.
"""

from zlib import compress, decompressobj, error as zlib_error

from msgspec import Struct
from msgspec.msgpack import Decoder, encode

from savorypond.exceptions import PublishedStateError
from savorypond.gateway.published_state import (
    Position,
    PublishedChanges,
    ServerChange,
)
from savorypond.gateway.routes import Route, RoutedService, RouteTable
from savorypond.http.channel import HttpLimits

_COMPRESSION_LEVEL = 1  # fastest; higher levels hardly shorten tables
_MAX_BYTES = 16 * 1024 * 1024  # of a decompressed table or list of servers
_MIN_COMPRESSED_SERVERS = 20  # changes; fewer are sent as they are


class _TableMessage(Struct, frozen=True, kw_only=True):
    """The routing configuration in a message between instances."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[RoutedService, ...]
    limits: HttpLimits


class _PublishedMessage(Struct, frozen=True, kw_only=True):
    """The published state, or changes of it, in a message between instances.

    :param position: revision of the store.
    :param era: era of the store to which the revision belongs.
    :param age: seconds since the store was read.
    :param table: the table for instances that do not accept a compressed one.
    :param servers: the changed servers, unless they are compressed.
    :param compressed_table: the table as a compressed message, or empty for none.
    :param compressed_servers: the changed servers, compressed, or empty for none.
    """

    position: int
    era: int = 0
    age: float
    table: _TableMessage | None = None
    servers: tuple[ServerChange, ...]
    compressed_table: bytes = b""
    compressed_servers: bytes = b""


_decoder = Decoder(_PublishedMessage)
_table_decoder = Decoder(_TableMessage)
_servers_decoder = Decoder(tuple[ServerChange, ...])


class PublishedEncoder:
    """Encodes messages; keeps the latest compressed table."""

    def __init__(self) -> None:
        self._table: RouteTable | None = None
        self._compressed_table = b""

    def encode(self, changes: PublishedChanges, *, compressed: bool) -> bytes:
        """Return ``changes`` as a message.

        :param compressed: whether the receiver accepts compressed parts.
        """
        table, servers = changes.table, changes.servers
        is_long = compressed and len(servers) >= _MIN_COMPRESSED_SERVERS
        return encode(
            _PublishedMessage(
                position=changes.position.revision,
                era=changes.position.era,
                age=changes.age,
                table=None if table is None or compressed else _to_message(table),
                servers=() if is_long else servers,
                compressed_table=self._compress(table) if compressed else b"",
                compressed_servers=_compress(encode(servers)) if is_long else b"",
            )
        )

    def _compress(self, table: RouteTable | None) -> bytes:
        if table is None:
            return b""
        if table is not self._table:
            self._table = table
            self._compressed_table = _compress(encode(_to_message(table)))
        return self._compressed_table


def decode_changes(data: bytes) -> PublishedChanges:
    """Return the changes in a message.

    :raises msgspec.DecodeError: the message or a part of it is invalid.
    :raises PublishedStateError: a part of it cannot be decompressed.
    """
    message = _decoder.decode(data)
    table = message.table
    if message.compressed_table:
        table = _table_decoder.decode(_decompress(message.compressed_table))
    servers = message.servers
    if message.compressed_servers:
        servers = _servers_decoder.decode(_decompress(message.compressed_servers))
    return PublishedChanges(
        position=Position(era=message.era, revision=message.position),
        age=message.age,
        table=None if table is None else _from_message(table),
        servers=servers,
    )


def _compress(data: bytes) -> bytes:
    return compress(data, _COMPRESSION_LEVEL)


def _decompress(data: bytes) -> bytes:
    decompressor = decompressobj()
    try:
        content = decompressor.decompress(data, _MAX_BYTES)
    except zlib_error as error:
        problem = f"invalid compressed data: {error}"
        raise PublishedStateError(source="peer", problem=problem) from error
    if not decompressor.eof:
        problem = (
            f"{len(data)} bytes of compressed data are truncated or stand for more"
            f" than {_MAX_BYTES} bytes"
        )
        raise PublishedStateError(source="peer", problem=problem)
    return content


def _to_message(table: RouteTable) -> _TableMessage:
    return _TableMessage(
        version=table.version,
        routes=table.routes,
        services=table.services,
        limits=table.limits,
    )


def _from_message(message: _TableMessage) -> RouteTable:
    return RouteTable(
        version=message.version,
        routes=message.routes,
        services=message.services,
        limits=message.limits,
    )
