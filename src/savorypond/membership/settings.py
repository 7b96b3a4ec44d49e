"""Settings of membership, and the actions that it returns."""

from dataclasses import dataclass

from savorypond.membership.wire import Packet
from savorypond.model import Address, Instance


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipSettings:
    """Timing and fanout of the protocol; all times in seconds.

    :param probe_interval: time between probe rounds.
    :param probe_timeout: time until an unanswered probe is repeated indirectly.
    :param indirect_probes: peers asked to probe the target of such a probe.
    :param suspicion_rounds: time that a suspect has to refute its suspicion, in
        probe intervals times log10 of the fleet size.
    :param confirming_probes: failed probes of a suspect, each with its indirect
        ones, that end a suspicion early.
    :param dead_probe_interval: initial time between probes of dead members.
    :param dead_probe_interval_max: upper bound of that time, which doubles with
        every failure.
    :param forget_after: time from a death or leave until the member is removed;
        longer than the lag of the platform's list.
    :param join_fanout: members pinged per interval until one has answered.
    :param join_timeout: time without any answer after which an instance that has
        started or resumed may own work nevertheless.
    :param pause_threshold: time between two ticks that counts as a pause.
    :param leave_fanout: members notified directly of a leave.
    :param data_centre_min_size: members from which on a silent data centre is
        treated as unreachable as a whole.
    """

    probe_interval: float = 0.5
    probe_timeout: float = 0.15
    indirect_probes: int = 3
    suspicion_rounds: float = 3.0
    confirming_probes: int = 2
    dead_probe_interval: float = 1.0
    dead_probe_interval_max: float = 8.0
    forget_after: float = 900.0
    join_fanout: int = 3
    join_timeout: float = 5.0
    pause_threshold: float = 2.0
    leave_fanout: int = 8
    data_centre_min_size: int = 8


@dataclass(frozen=True, slots=True, kw_only=True)
class Send:
    """Action: send ``packet`` to ``address``."""

    address: Address
    packet: Packet


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigMismatch:
    """Action: report that the configuration of ``peer`` differs from the local one."""

    peer: Instance
    revision: int
    digest: int


MemberAction = Send | ConfigMismatch
