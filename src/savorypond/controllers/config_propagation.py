"""Carries news of configuration between membership and its controller."""

from collections.abc import Sequence
from typing import Any, Protocol, Self

from curio import TaskGroup, ignore_after, sleep

from savorypond.config.messages import Stamp
from savorypond.controllers.active import ActiveServices
from savorypond.controllers.config import ConfigController
from savorypond.controllers.membership import MembershipController
from savorypond.logs import log_event
from savorypond.membership.settings import ConfigMismatch
from savorypond.model import Service

_LOOK_INTERVAL = 0.05  # seconds
# Services made ready ahead of their first query. A large fleet leaves the others
# to their first use: an instance of it sees few of them.
PREPARED_SERVICES = 256
PREPARE_TIME = 3.0  # seconds that an instance that starts waits for them


class HoldingsSource(Protocol):
    """Learns what services can be answered from."""

    async def learn(self, services: Sequence[Service]) -> None:
        """Ask owners and backend servers of ``services``."""


class ConfigMismatchQueue:
    """Keeps what pings tell of other configurations until it is looked at."""

    def __init__(self) -> None:
        self._waiting: list[ConfigMismatch] = []

    def put(self, differs: ConfigMismatch) -> None:
        """Keep one note."""
        self._waiting.append(differs)

    def take_all(self) -> list[ConfigMismatch]:
        """Return all notes and forget them."""
        waiting, self._waiting = self._waiting, []
        return waiting


class ConfigPropagator:
    """Tells the configuration of peers, and peers and services of it.

    What the first queries need of a configuration, the links to owners and what
    backend servers hold, is had before the instance says that it is ready: on a
    busy host the first queries would spend their time limits on it.
    """

    def __init__(
        self,
        *,
        mismatches: ConfigMismatchQueue,
        membership: MembershipController,
        config: ConfigController,
        active: ActiveServices,
        holdings: HoldingsSource,
    ) -> None:
        self._mismatches = mismatches
        self._membership = membership
        self._config = config
        self._active = active
        self._holdings = holdings
        self._prepared = False
        self._tasks: Any = TaskGroup()

    @property
    def prepared(self) -> bool:
        """Whether the first queries find what they need."""
        return self._prepared

    async def __aenter__(self) -> Self:
        await self._tasks.spawn(self._tell_config)
        await self._tasks.spawn(self._follow_config)
        return self

    async def __aexit__(self, *reason: object) -> None:
        await self._tasks.cancel_remaining()

    async def _tell_config(self) -> None:
        while True:
            await sleep(_LOOK_INTERVAL)
            for differs in self._mismatches.take_all():
                stamp = Stamp(differs.revision, differs.digest)
                await self._config.on_digest(differs.peer.name, stamp)
            await self._config.on_fleet_size(self._membership.membership.fleet_size)

    async def _follow_config(self) -> None:
        revision = 0
        while True:
            bundle = await self._config.wait_above(revision)
            revision = bundle.revision
            stamp = self._config.stamp
            self._membership.membership.set_config(
                revision=stamp.revision, digest=stamp.digest
            )
            log_event("config-in-force", revision=revision)
            await self._active.config_changed()
            services = tuple(bundle.services.values())[:PREPARED_SERVICES]
            await ignore_after(PREPARE_TIME, self._holdings.learn, services)
            self._prepared = True
