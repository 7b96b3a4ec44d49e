"""Membership through probes between peers, bootstrapped from the platform's list.

The protocol is SWIM (Das, Gupta and Motivala, 2002) with suspicion and
incarnations, and the local health multiplier of Lifeguard (Dadgar, Phillips and
Currey, 2017). The platform's list, which lags, only adds peers and marks them as
leaving: it neither removes a peer that answers nor keeps one that does not.
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
    Sync,
)
from savorypond.model import Address, Instance, InstanceState

HINT_ROUNDS = 10  # probe intervals for which a reachability change is announced
# A datagram holds few updates: from probes alone, a large fleet that starts at once
# learns of all its members only after tens of seconds.
SYNC_TIME = 4.0  # seconds after a start or a pause in which members are asked for
RELAY_ROUNDS = 2  # probe intervals until an indirect probe for a peer times out


class Membership:
    """The view that one instance has of its peers.

    Performs no I/O: each event handler returns the actions to take.

    :param local_instance: this instance; its incarnation is the wall clock in
        nanoseconds at its start, since instances persist no state.
    :param now: monotonic seconds, as in every event handler.
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
        self._last_tick_at = now
        self._joining_since = now
        self._sync_until = now + SYNC_TIME
        self._data_centre = local_instance.data_centre
        self._next_round_at = now
        self._list_received = False
        self._live: tuple[Instance, ...] = ()
        self._live_version = -1
        self._local = LocalMember(local_instance=local_instance)
        self._table = MemberTable()
        self._dissemination = Dissemination()
        self._targets = ProbeTargets(
            table=self._table,
            data_centre=local_instance.data_centre,
            rng=rng,
            dead_probe_delay=settings.dead_probe_interval,
            dead_probe_delay_max=settings.dead_probe_interval_max,
        )
        self._probes = Probes(
            timeout=settings.probe_timeout, interval=settings.probe_interval
        )
        self._relays = Relays(
            probes=self._probes, timeout=RELAY_ROUNDS * settings.probe_interval
        )
        self._data_centres = DataCentres(
            rng=rng,
            retry_delay=settings.dead_probe_interval,
            retry_delay_max=settings.dead_probe_interval_max,
            hint_time=HINT_ROUNDS * settings.probe_interval,
        )
        self._states = MemberStates(
            local=self._local,
            table=self._table,
            targets=self._targets,
            probes=self._probes,
            dissemination=self._dissemination,
            settings=settings,
        )
        self._messages = MessageBuilder(
            local=self._local, table=self._table, dissemination=self._dissemination
        )
        self._dissemination.add(self._local.update)

    @property
    def local_instance(self) -> Instance:
        """This instance."""
        return self._local.instance

    @property
    def version(self) -> int:
        """A number that increases whenever the set of usable peers changes."""
        return self._table.version + self._local.version + self._data_centres.version

    @property
    def members(self) -> tuple[Member, ...]:
        """All known peers in any state, sorted by name."""
        return tuple(sorted(self._table, key=_member_name))

    @property
    def fleet_size(self) -> int:
        """Number of known instances, this one included, without those leaving."""
        return 1 + self._table.non_leaving_count

    @property
    def confirmed_size(self) -> int:
        """The fleet size without listed instances that are dead and never answered.

        Other dead instances are included: they may only be cut off from this one. So
        may all those that are listed, as long as no instance at all has answered.
        """
        unconfirmed = self._table.unconfirmed_dead_count
        if unconfirmed == len(self._table):
            return self.fleet_size
        return self.fleet_size - unconfirmed

    @property
    def unreachable(self) -> frozenset[str]:
        """Data centres from which no datagram arrives."""
        return self._data_centres.unreachable

    @property
    def leaving(self) -> bool:
        """Whether this instance has announced that it is leaving."""
        return self._local.leaving

    @property
    def local_health_score(self) -> int:
        """Lifeguard's local health score; 0 for a healthy instance."""
        return self._probes.local_health_score

    def live(self) -> tuple[Instance, ...]:
        """Return the instances that may own work, sorted by name.

        This instance is included unless it is leaving or has not joined yet.
        """
        if self._live_version != self.version:
            self._live = self._compute_live()
            self._live_version = self.version
        return self._live

    def may_own(self, now: float) -> bool:
        """Return whether this instance may own work.

        After a start or a pause it may not until a peer has answered, the
        platform's list has been read while no peer is known, or ``join_timeout``
        has passed. It may not either while a pause has yet to be handled, or once
        it is leaving.
        """
        paused = now - self._last_tick_at > self._settings.pause_threshold
        return self._local.may_own and not paused

    def set_config(self, *, revision: int, digest: int) -> None:
        """Set the configuration state that pings and acks carry."""
        self._messages.set_config(revision=revision, digest=digest)

    def tick(self, now: float) -> list[MemberAction]:
        """Run the due timers; call several times per probe interval."""
        gap = now - self._last_tick_at
        if gap > self._settings.pause_threshold:
            return self.resumed(gap, now)
        if gap > self._settings.probe_interval:
            self._probes.record_lag()
        self._last_tick_at = now
        self._join_if_due(now)
        for probe in self._probes.take_failed(now):
            self._handle_failed_probe(probe, now)
        self._states.expire_suspicions(now)
        actions = self._request_indirect_probes(now)
        if now >= self._next_round_at:
            actions += self._start_round(now)
        return actions

    def received(
        self, packet: Packet, sender: Address, now: float
    ) -> list[MemberAction]:
        """Handle a packet from ``sender`` and return the replies."""
        origin = packet.sender
        if origin.name == self._local.update.name:
            return []
        message = packet.message
        corrections = self._states.apply(message.updates, now)
        self._states.apply((origin,), now)
        self._record_contact(origin.name, now)
        match message:
            case Ping():
                self._apply_hints(message, now)
                return self._handle_ping(message, origin, corrections, now)
            case PingReq():
                return self._handle_ping_request(message, origin, now)
            case Ack():
                self._apply_hints(message, now)
                return self._handle_ack(message, origin)
            case Leave() | Sync():
                return []

    def list_received(
        self, instances: Sequence[Instance], now: float
    ) -> list[MemberAction]:
        """Apply the platform's instance list, which lags by minutes."""
        self._list_received = True
        self._states.apply_instance_list(instances, now)
        return []

    def resumed(self, gap: float, now: float) -> list[MemberAction]:
        """Rejoin under a new incarnation after a pause of ``gap`` seconds.

        Probes in flight are dropped and suspicions restarted: peers had no chance
        to answer while this instance was paused.
        """
        self._last_tick_at = now
        self._joining_since = now
        self._sync_until = now + SYNC_TIME
        self._probes.clear()
        self._local.start_new_incarnation()
        self._dissemination.add(self._local.update)
        self._states.restart_suspicions(now)
        return self._start_round(now)

    def leave(self, now: float) -> list[MemberAction]:
        """Announce that this instance is leaving; it still answers probes."""
        self._local.leave()
        self._dissemination.add(self._local.update)
        recipients = self._targets.sample(self._settings.leave_fanout)
        return [self._messages.leave(member) for member in recipients]

    def _compute_live(self) -> tuple[Instance, ...]:
        unreachable = self._data_centres.unreachable
        instances = [
            member.instance
            for member in self._table
            if member.usable and member.data_centre not in unreachable
        ]
        if self._local.may_own:
            instances.append(self._local.instance)
        return tuple(sorted(instances, key=_instance_name))

    def _join_if_due(self, now: float) -> None:
        timed_out = now - self._joining_since >= self._settings.join_timeout
        is_alone = self._list_received and not len(self._table)
        if timed_out or is_alone:
            self._local.join()

    def _record_contact(self, name: str, now: float) -> None:
        member = self._table.get(name)
        if member is None:
            return
        member.heard_at = now
        for unanswered in self._data_centres.heard(member.data_centre, now):
            self._states.suspect(unanswered, now)

    def _apply_hints(self, message: Ping | Ack, now: float) -> None:
        for data_centre in message.look_at:
            if data_centre != self._local.update.data_centre:
                self._data_centres.hint(data_centre, now)

    def _handle_failed_probe(self, probe: Probe, now: float) -> None:
        """Handle a probe that got neither a direct nor a relayed ack."""
        member = self._table.get(probe.target)
        if member is None or not member.usable:
            return
        if member.state is InstanceState.SUSPECT:
            if probe.sent_at >= member.changed_at:
                self._states.record_failed_probe(member, now)
            return
        if self._is_in_large_remote_data_centre(member):
            suspect_member = self._data_centres.probe_failed(
                member.data_centre, member.name, sent_at=probe.sent_at, now=now
            )
            if not suspect_member:
                return
        self._states.suspect(probe.target, now)

    def _is_in_large_remote_data_centre(self, member: Member) -> bool:
        if member.data_centre == self._local.update.data_centre:
            return False
        size = len(self._table.in_data_centre(member.data_centre))
        return size >= self._settings.data_centre_min_size

    def _start_round(self, now: float) -> list[MemberAction]:
        self._next_round_at += self._settings.probe_interval
        if self._next_round_at <= now:
            self._next_round_at = now + self._settings.probe_interval
        self._states.forget_expired(now)
        hints = self._data_centres.hints(now)
        catching_up = (
            not self._local.joined or self._data_centres.recently_reachable_again(now)
        )
        actions: list[MemberAction] = []
        for member in self._select_targets(now):
            number = self._probes.start(member.name, now).number
            syncs = now < self._sync_until and member.data_centre == self._data_centre
            ping = self._messages.ping(
                member, number=number, catching_up=catching_up or syncs, look_at=hints
            )
            actions.append(ping)
        return actions

    def _select_targets(self, now: float) -> list[Member]:
        if not self._local.joined:
            return self._targets.sample(self._settings.join_fanout)
        targets = self._targets.next(exclude=self._data_centres.unreachable)
        targets += self._targets.random_suspect()
        if now < self._sync_until:
            targets += self._targets.random_in(self._data_centre)
        for data_centre in self._data_centres.take_due_for_probe(now):
            targets += self._targets.random_in(data_centre)
        targets += self._targets.next_dead(now)
        return list({member.name: member for member in targets}.values())

    def _request_indirect_probes(self, now: float) -> list[MemberAction]:
        actions: list[MemberAction] = []
        for probe in self._probes.due_for_indirect(now):
            count = self._settings.indirect_probes
            for helper in self._targets.sample(count, exclude=probe.target):
                request = self._messages.ping_request(
                    helper, number=probe.number, target=probe.target
                )
                actions.append(request)
        return actions

    def _handle_ping(
        self,
        ping: Ping,
        origin: MemberUpdate,
        corrections: tuple[MemberUpdate, ...],
        now: float,
    ) -> list[MemberAction]:
        if ping.target != self._local.update.name:
            return []
        ack = self._messages.ack(
            ping,
            origin,
            corrections=corrections,
            look_at=self._data_centres.hints(now),
        )
        actions: list[MemberAction] = [ack]
        if ping.catching_up and origin.data_centre == self._data_centre:
            actions += self._messages.syncs(origin)
        return actions + self._messages.config_mismatches(ping, origin)

    def _handle_ping_request(
        self, request: PingReq, origin: MemberUpdate, now: float
    ) -> list[MemberAction]:
        target = self._table.get(request.target)
        if target is None:
            return []
        number = self._relays.start(requester=origin.address, request=request, now=now)
        if number is None:
            return []
        return [self._messages.ping(target, number=number)]

    def _handle_ack(self, ack: Ack, origin: MemberUpdate) -> list[MemberAction]:
        if self._probes.acknowledge(ack.number, ack.subject) is not None:
            self._local.join()
        actions: list[MemberAction] = [*self._messages.config_mismatches(ack, origin)]
        relay = self._relays.finish(ack.number, ack.subject)
        subject = self._table.get(ack.subject)
        if relay is not None and subject is not None:
            relayed_ack = self._messages.relay_ack(
                relay.requester, number=relay.number, subject=subject
            )
            actions.append(relayed_ack)
        return actions


def _member_name(member: Member) -> str:
    return member.name


def _instance_name(instance: Instance) -> str:
    return instance.name
