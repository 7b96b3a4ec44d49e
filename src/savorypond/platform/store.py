"""Client of the platform's store: complete reads and incremental changes."""

from base64 import b64decode
from binascii import Error as BinasciiError
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from typing import TypeVar
from urllib.parse import quote

from curio import TaskTimeout
from msgspec import DecodeError, Struct
from msgspec.json import Decoder

from savorypond.exceptions import BackendServerError, HistoryLost, PublishedStateError
from savorypond.gateway.published_state import (
    Position,
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
from savorypond.platform.names import STORE_ERA_HEADER
from savorypond.timeouts import timeout_after

_CONFIGURATION = "op/config"
_SERVERS = "servers/"
# The store answers in about 4 ms; answers that take 50 times as long are still used.
_READ_TIMEOUT = 1.0  # seconds
_MAX_ERA_DIGITS = 18  # fits into 64 bits
_WATCH_MARGIN = 0.5  # seconds beyond the wait time of a watch
# The largest configuration takes over a second on a link of 10 Mbit/s, more beside
# other traffic.
_TRANSFER_TIME = 2.0  # further seconds that a whole answer may take
_OK = 200
_NOT_FOUND = 404
_GONE = 410

_Document = TypeVar("_Document")


class _Item(Struct, frozen=True):
    """One item, or the tombstone of a deleted item."""

    key: str
    revision: int
    value: str = ""
    tombstone: bool = False


class _KeyResponse(_Item, frozen=True):
    # Revision of the entire store at the time of the read.
    as_of: int = 0


class _RangeResponse(Struct, frozen=True):
    items: tuple[_Item, ...]
    as_of: int
    has_more: bool = False


class _WatchResponse(Struct, frozen=True):
    events: tuple[_Item, ...]
    as_of: int


class PlatformStore:
    """The store, accessed over one persistent connection.

    Answers have no id. A second one to an earlier read is told by its revisions, keys
    or kind of document, and its connection is closed, because the answer to the last
    read may follow.

    Must not be used by several tasks at once.
    """

    def __init__(self, *, address: Address, source_host: str) -> None:
        self._address = address
        self._source_host = source_host
        self._connection: HttpConnection | None = None
        self._key_decoder = Decoder(_KeyResponse)
        self._range_decoder = Decoder(_RangeResponse)
        self._watch_decoder = Decoder(_WatchResponse)

    async def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        if self._connection is not None:
            connection, self._connection = self._connection, None
            await connection.close(abort=True)

    async def read_all(self) -> PublishedState:
        """Return the configuration and every registration.

        :raises PublishedStateError: the request failed, or the response was invalid.
        """
        # No answer to an earlier read of everything can arrive on a new connection.
        await self.close()
        async with self._closing_after_error():
            items, position = await self._read_servers()
            table = await self._read_configuration(position)
        changes = (_to_change(item) for item in items)
        return PublishedState(
            position=position,
            table=table,
            servers=tuple(c.server for c in changes if c.server is not None),
        )

    async def changes(self, *, after: Position, wait: float) -> PublishedChanges:
        """Return the changes after the position ``after``.

        :param wait: maximum seconds to wait for the first change.
        :raises HistoryLost: the store no longer has these changes, or has returned from
            an older copy since.
        :raises PublishedStateError: the request failed, or the response was invalid.
        """
        path = f"/savorypond/kv-watch?prefix=&after={after.revision}"
        path += f"&wait_ms={int(wait * 1000)}"
        async with self._closing_after_error():
            response = await self._get(path, wait + _WATCH_MARGIN)
            is_answer = response.status == _OK
            if response.status == _GONE or (is_answer and _era(response) != after.era):
                raise HistoryLost(source=str(self._address), position=after)
            watch = self._decode(self._watch_decoder, response)
            if watch.as_of < after.revision or any(
                event.revision <= after.revision for event in watch.events
            ):
                raise self._error(f"changes up to revision {after.revision}")
        return PublishedChanges(
            position=Position(era=after.era, revision=watch.as_of),
            table=_newest_table(watch.events),
            servers=_server_changes(watch.events),
        )

    async def _read_servers(self) -> tuple[list[_Item], Position]:
        items: list[_Item] = []
        position: Position | None = None
        after = ""
        while True:
            path = f"/savorypond/kv-range?prefix={_SERVERS}&after={quote(after)}"
            response = await self._get(path, _READ_TIMEOUT)
            page = self._decode(self._range_decoder, response)
            if any(item.key <= after for item in page.items):
                raise self._error(f"a page with keys up to {after}")
            items.extend(page.items)
            # The state may change between pages; the lowest revision makes a watch
            # repeat every change that an earlier page misses.
            read_at = Position(era=_era(response), revision=page.as_of)
            if position is not None and position.era != read_at.era:
                raise self._error("returned from an older copy between two pages")
            position = read_at if position is None else min(position, read_at)
            if not page.has_more or not page.items:
                return items, position
            after = page.items[-1].key

    async def _read_configuration(self, position: Position) -> RouteTable | None:
        path = f"/savorypond/kv-key?key={_CONFIGURATION}"
        response = await self._get(path, _READ_TIMEOUT)
        if response.status in (_OK, _NOT_FOUND) and _era(response) != position.era:
            raise self._error("returned from an older copy before its configuration")
        if response.status == _NOT_FOUND:
            return None
        return _decode_table(self._decode(self._key_decoder, response))

    @asynccontextmanager
    async def _closing_after_error(self) -> AsyncIterator[None]:
        try:
            yield
        except BaseException:
            await self.close()
            raise

    async def _get(self, path: str, seconds: float) -> HttpResponse:
        """Return the response, of which ``seconds`` may pass without a byte."""
        time_limit = seconds + _TRANSFER_TIME
        try:
            async with timeout_after(time_limit):
                if self._connection is not None and self._connection.is_stale():
                    await self.close()
                if self._connection is None:
                    await self._open(seconds)
                assert self._connection is not None
                response = await self._connection.request(
                    _request(path), max_silence=seconds
                )
        except TaskTimeout as error:
            raise self._error(f"no complete answer within {time_limit} s") from error
        except BackendServerError as error:
            raise self._error(error.problem) from error
        # An answer without a document does not tell to which read it belongs.
        if not self._connection.reusable or response.status != _OK:
            await self.close()
        return response

    async def _open(self, seconds: float) -> None:
        connection = HttpConnection(
            address=self._address, source_host=self._source_host
        )
        try:
            async with timeout_after(seconds):
                await connection.open()
        except TaskTimeout as error:
            raise self._error(f"no connection within {seconds} s") from error
        self._connection = connection

    def _decode(self, decoder: Decoder[_Document], response: HttpResponse) -> _Document:
        if response.status != _OK:
            raise self._error(f"unexpected status {response.status}")
        try:
            return decoder.decode(response.body)
        except DecodeError as error:
            raise self._error(str(error)) from error

    def _error(self, problem: str) -> PublishedStateError:
        return PublishedStateError(source=str(self._address), problem=problem)


def _request(path: str) -> HttpRequest:
    return HttpRequest(
        method="GET",
        path=path,
        headers=(Header(name="accept", value="application/json"),),
    )


def _era(response: HttpResponse) -> int:
    """Return the era of the store, 0 if it states none."""
    text = response.header(STORE_ERA_HEADER)
    if text is None:
        return 0
    if not (text.isascii() and text.isdigit() and len(text) <= _MAX_ERA_DIGITS):
        log_event("store-era-unreadable", value=text[:40])
        return 0
    return int(text)


def _newest_table(events: Iterable[_Item]) -> RouteTable | None:
    newest = None
    for event in events:
        if event.key == _CONFIGURATION and not event.tombstone:
            newest = _decode_table(event) or newest
    return newest


def _server_changes(events: Iterable[_Item]) -> tuple[ServerChange, ...]:
    # Only the last event of each server counts.
    last_events = {e.key: e for e in events if e.key.startswith(_SERVERS)}
    return tuple(_to_change(event) for event in last_events.values())


def _decode_table(item: _Item) -> RouteTable | None:
    try:
        return read_route_table(_decode_value(item))
    except (DecodeError, ValueError) as error:
        log_event("configuration-unreadable", revision=item.revision, why=str(error))
        return None


def _to_change(item: _Item) -> ServerChange:
    name = item.key.removeprefix(_SERVERS)
    if item.tombstone:
        return ServerChange(name=name, server=None)
    try:
        server = read_registration(name=name, data=_decode_value(item))
    except (DecodeError, ValueError) as error:
        log_event(
            "registration-unreadable",
            server=name,
            revision=item.revision,
            why=str(error),
        )
        return ServerChange(name=name, server=None)
    return ServerChange(name=name, server=server)


def _decode_value(item: _Item) -> bytes:
    try:
        return b64decode(item.value, validate=True)
    except BinasciiError as error:
        raise ValueError(f"invalid base64: {error}") from error
