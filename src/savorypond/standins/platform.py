"""Stand-ins for the platform's configuration service and instance list.

Their interfaces are specified in docs/INTERFACES.md.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Self
from urllib.parse import parse_qs, unquote, urlsplit

from curio import Event, TaskTimeout, sleep
from pydantic import BaseModel, ConfigDict, ValidationError

from savorypond.exceptions import RequestRefused
from savorypond.http.messages import (
    HttpRequest,
    HttpResponse,
    decode_json,
    json_response,
)
from savorypond.http.server import HttpLimits, HttpServer
from savorypond.model import Address
from savorypond.reasons import RefusalReason
from savorypond.timeouts import timeout_after

VALUES_PATH = "/v1/values/"
INSTANCES_PATH = "/v1/instances"
_FAULTS_PATH = "/standin/faults"
_MAX_VALUE_BYTES = 1024 * 1024
_MAX_WAIT = 60.0  # seconds that a watch may wait
_SILENCE_TIME = 3600.0  # seconds for which a request to a service that is down hangs


class PlatformFaults(BaseModel):
    """Faults to inject into a platform service.

    :param down: reads are never answered.
    :param frozen: readers see the state from when the fault was switched on.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    down: bool = False
    frozen: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredValue:
    """A value in the configuration service, with its revision."""

    revision: int
    value: object


class _PlatformService:
    """Base class of the stand-ins: an HTTP server with faults to inject."""

    def __init__(self, *, address: Address) -> None:
        self._faults = PlatformFaults()
        self._reads = 0
        self._server = HttpServer(
            address=address,
            handler=self._handle,
            limits=HttpLimits(body_bytes=2 * _MAX_VALUE_BYTES),
        )

    @property
    def address(self) -> Address:
        """The address on which it listens."""
        return self._server.address

    @property
    def reads(self) -> int:
        """Number of GET requests received; a watch counts as one."""
        return self._reads

    async def __aenter__(self) -> Self:
        await self._server.__aenter__()
        return self

    async def __aexit__(self, *reason: object) -> None:
        await self._server.__aexit__(None, None, None)

    def set_faults(self, faults: PlatformFaults) -> None:
        """Replace the injected faults."""
        self._faults = faults

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        if request.path == _FAULTS_PATH and request.method == "PUT":
            self.set_faults(_parse_faults(request))
            return HttpResponse(status=204)
        if request.method == "PUT":
            return await self._write(request)
        if request.method != "GET":
            raise RequestRefused(
                reason=RefusalReason.METHOD_NOT_ALLOWED, detail=request.method
            )
        self._reads += 1
        if self._faults.down:
            await sleep(_SILENCE_TIME)
        return await self._read(request)

    async def _read(self, request: HttpRequest) -> HttpResponse:
        raise NotImplementedError

    async def _write(self, request: HttpRequest) -> HttpResponse:
        raise NotImplementedError


class StandinConfigService(_PlatformService):
    """Stores values by key; readers get them or watch for a higher revision."""

    def __init__(self, *, address: Address) -> None:
        super().__init__(address=address)
        self._values: dict[str, StoredValue] = {}
        self._frozen: dict[str, StoredValue] = {}
        self._changed = Event()

    def set_faults(self, faults: PlatformFaults) -> None:
        """Replace the injected faults."""
        super().set_faults(faults)
        self._frozen = dict(self._values) if faults.frozen else {}

    async def publish(self, key: str, stored: StoredValue) -> None:
        """Store a value and notify the watches."""
        self._values[key] = stored
        changed, self._changed = self._changed, Event()
        await changed.set()

    async def _read(self, request: HttpRequest) -> HttpResponse:
        parts = urlsplit(request.path)
        if not parts.path.startswith(VALUES_PATH):
            raise RequestRefused(reason=RefusalReason.NOT_FOUND, detail=parts.path)
        key = unquote(parts.path.removeprefix(VALUES_PATH))
        options = parse_qs(parts.query)
        if "after" in options:
            wait = _parse_number(options.get("wait", ["0"])[0], "wait")
            return await self._watch(
                key, _parse_number(options["after"][0], "after"), wait
            )
        stored = self._visible(key)
        if stored is None:
            raise RequestRefused(reason=RefusalReason.NOT_FOUND, detail=key)
        return _value_response(key, stored)

    async def _watch(self, key: str, after: float, wait: float) -> HttpResponse:
        try:
            async with timeout_after(min(wait, _MAX_WAIT)):
                while True:
                    stored = self._visible(key)
                    if stored is not None and stored.revision > after:
                        return _value_response(key, stored)
                    await self._changed.wait()
        except TaskTimeout:
            return HttpResponse(status=204)

    def _visible(self, key: str) -> StoredValue | None:
        values = self._frozen if self._faults.frozen else self._values
        return values.get(key)

    async def _write(self, request: HttpRequest) -> HttpResponse:
        if len(request.body) > _MAX_VALUE_BYTES:
            raise RequestRefused(
                reason=RefusalReason.TOO_LARGE,
                detail=f"a value may have at most {_MAX_VALUE_BYTES} bytes",
            )
        if not request.path.startswith(VALUES_PATH):
            raise RequestRefused(reason=RefusalReason.NOT_FOUND, detail=request.path)
        content = decode_json(request)
        if not isinstance(content, dict) or not isinstance(
            content.get("revision"), int
        ):
            raise RequestRefused(
                reason=RefusalReason.MALFORMED, detail="revision is not an integer"
            )
        key = unquote(request.path.removeprefix(VALUES_PATH))
        stored = StoredValue(revision=content["revision"], value=content.get("value"))
        await self.publish(key, stored)
        return HttpResponse(status=204)


