"""Pulls between peers: cutting replies, and gathering them into a state."""

from bisect import bisect_right
from collections.abc import Sequence

from savorypond.config.assembly import Assembly
from savorypond.config.bundle import MAX_REVISION
from savorypond.config.messages import (
    MAX_REPLY_BYTES,
    PullReply,
    PullRequest,
    ReplyKind,
    Stamp,
)
from savorypond.config.store import ConfigStore, Outcome

MAX_REPLIES = 4096  # replies that one pull may take


class PullResponder:
    """Answers the pulls of peers out of what is in force.

    :param fleet: name that the peers of one installation share.
    :param name: name of this instance.
    """

    def __init__(self, *, store: ConfigStore, fleet: str, name: str) -> None:
        self._store = store
        self._fleet = fleet
        self._name = name
        self._order_of = Stamp()
        self._order: Sequence[str] = ()

    def reply(self, request: PullRequest) -> PullReply:
        """Return the piece that ``request`` asks for.

        Where the changes since its state are not known any more, the piece is
        one of the whole bundle, and its base is zero.
        """
        held = self._store.stamp
        if not request.limit or request.have >= held:
            return self._stamp_reply()
        base = request.have
        changed = self._store.changed_since(base) if base.revision else None
        if changed is None:
            base = Stamp()
            names = self._all_names()
        else:
            names = sorted(changed)
        return self._cut(request, base, names)

    def _stamp_reply(self) -> PullReply:
        return PullReply(
            fleet=self._fleet,
            sender=self._name,
            kind=ReplyKind.STAMP,
            held=self._store.stamp,
        )

    def _all_names(self) -> Sequence[str]:
        if self._order_of != self._store.stamp:
            self._order_of = self._store.stamp
            self._order = sorted(self._store.entries)
        return self._order

    def _cut(
        self, request: PullRequest, base: Stamp, names: Sequence[str]
    ) -> PullReply:
        entries, removed, last = [], [], ""
        room = min(request.limit, MAX_REPLY_BYTES)
        start = bisect_right(names, request.after)
        for position in range(start, len(names)):
            name = names[position]
            data = self._store.entries.get(name)
            if data is None:
                removed.append(name)
            else:
                entries.append(data)
            room -= len(data) if data is not None else len(name)
            if room <= 0 and position + 1 < len(names):
                last = name
                break
        return PullReply(
            fleet=self._fleet,
            sender=self._name,
            kind=ReplyKind.CHANGES,
            held=self._store.stamp,
            base=base,
            entries=tuple(entries),
            removed=tuple(removed),
            last=last,
        )


class Pull:
    """One pull from one peer, reply by reply, until the store is offered all.

    :param fleet: name that the peers of one installation share.
    :param name: name of this instance.
    """

    def __init__(self, *, store: ConfigStore, fleet: str, name: str) -> None:
        self._store = store
        self._fleet = fleet
        self._name = name
        self._have = store.stamp
        self._assembly: Assembly | None = None
        self._replies = 0
        self._outcome: Outcome | None = None

    @property
    def outcome(self) -> Outcome | None:
        """What became of the pull, or None while it goes on."""
        return self._outcome

    def request(self, *, after: str = "") -> PullRequest:
        """Return the next request."""
        return PullRequest(
            fleet=self._fleet,
            sender=self._name,
            held=self._store.stamp,
            have=self._have,
            after=after,
        )

    def on_reply(self, reply: PullReply) -> PullRequest | None:
        """Take a reply and return the next request, or None at the end."""
        self._replies += 1
        try:
            return self._take(reply)
        except ValueError as error:
            self._store.refuse_malformed(str(error))
            self._outcome = Outcome.INVALID
        return None

    def _take(self, reply: PullReply) -> PullRequest | None:
        if reply.kind is ReplyKind.STAMP or reply.held <= self._store.stamp:
            self._outcome = Outcome.CURRENT
            return None
        if self._assembly is None and reply.base in (self._have, Stamp()):
            self._assembly = Assembly(base=reply.base)
            self._have = reply.base
        torn = reply.base != self._have or self._replies > MAX_REPLIES
        if self._assembly is None or torn or reply.held.revision > MAX_REVISION:
            self._outcome = Outcome.GAP
            return None
        self._assembly.add(reply.held, reply.entries, reply.removed)
        if reply.last:
            return self.request(after=reply.last)
        if self._assembly.end_round(reply.held):
            self._outcome = self._assembly.offer(self._store, reply.held)
            return None
        self._have = self._assembly.since
        return self.request()
