"""Protocol types for behaviour that varies and for state that filters read."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from savorypond.model import BackendServer, Bundle, Instance, Pin, Service


class Purpose(StrEnum):
    """Why an attempt at a replica is started."""

    FIRST = "first"
    RETRY = "retry"
    HEDGE = "hedge"


class ReplicaChooser(Protocol):
    """Chooses the replica that an attempt goes to."""

    def choose(
        self,
        *,
        service: Service,
        pin: Pin,
        tried: frozenset[str],
        now: float,
        purpose: Purpose,
    ) -> BackendServer | None:
        """Return a usable replica outside ``tried``, or None.

        A hedge is never given a replica that is overloaded or ejected.
        """


class ExtraWorkBudget(Protocol):
    """Limits hedges and retries, together, to a share of first attempts."""

    def record_first(self, *, server: str, now: float) -> None:
        """Count one first attempt at ``server``."""

    def try_spend(self, *, server: str, now: float) -> bool:
        """Take one extra attempt at ``server`` out of the budget if it has one."""


class HedgePolicy(Protocol):
    """Tells how long to wait before a second attempt."""

    def delay(self, *, service: str) -> float | None:
        """Return seconds after dispatch, or None where hedging is off."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Which instance sends the work of one service to its backend servers.

    :param owner: the instance, or None where this one sends it itself.
    :param backup: the instance to ask when the owner is slow, or None.
    """

    service: Service
    owner: Instance | None
    backup: Instance | None


class Placement(Protocol):
    """Decides which instance sends the work of each service."""

    def routes(self, *, services: Sequence[Service], now: float) -> tuple[Route, ...]:
        """Return one route for each of ``services``, in their order."""

    def share(self, *, service: Service, server: BackendServer) -> float:
        """Return the share of the slots of ``server`` this instance may use."""


class MembershipView(Protocol):
    """What this instance believes about its peers."""

    @property
    def local_instance(self) -> Instance:
        """This instance."""

    @property
    def version(self) -> int:
        """A number that rises whenever the set of usable peers changes."""

    def live(self) -> tuple[Instance, ...]:
        """Return the instances that may own work, this one included, by name."""


class ConfigView(Protocol):
    """The configuration in force at this instance."""

    @property
    def bundle(self) -> Bundle | None:
        """The highest accepted bundle, or None before the first."""
