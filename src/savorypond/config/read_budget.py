"""Decide which instances watch the configuration service, and limit their reads."""

from collections import Counter
from dataclasses import dataclass
from random import Random

from xxhash import xxh3_64_intdigest

from savorypond.model import Instance
from savorypond.protocols import MembershipView

WATCHER_READ_RATE = 1000.0  # reads per second of all watchers together
FALLBACK_READ_RATE = 500.0  # reads per second of all other instances together
MAX_BURST = 0.25  # bucket capacity, in seconds of reads


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadShare:
    """Share of the read budget that one instance has.

    :param watches: whether it is one of its data centre's watchers.
    :param rate: reads per second.
    """

    watches: bool
    rate: float


class WatcherSelection:
    """Selects the watchers of each data centre by rendezvous hashing.

    Every instance ranks the live instances by hash and selects the first few,
    so equal views select equal watchers (Thaler and Ravishankar, 1998).

    :param watchers: maximum number of watchers in one data centre.
    """

    def __init__(self, *, view: MembershipView, watchers: int) -> None:
        self._view = view
        self._watchers = watchers
        self._fleet_size = 1
        self._version = -1
        self._share = ReadShare(watches=True, rate=WATCHER_READ_RATE)

    def observe_fleet_size(self, size: int) -> None:
        """Set the number of instances that the platform lists in the whole fleet."""
        if size != self._fleet_size:
            self._fleet_size = max(1, size)
            self._version = -1

    @property
    def fleet_size(self) -> int:
        """Known number of instances in the fleet."""
        return max(self._fleet_size, len(self._view.live()))

    def share(self) -> ReadShare:
        """Return the share of this instance under the current view.

        An instance that sees only a part of the fleet assumes that the other
        parts have watchers as well, and lowers its rate in proportion.
        """
        if self._version != self._view.version:
            self._version = self._view.version
            self._share = self._compute_share()
        return self._share

    def _compute_share(self) -> ReadShare:
        live = self._view.live()
        fleet = max(self._fleet_size, len(live))
        if not self._is_watcher(live):
            return ReadShare(watches=False, rate=FALLBACK_READ_RATE / fleet)
        sizes = Counter(instance.data_centre for instance in live).values()
        visible = sum(min(self._watchers, size) for size in sizes)
        expected = visible * fleet / len(live)
        return ReadShare(watches=True, rate=WATCHER_READ_RATE / expected)

    def _is_watcher(self, live: tuple[Instance, ...]) -> bool:
        local_instance = self._view.local_instance
        local = [i for i in live if i.data_centre == local_instance.data_centre]
        ranked = sorted(local, key=_rank)
        return local_instance.name in {i.name for i in ranked[: self._watchers]}


def _rank(instance: Instance) -> int:
    return xxh3_64_intdigest(f"config-watcher/{instance.name}".encode())


class ReadBudget:
    """A token bucket with a variable rate that starts at a random level."""

    def __init__(self, *, random: Random) -> None:
        self._tokens = random.random()
        self._filled_at: float | None = None

    def try_take(self, *, now: float, rate: float) -> bool:
        """Take one token; return False if none is left."""
        self._refill(now, rate)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def ready_at(self, *, now: float, rate: float) -> float:
        """Return the monotonic seconds at which the next token is available."""
        self._refill(now, rate)
        return now + max(0.0, 1.0 - self._tokens) / rate

    def _refill(self, now: float, rate: float) -> None:
        capacity = max(1.0, rate * MAX_BURST)
        elapsed = (
            max(0.0, now - self._filled_at) if self._filled_at is not None else 0.0
        )
        self._tokens = min(capacity, self._tokens + elapsed * rate)
        self._filled_at = now
