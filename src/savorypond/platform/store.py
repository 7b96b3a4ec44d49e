"""Reads the platform's store: whole, and change by change."""

from base64 import b64decode
from binascii import Error as BinasciiError
from collections.abc import Iterable
from typing import TypeVar
from urllib.parse import quote

from curio import TaskTimeout, timeout_after
from msgspec import DecodeError, Struct
from msgspec.json import Decoder

from savorypond.exceptions import BackendServerError, HistoryLost, PublishedError
from savorypond.gateway.published_state import (
    PublishedChanges,
    PublishedState,
    ServerChange,
)
from savorypond.gateway.routes import RouteTable
from savorypond.http.client import HttpConnection
from savorypond.http.messages import Header, HttpRequest, HttpResponse
from savorypond.logs import log_event
from savorypond.model import Address
from savorypond.platform.documents import read_registration, read_route_table

_CONFIGURATION = "op/config"
_SERVERS = "servers/"
# The store answers in some 4 ms; slow answers of 50 times as long still count.
_READ_TIME = 1.0  # seconds
_WATCH_GRACE = 0.5  # seconds beyond the wait of a watch
_OK = 200
_NOT_FOUND = 404
_GONE = 410

_Document = TypeVar("_Document")


class _Item(Struct, frozen=True):
    """One item, or the mark that it was deleted."""

    key: str
    revision: int
    value: str = ""
    tombstone: bool = False


class _Key(_Item, frozen=True):
    # The revision of the whole store at the time of the read.
    as_of: int = 0


class _Range(Struct, frozen=True):
    items: tuple[_Item, ...]
    as_of: int
    has_more: bool = False


class _Watch(Struct, frozen=True):
    events: tuple[_Item, ...]
    as_of: int


class PlatformStore:
    """The store, over one connection that is kept between calls.

    Not for use by several tasks at once.
    """

    def __init__(self, *, address: Address, source_host: str) -> None:
        self._address = address
        self._source_host = source_host
        self._connection: HttpConnection | None = None
        self._key_decoder = Decoder(_Key)
        self._range_decoder = Decoder(_Range)
        self._watch_decoder = Decoder(_Watch)

    async def close(self) -> None:
        """Close the connection; the next call opens another."""
        if self._connection is not None:
            connection, self._connection = self._connection, None
            await connection.close(abort=True)

    async def read_all(self) -> PublishedState:
        """Return the configuration and every registration.

        :raises PublishedError: the store did not answer as its contract says.
        """
        items, position = await self._read_servers()
        table = await self._read_configuration()
        changes = (_to_change(item) for item in items)
        return PublishedState(
            position=position,
            table=table,
            servers=tuple(c.server for c in changes if c.server is not None),
        )

    async def changes(self, *, after: int, wait: float) -> PublishedChanges:
        """Return what changed after the position ``after``.

        :param wait: seconds to wait for the first change.
        :raises HistoryLost: the store no longer holds these changes.
        :raises PublishedError: the store did not answer as its contract says.
        """
        path = f"/savorypond/kv-watch?prefix=&after={after}&wait_ms={int(wait * 1000)}"
        response = await self._get(path, wait + _WATCH_GRACE)
        if response.status == _GONE:
            raise HistoryLost(source=str(self._address), position=after)
        watch = self._decode(self._watch_decoder, response)
        return PublishedChanges(
            position=watch.as_of,
            table=_newest_table(watch.events),
            servers=_server_changes(watch.events),
        )

    async def _read_servers(self) -> tuple[list[_Item], int]:
        items: list[_Item] = []
        position = None
        after = ""
        while True:
            path = f"/savorypond/kv-range?prefix={_SERVERS}&after={quote(after)}"
            response = await self._get(path, _READ_TIME)
            page = self._decode(self._range_decoder, response)
            items.extend(page.items)
            # Pages are read one after the other: changes since the first count.
            position = page.as_of if position is None else min(position, page.as_of)
            if not page.has_more or not page.items:
                return items, position
            after = page.items[-1].key

    async def _read_configuration(self) -> RouteTable | None:
        path = f"/savorypond/kv-key?key={_CONFIGURATION}"
        response = await self._get(path, _READ_TIME)
        if response.status == _NOT_FOUND:
            return None
        return _read_table(self._decode(self._key_decoder, response))

    async def _get(self, path: str, seconds: float) -> HttpResponse:
        try:
            async with timeout_after(seconds):
                if self._connection is None:
                    await self._open()
                assert self._connection is not None
                response = await self._connection.request(_request(path))
        except TaskTimeout as error:
            await self.close()
            raise self._error(f"no answer within {seconds} s") from error
        except BackendServerError as error:
            await self.close()
            raise self._error(error.problem) from error
        except BaseException:
            await self.close()
            raise
        if not self._connection.reusable:
            await self.close()
        return response

    async def _open(self) -> None:
        connection = HttpConnection(
            address=self._address, source_host=self._source_host
        )
        await connection.open()
        self._connection = connection

    def _decode(self, decoder: Decoder[_Document], response: HttpResponse) -> _Document:
        if response.status != _OK:
            raise self._error(f"status {response.status}")
        try:
            return decoder.decode(response.body)
        except DecodeError as error:
            raise self._error(str(error)) from error

    def _error(self, problem: str) -> PublishedError:
        return PublishedError(source=str(self._address), problem=problem)


def _request(path: str) -> HttpRequest:
    return HttpRequest(
        method="GET",
        path=path,
        headers=(Header(name="accept", value="application/json"),),
    )


def _newest_table(events: Iterable[_Item]) -> RouteTable | None:
    newest = None
    for event in events:
        if event.key == _CONFIGURATION and not event.tombstone:
            newest = _read_table(event) or newest
    return newest


def _server_changes(events: Iterable[_Item]) -> tuple[ServerChange, ...]:
    # Only the last state of each server matters.
    last = {e.key: e for e in events if e.key.startswith(_SERVERS)}
    return tuple(_to_change(event) for event in last.values())


def _read_table(item: _Item) -> RouteTable | None:
    try:
        return read_route_table(_value(item))
    except (DecodeError, ValueError) as error:
        log_event("configuration-unreadable", revision=item.revision, why=str(error))
        return None


def _to_change(item: _Item) -> ServerChange:
    name = item.key.removeprefix(_SERVERS)
    if item.tombstone:
        return ServerChange(name=name, server=None)
    try:
        server = read_registration(name=name, data=_value(item))
    except (DecodeError, ValueError) as error:
        log_event(
            "registration-unreadable",
            server=name,
            revision=item.revision,
            why=str(error),
        )
        return ServerChange(name=name, server=None)
    return ServerChange(name=name, server=server)


def _value(item: _Item) -> bytes:
    try:
        return b64decode(item.value, validate=True)
    except BinasciiError as error:
        raise ValueError(f"not base64: {error}") from error
