"""Propagation of configuration changes between membership and the controllers."""

from collections.abc import Sequence
from typing import Any, Protocol, Self

from curio import TaskGroup, sleep

from savorypond.config.messages import Stamp
from savorypond.controllers.active import ActiveServices
from savorypond.controllers.config import ConfigController
from savorypond.controllers.membership import MembershipController
from savorypond.logs import log_event
from savorypond.membership.settings import ConfigMismatch
from savorypond.model import Service
from savorypond.timeouts import ignore_after

_CHECK_INTERVAL = 0.05  # seconds
# Services prepared before their first query. The others of a large fleet are left to
# their first use, since each instance is asked for few of them.
MAX_PREPARED_SERVICES = 256
PREPARE_TIMEOUT = 3.0  # seconds that a starting instance waits for them


class HoldingsSource(Protocol):
    """Finds the snapshots that services can be answered from."""

    async def refresh(self, services: Sequence[Service]) -> None:
        """Ask the owners or backend servers of ``services``."""


class ConfigMismatchQueue:
    """Collects mismatches reported by pings until the propagator handles them."""

    def __init__(self) -> None:
        self._pending: list[ConfigMismatch] = []

    def put(self, mismatch: ConfigMismatch) -> None:
        """Add one mismatch."""
        self._pending.append(mismatch)

    def take_all(self) -> list[ConfigMismatch]:
        """Return all mismatches and clear the queue."""
        pending, self._pending = self._pending, []
        return pending


class ConfigPropagator:
    """Passes stamps of peers to the configuration and a new bundle to its users.

    The links to owners and the snapshots that backend servers hold are obtained
    before the instance reports that it is ready: on a busy host the first queries
    would spend their time limits on them.
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
        """Whether links and snapshots for the first queries have been obtained."""
        return self._prepared

    async def __aenter__(self) -> Self:
        await self._tasks.spawn(self._report_mismatches)
        await self._tasks.spawn(self._apply_config)
        return self

    async def __aexit__(self, *reason: object) -> None:
        await self._tasks.cancel_remaining()

    async def _report_mismatches(self) -> None:
        while True:
            await sleep(_CHECK_INTERVAL)
            for mismatch in self._mismatches.take_all():
                stamp = Stamp(mismatch.revision, mismatch.digest)
                await self._config.on_peer_stamp(mismatch.peer.name, stamp)
            await self._config.on_fleet_size(self._membership.membership.fleet_size)

    async def _apply_config(self) -> None:
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
            services = tuple(bundle.services.values())[:MAX_PREPARED_SERVICES]
            async with ignore_after(PREPARE_TIMEOUT):
                await self._holdings.refresh(services)
            self._prepared = True
