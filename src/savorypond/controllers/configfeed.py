"""Carries news of configuration between membership and its controller."""

from typing import Any, Self

from curio import TaskGroup, sleep

from savorypond.config.configwire import Stamp
from savorypond.controllers.active import ActiveServices
from savorypond.controllers.config import ConfigController
from savorypond.controllers.membership import MembershipController
from savorypond.logs import log_event
from savorypond.membership.membersettings import ConfigDiffers

_LOOK_INTERVAL = 0.05  # seconds


class ConfigInbox:
    """Keeps what pings tell of other configurations until it is looked at."""

    def __init__(self) -> None:
        self._waiting: list[ConfigDiffers] = []

    def note(self, differs: ConfigDiffers) -> None:
        """Keep one note."""
        self._waiting.append(differs)

    def take(self) -> list[ConfigDiffers]:
        """Return all notes and forget them."""
        waiting, self._waiting = self._waiting, []
        return waiting


class ConfigFeed:
    """Tells the configuration of peers, and peers and services of it."""

    def __init__(
        self,
        *,
        inbox: ConfigInbox,
        membership: MembershipController,
        config: ConfigController,
        active: ActiveServices,
    ) -> None:
        self._inbox = inbox
        self._membership = membership
        self._config = config
        self._active = active
        self._tasks: Any = TaskGroup()

    async def __aenter__(self) -> Self:
        await self._tasks.spawn(self._tell_config)
        await self._tasks.spawn(self._follow_config)
        return self

    async def __aexit__(self, *reason: object) -> None:
        await self._tasks.cancel_remaining()

    async def _tell_config(self) -> None:
        while True:
            await sleep(_LOOK_INTERVAL)
            for differs in self._inbox.take():
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
