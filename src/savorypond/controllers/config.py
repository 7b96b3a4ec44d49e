"""Input and output for :class:`ConfigSync`: service reads and pulls from peers."""

from contextlib import suppress
from dataclasses import dataclass
from random import Random
from types import TracebackType
from typing import Any, Protocol, Self

from absl.logging import error as log_error, info as log_info, warning
from curio import Event, TaskTimeout, spawn

from savorypond.clock import Clock
from savorypond.config.messages import PullReply, PullRequest, Stamp
from savorypond.config.reader import ConfigServiceCall, WatchValue
from savorypond.config.store import ConfigStore
from savorypond.config.sync import ConfigSync, PullFrom, SyncAction
from savorypond.exceptions import SavorypondError
from savorypond.model import Bundle, Counters
from savorypond.protocols import MembershipView
from savorypond.timeouts import timeout_after

CALL_TIMEOUT = 2.0  # seconds for a read of the service, on top of a watch's wait
PULL_TIMEOUT = 2.0  # seconds for one reply of a peer


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigValue:
    """One value of the configuration service.

    :param data: the value as JSON.
    """

    revision: int
    data: bytes


class ConfigService(Protocol):
    """A client of the platform's configuration service; raises SavorypondError."""

    async def get(self, key: str) -> ConfigValue | None:
        """Return the value of ``key``, or None if it has none."""

    async def watch(self, key: str, *, after: int, wait: float) -> ConfigValue | None:
        """Wait for a value of ``key`` with a revision above ``after``.

        :param wait: seconds after which None is returned instead.
        """


class PullClient(Protocol):
    """Sends pulls to other instances; raises SavorypondError."""

    async def pull(self, instance: str, request: PullRequest) -> PullReply:
        """Return the reply of the instance called ``instance`` to ``request``."""


class ConfigController:
    """Keeps the configuration in force up to date, as an async context manager.

    :param fleet: name shared by the peers of one installation.
    :param watchers: maximum number of instances per data centre that watch the
        service.
    """

    def __init__(
        self,
        *,
        view: MembershipView,
        service: ConfigService,
        peers: PullClient,
        fleet: str,
        watchers: int,
        clock: Clock,
        random: Random,
        counters: Counters,
    ) -> None:
        self._service = service
        self._peers = peers
        self._clock = clock
        self._counters = counters
        self._store = ConfigStore(counters=counters)
        self._sync = ConfigSync(
            store=self._store,
            view=view,
            fleet=fleet,
            random=random,
            watchers=watchers,
        )
        self._wake = Event()
        self._changed = Event()
        self._ready = Event()
        self._tasks: set[Any] = set()
        self._announced_stamp = Stamp()
        self._logged_problem = ""

    @property
    def bundle(self) -> Bundle | None:
        """The highest accepted bundle, or None before the first."""
        return self._store.bundle

    @property
    def stamp(self) -> Stamp:
        """Revision and digest in force, as membership pings carry them."""
        return self._store.stamp

    @property
    def ready(self) -> bool:
        """Whether requests may be answered under the bundle in force."""
        return self._sync.ready

    @property
    def watches(self) -> bool:
        """Whether this instance watches the service for its data centre."""
        return self._sync.watches

    @property
    def last_problem(self) -> str:
        """Why the last invalid update was rejected, or empty."""
        return self._store.last_problem

    async def __aenter__(self) -> Self:
        self._sync.start(self._clock.now())
        await self._spawn(self._run())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for task in list(self._tasks):
            await task.cancel()
        self._tasks.clear()

    async def wait_ready(self) -> None:
        """Return once requests may be answered."""
        await self._ready.wait()

    async def wait_above(self, revision: int) -> Bundle:
        """Return the bundle once its revision is above ``revision``."""
        while True:
            bundle = self._store.bundle
            if bundle is not None and bundle.revision > revision:
                return bundle
            await self._changed.wait()

    async def on_peer_stamp(self, instance: str, stamp: Stamp) -> None:
        """Record the stamp that a ping of peer ``instance`` carried."""
        self._sync.on_peer_stamp(instance, stamp)
        if stamp > self._store.stamp:
            await self._wake.set()

    async def on_fleet_size(self, size: int) -> None:
        """Record how many instances the platform's list holds in all."""
        self._sync.observe_fleet_size(size)

    async def answer(self, request: PullRequest) -> PullReply:
        """Return the reply to the pull of a peer."""
        reply = self._sync.on_request(request)
        if request.held > self._store.stamp:
            await self._wake.set()
        return reply

    async def _run(self) -> None:
        while True:
            self._wake.clear()
            for action in self._sync.step(self._clock.now()):
                await self._spawn(self._perform(action))
            await self._announce()
            now = self._clock.now()
            timeout = max(0.001, self._sync.next_wake(now) - now)
            with suppress(TaskTimeout):
                async with timeout_after(timeout):
                    await self._wake.wait()

    async def _announce(self) -> None:
        stamp = self._store.stamp
        if stamp != self._announced_stamp:
            self._announced_stamp = stamp
            log_info("configuration revision %d is in force", stamp.revision)
            changed, self._changed = self._changed, Event()
            await changed.set()
        if self._store.last_problem != self._logged_problem:
            self._logged_problem = self._store.last_problem
            log_error("configuration refused: %s", self._logged_problem)
        if self._sync.ready:
            await self._ready.set()

    async def _spawn(self, work: Any) -> None:
        self._tasks = {task for task in self._tasks if not task.terminated}
        self._tasks.add(await spawn(work, daemon=True))

    async def _perform(self, action: SyncAction) -> None:
        if isinstance(action, PullFrom):
            await self._pull(action)
        else:
            await self._call(action)
        await self._wake.set()

    async def _pull(self, action: PullFrom) -> None:
        try:
            async with timeout_after(PULL_TIMEOUT):
                reply = await self._peers.pull(action.instance, action.request)
        except (TaskTimeout, SavorypondError) as error:
            warning("cannot pull the configuration from %s: %s", action.instance, error)
            self._sync.on_pull_failed(self._clock.now(), action)
            return
        self._sync.on_reply(self._clock.now(), action, reply)

    async def _call(self, call: ConfigServiceCall) -> None:
        try:
            value = await self._fetch(call)
        except (TaskTimeout, SavorypondError) as error:
            warning("cannot read the configuration service: %s", error)
            self._sync.on_service_failed(self._clock.now())
            return
        data = value.data if value is not None else None
        self._sync.on_value(self._clock.now(), data)

    async def _fetch(self, call: ConfigServiceCall) -> ConfigValue | None:
        if not isinstance(call, WatchValue):
            async with timeout_after(CALL_TIMEOUT):
                return await self._service.get(call.key)
        async with timeout_after(call.wait + CALL_TIMEOUT):
            return await self._service.watch(call.key, after=call.after, wait=call.wait)
