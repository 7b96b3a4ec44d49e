"""How closely instances watch each other, and what membership asks to be done."""

from dataclasses import dataclass

from savorypond.membership.wire import Packet
from savorypond.model import Address, Instance


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipSettings:
    """How closely peers watch each other; all times in seconds.

    :param probe_interval: from one probe to the next.
    :param probe_timeout: from a probe to the requests for indirect ones.
    :param indirect_probes: members asked to probe in this one's place.
    :param suspicion_rounds: probe intervals, times log10 of the fleet's size,
        that a suspect has to deny a suspicion.
    :param confirming_probes: vain probes of a suspect, each with its indirect
        ones, that end a suspicion earlier.
    :param revive_interval: from one probe of a dead member to the next, at first.
    :param revive_interval_max: the same after many vain probes.
    :param forget_after: from a death or leave until the member is forgotten;
        longer than the platform's list lags.
    :param join_fanout: members pinged per interval until one has answered.
    :param own_after: silence of all peers after which an instance that
        started or woke may own work all the same.
    :param pause_gap: time between two ticks that counts as a pause.
    :param leave_fanout: members told directly about a leave.
    :param summary_size: members from which on a data centre may be judged as
        a whole when nothing is heard from it.
    """

    probe_interval: float = 0.5
    probe_timeout: float = 0.15
    indirect_probes: int = 3
    suspicion_rounds: float = 3.0
    confirming_probes: int = 2
    revive_interval: float = 1.0
    revive_interval_max: float = 8.0
    forget_after: float = 900.0
    join_fanout: int = 3
    own_after: float = 5.0
    pause_gap: float = 2.0
    leave_fanout: int = 8
    summary_size: int = 8


@dataclass(frozen=True, slots=True, kw_only=True)
class Send:
    """Send ``packet`` to ``address``."""

    address: Address
    packet: Packet


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigMismatch:
    """``peer`` has another configuration than this instance."""

    peer: Instance
    revision: int
    digest: int


MemberAction = Send | ConfigMismatch
