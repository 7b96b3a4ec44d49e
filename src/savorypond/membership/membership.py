"""Membership by probes between peers, started from the platform's lagging list.

The protocol is SWIM (Das, Gupta and Motivala, 2002) with suspicion and
incarnations, and the local health multiplier of Lifeguard (Dadgar, Phillips and
Currey, 2017). The platform's list introduces peers and says that one is
leaving; it neither removes a peer that answers nor keeps one that does not.
"""

from collections.abc import Sequence
from random import Random

from savorypond.membership.data_centres import DataCentres
from savorypond.membership.dissemination import Dissemination
from savorypond.membership.local_member import LocalMember
from savorypond.membership.member_states import MemberStates
from savorypond.membership.member_table import Member, MemberTable
from savorypond.membership.message_builder import MessageBuilder
from savorypond.membership.probe_targets import ProbeTargets
from savorypond.membership.probes import Probe, Probes, Relays
from savorypond.membership.settings import MemberAction, MembershipSettings
from savorypond.membership.wire import (
    Ack,
    Leave,
    MemberUpdate,
    Packet,
    Ping,
    PingReq,
)
from savorypond.model import Address, Instance, InstanceState

HINT_ROUNDS = 10  # probe intervals for which peers are told of a lost data centre
RELAY_ROUNDS = 2  # probe intervals that a probe made for another may take


