"""Runs the configuration decisions: reads the service, and talks to peers."""

from contextlib import suppress
from dataclasses import dataclass
from random import Random
from types import TracebackType
from typing import Any, Protocol, Self

from absl.logging import error as log_error, info as log_info, warning
from curio import Event, TaskTimeout, spawn, timeout_after

from savorypond.clock import Clock
from savorypond.config.messages import PullReply, PullRequest, Stamp
from savorypond.config.reader import ConfigServiceCall, WatchValue
from savorypond.config.store import ConfigStore
from savorypond.config.sync import ConfigSync, PullFrom, SyncAction
from savorypond.exceptions import SavorypondError
from savorypond.model import Bundle, Counters
from savorypond.protocols import MembershipView

CALL_TIME = 2.0  # seconds for a read of the service, besides a watch's wait
PULL_TIME = 2.0  # seconds for one reply of a peer


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigValue:
    """One value of the configuration service.

    :param data: the value as JSON.
    """

    revision: int
    data: bytes


class ConfigService(Protocol):
    """The platform's configuration service; errors are SavorypondErrors."""

    async def get(self, key: str) -> ConfigValue | None:
        """Return the value of ``key``, or None where it has none."""

    async def watch(self, key: str, *, after: int, wait: float) -> ConfigValue | None:
        """Return the value once its revision is above ``after``.

        :param wait: seconds after which None is returned instead.
        """


class PeerConfig(Protocol):
    """Carries pulls to other instances; errors are SavorypondErrors."""

    async def pull(self, instance: str, request: PullRequest) -> PullReply:
        """Return the reply of the instance named to ``request``."""


class ConfigController:
    """Keeps the configuration in force, as an async context manager.

    :param fleet: name that the peers of one installation share.
    :param watchers: most instances of a data centre that watch the service.
    """

    def __init__(
        self,
        *,
        view: MembershipView,
        service: ConfigService,
        peers: PeerConfig,
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
        self._spread = ConfigSync(
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
        self._told = Stamp()
        self._problem = ""

    @property
    def bundle(self) -> Bundle | None:
        """The highest accepted bundle, or None before the first."""
        return self._store.bundle

    @property
    def stamp(self) -> Stamp:
        """Revision and digest in force, for the pings of membership."""
        return self._store.stamp

    @property
    def ready(self) -> bool:
        """Whether requests may be answered under the bundle in force."""
        return self._spread.ready

    @property
    def watches(self) -> bool:
        """Whether this instance watches the service for its data centre."""
        return self._spread.watches

    @property
    def last_problem(self) -> str:
        """What was wrong with the offer last found invalid, or empty."""
        return self._store.last_problem

    async def __aenter__(self) -> Self:
        self._spread.start(self._clock.now())
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

    async def on_digest(self, instance: str, stamp: Stamp) -> None:
        """Note what a peer holds, as its pings carry it."""
        self._spread.on_digest(instance, stamp)
        if stamp > self._store.stamp:
            await self._wake.set()

    async def on_fleet_size(self, size: int) -> None:
        """Note how many instances the platform's list holds in all."""
        self._spread.observe_fleet_size(size)

    async def answer(self, request: PullRequest) -> PullReply:
        """Answer the pull of a peer."""
        reply = self._spread.on_request(request)
        if request.held > self._store.stamp:
            await self._wake.set()
        return reply

    async def _run(self) -> None:
        while True:
            self._wake.clear()
            for action in self._spread.step(self._clock.now()):
                await self._spawn(self._perform(action))
            await self._announce()
            now = self._clock.now()
            rest = max(0.001, self._spread.next_wake(now) - now)
            with suppress(TaskTimeout):
                async with timeout_after(rest):
                    await self._wake.wait()

    async def _announce(self) -> None:
        stamp = self._store.stamp
        if stamp != self._told:
            self._told = stamp
            log_info("configuration revision %d is in force", stamp.revision)
            changed, self._changed = self._changed, Event()
            await changed.set()
        if self._store.last_problem != self._problem:
            self._problem = self._store.last_problem
            log_error("configuration refused: %s", self._problem)
        if self._spread.ready:
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
            async with timeout_after(PULL_TIME):
                reply = await self._peers.pull(action.instance, action.request)
        except (TaskTimeout, SavorypondError) as error:
            warning("no configuration from %s: %s", action.instance, error)
            self._spread.on_pull_failed(self._clock.now(), action)
            return
        self._spread.on_reply(self._clock.now(), action, reply)

    async def _call(self, call: ConfigServiceCall) -> None:
        try:
            value = await self._fetch(call)
        except (TaskTimeout, SavorypondError) as error:
            warning("configuration service: %s", error)
            self._spread.on_service_failed(self._clock.now())
            return
        data = value.data if value is not None else None
        self._spread.on_value(self._clock.now(), data)

    async def _fetch(self, call: ConfigServiceCall) -> ConfigValue | None:
        if not isinstance(call, WatchValue):
            async with timeout_after(CALL_TIME):
                return await self._service.get(call.key)
        async with timeout_after(call.wait + CALL_TIME):
            return await self._service.watch(call.key, after=call.after, wait=call.wait)
