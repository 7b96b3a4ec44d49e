"""Reachability of whole data centres.

When a large data centre or the link to it fails, each instance marks the data
centre as unreachable by itself instead of gossiping the death of every member.
This costs only a few probes, and all members are usable again as soon as the link
is back.
"""

from dataclasses import dataclass, field
from random import Random

from savorypond.membership.probe_targets import with_jitter
from savorypond.membership.wire import MAX_LOOK_AT

MAX_PROBES_PER_ROUND = 8  # data centres probed in addition in one round
UNANSWERED_LIMIT = 3  # distinct members that fail to answer in a row


@dataclass(slots=True, kw_only=True)
class _DataCentre:
    heard_at: float = float("-inf")
    changed_at: float = float("-inf")
    unanswered: set[str] = field(default_factory=set)
    hinted: bool = False
    unreachable_since: float | None = None
    retry_at: float = 0.0
    retry_delay: float = 0.0


class DataCentres:
    """Tracks which other data centres are reachable.

    :param retry_delay: seconds until the first probe of an unreachable one.
    :param retry_delay_max: upper bound in seconds of the doubling delay between
        such probes.
    :param hint_time: seconds for which peers are told of a change.
    """

    def __init__(
        self,
        *,
        rng: Random,
        retry_delay: float,
        retry_delay_max: float,
        hint_time: float,
    ) -> None:
        self._rng = rng
        self._retry_delay = retry_delay
        self._retry_delay_max = retry_delay_max
        self._hint_time = hint_time
        self._data_centres: dict[str, _DataCentre] = {}
        self._unreachable: frozenset[str] = frozenset()
        self._changed_at = float("-inf")
        self._reachable_again_at = float("-inf")
        self._version = 0

    @property
    def version(self) -> int:
        """A number that increases whenever the reachability of one changes."""
        return self._version

    @property
    def unreachable(self) -> frozenset[str]:
        """The data centres from which no datagram arrives."""
        return self._unreachable

    def heard(self, name: str, now: float) -> set[str]:
        """Record a datagram from ``name``; return its members to suspect.

        These are the members that did not answer while the data centre turned out
        to be reachable.
        """
        data_centre = self._get(name)
        data_centre.heard_at = now
        data_centre.hinted = False
        unanswered = data_centre.unanswered
        if not unanswered:
            return unanswered
        data_centre.unanswered = set()
        if data_centre.unreachable_since is None:
            return unanswered
        data_centre.unreachable_since = None
        self._reachable_again_at = now
        self._record_change(data_centre, now)
        return set()

    def recently_reachable_again(self, now: float) -> bool:
        """Return whether one came back so recently that updates may be missing."""
        return now - self._reachable_again_at < self._hint_time

    def probe_failed(
        self, name: str, member: str, *, sent_at: float, now: float
    ) -> bool:
        """Record a failed probe; return whether to suspect the member itself."""
        data_centre = self._get(name)
        if data_centre.heard_at >= sent_at:
            return True
        if data_centre.unreachable_since is not None:
            return False
        data_centre.unanswered.add(member)
        if len(data_centre.unanswered) >= UNANSWERED_LIMIT:
            data_centre.unreachable_since = now
            data_centre.hinted = False
            data_centre.retry_delay = self._retry_delay
            data_centre.retry_at = now + self._retry_delay
            self._record_change(data_centre, now)
        return False

    def hint(self, name: str, now: float) -> None:
        """Schedule a probe of ``name``, which a peer has reported as changed.

        Ignored for a reachable data centre that was heard within the hint time.
        """
        data_centre = self._get(name)
        recent = now - data_centre.heard_at < self._hint_time
        if data_centre.unreachable_since is not None or not recent:
            data_centre.hinted = True

    def hints(self, now: float) -> tuple[str, ...]:
        """Return the data centres that changed recently, to be sent to peers."""
        if now - self._changed_at >= self._hint_time:
            return ()
        found = [
            name
            for name, data_centre in self._data_centres.items()
            if now - data_centre.changed_at < self._hint_time
        ]
        return tuple(self._sample(found, MAX_LOOK_AT))

    def take_due_for_probe(self, now: float) -> list[str]:
        """Return a few data centres due for a probe of one of their members."""
        due = [n for n, d in self._data_centres.items() if self._is_due(d, now)]
        chosen = self._sample(due, MAX_PROBES_PER_ROUND)
        for name in chosen:
            self._schedule_retry(self._data_centres[name], now)
        return chosen

    def _is_due(self, data_centre: _DataCentre, now: float) -> bool:
        if data_centre.hinted:
            return True
        if data_centre.unreachable_since is None:
            return bool(data_centre.unanswered)
        return now >= data_centre.retry_at

    def _schedule_retry(self, data_centre: _DataCentre, now: float) -> None:
        if data_centre.unreachable_since is None:
            return
        data_centre.hinted = False
        doubled = 2 * data_centre.retry_delay
        data_centre.retry_delay = min(doubled, self._retry_delay_max)
        data_centre.retry_at = now + with_jitter(data_centre.retry_delay, self._rng)

    def _sample(self, names: list[str], count: int) -> list[str]:
        if len(names) <= count:
            return names
        return self._rng.sample(names, count)

    def _get(self, name: str) -> _DataCentre:
        if name not in self._data_centres:
            self._data_centres[name] = _DataCentre()
        return self._data_centres[name]

    def _record_change(self, data_centre: _DataCentre, now: float) -> None:
        data_centre.changed_at = now
        self._changed_at = now
        self._version += 1
        self._unreachable = frozenset(
            name
            for name, d in self._data_centres.items()
            if d.unreachable_since is not None
        )
