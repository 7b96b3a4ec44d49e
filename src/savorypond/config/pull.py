"""Pull configuration from a peer, and answer the pulls of peers."""

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

MAX_REPLIES = 4096  # replies in one pull


class PullResponder:
    """Answers the pulls of peers from the state in force.

    :param fleet: name shared by the instances of one installation.
    :param name: name of this instance.
    """

    def __init__(self, *, store: ConfigStore, fleet: str, name: str) -> None:
        self._store = store
        self._fleet = fleet
        self._name = name
        self._sorted_stamp = Stamp()
        self._sorted_names: Sequence[str] = ()

    def reply(self, request: PullRequest) -> PullReply:
        """Return the page that ``request`` asks for.

        If the changes since the state it names are no longer known, the page
        belongs to the whole bundle and its base is zero.
        """
        held = self._store.stamp
        if not request.limit or request.have >= held:
            return self._reply_with_stamp()
        base = request.have
        changed = self._store.changed_since(base) if base.revision else None
        if changed is None:
            base = Stamp()
            names = self._all_names()
        else:
            names = sorted(changed)
        return self._build_page(request, base, names)

    def _reply_with_stamp(self) -> PullReply:
        return PullReply(
            fleet=self._fleet,
            sender=self._name,
            kind=ReplyKind.STAMP,
            held=self._store.stamp,
        )

    def _all_names(self) -> Sequence[str]:
        if self._sorted_stamp != self._store.stamp:
            self._sorted_stamp = self._store.stamp
            self._sorted_names = sorted(self._store.entries)
        return self._sorted_names

    def _build_page(
        self, request: PullRequest, base: Stamp, names: Sequence[str]
    ) -> PullReply:
        entries, removed, last = [], [], ""
        remaining = min(request.limit, MAX_REPLY_BYTES)
        start = bisect_right(names, request.after)
        for position in range(start, len(names)):
            name = names[position]
            data = self._store.entries.get(name)
            if data is None:
                removed.append(name)
            else:
                entries.append(data)
            remaining -= len(data) if data is not None else len(name)
            if remaining <= 0 and position + 1 < len(names):
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
    """A pull from one peer, which offers the result to the store at its end.

    :param fleet: name shared by the instances of one installation.
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
        """Result of the pull, or None while it is running."""
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
        """Process a reply; return the next request, or None at the end."""
        self._replies += 1
        try:
            return self._process(reply)
        except ValueError as error:
            self._store.count_malformed(str(error))
            self._outcome = Outcome.INVALID
        return None

    def _process(self, reply: PullReply) -> PullRequest | None:
        if reply.kind is ReplyKind.STAMP or reply.held <= self._store.stamp:
            self._outcome = Outcome.CURRENT
            return None
        if self._assembly is None and reply.base in (self._have, Stamp()):
            self._assembly = Assembly(base=reply.base)
            self._have = reply.base
        unusable = reply.base != self._have or self._replies > MAX_REPLIES
        if self._assembly is None or unusable or reply.held.revision > MAX_REVISION:
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
