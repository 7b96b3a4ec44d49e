"""How many connections and slots of a backend server one instance may use."""

from dataclasses import dataclass
from enum import StrEnum

from savorypond.model import ServerLimits

GENERATIONS = 2  # fleets that coexist while a whole fleet is replaced
MAX_SIDES = 3  # parts of a split fleet, each with owner and backup, in the cap


class Role(StrEnum):
    """What an instance is for one service."""

    OWNER = "owner"
    BACKUP = "backup"
    DIRECT = "direct"


@dataclass(frozen=True, slots=True, kw_only=True)
class Fleet:
    """How much of the fleet an instance sees.

    :param size: instances heard of, this one included, but for those that left.
    :param reached: those of them in the view, from 1 to ``size``.
    """

    size: int
    reached: int


def connection_share(limits: ServerLimits, role: Role, fleet: Fleet) -> int:
    """Return the connections that one instance may open to one server.

    The sum stays within the server's cap while a whole fleet is replaced, and
    while it is split besides: each side's owner gets the part of the cap that
    its side is of the fleet. A fleet small enough for it keeps one connection
    for each instance (then the number of sides does not matter); a larger one
    keeps them for the owner and backup of up to ``MAX_SIDES`` sides, and the
    share of the others is 0.
    """
    direct = has_direct_reserve(limits, fleet.size)
    if role is Role.DIRECT:
        return 1 if direct else 0
    reserved = fleet.size if direct else 2 * MAX_SIDES
    extra = max(0, limits.connections // GENERATIONS - reserved)
    backup_extra = min(limits.slots - 1, extra // 2)
    if role is Role.OWNER:
        return 1 + (extra - backup_extra) * fleet.reached // fleet.size
    return 1 + backup_extra * fleet.reached // fleet.size


def has_direct_reserve(limits: ServerLimits, fleet_size: int) -> bool:
    """Tell whether each instance may keep a connection to each server.

    Owner and backup must still be able to fill all slots.
    """
    needed = fleet_size + 2 * (limits.slots - 1)
    return GENERATIONS * needed <= limits.connections


def equal_share(limits: ServerLimits, fleet: Fleet) -> int:
    """Return the connections per instance where all instances are alike."""
    return limits.connections // (GENERATIONS * fleet.size)


def slot_share(limits: ServerLimits, role: Role, fleet: Fleet) -> float:
    """Return the share of one server's slots that an instance may fill.

    It is all that its connections reach: all slots for the owner, and for the
    backup and the others a reserve for when the owner does not answer.
    """
    return min(1.0, connection_share(limits, role, fleet) / limits.slots)
