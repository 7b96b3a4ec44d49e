"""Fakes of the platform's store and of backend servers, on loopback."""

from base64 import b64encode
from contextlib import suppress
from dataclasses import replace
from json import dumps
from os import getpid
from socket import AF_INET, SOCK_DGRAM, SOCK_STREAM, socket

from curio import Event, ignore_after, sleep

from savorypond.gateway.daemon import Gateway
from savorypond.gateway.settings import GatewaySettings
from savorypond.http.channel import HttpLimits
from savorypond.http.listener import Listener
from savorypond.http.messages import Header, HttpResponse, json_response
from savorypond.http.server import HttpServer
from savorypond.model import Address
from savorypond.platform.names import HEADERS, READY_PATH
from savorypond.platform.store import PlatformStore

LOOPBACK = Address(host="127.0.0.1", port=0)
SLOW_TIME = 0.8  # seconds
A_LEAVING = {"server-leaving": "1"}


class FakeStore:
    """Holds items and answers reads like the platform's store.

    :param statuses: statuses returned by the next reads instead of an answer.
    :param rejected_hosts: IP addresses whose reads get 503.
    """

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 1
        self.dropped_until = 0
        self.statuses = []
        self.rejected_hosts = set()
        self.read_paths = []
        self.era = 3
        self._server = HttpServer(
            address=LOOPBACK, handler=self.handle, limits=HttpLimits()
        )

    @property
    def address(self):
        return self._server.address

    async def __aenter__(self):
        await self._server.__aenter__()
        return self

    async def __aexit__(self, *reason):
        await self._server.__aexit__(*reason)

    def put(self, key, value):
        self.put_bytes(key, dumps(value).encode())

    def put_bytes(self, key, data):
        self.revision += 1
        item = {
            "key": key,
            "value": b64encode(data).decode(),
            "revision": self.revision,
            "created": self.revision,
            "lease": 0,
        }
        self.items[key] = item
        self.events.append(item)

    def remove(self, key):
        self.revision += 1
        del self.items[key]
        tombstone = {"key": key, "revision": self.revision, "tombstone": True}
        self.events.append(tombstone)

    def drop_history(self):
        self.dropped_until = self.revision
        self.events = []

    def copy(self):
        """Return a copy to which the store can return."""
        return dict(self.items), list(self.events), self.revision

    def restore(self, copy):
        """Return to a copy; later changes are lost and their revisions given again."""
        items, events, self.revision = copy
        self.items, self.events = dict(items), list(events)
        self.era += 1

    async def handle(self, request):
        response = await self._answer(request)
        era = Header(name="store-era", value=str(self.era))
        return replace(response, headers=(*response.headers, era))

    async def _answer(self, request):
        path, _, query = request.path.partition("?")
        parameters = dict(part.split("=", 1) for part in query.split("&"))
        self.read_paths.append(path)
        if request.peer in self.rejected_hosts:
            return HttpResponse(status=503)
        if self.statuses:
            return HttpResponse(status=self.statuses.pop(0))
        if path.endswith("kv-key"):
            item = self.items.get(parameters["key"])
            if item is None:
                return HttpResponse(status=404)
            return json_response({**item, "as_of": self.revision})
        if path.endswith("kv-range"):
            return self._range(parameters)
        return await self._watch(parameters)

    def _range(self, parameters):
        keys = sorted(
            key
            for key in self.items
            if key.startswith(parameters["prefix"])
            and key > parameters.get("after", "")
        )
        page = [self.items[key] for key in keys[:2]]
        more = len(keys) > 2
        answer = {"items": page, "has_more": more, "as_of": self.revision}
        return json_response(answer)

    async def _watch(self, parameters):
        after = int(parameters["after"])
        if not self.dropped_until <= after <= self.revision:
            return HttpResponse(status=410)
        async with ignore_after(int(parameters["wait_ms"]) / 1000):
            while self.revision <= after:
                await sleep(0.005)
        if after < self.dropped_until:
            return HttpResponse(status=410)
        events = [event for event in self.events if event["revision"] > after]
        return json_response({"events": events, "as_of": self.revision})


