"""Data centres judged as a whole when nothing is heard from them.

The loss of a large data centre, or of the link to it, is one belief of each
instance here and not one gossiped death per member, so that it costs a few
probes and the return of the link brings all members back at once.
"""

from dataclasses import dataclass, field
from random import Random

from savorypond.membership.probe_targets import with_jitter
from savorypond.membership.wire import MAX_LOOK_AT

PROBED_AT_ONCE = 8  # doubtful data centres probed in one round
UNANSWERED_LIMIT = 3  # distinct members in a row that did not answer


@dataclass(slots=True, kw_only=True)
class _DataCentre:
    heard_at: float = float("-inf")
    changed_at: float = float("-inf")
    unanswered: set[str] = field(default_factory=set)
    hinted: bool = False
    lost_at: float | None = None
    retry_at: float = 0.0
    retry_delay: float = 0.0


class DataCentres:
    """Which other data centres can be reached.

    :param retry_delay: seconds to the first probe of an unreachable one.
    :param retry_delay_max: seconds between such probes in the end.
    :param hint_time: seconds that peers are told about a loss or return.
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
        self._regained_at = float("-inf")
        self._version = 0

    @property
    def version(self) -> int:
        """A number that rises whenever one becomes reachable or unreachable."""
        return self._version

    @property
    def unreachable(self) -> frozenset[str]:
        """The data centres from which nothing is heard."""
        return self._unreachable

    def heard(self, name: str, now: float) -> set[str]:
        """Note a datagram from ``name``; return members that did not answer.

        They are to be judged one by one, since their data centre is there.
        """
        data_centre = self._get(name)
        data_centre.heard_at = now
        data_centre.hinted = False
        unanswered = data_centre.unanswered
        if not unanswered:
            return unanswered
        data_centre.unanswered = set()
        if data_centre.lost_at is None:
            return unanswered
        data_centre.lost_at = None
        self._regained_at = now
        self._note_change(data_centre, now)
        return set()

    def regained(self, now: float) -> bool:
        """Tell whether one has come back so lately that updates were missed."""
        return now - self._regained_at < self._hint_time

    def unanswered(self, name: str, member: str, *, sent_at: float, now: float) -> bool:
        """Note a vain probe; tell whether the member is to be judged by itself."""
        data_centre = self._get(name)
        if data_centre.heard_at >= sent_at:
            return True
        if data_centre.lost_at is not None:
            return False
        data_centre.unanswered.add(member)
        if len(data_centre.unanswered) >= UNANSWERED_LIMIT:
            data_centre.lost_at = now
            data_centre.hinted = False
            data_centre.retry_delay = self._retry_delay
            data_centre.retry_at = now + self._retry_delay
            self._note_change(data_centre, now)
        return False

    def hint(self, name: str, now: float) -> None:
        """Take a peer's word that ``name`` is lost or back as a reason to look."""
        data_centre = self._get(name)
        recent = now - data_centre.heard_at < self._hint_time
        if data_centre.lost_at is not None or not recent:
            data_centre.hinted = True

    def hints(self, now: float) -> tuple[str, ...]:
        """Return the data centres lost or regained lately, for peers to look at."""
        if now - self._changed_at >= self._hint_time:
            return ()
        found = [
            name
            for name, data_centre in self._data_centres.items()
            if now - data_centre.changed_at < self._hint_time
        ]
        return tuple(self._some(found, MAX_LOOK_AT))

    def to_probe(self, now: float) -> list[str]:
        """Return a few data centres of which one more member is to be probed."""
        due = [n for n, d in self._data_centres.items() if self._is_due(d, now)]
        chosen = self._some(due, PROBED_AT_ONCE)
        for name in chosen:
            self._delay_retry(self._data_centres[name], now)
        return chosen

    def _is_due(self, data_centre: _DataCentre, now: float) -> bool:
        if data_centre.hinted:
            return True
        if data_centre.lost_at is None:
            return bool(data_centre.unanswered)
        return now >= data_centre.retry_at

    def _delay_retry(self, data_centre: _DataCentre, now: float) -> None:
        if data_centre.lost_at is None:
            return
        data_centre.hinted = False
        doubled = 2 * data_centre.retry_delay
        data_centre.retry_delay = min(doubled, self._retry_delay_max)
        data_centre.retry_at = now + with_jitter(data_centre.retry_delay, self._rng)

    def _some(self, names: list[str], count: int) -> list[str]:
        if len(names) <= count:
            return names
        return self._rng.sample(names, count)

    def _get(self, name: str) -> _DataCentre:
        if name not in self._data_centres:
            self._data_centres[name] = _DataCentre()
        return self._data_centres[name]

    def _note_change(self, data_centre: _DataCentre, now: float) -> None:
        data_centre.changed_at = now
        self._changed_at = now
        self._version += 1
        self._unreachable = frozenset(
            name for name, d in self._data_centres.items() if d.lost_at is not None
        )
