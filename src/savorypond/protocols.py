"""Protocols of the replaceable policies and of the state that filters read."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from savorypond.model import BackendServer, Bundle, Instance, Pin, Service


class Purpose(StrEnum):
    """Why an attempt is made."""

    FIRST = "first"
    RETRY = "retry"
    HEDGE = "hedge"


class ReplicaChooser(Protocol):
    """Chooses the replica for an attempt."""

    def choose(
        self,
        *,
        service: Service,
        pin: Pin,
        tried: frozenset[str],
        now: float,
        purpose: Purpose,
    ) -> BackendServer | None:
        """Return a usable replica that is not in ``tried``, or None.

        Never returns an overloaded or ejected replica for a hedge.
        """


class ExtraAttemptBudget(Protocol):
    """Limits the sum of hedges and retries to a share of the first attempts."""

    def record_first(self, *, server: str, now: float) -> None:
        """Record a first attempt at ``server``."""

    def try_spend(self, *, server: str, now: float) -> bool:
        """Spend one extra attempt at ``server``; return whether there was one."""


class HedgePolicy(Protocol):
    """Decides how long to wait before a hedge."""

    def delay(self, *, service: str) -> float | None:
        """Return seconds after the dispatch, or None to start no hedge."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """The instances that send the requests of a service to its backend servers.

    :param owner: the owner, or None if this instance sends them itself.
    :param backup: the instance to use when the owner is slow, or None.
    """

    service: Service
    owner: Instance | None
    backup: Instance | None


class Placement(Protocol):
    """Decides which instance sends the requests of each service."""

    def routes(self, *, services: Sequence[Service], now: float) -> tuple[Route, ...]:
        """Return one route for each of ``services``, in the same order."""

    def share(self, *, service: Service, server: BackendServer) -> float:
        """Return the share of the slots of ``server`` that this instance may use."""


class MembershipView(Protocol):
    """The fleet as this instance sees it."""

    @property
    def local_instance(self) -> Instance:
        """This instance."""

    @property
    def version(self) -> int:
        """A number that increases whenever the set of usable peers changes."""

    def live(self) -> tuple[Instance, ...]:
        """Return the instances that may own services, this one too, by name."""


class ConfigView(Protocol):
    """The configuration in force at this instance."""

    @property
    def bundle(self) -> Bundle | None:
        """The accepted bundle with the highest revision, or None before the first."""