class Membership:
    """One instance's belief about its peers; each event returns what to do.

    :param local_instance: this instance; its incarnation is the wall clock's
        nanoseconds at its start, since an instance keeps nothing.
    :param now: monotonic seconds, as in each event.
    """

    def __init__(
        self,
        *,
        local_instance: Instance,
        now: float,
        rng: Random,
        settings: MembershipSettings | None = None,
    ) -> None:
        self._settings = settings = settings or MembershipSettings()
        self._last_tick = now
        self._joining_since = now
        self._next_probe = now
        self._list_seen = False
        self._live: tuple[Instance, ...] = ()
        self._live_version = -1
        self._own = LocalMember(local_instance=local_instance)
        self._table = MemberTable()
        self._dissemination = Dissemination()
        self._targets = ProbeTargets(
            table=self._table,
            data_centre=local_instance.data_centre,
            rng=rng,
            revive_delay=settings.revive_interval,
            revive_delay_max=settings.revive_interval_max,
        )
        self._probes = Probes(
            timeout=settings.probe_timeout, interval=settings.probe_interval
        )
        self._relays = Relays(
            probes=self._probes, timeout=RELAY_ROUNDS * settings.probe_interval
        )
        self._data_centres = DataCentres(
            rng=rng,
            retry_delay=settings.revive_interval,
            retry_delay_max=settings.revive_interval_max,
            hint_time=HINT_ROUNDS * settings.probe_interval,
        )
        self._beliefs = MemberStates(
            own=self._own,
            table=self._table,
            targets=self._targets,
            probes=self._probes,
            dissemination=self._dissemination,
            settings=settings,
        )
        self._messages = MessageBuilder(
            own=self._own, table=self._table, dissemination=self._dissemination
        )
        self._dissemination.add(self._own.update)

    @property
    def local_instance(self) -> Instance:
        """This instance."""
        return self._own.instance

    @property
    def version(self) -> int:
        """A number that rises whenever the set of usable peers changes."""
        return self._table.version + self._own.version + self._data_centres.version

    @property
    def members(self) -> tuple[Member, ...]:
        """All peers heard of and not forgotten, in any state, by name."""
        return tuple(sorted(self._table, key=_member_name))

    @property
    def fleet_size(self) -> int:
        """Instances heard of, this one included, but for those that left."""
        return 1 + self._table.staying

    @property
    def unreachable(self) -> frozenset[str]:
        """Data centres from which nothing is heard."""
        return self._data_centres.unreachable

    @property
    def leaving(self) -> bool:
        """Whether this instance has said that it is leaving."""
        return self._own.leaving

    @property
    def local_health_score(self) -> int:
        """Lifeguard's local health score: 0 for an instance that keeps pace."""
        return self._probes.local_health_score

    def live(self) -> tuple[Instance, ...]:
        """Return the instances that may own work, by name.

        This instance is among them unless it is leaving or may not own yet.
        """
        if self._live_version != self.version:
            self._live = self._find_live()
            self._live_version = self.version
        return self._live

    def may_own(self, now: float) -> bool:
        """Tell whether this instance may own work.

        It may not from its start or a pause until a peer has answered or
        ``own_after`` has passed, nor while a pause is unnoticed, nor once it
        is leaving.
        """
        paused = now - self._last_tick > self._settings.pause_gap
        return self._own.may_own and not paused

    def set_config(self, *, revision: int, digest: int) -> None:
        """Set the configuration state that pings and acks carry from now on."""
        self._messages.set_config(revision=revision, digest=digest)

    def tick(self, now: float) -> list[MemberAction]:
        """Do what has fallen due; call it several times per probe interval."""
        gap = now - self._last_tick
        if gap > self._settings.pause_gap:
            return self.resumed(gap, now)
        if gap > self._settings.probe_interval:
            self._probes.slow_down()
        self._last_tick = now
        self._join_if_waited(now)
        for probe in self._probes.failed(now):
            self._judge(probe, now)
        self._beliefs.end_suspicions(now)
        actions = self._ask_others(now)
        if now >= self._next_probe:
            actions += self._start_round(now)
        return actions

    def received(
        self, packet: Packet, sender: Address, now: float
    ) -> list[MemberAction]:
        """Take a packet that arrived from ``sender``; return the answers."""
        origin = packet.sender
        if origin.name == self._own.update.name:
            return []
        message = packet.message
        corrections = self._beliefs.hear(message.updates, now)
        self._beliefs.hear((origin,), now)
        self._hear_directly(origin.name, now)
        match message:
            case Ping():
                self._take_hints(message, now)
                return self._answer(message, origin, corrections, now)
            case PingReq():
                return self._relay(message, origin, now)
            case Ack():
                self._take_hints(message, now)
                return self._acknowledged(message, origin)
            case Leave():
                return []

    def list_received(
        self, instances: Sequence[Instance], now: float
    ) -> list[MemberAction]:
        """Take the platform's list, which lags by minutes."""
        self._list_seen = True
        self._beliefs.introduce(instances, now)
        return []

    def resumed(self, gap: float, now: float) -> list[MemberAction]:
        """Start anew after a pause of ``gap`` seconds, under a new incarnation.

        Probes and suspicions from before the pause are void: whoever was slept
        through had no chance to answer.
        """
        self._last_tick = now
        self._joining_since = now
        self._probes.clear()
        self._own.renew()
        self._dissemination.add(self._own.update)
        self._beliefs.restart_suspicions(now)
        return self._start_round(now)

    def leave(self, now: float) -> list[MemberAction]:
        """Say that this instance is leaving; it goes on answering probes."""
        self._own.leave()
        self._dissemination.add(self._own.update)
        told = self._targets.sample(self._settings.leave_fanout)
        return [self._messages.leave(member) for member in told]

    def _find_live(self) -> tuple[Instance, ...]:
        lost = self._data_centres.unreachable
        found = [
            member.instance
            for member in self._table
            if member.usable and member.data_centre not in lost
        ]
        if self._own.may_own:
            found.append(self._own.instance)
        return tuple(sorted(found, key=_instance_name))

    def _join_if_waited(self, now: float) -> None:
        waited = now - self._joining_since >= self._settings.own_after
        alone = self._list_seen and not len(self._table)
        if waited or alone:
            self._own.join()

    def _hear_directly(self, name: str, now: float) -> None:
        member = self._table.get(name)
        if member is None:
            return
        member.heard_at = now
        for unanswered in self._data_centres.heard(member.data_centre, now):
            self._beliefs.suspect(unanswered, now)

    def _take_hints(self, message: Ping | Ack, now: float) -> None:
        for data_centre in message.look_at:
            if data_centre != self._own.update.data_centre:
                self._data_centres.hint(data_centre, now)

    def _judge(self, probe: Probe, now: float) -> None:
        """Take it that nobody reached the target of ``probe``."""
        member = self._table.get(probe.target)
        if member is None or not member.usable:
            return
        if member.state is InstanceState.SUSPECT:
            if probe.sent_at >= member.changed_at:
                self._beliefs.confirm(member, now)
            return
        if self._is_far_and_large(member):
            by_itself = self._data_centres.unanswered(
                member.data_centre, member.name, sent_at=probe.sent_at, now=now
            )
            if not by_itself:
                return
        self._beliefs.suspect(probe.target, now)

    def _is_far_and_large(self, member: Member) -> bool:
        if member.data_centre == self._own.update.data_centre:
            return False
        size = len(self._table.in_data_centre(member.data_centre))
        return size >= self._settings.summary_size

    def _start_round(self, now: float) -> list[MemberAction]:
        self._next_probe += self._settings.probe_interval
        if self._next_probe <= now:
            self._next_probe = now + self._settings.probe_interval
        self._beliefs.forget_old(now)
        hints = self._data_centres.hints(now)
        catching_up = not self._own.joined or self._data_centres.regained(now)
        actions: list[MemberAction] = []
        for member in self._to_probe(now):
            number = self._probes.start(member.name, now).number
            ping = self._messages.ping(
                member, number=number, catching_up=catching_up, look_at=hints
            )
            actions.append(ping)
        return actions

    def _to_probe(self, now: float) -> list[Member]:
        if not self._own.joined:
            return self._targets.sample(self._settings.join_fanout)
        chosen = self._targets.next(without=self._data_centres.unreachable)
        chosen += self._targets.suspect()
        for data_centre in self._data_centres.to_probe(now):
            chosen += self._targets.any_in(data_centre)
        chosen += self._targets.revival(now)
        return list({member.name: member for member in chosen}.values())

    def _ask_others(self, now: float) -> list[MemberAction]:
        actions: list[MemberAction] = []
        for probe in self._probes.overdue(now):
            count = self._settings.indirect_probes
            for helper in self._targets.sample(count, without=probe.target):
                request = self._messages.ping_request(
                    helper, number=probe.number, target=probe.target
                )
                actions.append(request)
        return actions

    def _answer(
        self,
        ping: Ping,
        origin: MemberUpdate,
        corrections: tuple[MemberUpdate, ...],
        now: float,
    ) -> list[MemberAction]:
        if ping.target != self._own.update.name:
            return []
        answer = self._messages.answer(
            ping,
            origin,
            corrections=corrections,
            look_at=self._data_centres.hints(now),
        )
        return [answer, *self._messages.config_of(ping, origin)]

    def _relay(
        self, request: PingReq, origin: MemberUpdate, now: float
    ) -> list[MemberAction]:
        target = self._table.get(request.target)
        if target is None:
            return []
        number = self._relays.start(requester=origin.address, request=request, now=now)
        if number is None:
            return []
        return [self._messages.ping(target, number=number)]

    def _acknowledged(self, ack: Ack, origin: MemberUpdate) -> list[MemberAction]:
        if self._probes.succeed(ack.number, ack.subject) is not None:
            self._own.join()
        actions: list[MemberAction] = [*self._messages.config_of(ack, origin)]
        relay = self._relays.finish(ack.number, ack.subject)
        subject = self._table.get(ack.subject)
        if relay is not None and subject is not None:
            passed = self._messages.pass_on(
                relay.requester, number=relay.number, subject=subject
            )
            actions.append(passed)
        return actions


def _member_name(member: Member) -> str:
    return member.name


def _instance_name(instance: Instance) -> str:
    return instance.name
