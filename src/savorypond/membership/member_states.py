"""Member states, derived from updates, the platform's list and failed probes."""

from collections.abc import Sequence
from math import log10

from msgspec.structs import replace

from savorypond.membership.dissemination import Dissemination
from savorypond.membership.local_member import LocalMember
from savorypond.membership.member_table import UNKNOWN_INCARNATION, Member, MemberTable
from savorypond.membership.probe_targets import ProbeTargets
from savorypond.membership.probes import Probes
from savorypond.membership.settings import MembershipSettings
from savorypond.membership.wire import MemberUpdate
from savorypond.model import Instance, InstanceState


class MemberStates:
    """Updates the member table and disseminates its changes."""

    def __init__(
        self,
        *,
        local: LocalMember,
        table: MemberTable,
        targets: ProbeTargets,
        probes: Probes,
        dissemination: Dissemination,
        settings: MembershipSettings,
    ) -> None:
        self._local = local
        self._table = table
        self._targets = targets
        self._probes = probes
        self._dissemination = dissemination
        self._settings = settings

    def apply(
        self, updates: Sequence[MemberUpdate], now: float
    ) -> tuple[MemberUpdate, ...]:
        """Merge ``updates``; return the known updates that override outdated ones."""
        corrections = []
        for update in updates:
            if update.name == self._local.update.name:
                self._handle_claim_about_self(update)
                continue
            if self.merge(update, now):
                continue
            known = self._table.get(update.name)
            if known is not None and known.update.precedence > update.precedence:
                corrections.append(known.update)
        return tuple(corrections)

    def merge(self, update: MemberUpdate, now: float) -> bool:
        """Merge and disseminate ``update`` of a peer; return whether it was new."""
        known = self._table.get(update.name)
        was_departed = known is not None and not known.usable
        matches_list = known is not None and _matches_list(known, update)
        member = self._table.merge(update, now=now)
        if member is None:
            return False
        if known is None:
            self._targets.add_member(member)
        if was_departed and member.usable:
            self._targets.reset_dead_probe_delay(now)
        if update.state is InstanceState.SUSPECT:
            self._start_suspicion(member, now)
        if not matches_list:
            self._dissemination.add(update)
        return True

    def apply_instance_list(self, instances: Sequence[Instance], now: float) -> None:
        """Add the peers that the platform lists, and mark those it lists as leaving."""
        for member in self._table:
            member.listed = False
        for instance in instances:
            if instance.name != self._local.update.name:
                self._add_listed(instance, now)

    def suspect(self, name: str, now: float) -> None:
        """Suspect the peer ``name``, which can refute this for a limited time."""
        member = self._table.get(name)
        if member is not None and member.update.state is InstanceState.LIVE:
            self.merge(replace(member.update, state=InstanceState.SUSPECT), now)

    def record_failed_probe(self, member: Member, now: float) -> None:
        """Count a failed probe of a suspect; end its suspicion after enough of them.

        The number required grows with the local health score, because an instance
        that lags itself misses acks.
        """
        member.failed_probes += 1
        required = self._settings.confirming_probes * (
            1 + self._probes.local_health_score
        )
        if member.failed_probes >= required:
            member.suspect_until = now

    def expire_suspicions(self, now: float) -> None:
        """Declare dead the suspects that have not refuted their suspicion in time."""
        for member in self._table.suspects:
            if now >= member.suspect_until:
                self.merge(replace(member.update, state=InstanceState.DEAD), now)

    def restart_suspicions(self, now: float) -> None:
        """Restart the suspicion timeout of all suspects."""
        for member in self._table.suspects:
            self._start_suspicion(member, now)

    def forget_expired(self, now: float) -> None:
        """Drop peers that departed long ago and that the platform no longer lists."""
        for member in self._table.departed:
            expired = now - member.changed_at > self._settings.forget_after
            if expired and not member.listed:
                self._table.forget(member)
                self._targets.remove_member(member)

    def _handle_claim_about_self(self, update: MemberUpdate) -> None:
        if self._local.refute(update):
            self._probes.record_lag()
            self._dissemination.add(self._local.update)

    def _add_listed(self, instance: Instance, now: float) -> None:
        member = self._table.get(instance.name)
        if member is None:
            member = self._table.merge(_listed_update(instance), now=now)
            if member is None:
                return
            self._targets.add_member(member)
        leaving = instance.state is InstanceState.LEAVING
        self._table.mark_listed(member, leaving=leaving)

    def _start_suspicion(self, member: Member, now: float) -> None:
        member.failed_probes = 0
        member.suspect_until = now + self._suspicion_timeout()

    def _suspicion_timeout(self) -> float:
        scale = max(1.0, log10(len(self._table) + 1))
        rounds = self._settings.suspicion_rounds * (1 + self._probes.local_health_score)
        return rounds * scale * self._settings.probe_interval


def _matches_list(member: Member, update: MemberUpdate) -> bool:
    """Return whether ``update`` adds nothing to the platform's list.

    Such an update is not disseminated, which saves traffic when a whole fleet
    starts at once.
    """
    unknown = member.update.incarnation == UNKNOWN_INCARNATION
    live = member.usable and update.state is InstanceState.LIVE
    return unknown and live and member.address == update.address


def _listed_update(instance: Instance) -> MemberUpdate:
    """Return an update that any update from the instance itself overrides."""
    return MemberUpdate(
        name=instance.name,
        data_centre=instance.data_centre,
        host=instance.peer_address.host,
        port=instance.peer_address.port,
        incarnation=UNKNOWN_INCARNATION,
        refutation=0,
        state=InstanceState.LIVE,
    )
