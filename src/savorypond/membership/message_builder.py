"""Builds the datagrams of this instance, with piggybacked member updates."""

from savorypond.membership.dissemination import Dissemination
from savorypond.membership.local_member import LocalMember
from savorypond.membership.member_table import UNKNOWN_INCARNATION, Member, MemberTable
from savorypond.membership.settings import ConfigMismatch, Send
from savorypond.membership.wire import (
    Ack,
    Leave,
    MemberUpdate,
    Message,
    Packet,
    Ping,
    PingReq,
    Sync,
    update_capacity,
    update_size,
)
from savorypond.model import Address, InstanceState

MAX_SYNCS = 24  # datagrams in answer to one ping; some 300 members


class MessageBuilder:
    """Builds outgoing messages, and compares configurations in incoming ones."""

    def __init__(
        self, *, local: LocalMember, table: MemberTable, dissemination: Dissemination
    ) -> None:
        self._local = local
        self._table = table
        self._dissemination = dissemination
        self._update_capacity = update_capacity(local.update)
        self._config_revision = 0
        self._config_digest = 0

    def set_config(self, *, revision: int, digest: int) -> None:
        """Set the configuration state that pings and acks carry."""
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
        """Return a ping with ``number`` for ``member``."""
        message = Ping(
            number=number,
            target=member.name,
            catching_up=catching_up,
            config_revision=self._config_revision,
            config_digest=self._config_digest,
            updates=self._updates(
                _refutable_updates(member), data_centre=member.data_centre
            ),
            look_at=look_at,
        )
        return self._send(member.address, message)

    def ping_request(self, helper: Member, *, number: int, target: str) -> Send:
        """Return a request that ``helper`` ping ``target``."""
        return self._send(helper.address, PingReq(number=number, target=target))

    def ack(
        self,
        ping: Ping,
        origin: MemberUpdate,
        *,
        corrections: tuple[MemberUpdate, ...],
        look_at: tuple[str, ...],
    ) -> Send:
        """Return the ack of ``ping``, with any suspicion of its sender."""
        sender = self._table.get(origin.name)
        refutable = _refutable_updates(sender) if sender is not None else ()
        updates = self._updates(refutable + corrections, data_centre=origin.data_centre)
        if ping.catching_up:
            updates = self._fill_with_latest(updates)
        ack = self._ack(ping.number, self._local.update.name, updates, look_at)
        return self._send(origin.address, ack)

    def syncs(self, origin: MemberUpdate) -> list[Send]:
        """Return further members for ``origin``, those of its data centre first."""
        members = sorted(
            self._table,
            key=lambda m: (m.data_centre == origin.data_centre, m.changed_at),
            reverse=True,
        )
        sends: list[Send] = []
        updates: list[MemberUpdate] = []
        free_bytes = self._update_capacity
        for member in members:
            update = member.update
            if update.incarnation == UNKNOWN_INCARNATION or update.name == origin.name:
                continue
            free_bytes -= update_size(update)
            if free_bytes < 0:
                sends.append(self._send(origin.address, Sync(updates=tuple(updates))))
                if len(sends) == MAX_SYNCS:
                    return sends
                updates = []
                free_bytes = self._update_capacity - update_size(update)
            updates.append(update)
        if updates:
            sends.append(self._send(origin.address, Sync(updates=tuple(updates))))
        return sends

    def relay_ack(self, requester: Address, *, number: int, subject: Member) -> Send:
        """Return the relayed ack of ``subject``, with the latest update about it."""
        updates = self._updates((subject.update,))
        return self._send(requester, self._ack(number, subject.name, updates))

    def leave(self, member: Member) -> Send:
        """Return a leave message for ``member``."""
        return self._send(member.address, Leave(updates=self._updates(())))

    def config_mismatches(
        self, message: Ping | Ack, origin: MemberUpdate
    ) -> list[ConfigMismatch]:
        """Return a mismatch if the configuration of ``origin`` differs."""
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

    def _updates(
        self, first: tuple[MemberUpdate, ...], *, data_centre: str | None = None
    ) -> tuple[MemberUpdate, ...]:
        """Return the updates for a recipient.

        :param data_centre: that of the recipient, if known.
        """
        own = self._local.update.data_centre
        return self._dissemination.take(
            first=first,
            free_bytes=self._update_capacity,
            fleet_size=len(self._table) + 1,
            remote=data_centre not in (None, "", own),
        )

    def _fill_with_latest(
        self, updates: tuple[MemberUpdate, ...]
    ) -> tuple[MemberUpdate, ...]:
        """Add the latest changes that fit, for a peer that has missed updates."""
        selected = {update.name: update for update in updates}
        free_bytes = self._update_capacity - sum(
            update_size(update) for update in updates
        )
        for member in sorted(self._table, key=_changed_at, reverse=True):
            update = member.update
            if update.name in selected or update.incarnation == UNKNOWN_INCARNATION:
                continue
            free_bytes -= update_size(update)
            if free_bytes < 0:
                break
            selected[update.name] = update
        return tuple(selected.values())

    def _send(self, address: Address, message: Message) -> Send:
        packet = Packet(sender=self._local.update, message=message)
        return Send(address=address, packet=packet)


def _refutable_updates(member: Member) -> tuple[MemberUpdate, ...]:
    """Return the suspicion or death of ``member`` that it has to refute, if any."""
    is_refutable = member.update.state in (InstanceState.SUSPECT, InstanceState.DEAD)
    return (member.update,) if is_refutable else ()


def _changed_at(member: Member) -> float:
    return member.changed_at
