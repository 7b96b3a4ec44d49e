"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
from base64 import b64encode
from json import dumps
from urllib.parse import parse_qs, urlsplit

from http_wire import read_request, response_bytes

PAGE = 500  # items of one range
POLL = 0.005  # seconds between two looks of a waiting watch


class Store:
    """Holds items in memory; every change gets the next revision."""

    def __init__(self, host):
        self.host = host
        self.port = 0
        self.revision = 1
        self.items = {}
        self.events = []
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        self._server.close()

    def put(self, key, document):
        self.revision += 1
        item = {
            "key": key,
            "value": b64encode(dumps(document).encode()).decode(),
            "revision": self.revision,
            "created": self.items.get(key, {}).get("created", self.revision),
            "lease": 0,
        }
        self.items[key] = item
        self.events.append(item)

    def remove(self, key):
        self.revision += 1
        del self.items[key]
        self.events.append({"key": key, "revision": self.revision, "tombstone": True})

    async def _serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                status, document = await self._answer(request.target)
                body = dumps(document).encode() if document is not None else b""
                headers = [("Content-Type", "application/json"), ("Store-Era", "1")]
                writer.write(response_bytes(status, headers, body))
                await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    async def _answer(self, target):
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        if parts.path.endswith("/kv-key"):
            item = self.items.get(query.get("key", ""))
            if item is None:
                return 404, {"as_of": self.revision}
            return 200, {**item, "as_of": self.revision}
        if parts.path.endswith("/kv-range"):
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {
                "items": [self.items[key] for key in keys[:PAGE]],
                "has_more": len(keys) > PAGE,
                "as_of": self.revision,
            }
        if parts.path.endswith("/kv-watch"):
            return 200, await self._watch(query)
        return 404, None

    async def _watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query.get("wait_ms", "0")) / 1000
        while True:
            events = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            if events or loop.time() >= until:
                return {"events": events, "as_of": self.revision}
            await asyncio.sleep(POLL)