class FakeServer:
    """A backend server with a fixed behaviour.

    :param behaviour: ``good``, ``failing`` (500), ``full`` (refuses to run requests),
        ``silent``, ``slow`` (after SLOW_TIME), ``other`` (another server has the
        address) or ``crossed`` (answers another request).
    :param rate_limit: requests a second that it announces, or None.
    :param retry_after: value of that header in its refusals, or None.
    :param status: status of its answers if it is good.
    :param headers: further headers of its answers, or other values of those it sends.
    """

    def __init__(
        self,
        name,
        *,
        service,
        body=b"",
        behaviour="good",
        rate_limit=None,
        retry_after=None,
        status=200,
        headers=(),
    ):
        self.rate_limit = rate_limit
        self.retry_after = retry_after
        self.status = status
        self.headers = dict(headers)
        self.name = name
        self.service = service
        self.body = body
        self.behaviour = behaviour
        self.requests = []
        self.cancelled = Event()
        self._server = HttpServer(
            address=LOOPBACK,
            handler=self.handle,
            limits=HttpLimits(),
            cancel_on_disconnect=True,
        )

    async def __aenter__(self):
        await self._server.__aenter__()
        return self

    async def __aexit__(self, *reason):
        await self._server.__aexit__(*reason)

    def entry(self, **changes):
        return {
            "backend": self.service,
            "address": str(self._server.address),
            "zone": "a",
            "version": "v1",
            "max_concurrency": 2,
            "phase": "ready",
            "warmup_left_ms": 0,
            "sequence": 1,
            "born": 1,
            **changes,
        }

    async def handle(self, request):
        self.requests.append(request)
        if self.behaviour == "silent":
            try:
                await Event().wait()
            finally:
                await self.cancelled.set()
        if self.behaviour == "slow":
            await sleep(SLOW_TIME)
        request_id = request.header(HEADERS.request_id)
        headers = {
            HEADERS.request_id: request_id,
            HEADERS.signature: f"{self.name}.{request_id}",
        }
        status = self.status
        if self.behaviour == "failing":
            status = 500
        elif self.behaviour == "full":
            status = 503
            headers = {HEADERS.not_run: "1"}
            if self.retry_after is not None:
                headers[HEADERS.request_id] = request_id
                headers[HEADERS.retry_after] = self.retry_after
        elif self.behaviour == "other":
            status = 421
            headers = {}
        elif self.behaviour == "crossed":
            headers[HEADERS.request_id] = "another"
        if self.rate_limit is not None:
            headers[HEADERS.rate_limit] = str(self.rate_limit)
        headers.update(self.headers)
        return HttpResponse(
            status=status,
            headers=tuple(Header(name=n, value=v) for n, v in headers.items()),
            body=self.body,
        )


class RemoteServer(FakeServer):
    """A server in another data centre, which is asked only after a local one."""

    def entry(self, **changes):
        return super().entry(zone="b", **changes)


class DroppingServer(FakeServer):
    """Closes each connection as soon as a request has arrived."""

    def __init__(self, name, *, service):
        super().__init__(name, service=service)
        self._server = Listener(address=LOOPBACK, serve=self._drop_connection)

    async def _drop_connection(self, sock, peer):
        # An unused connection may be reset.
        async with sock:
            with suppress(ConnectionResetError):
                if data := await sock.recv(65536):
                    self.requests.append(data)


def route(name, prefix, **changes):
    return {
        "name": name,
        "hostname": "shop.example",
        "prefix": prefix,
        "type": "safe",
        "timeout_ms": 20000,
        "target_latency_ms": 10000,
        "priority": 1,
        "max_attempts": 2,
        **changes,
    }


def configuration(*routes, version=1):
    services = {r["backend"] for r in routes if "backend" in r}
    services.update(*(r.get("gather", ()) for r in routes))
    return {
        "version": version,
        "routes": list(routes),
        "services": [
            {
                "name": name,
                "health_path": "/healthz",
                "max_connections": 100,
                "protocol": "h1",
                "tls": False,
            }
            for name in sorted(services)
        ],
        "limits": {
            "max_header_bytes": 4096,
            "max_body_bytes": 65536,
            "header_timeout_ms": 20000,
            "idle_timeout_ms": 60000,
        },
    }


def gateway_settings(store, **changes):
    host = changes.get("host", "127.0.0.1")
    own = Address(host=host, port=0)
    values = {
        "name": "g1",
        "data_centre": "a",
        "host": host,
        "caller_address": own,
        "ready_address": own,
        "operator_address": own,
        "peer_address": Address(host=host, port=PEER_PORT),
        "seeds": (),
        "store_address": store.address,
        "first_start": False,
        "termination_grace": 10.0,
        "retry_ratio": 0.2,
        "retry_slack": 100.0,
        "retry_window": 10.0,
        "cpu_capacity": 1.0,
        "response_bytes": 40_000_000,
        "max_descriptors": 1000,
        **changes,
    }
    return GatewaySettings(**values)


def make_gateway(store, **changes):
    settings = gateway_settings(store, **changes)
    source = PlatformStore(address=store.address, source_host=settings.host)
    return Gateway(
        settings=settings, names=HEADERS, source=source, ready_path=READY_PATH
    )


_FIRST_PEER_PORT = 20_000
_PEER_PORT_COUNT = 10_000


def _free_port():
    """Return a free port below the range from which the kernel assigns ports.

    A port assigned by the kernel could be assigned to another process again before an
    instance binds it, as when two test runs share a computer.
    """
    for offset in range(_PEER_PORT_COUNT):
        port = _FIRST_PEER_PORT + (getpid() + offset) % _PEER_PORT_COUNT
        with (
            socket(AF_INET, SOCK_STREAM) as tcp,
            socket(AF_INET, SOCK_DGRAM) as udp,
            suppress(OSError),
        ):
            tcp.bind(("127.0.0.1", port))
            udp.bind(("127.0.0.1", port))
            return port
    raise OSError(f"no free port from {_FIRST_PEER_PORT} on")


# Instances find each other at the same port of different IP addresses.
PEER_PORT = _free_port()
