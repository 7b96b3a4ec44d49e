"""HTTP clients of the platform's configuration service and instance list."""

from collections.abc import Callable
from urllib.parse import quote

from curio import TaskTimeout
from msgspec import DecodeError, Raw, Struct
from msgspec.json import Decoder

from savorypond.controllers.config import ConfigValue
from savorypond.exceptions import BackendServerError, SavorypondError
from savorypond.http.client import HttpConnection
from savorypond.http.messages import HttpRequest, HttpResponse
from savorypond.model import Address, Instance, InstanceState
from savorypond.timeouts import timeout_after

_READ_TIMEOUT = 2.0  # seconds for one read
_WATCH_MARGIN = 2.0  # seconds beyond the wait of a watch


class PlatformError(SavorypondError):
    """The platform did not respond, or its response was invalid."""

    def __init__(self, *, service: str, problem: str) -> None:
        super().__init__(f"{service}: {problem}")
        self.service = service
        self.problem = problem


class _StoredValue(Struct, frozen=True, kw_only=True):
    """A value as the configuration service returns it.

    :param value: encoded JSON.
    """

    key: str
    revision: int
    value: Raw


class HttpConfigService:
    """Client of the configuration service."""

    def __init__(self, *, address: Address, source_host: str) -> None:
        self._address = address
        self._source_host = source_host
        self._decoder = Decoder(_StoredValue)

    async def get(self, key: str) -> ConfigValue | None:
        """Return the value of ``key``, or None if there is none.

        :raises PlatformError: if the service fails.
        """
        response = await self._request(f"/v1/values/{quote(key)}", _READ_TIMEOUT)
        if response.status == 404:
            return None
        return self._decode(response)

    async def watch(self, key: str, *, after: int, wait: float) -> ConfigValue | None:
        """Return the value once its revision exceeds ``after``.

        :param wait: seconds after which None is returned instead.
        :raises PlatformError: if the service fails.
        """
        path = f"/v1/values/{quote(key)}?after={after}&wait={wait}"
        response = await self._request(path, wait + _WATCH_MARGIN)
        return None if response.status == 204 else self._decode(response)

    async def _request(self, path: str, seconds: float) -> HttpResponse:
        return await _get(
            self._address, self._source_host, path, seconds, "configuration service"
        )

    def _decode(self, response: HttpResponse) -> ConfigValue:
        if response.status != 200:
            raise PlatformError(
                service="configuration service", problem=f"status {response.status}"
            )
        try:
            stored = self._decoder.decode(response.body)
        except DecodeError as error:
            raise PlatformError(
                service="configuration service", problem=str(error)
            ) from error
        return ConfigValue(revision=stored.revision, data=bytes(stored.value))


async def _get(
    address: Address, source_host: str, path: str, seconds: float, service: str
) -> HttpResponse:
    connection = HttpConnection(address=address, source_host=source_host)
    try:
        async with timeout_after(seconds), connection:
            return await connection.request(HttpRequest(method="GET", path=path))
    except TaskTimeout as error:
        await connection.close()
        raise PlatformError(service=service, problem="timed out") from error
    except BackendServerError as error:
        raise PlatformError(service=service, problem=error.problem) from error


class _ListedInstance(Struct, frozen=True, kw_only=True):
    name: str
    data_centre: str = ""
    peer_address: str = ""
    operator_address: str = ""
    state: str = "live"


class _InstanceListing(Struct, frozen=True, kw_only=True):
    instances: tuple[_ListedInstance, ...]


class HttpInstanceList:
    """Client of the platform's list of instances and backend servers.

    :param on_server: called with the name of each listed backend server and
        whether it is leaving.
    """

    def __init__(
        self,
        *,
        address: Address,
        source_host: str,
        on_server: Callable[[str, bool], None] | None = None,
    ) -> None:
        self._address = address
        self._source_host = source_host
        self._on_server = on_server
        self._decoder = Decoder(_InstanceListing)

    async def fetch(self) -> tuple[Instance, ...]:
        """Return the listed instances.

        :raises PlatformError: if the service fails or its list is malformed.
        """
        response = await _get(
            self._address,
            self._source_host,
            "/v1/instances",
            _READ_TIMEOUT,
            "instance list",
        )
        try:
            listing = self._decoder.decode(response.body)
            instances = tuple(
                _to_instance(listed)
                for listed in listing.instances
                if listed.peer_address
            )
        except (DecodeError, ValueError) as error:
            raise PlatformError(service="instance list", problem=str(error)) from error
        self._notify_servers(listing)
        return instances

    def _notify_servers(self, listing: "_InstanceListing") -> None:
        if self._on_server is None:
            return
        for listed in listing.instances:
            if not listed.peer_address:
                self._on_server(listed.name, listed.state == InstanceState.LEAVING)


def _to_instance(listed: _ListedInstance) -> Instance:
    host, _, port = listed.peer_address.rpartition(":")
    leaving = listed.state == InstanceState.LEAVING
    return Instance(
        name=listed.name,
        data_centre=listed.data_centre,
        peer_address=Address(host=host, port=int(port)),
        incarnation=0,
        state=InstanceState.LEAVING if leaving else InstanceState.LIVE,
    )
