"""Which member updates ride on the next datagram."""

from collections import deque
from math import ceil, log2

from savorypond.membership.wire import MemberUpdate, update_size
from savorypond.model import InstanceState

SENDS_PER_LOG = 2  # sends of one update per doubling of the fleet


def send_limit(fleet_size: int) -> int:
    """Return how often one update is sent on by one instance.

    A multiple of log n reaches all with high probability (Das et al., 2002).
    """
    return SENDS_PER_LOG * ceil(log2(fleet_size + 1))


class Dissemination:
    """Updates waiting to be spread, each a few times, new ones first.

    Those that take an instance out of use, or deny that, go before all others,
    so that a fleet that starts at once does not hide a loss.
    """

    def __init__(self) -> None:
        self._urgent = _SendQueue()
        self._ordinary = _SendQueue()

    def __len__(self) -> int:
        return len(self._urgent) + len(self._ordinary)

    def add(self, update: MemberUpdate) -> None:
        """Spread ``update`` in place of an older one about the same member."""
        self._urgent.discard(update.name)
        self._ordinary.discard(update.name)
        denial = update.refutation > 0
        urgent = denial or update.state is not InstanceState.LIVE
        (self._urgent if urgent else self._ordinary).add(update)

    def take(
        self, *, first: tuple[MemberUpdate, ...], room: int, fleet_size: int
    ) -> tuple[MemberUpdate, ...]:
        """Return ``first`` and waiting updates, as many as fit into ``room`` bytes."""
        taken: dict[str, MemberUpdate] = {}
        for update in first:
            size = update_size(update)
            if size <= room:
                taken[update.name] = update
                room -= size
        limit = send_limit(fleet_size)
        room = self._urgent.take(taken, room, limit)
        self._ordinary.take(taken, room, limit)
        return tuple(taken.values())


class _SendQueue:
    """Updates in the order of their sendings so far, the latest first among equals."""

    def __init__(self) -> None:
        self._pending: dict[str, MemberUpdate] = {}
        self._by_sendings: list[deque[MemberUpdate]] = [deque()]

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, update: MemberUpdate) -> None:
        self._pending[update.name] = update
        self._by_sendings[0].appendleft(update)

    def discard(self, name: str) -> None:
        """Forget what waits about ``name``; its place is cleared when reached."""
        self._pending.pop(name, None)

    def take(self, taken: dict[str, MemberUpdate], room: int, limit: int) -> int:
        """Move what fits into ``taken``; return the bytes of ``room`` left."""
        sent: list[tuple[MemberUpdate, int]] = []
        for sendings, updates in enumerate(self._by_sendings):
            while updates:
                update = updates[0]
                if self._pending.get(update.name) is not update:
                    updates.popleft()
                    continue
                size = 0 if update.name in taken else update_size(update)
                if size > room:
                    break
                room -= size
                taken[update.name] = update
                sent.append((updates.popleft(), sendings + 1))
        for update, sendings in sent:
            self._put_back(update, sendings, limit)
        return room

    def _put_back(self, update: MemberUpdate, sendings: int, limit: int) -> None:
        if sendings >= limit:
            del self._pending[update.name]
            return
        while len(self._by_sendings) <= sendings:
            self._by_sendings.append(deque())
        self._by_sendings[sendings].append(update)
