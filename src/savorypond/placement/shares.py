"""The share of a backend server's connections and slots for each instance."""

from dataclasses import dataclass
from enum import StrEnum

from savorypond.model import ServerLimits

FLEET_GENERATIONS = 2  # fleets that coexist while the whole fleet is replaced
MAX_PARTITIONS = 3  # network partitions within the cap, each with owner and backup


class Role(StrEnum):
    """The role of an instance for one service."""

    OWNER = "owner"
    BACKUP = "backup"
    DIRECT = "direct"


@dataclass(frozen=True, slots=True, kw_only=True)
class Fleet:
    """The part of the fleet that is visible to an instance.

    :param size: number of known instances including this one, except those that
        left.
    :param visible: number of those that are in the live view, from 1 to ``size``.
    """

    size: int
    visible: int


def connection_share(limits: ServerLimits, role: Role, fleet: Fleet) -> int:
    """Return the number of connections that one instance may open to one server.

    The sum stays within the server's cap while the whole fleet is replaced, even
    if the fleet is partitioned at the same time: the owner in each partition
    gets a part of the cap in proportion to the size of its partition. A small
    fleet reserves one connection for each instance, so the number of partitions
    does not matter. A larger fleet reserves connections only for the owner and
    backup of up to ``MAX_PARTITIONS`` partitions, and all other instances get 0.
    """
    direct = has_direct_reserve(limits, fleet.size)
    if role is Role.DIRECT:
        return 1 if direct else 0
    reserved = fleet.size if direct else 2 * MAX_PARTITIONS
    extra = max(0, limits.connections // FLEET_GENERATIONS - reserved)
    backup_extra = min(limits.slots - 1, extra // 2)
    if role is Role.OWNER:
        return 1 + (extra - backup_extra) * fleet.visible // fleet.size
    return 1 + backup_extra * fleet.visible // fleet.size


def has_direct_reserve(limits: ServerLimits, fleet_size: int) -> bool:
    """Tell whether every instance may keep one connection to each server.

    The remaining connections must suffice for the owner and the backup to fill
    all slots.
    """
    needed = fleet_size + 2 * (limits.slots - 1)
    return FLEET_GENERATIONS * needed <= limits.connections


def equal_share(limits: ServerLimits, fleet: Fleet) -> int:
    """Return the connections per instance if all instances have equal roles."""
    return limits.connections // (FLEET_GENERATIONS * fleet.size)


def slot_share(limits: ServerLimits, role: Role, fleet: Fleet) -> float:
    """Return the share of one server's slots that an instance may fill.

    The share is limited by the connections of the instance: all slots for the
    owner, and for the others a reserve in case the owner does not answer.
    """
    return min(1.0, connection_share(limits, role, fleet) / limits.slots)
