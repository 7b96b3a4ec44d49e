"""Composes the datagrams of one instance, with the updates that ride on them."""

from savorypond.membership.dissemination import Dissemination
from savorypond.membership.local_member import LocalMember
from savorypond.membership.member_states import UNKNOWN_INCARNATION
from savorypond.membership.member_table import Member, MemberTable
from savorypond.membership.settings import ConfigMismatch, Send
from savorypond.membership.wire import (
    Ack,
    Leave,
    MemberUpdate,
    Message,
    Packet,
    Ping,
    PingReq,
    update_room,
    update_size,
)
from savorypond.model import Address, InstanceState


class MessageBuilder:
    """Builds messages of this instance and reads the configuration of others."""

    def __init__(
        self, *, own: LocalMember, table: MemberTable, dissemination: Dissemination
    ) -> None:
        self._own = own
        self._table = table
        self._dissemination = dissemination
        self._room = update_room(own.update)
        self._config_revision = 0
        self._config_digest = 0

    def set_config(self, *, revision: int, digest: int) -> None:
        """Set the configuration state that pings and acks carry from now on."""
        self._config_revision = revision
        self._config_digest = digest

    def ping(
        self,
        member: Member,
        *,
        number: int,
        catching_up: bool = False,
        look_at: tuple[str, ...] = (),
    ) -> Send:
        """Ask ``member`` for an answer under ``number``."""
        message = Ping(
            number=number,
            target=member.name,
            catching_up=catching_up,
            config_revision=self._config_revision,
            config_digest=self._config_digest,
            updates=self._updates(_doubts(member)),
            look_at=look_at,
        )
        return self._send(member.address, message)

    def ping_request(self, helper: Member, *, number: int, target: str) -> Send:
        """Ask ``helper`` to ping ``target``."""
        return self._send(helper.address, PingReq(number=number, target=target))

    def answer(
        self,
        ping: Ping,
        origin: MemberUpdate,
        *,
        corrections: tuple[MemberUpdate, ...],
        look_at: tuple[str, ...],
    ) -> Send:
        """Answer ``ping``, telling its sender what is believed about it."""
        sender = self._table.get(origin.name)
        doubts = _doubts(sender) if sender is not None else ()
        updates = self._updates(doubts + corrections)
        if ping.catching_up:
            updates = self._fill_up(updates)
        ack = self._ack(ping.number, self._own.update.name, updates, look_at)
        return self._send(origin.address, ack)

    def pass_on(self, requester: Address, *, number: int, subject: Member) -> Send:
        """Pass the answer of ``subject`` on, with its own latest word."""
        updates = self._updates((subject.update,))
        return self._send(requester, self._ack(number, subject.name, updates))

    def leave(self, member: Member) -> Send:
        """Tell ``member`` that this instance is leaving."""
        return self._send(member.address, Leave(updates=self._updates(())))

    def config_of(
        self, message: Ping | Ack, origin: MemberUpdate
    ) -> list[ConfigMismatch]:
        """Tell whether the configuration of ``origin`` is another one."""
        revision = message.config_revision
        digest = message.config_digest
        if (revision, digest) == (self._config_revision, self._config_digest):
            return []
        peer = origin.to_instance()
        return [ConfigMismatch(peer=peer, revision=revision, digest=digest)]

    def _ack(
        self,
        number: int,
        subject: str,
        updates: tuple[MemberUpdate, ...],
        look_at: tuple[str, ...] = (),
    ) -> Ack:
        return Ack(
            number=number,
            subject=subject,
            config_revision=self._config_revision,
            config_digest=self._config_digest,
            updates=updates,
            look_at=look_at,
        )

    def _updates(self, first: tuple[MemberUpdate, ...]) -> tuple[MemberUpdate, ...]:
        fleet_size = len(self._table) + 1
        return self._dissemination.take(
            first=first, room=self._room, fleet_size=fleet_size
        )

    def _fill_up(self, updates: tuple[MemberUpdate, ...]) -> tuple[MemberUpdate, ...]:
        """Add the latest changes, as many as fit, for one that missed some."""
        chosen = {update.name: update for update in updates}
        room = self._room - sum(update_size(update) for update in updates)
        for member in sorted(self._table, key=_changed_at, reverse=True):
            update = member.update
            if update.name in chosen or update.incarnation == UNKNOWN_INCARNATION:
                continue
            room -= update_size(update)
            if room < 0:
                break
            chosen[update.name] = update
        return tuple(chosen.values())

    def _send(self, address: Address, message: Message) -> Send:
        packet = Packet(sender=self._own.update, message=message)
        return Send(address=address, packet=packet)


def _doubts(member: Member) -> tuple[MemberUpdate, ...]:
    """Return the update that ``member`` must hear in order to deny it."""
    doubted = member.update.state in (InstanceState.SUSPECT, InstanceState.DEAD)
    return (member.update,) if doubted else ()


def _changed_at(member: Member) -> float:
    return member.changed_at
