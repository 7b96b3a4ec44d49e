"""Probes under way: those of this instance and those made for others."""

from dataclasses import dataclass

from savorypond.membership.wire import PingReq
from savorypond.model import Address

MAX_SLOWNESS = 4  # Lifeguard's local health score, at most
MAX_RELAYS = 256  # probes made for others at once; further requests are dropped


@dataclass(frozen=True, slots=True, kw_only=True)
class Probe:
    """One probe of this instance; times in monotonic seconds."""

    number: int
    target: str
    sent_at: float
    ask_others_at: float
    ends_at: float


class Probes:
    """This instance's unanswered probes.

    Timeouts grow with the slowness of this instance itself, so that a process
    that is late does not suspect peers that answered in time (Lifeguard).
    """

    def __init__(self, *, timeout: float, interval: float) -> None:
        self._timeout = timeout
        self._interval = interval
        self._number = 0
        self._waiting: dict[int, Probe] = {}
        self._asked: set[int] = set()
        self._slowness = 0

    @property
    def local_health_score(self) -> int:
        """Lifeguard's local health score: 0 for an instance that keeps pace."""
        return self._slowness

    def next_number(self) -> int:
        """Return a number that no other probe or relay of this instance has."""
        self._number += 1
        return self._number

    def slow_down(self) -> None:
        """Count a sign that this instance lags."""
        self._slowness = min(MAX_SLOWNESS, self._slowness + 1)

    def start(self, target: str, now: float) -> Probe:
        """Start a probe of ``target``."""
        scale = 1 + self._slowness
        probe = Probe(
            number=self.next_number(),
            target=target,
            sent_at=now,
            ask_others_at=now + self._timeout * scale,
            ends_at=now + self._interval * scale,
        )
        self._waiting[probe.number] = probe
        return probe

    def succeed(self, number: int, target: str) -> Probe | None:
        """Take an answer; return its probe, or None if it is late or foreign."""
        probe = self._waiting.get(number)
        if probe is None or probe.target != target:
            return None
        self._drop(probe)
        self._slowness = max(0, self._slowness - 1)
        return probe

    def overdue(self, now: float) -> list[Probe]:
        """Return, once each, the probes for which others are to be asked."""
        found = [
            probe
            for probe in self._waiting.values()
            if now >= probe.ask_others_at and probe.number not in self._asked
        ]
        self._asked.update(probe.number for probe in found)
        return found

    def failed(self, now: float) -> list[Probe]:
        """Return and drop the probes that nobody has answered."""
        found = [p for p in self._waiting.values() if now >= p.ends_at]
        for probe in found:
            self._drop(probe)
        return found

    def clear(self) -> None:
        """Drop all probes, of which nothing can be concluded any more."""
        self._waiting.clear()
        self._asked.clear()

    def _drop(self, probe: Probe) -> None:
        del self._waiting[probe.number]
        self._asked.discard(probe.number)


@dataclass(frozen=True, slots=True, kw_only=True)
class Relay:
    """One probe made for ``requester`` under its ``number``."""

    requester: Address
    number: int
    target: str
    ends_at: float


class Relays:
    """Probes made for others, a bounded number at a time."""

    def __init__(self, *, probes: Probes, timeout: float) -> None:
        self._probes = probes
        self._timeout = timeout
        self._waiting: dict[int, Relay] = {}

    def start(self, *, requester: Address, request: PingReq, now: float) -> int | None:
        """Return the number to ping under, or None where too many are under way."""
        self._expire(now)
        if len(self._waiting) >= MAX_RELAYS:
            return None
        number = self._probes.next_number()
        self._waiting[number] = Relay(
            requester=requester,
            number=request.number,
            target=request.target,
            ends_at=now + self._timeout,
        )
        return number

    def finish(self, number: int, target: str) -> Relay | None:
        """Take an answer; return the relay it belongs to, or None."""
        relay = self._waiting.get(number)
        if relay is None or relay.target != target:
            return None
        del self._waiting[number]
        return relay

    def _expire(self, now: float) -> None:
        while self._waiting:
            number = next(iter(self._waiting))
            if self._waiting[number].ends_at > now:
                return
            del self._waiting[number]
