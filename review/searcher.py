"""Stand-in of a searcher, as PROTOCOL.md describes it.

A case changes what a searcher in trouble does by overriding ``answer`` or ``before``.
"""

import asyncio
from itertools import count
from os import urandom
from time import time_ns

from http_wire import read_request, response_bytes

RECORD_BYTES = 16
HEARTBEAT = 1.2  # seconds
KEEP_ALIVE = 10  # seconds
# As ``fleetbench wire`` shows it: a server sheds any request.
REFUSAL = response_bytes(503, [("Savorypond-Not-Executed", "1")], b"")
_stamps = count(1)


class Searcher:
    """One searcher: slots and a queue, one request at a time on a connection.

    :param work: seconds that a request takes.
    """

    def __init__(self, site, service, zone, *, slots=6, queue=24, work=0.02, records=25):
        self.site = site
        self.service = service
        self.zone = zone
        self.id = f"i-{urandom(4).hex()}"
        self.slots = slots
        self.queue = queue
        self.work = work
        self.records = records
        self._busy = asyncio.Semaphore(slots)
        self._waiting = 0
        self._sequence = 0
        self._born = time_ns() // 1_000_000
        self._server = None
        self._beats = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.site.server_host, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self._beats = asyncio.create_task(self._beat())

    async def stop(self):
        self._beats.cancel()
        self._server.close()

    async def _beat(self):
        while True:
            self._sequence += 1
            entry = {
                "backend": self.service,
                "address": f"{self.site.server_host}:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "max_concurrency": self.slots,
                "phase": "ready",
                "warmup_left_ms": 0,
                "sequence": self._sequence,
                "born": self._born,
            }
            self.site.store.put(f"servers/{self.id}", entry)
            await asyncio.sleep(HEARTBEAT)

    async def _serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                await self.before(request, writer)
                await self._handle(request, writer)
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    async def _handle(self, request, writer):
        request_id = request.header("savorypond-request-id")
        target = request.header("savorypond-target-instance")
        if request.target == "/healthz":
            headers = [("Savorypond-Instance-Id", self.id)]
            await self.send(writer, response_bytes(200, headers, b""))
        elif request_id is None:
            headers = [("Savorypond-Not-Executed", "1")]
            await self.send(writer, response_bytes(400, headers, b""))
        elif target is not None and target != self.id:
            headers = [("Savorypond-Instance-Id", self.id)]
            await self.send(writer, response_bytes(421, headers, b""))
        elif self._waiting >= self.slots + self.queue:
            await self.refuse(request, writer)
        else:
            await self._run(request, request_id, writer)

    async def before(self, request, writer):
        """What a searcher in trouble does when a request has arrived."""

    async def refuse(self, request, writer):
        """Refuse without running."""
        self.site.record("server", self, "refuses", request)
        await self.send(writer, REFUSAL)

    async def _run(self, request, request_id, writer):
        self._waiting += 1
        try:
            async with self._busy:
                stamp = self.stamp()
                self.site.record_run(self, request, stamp)
                await asyncio.sleep(self.work)
            data, kind = self.answer(request, request_id, stamp)
            self.site.record("server", self, f"answers {kind}", request, stamp)
            await self.send(writer, data)
        finally:
            self._waiting -= 1

    def stamp(self):
        return f"{next(_stamps):x}.{urandom(4).hex()}"

    def answer(self, request, request_id, stamp):
        """Return the bytes of the answer and a word for the record."""
        body = urandom(RECORD_BYTES * self.records)
        self.site.remember_part(stamp, body, self, request_id)
        return response_bytes(200, self.headers(request_id, stamp), body), "200"

    def headers(self, request_id, stamp):
        return [
            ("Savorypond-Response-Stamp", stamp),
            ("Savorypond-Request-Id", request_id),
            ("Keep-Alive", f"timeout={KEEP_ALIVE}"),
        ]

    async def send(self, writer, data):
        writer.write(data)
        await writer.drain()
