"""Probes in flight: those of this instance, and indirect ones for peers."""

from dataclasses import dataclass

from savorypond.membership.wire import PingReq
from savorypond.model import Address

MAX_LOCAL_HEALTH_SCORE = 4
MAX_RELAYS = 256  # concurrent indirect probes for peers; more are dropped


@dataclass(frozen=True, slots=True, kw_only=True)
class Probe:
    """One probe by this instance; times in monotonic seconds.

    :param indirect_probe_at: when peers are asked to probe the target.
    """

    number: int
    target: str
    sent_at: float
    indirect_probe_at: float
    expires_at: float


class Probes:
    """Unanswered probes by this instance.

    Timeouts grow with the local health score, so that an instance that lags does
    not suspect peers that answered in time (Lifeguard).
    """

    def __init__(self, *, timeout: float, interval: float) -> None:
        self._timeout = timeout
        self._interval = interval
        self._number = 0
        self._pending: dict[int, Probe] = {}
        self._indirect_requested: set[int] = set()
        self._local_health_score = 0

    @property
    def local_health_score(self) -> int:
        """Lifeguard's local health score; 0 for a healthy instance."""
        return self._local_health_score

    def next_number(self) -> int:
        """Return a number unique among the probes and relays of this instance."""
        self._number += 1
        return self._number

    def record_lag(self) -> None:
        """Increase the local health score after a sign that this instance lags."""
        self._local_health_score = min(
            MAX_LOCAL_HEALTH_SCORE, self._local_health_score + 1
        )

    def start(self, target: str, now: float) -> Probe:
        """Start a probe of ``target``."""
        scale = 1 + self._local_health_score
        probe = Probe(
            number=self.next_number(),
            target=target,
            sent_at=now,
            indirect_probe_at=now + self._timeout * scale,
            expires_at=now + self._interval * scale,
        )
        self._pending[probe.number] = probe
        return probe

    def acknowledge(self, number: int, target: str) -> Probe | None:
        """Handle an ack; return its probe, or None if no such probe is pending."""
        probe = self._pending.get(number)
        if probe is None or probe.target != target:
            return None
        self._remove(probe)
        self._local_health_score = max(0, self._local_health_score - 1)
        return probe

    def due_for_indirect(self, now: float) -> list[Probe]:
        """Return the probes due for indirect probing, each of them only once."""
        found = [
            probe
            for probe in self._pending.values()
            if now >= probe.indirect_probe_at
            and probe.number not in self._indirect_requested
        ]
        self._indirect_requested.update(probe.number for probe in found)
        return found

    def take_failed(self, now: float) -> list[Probe]:
        """Remove and return the probes that expired without an ack."""
        found = [p for p in self._pending.values() if now >= p.expires_at]
        for probe in found:
            self._remove(probe)
        return found

    def clear(self) -> None:
        """Drop all pending probes without drawing conclusions from them."""
        self._pending.clear()
        self._indirect_requested.clear()

    def _remove(self, probe: Probe) -> None:
        del self._pending[probe.number]
        self._indirect_requested.discard(probe.number)


@dataclass(frozen=True, slots=True, kw_only=True)
class Relay:
    """An indirect probe on behalf of ``requester``, which knows it as ``number``."""

    requester: Address
    number: int
    target: str
    expires_at: float


class Relays:
    """Indirect probes on behalf of peers, bounded in number."""

    def __init__(self, *, probes: Probes, timeout: float) -> None:
        self._probes = probes
        self._timeout = timeout
        self._pending: dict[int, Relay] = {}

    def start(self, *, requester: Address, request: PingReq, now: float) -> int | None:
        """Return the number for the ping, or None if too many are in flight."""
        self._expire(now)
        if len(self._pending) >= MAX_RELAYS:
            return None
        number = self._probes.next_number()
        self._pending[number] = Relay(
            requester=requester,
            number=request.number,
            target=request.target,
            expires_at=now + self._timeout,
        )
        return number

    def finish(self, number: int, target: str) -> Relay | None:
        """Handle an ack; return the relay it belongs to, or None."""
        relay = self._pending.get(number)
        if relay is None or relay.target != target:
            return None
        del self._pending[number]
        return relay

    def _expire(self, now: float) -> None:
        while self._pending:
            number = next(iter(self._pending))
            if self._pending[number].expires_at > now:
                return
            del self._pending[number]
