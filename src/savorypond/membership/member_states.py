"""What an instance comes to believe from updates, lists, silence and time."""

from collections.abc import Sequence
from math import log10

from msgspec.structs import replace

from savorypond.membership.dissemination import Dissemination
from savorypond.membership.local_member import LocalMember
from savorypond.membership.member_table import Member, MemberTable
from savorypond.membership.probe_targets import ProbeTargets
from savorypond.membership.probes import Probes
from savorypond.membership.settings import MembershipSettings
from savorypond.membership.wire import MemberUpdate
from savorypond.model import Instance, InstanceState

UNKNOWN_INCARNATION = 0  # of a peer that only the platform's list has named


class MemberStates:
    """Keeps the member table, and passes on whatever changes it."""

    def __init__(
        self,
        *,
        own: LocalMember,
        table: MemberTable,
        targets: ProbeTargets,
        probes: Probes,
        dissemination: Dissemination,
        settings: MembershipSettings,
    ) -> None:
        self._own = own
        self._table = table
        self._targets = targets
        self._probes = probes
        self._dissemination = dissemination
        self._settings = settings

    def hear(
        self, updates: Sequence[MemberUpdate], now: float
    ) -> tuple[MemberUpdate, ...]:
        """Merge ``updates``; return what overrules those that are outdated."""
        corrections = []
        for update in updates:
            if update.name == self._own.update.name:
                self._hear_of_myself(update)
                continue
            if self.merge(update, now):
                continue
            known = self._table.get(update.name)
            if known is not None and known.update.precedence > update.precedence:
                corrections.append(known.update)
        return tuple(corrections)

    def merge(self, update: MemberUpdate, now: float) -> bool:
        """Take ``update`` about a peer and pass it on; tell if it was news."""
        known = self._table.get(update.name)
        was_gone = known is not None and not known.usable
        confirms_list = known is not None and _confirms_list(known, update)
        member = self._table.merge(update, now=now)
        if member is None:
            return False
        if known is None:
            self._targets.introduce(member)
        if was_gone and member.usable:
            self._targets.hurry_revival(now)
        if update.state is InstanceState.SUSPECT:
            self._start_suspicion(member, now)
        if not confirms_list:
            self._dissemination.add(update)
        return True

    def introduce(self, instances: Sequence[Instance], now: float) -> None:
        """Take the platform's list: it adds peers and marks leaving ones."""
        for member in self._table:
            member.listed = False
        for instance in instances:
            if instance.name != self._own.update.name:
                self._introduce(instance, now)

    def suspect(self, name: str, now: float) -> None:
        """Suspect the peer ``name``, and let it deny that for a while."""
        member = self._table.get(name)
        if member is not None and member.update.state is InstanceState.LIVE:
            self.merge(replace(member.update, state=InstanceState.SUSPECT), now)

    def confirm(self, member: Member, now: float) -> None:
        """Count a vain probe of a suspect; end the suspicion after enough.

        An instance that lags itself needs more of them.
        """
        member.vain_probes += 1
        enough = self._settings.confirming_probes * (
            1 + self._probes.local_health_score
        )
        if member.vain_probes >= enough:
            member.suspect_until = now

    def end_suspicions(self, now: float) -> None:
        """Take those for dead that have not denied a suspicion in time."""
        for member in self._table.suspects:
            if now >= member.suspect_until:
                self.merge(replace(member.update, state=InstanceState.DEAD), now)

    def restart_suspicions(self, now: float) -> None:
        """Give all suspects their full time again."""
        for member in self._table.suspects:
            self._start_suspicion(member, now)

    def forget_old(self, now: float) -> None:
        """Drop those long gone that the platform does not list any more."""
        for member in self._table.gone:
            old = now - member.changed_at > self._settings.forget_after
            if old and not member.listed:
                self._table.forget(member)
                self._targets.remove(member)

    def _hear_of_myself(self, update: MemberUpdate) -> None:
        if self._own.deny(update):
            self._probes.slow_down()
            self._dissemination.add(self._own.update)

    def _introduce(self, instance: Instance, now: float) -> None:
        member = self._table.get(instance.name)
        if member is None:
            member = self._table.merge(_listed_update(instance), now=now)
            if member is None:
                return
            self._targets.introduce(member)
        leaving = instance.state is InstanceState.LEAVING
        self._table.mark_listed(member, leaving=leaving)

    def _start_suspicion(self, member: Member, now: float) -> None:
        member.vain_probes = 0
        member.suspect_until = now + self._suspicion_time()

    def _suspicion_time(self) -> float:
        scale = max(1.0, log10(len(self._table) + 1))
        rounds = self._settings.suspicion_rounds * (1 + self._probes.local_health_score)
        return rounds * scale * self._settings.probe_interval


def _confirms_list(member: Member, update: MemberUpdate) -> bool:
    """Tell whether ``update`` says only what the platform's list says to all.

    It is not passed on, so that a fleet that starts at once is quiet.
    """
    unknown = member.update.incarnation == UNKNOWN_INCARNATION
    live = member.usable and update.state is InstanceState.LIVE
    return unknown and live and member.address == update.address


def _listed_update(instance: Instance) -> MemberUpdate:
    """Return an update that any word of the instance itself overrules."""
    return MemberUpdate(
        name=instance.name,
        data_centre=instance.data_centre,
        host=instance.peer_address.host,
        port=instance.peer_address.port,
        incarnation=UNKNOWN_INCARNATION,
        refutation=0,
        state=InstanceState.LIVE,
    )