class ListedInstance(BaseModel):
    """An entry of the instance list; a backend server has no peer address."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str
    data_centre: str = ""
    peer_address: str = ""
    operator_address: str = ""
    state: str = "live"


class StandinInstanceList(_PlatformService):
    """Serves the instance list as it was ``lag`` seconds ago.

    :param lag: seconds after which readers see a change.
    :param now: returns monotonic seconds.
    """

    def __init__(
        self, *, address: Address, lag: float, now: Callable[[], float]
    ) -> None:
        super().__init__(address=address)
        self._lag = lag
        self._now = now
        self._history: list[tuple[float, tuple[ListedInstance, ...]]] = []

    @property
    def listed(self) -> tuple[ListedInstance, ...]:
        """The entries that readers see now."""
        return self._visible()

    def replace(self, instances: tuple[ListedInstance, ...]) -> None:
        """Replace the list; readers see the first at once, later ones after the lag."""
        visible_at = self._now() + self._lag if self._history else self._now()
        self._history.append((visible_at, instances))

    async def _read(self, request: HttpRequest) -> HttpResponse:
        if request.path != INSTANCES_PATH:
            raise RequestRefused(reason=RefusalReason.NOT_FOUND, detail=request.path)
        listed = [instance.model_dump() for instance in self._visible()]
        return json_response({"instances": listed})

    def _visible(self) -> tuple[ListedInstance, ...]:
        if self._faults.frozen:
            return self._history[0][1] if self._history else ()
        now = self._now()
        visible = [instances for at, instances in self._history if at <= now]
        return visible[-1] if visible else ()

    async def _write(self, request: HttpRequest) -> HttpResponse:
        content = decode_json(request)
        listed = content.get("instances") if isinstance(content, dict) else None
        if request.path != INSTANCES_PATH or not isinstance(listed, list):
            raise RequestRefused(
                reason=RefusalReason.MALFORMED, detail="instances is not a list"
            )
        try:
            instances = [ListedInstance.model_validate(entry) for entry in listed]
        except ValidationError as error:
            raise _malformed(error) from error
        self.replace(tuple(instances))
        return HttpResponse(status=204)


def _parse_faults(request: HttpRequest) -> PlatformFaults:
    try:
        return PlatformFaults.model_validate_json(request.body)
    except ValidationError as error:
        raise _malformed(error) from error


def _malformed(error: ValidationError) -> RequestRefused:
    return RequestRefused(reason=RefusalReason.MALFORMED, detail=str(error))


def _parse_number(text: str, name: str) -> float:
    try:
        return float(text)
    except ValueError as error:
        raise RequestRefused(
            reason=RefusalReason.MALFORMED, detail=f"{name} is not a number: {text!r}"
        ) from error


def _value_response(key: str, stored: StoredValue) -> HttpResponse:
    return json_response(
        {"key": key, "revision": stored.revision, "value": stored.value}
    )
