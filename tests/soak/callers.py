"""Callers of the soak, which reuse connections, retry and disconnect early."""

from contextlib import suppress
from itertools import count
from time import monotonic

from curio import TaskTimeout, open_connection, sleep, timeout_after
from h11 import (
    CLIENT,
    NEED_DATA,
    Connection,
    ConnectionClosed,
    Data,
    EndOfMessage,
    RemoteProtocolError,
    Request,
    Response,
)

from savorypond.platform.names import HEADERS
from tests.soak.checker import NOT_RUN_STATUSES
from tests.soak.records import LONG_SUFFIX, AttemptRecord, RequestKind

HOST = "soak.example"
PORT = 8104
PREFIXES = {RequestKind.GATHER: "/g/", RequestKind.SAFE: "/s/", RequestKind.ONCE: "/o/"}
TIME_LEFT = 3.0  # seconds that a caller waits
CONNECT_TIMEOUT = 1.0  # seconds
ABANDON_SHARE = 0.04  # of the requests, whose callers disconnect early
ABANDON_AFTER = 0.02  # seconds
LONG_SHARE = 0.05  # of the safe requests, which have a long service time
_CONNECTION_ERRORS = (OSError, RemoteProtocolError, TaskTimeout)


class _CallerConnection:
    """A caller's connection and the boot of the instance that accepted it."""

    def __init__(self, *, instance, boot, sock):
        self.instance = instance
        self.boot = boot
        self.sock = sock
        self.http = Connection(CLIENT)


class Caller:
    """Sends one request after the other.

    :param pick_instance: returns the instance to connect to, or None.
    :param think_time: mean seconds between two requests.
    """

    def __init__(self, *, number, pick_instance, records, random, think_time=0.25):
        self._number = number
        self._pick_instance = pick_instance
        self._records = records
        self._random = random
        self._think_time = think_time
        self._connection = None
        self._ids = count(1)

    async def run(self):
        """Send requests until cancelled."""
        try:
            while True:
                await sleep(self._random.expovariate(1.0 / self._think_time))
                kind = self._random.choices(list(RequestKind), weights=(5, 3, 3))[0]
                await self.send_request(kind)
        finally:
            await self._close()

    async def send_request(self, kind):
        """Send a request, retry it once where allowed, and return its success."""
        body = b""
        method = "GET"
        if kind is RequestKind.ONCE:
            method = "POST"
            size = self._random.choice((0, 10, 1000, 30_000))
            body = self._random.randbytes(size)
        path = f"{PREFIXES[kind]}{self._number}?x=%2F{next(self._ids)}"
        abandon = self._random.random() < ABANDON_SHARE
        if kind is RequestKind.SAFE and self._random.random() < LONG_SHARE:
            path += LONG_SUFFIX
            abandon = self._random.random() < 0.5
        for _ in range(2):
            attempt = await self._attempt(kind, method, path, body, abandon=abandon)
            if attempt is None:
                return False
            if 200 <= attempt.status < 300:
                return True
            if attempt.abandoned_at or attempt.status in (400, 404, 413, 431):
                return False
            if kind is RequestKind.ONCE and attempt.status not in NOT_RUN_STATUSES:
                return False
            await self._close()  # a retry uses a new connection
        return False

    async def _attempt(self, kind, method, path, body, *, abandon):
        try:
            connection = await self._connect()
        except _CONNECTION_ERRORS:
            return None
        if connection is None:
            return None
        attempt = AttemptRecord(
            request_id=f"{self._random.getrandbits(64):016x}",
            kind=kind,
            method=method,
            path=path,
            body=body,
            instance=connection.instance.ip,
            boot=connection.boot,
            sent=monotonic(),
        )
        self._records.attempts.append(attempt)
        try:
            async with timeout_after(ABANDON_AFTER if abandon else TIME_LEFT + 0.5):
                await self._exchange(connection, attempt)
        except TaskTimeout:
            if abandon:
                attempt.abandoned_at = monotonic()
            await self._close()
        except _CONNECTION_ERRORS:
            await self._close()
        attempt.ended = monotonic()
        if self._random.random() < 0.2:
            await self._close()
        return attempt

    async def _connect(self):
        if self._connection is not None:
            return self._connection
        instance = self._pick_instance()
        if instance is None:
            return None
        boot = instance.boot
        async with timeout_after(CONNECT_TIMEOUT):
            sock = await open_connection(instance.ip, PORT)
        self._connection = _CallerConnection(instance=instance, boot=boot, sock=sock)
        return self._connection

    async def _close(self):
        connection, self._connection = self._connection, None
        if connection is not None:
            with suppress(OSError):
                await connection.sock.close()

    async def _exchange(self, connection, attempt):
        headers = [
            ("host", HOST),
            (HEADERS.request_id, attempt.request_id),
            (HEADERS.time_left, str(int(TIME_LEFT * 1000))),
        ]
        if attempt.body:
            headers.append(("content-length", str(len(attempt.body))))
        http = connection.http
        data = http.send(
            Request(method=attempt.method, target=attempt.path, headers=headers)
        )
        if attempt.body:
            data += http.send(Data(data=attempt.body))
        data += http.send(EndOfMessage())
        await connection.sock.sendall(data)
        head, body = await self._read(connection)
        values = [(name.decode(), value.decode()) for name, value in head.headers]
        attempt.answer = body
        attempt.parts = tuple(
            part.strip()
            for name, value in values
            if name == HEADERS.part_signatures
            for part in value.split(",")
        )
        by_name = dict(values)
        attempt.signature = by_name.get(HEADERS.signature, "")
        attempt.missing = int(by_name.get(HEADERS.missing_parts, "0"))
        attempt.status = head.status_code
        if "close" in by_name.get("connection", ""):
            await self._close()
        else:
            http.start_next_cycle()

    async def _read(self, connection):
        head, body = None, b""
        while True:
            event = connection.http.next_event()
            if event is NEED_DATA:
                connection.http.receive_data(await connection.sock.recv(65536))
            elif isinstance(event, Response):
                head = event
            elif isinstance(event, Data):
                body += bytes(event.data)
            elif isinstance(event, EndOfMessage):
                return head, body
            elif isinstance(event, ConnectionClosed):
                raise OSError("connection closed before the response was complete")
