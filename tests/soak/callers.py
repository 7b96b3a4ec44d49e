"""Callers of the soak: they keep connections, repeat, and leave early."""

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
from tests.soak.judge import PROMISED_NOT_RUN
from tests.soak.records import LONG_MARK, AttemptRecord, Kind

HOST = "soak.example"
PORT = 8104
PREFIXES = {Kind.GATHER: "/g/", Kind.SAFE: "/s/", Kind.ONCE: "/o/"}
TIME_LEFT = 3.0  # seconds that a caller waits
CONNECT_TIME = 1.0  # seconds
EARLY_SHARE = 0.04  # of the requests, whose callers leave early
EARLY_TIME = 0.02  # seconds after which they leave
LONG_SHARE = 0.05  # of the repeatable requests, which take their server long
_CONNECTION_ERRORS = (OSError, RemoteProtocolError, TaskTimeout)


class _Link:
    """A caller's connection and the boot of the instance that accepted it."""

    def __init__(self, *, instance, boot, sock):
        self.instance = instance
        self.boot = boot
        self.sock = sock
        self.http = Connection(CLIENT)


class Caller:
    """Sends one request after the other.

    :param pick: returns an instance that callers are sent to, or None.
    """

    def __init__(self, *, number, pick, records, random, pause=0.25):
        self._number = number
        self._pick = pick
        self._records = records
        self._random = random
        self._pause = pause
        self._link = None
        self._ids = count(1)

    async def run(self):
        """Call until cancelled."""
        try:
            while True:
                await sleep(self._random.expovariate(1.0 / self._pause))
                kind = self._random.choices(list(Kind), weights=(5, 3, 3))[0]
                await self.ask(kind)
        finally:
            await self._close()

    async def ask(self, kind):
        """Send a request, once more where that is allowed; return success."""
        body = b""
        method = "GET"
        if kind is Kind.ONCE:
            method = "POST"
            size = self._random.choice((0, 10, 1000, 30_000))
            body = self._random.randbytes(size)
        path = f"{PREFIXES[kind]}{self._number}?x=%2F{next(self._ids)}"
        early = self._random.random() < EARLY_SHARE
        if kind is Kind.SAFE and self._random.random() < LONG_SHARE:
            path += LONG_MARK
            early = self._random.random() < 0.5
        for _ in range(2):
            attempt = await self._attempt(kind, method, path, body, early=early)
            if attempt is None:
                return False
            if 200 <= attempt.status < 300:
                return True
            if attempt.left or attempt.status in (400, 404, 413, 431):
                return False
            if kind is Kind.ONCE and attempt.status not in PROMISED_NOT_RUN:
                return False
            await self._close()  # callers repeat on a new connection
        return False

    async def _attempt(self, kind, method, path, body, *, early):
        try:
            link = await self._connect()
        except _CONNECTION_ERRORS:
            return None
        if link is None:
            return None
        attempt = AttemptRecord(
            request_id=f"{self._random.getrandbits(64):016x}",
            kind=kind,
            method=method,
            path=path,
            body=body,
            instance=link.instance.ip,
            boot=link.boot,
            sent=monotonic(),
        )
        self._records.attempts.append(attempt)
        try:
            async with timeout_after(EARLY_TIME if early else TIME_LEFT + 0.5):
                await self._exchange(link, attempt)
        except TaskTimeout:
            if early:
                attempt.left = monotonic()
            await self._close()
        except _CONNECTION_ERRORS:
            await self._close()
        attempt.ended = monotonic()
        if self._random.random() < 0.2:
            await self._close()
        return attempt

    async def _connect(self):
        if self._link is not None:
            return self._link
        instance = self._pick()
        if instance is None:
            return None
        boot = instance.boot
        async with timeout_after(CONNECT_TIME):
            sock = await open_connection(instance.ip, PORT)
        self._link = _Link(instance=instance, boot=boot, sock=sock)
        return self._link

    async def _close(self):
        link, self._link = self._link, None
        if link is not None:
            with suppress(OSError):
                await link.sock.close()

    async def _exchange(self, link, attempt):
        headers = [
            ("host", HOST),
            (HEADERS.request_id, attempt.request_id),
            (HEADERS.time_left, str(int(TIME_LEFT * 1000))),
        ]
        if attempt.body:
            headers.append(("content-length", str(len(attempt.body))))
        http = link.http
        data = http.send(
            Request(method=attempt.method, target=attempt.path, headers=headers)
        )
        if attempt.body:
            data += http.send(Data(data=attempt.body))
        data += http.send(EndOfMessage())
        await link.sock.sendall(data)
        head, body = await self._read(link)
        values = [(name.decode(), value.decode()) for name, value in head.headers]
        attempt.answer = body
        attempt.parts = tuple(
            part.strip()
            for name, value in values
            if name == HEADERS.part_signatures
            for part in value.split(",")
        )
        found = dict(values)
        attempt.signature = found.get(HEADERS.signature, "")
        attempt.missing = int(found.get(HEADERS.missing_parts, "0"))
        attempt.status = head.status_code
        if "close" in found.get("connection", ""):
            await self._close()
        else:
            http.start_next_cycle()

    async def _read(self, link):
        head, body = None, b""
        while True:
            event = link.http.next_event()
            if event is NEED_DATA:
                link.http.receive_data(await link.sock.recv(65536))
            elif isinstance(event, Response):
                head = event
            elif isinstance(event, Data):
                body += bytes(event.data)
            elif isinstance(event, EndOfMessage):
                return head, body
            elif isinstance(event, ConnectionClosed):
                raise OSError("the connection ended without an answer")
