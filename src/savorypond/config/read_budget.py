"""Who reads the configuration service, and how often."""

from collections import Counter
from dataclasses import dataclass
from random import Random

from xxhash import xxh3_64_intdigest

from savorypond.model import Instance
from savorypond.protocols import MembershipView

WATCHER_READS = 1000.0  # reads a second of all watchers together
FALLBACK_READS = 500.0  # reads a second of all other instances together
BURST_TIME = 0.25  # seconds of reads that may be saved up


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadShare:
    """What one instance may read.

    :param watches: whether it is one of its data centre's watchers.
    :param rate: reads a second.
    """

    watches: bool
    rate: float


class WatcherSelection:
    """Chooses the watchers of each data centre by rendezvous hashing.

    Every instance ranks the live ones by hash and takes the first few, so
    equal views name equal watchers (Thaler and Ravishankar, 1998).

    :param watchers: most watchers in one data centre.
    """

    def __init__(self, *, view: MembershipView, watchers: int) -> None:
        self._view = view
        self._watchers = watchers
        self._fleet_size = 1
        self._version = -1
        self._share = ReadShare(watches=True, rate=WATCHER_READS)

    def observe_fleet_size(self, size: int) -> None:
        """Note how many instances the platform lists in the whole fleet."""
        if size != self._fleet_size:
            self._fleet_size = max(1, size)
            self._version = -1

    @property
    def fleet_size(self) -> int:
        """Instances in the fleet, as far as is known."""
        return max(self._fleet_size, len(self._view.live()))

    def share(self) -> ReadShare:
        """Return what this instance may read under the present view.

        An instance that sees only a part of the fleet expects other parts to
        have watchers as well, and reads that much less often.
        """
        if self._version != self._view.version:
            self._version = self._view.version
            self._share = self._compute()
        return self._share

    def _compute(self) -> ReadShare:
        live = self._view.live()
        fleet = max(self._fleet_size, len(live))
        if not self._is_watcher(live):
            return ReadShare(watches=False, rate=FALLBACK_READS / fleet)
        sizes = Counter(instance.data_centre for instance in live).values()
        seen = sum(min(self._watchers, size) for size in sizes)
        expected = seen * fleet / len(live)
        return ReadShare(watches=True, rate=WATCHER_READS / expected)

    def _is_watcher(self, live: tuple[Instance, ...]) -> bool:
        local_instance = self._view.local_instance
        near = [i for i in live if i.data_centre == local_instance.data_centre]
        ranked = sorted(near, key=_rank)
        return local_instance.name in {i.name for i in ranked[: self._watchers]}


def _rank(instance: Instance) -> int:
    return xxh3_64_intdigest(f"config-watcher/{instance.name}".encode())


class ReadBudget:
    """A token bucket whose rate may change; it starts at a random level."""

    def __init__(self, *, random: Random) -> None:
        self._tokens = random.random()
        self._at: float | None = None

    def try_take(self, *, now: float, rate: float) -> bool:
        """Take one read if one is left."""
        self._fill(now, rate)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def ready_at(self, *, now: float, rate: float) -> float:
        """Return the monotonic seconds at which a read will be left."""
        self._fill(now, rate)
        return now + max(0.0, 1.0 - self._tokens) / rate

    def _fill(self, now: float, rate: float) -> None:
        most = max(1.0, rate * BURST_TIME)
        elapsed = max(0.0, now - self._at) if self._at is not None else 0.0
        self._tokens = min(most, self._tokens + elapsed * rate)
        self._at = now
