"""Compares ways to prune expired tickets, and fixed with variable lifetimes."""

from heapq import heappop, heappush
from random import Random
from time import perf_counter

RATE = 300  # calls a second at one instance
SECONDS = 300
GRACE = 60.0  # seconds
MAX_LIFETIME = 120.0  # seconds
MIN_LIFETIME = 20.0  # seconds, of a lifetime by expected wait
WAIT_FACTOR = 4.0  # lifetime by expected wait, as a multiple of that wait


class SweepIndex:
    """Scans all entries once a second."""

    def __init__(self) -> None:
        self._entries: dict[int, float] = {}
        self._swept_at = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, number: int, forget_at: float, now: float) -> None:
        self._entries[number] = forget_at
        if now >= self._swept_at + 1.0:
            self._swept_at = now
            for ended in [n for n, at in self._entries.items() if at <= now]:
                del self._entries[ended]


class HeapIndex:
    """Keeps the entries in a heap, by expiry."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int]] = []
        self._entries: set[int] = set()

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, number: int, forget_at: float, now: float) -> None:
        heappush(self._heap, (forget_at, number))
        self._entries.add(number)
        while self._heap[0][0] <= now:
            self._entries.discard(heappop(self._heap)[1])


class BucketIndex:
    """Keeps the entries in buckets, by the second of their expiry."""

    def __init__(self) -> None:
        self._buckets: dict[int, set[int]] = {}
        self._entries: dict[int, float] = {}
        self._second = 0

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, number: int, forget_at: float, now: float) -> None:
        self._entries[number] = forget_at
        self._buckets.setdefault(int(forget_at) + 1, set()).add(number)
        while self._second < int(now):
            self._second += 1
            for ended in self._buckets.pop(self._second, ()):
                del self._entries[ended]


INDEXES = {"sweep": SweepIndex, "heap": HeapIndex, "buckets": BucketIndex}


def draw_uses(lifetime: float | None) -> list[tuple[float, float, int]]:
    """Return (use, expiry, number) of tickets that callers take in batches.

    A caller takes 1, 10 or 100 tickets and uses them at irregular intervals with a mean
    of its own; the expected wait of the tenth is ten times that of the first.

    :param lifetime: seconds, or None for a lifetime by expected wait.
    """
    random = Random(8409)
    tickets = []
    number = 0
    while number < RATE * SECONDS:
        issued = random.uniform(0, SECONDS)
        batch = random.choices([1, 10, 100], weights=[90, 9, 1])[0]
        interval = random.lognormvariate(-1.0, 1.5)
        wait = 0.0
        for place in range(1, batch + 1):
            wait += interval * random.lognormvariate(-1.1, 1.48)
            by_wait = max(
                MIN_LIFETIME, min(MAX_LIFETIME, WAIT_FACTOR * place * interval)
            )
            tickets.append((issued + wait, issued + (lifetime or by_wait), number))
            number += 1
    return sorted(tickets)


def print_pruning() -> None:
    """Print the cost of each index, and the tickets kept and expired by lifetime."""
    print(f"\n{RATE} tickets a second, for {SECONDS} s")
    print(
        f"{'lifetime':10}{'pruning':10}{'us/claim':>10}{'max kept':>11}{'expired':>9}"
    )
    for lifetime in (MAX_LIFETIME, 60.0, 40.0, MIN_LIFETIME, None):
        tickets = draw_uses(lifetime)
        live = [use for use in tickets if use[0] < use[1]]
        for name, index_type in INDEXES.items():
            index = index_type()
            max_kept = 0
            started = perf_counter()
            for use, expiry, number in live:
                index.add(number, expiry + GRACE, use)
                max_kept = max(max_kept, len(index))
            cost = (perf_counter() - started) / len(live) * 1e6
            label = f"{lifetime:.0f} s" if lifetime else "by wait"
            expired = len(tickets) - len(live)
            print(f"{label:10}{name:10}{cost:>10.2f}{max_kept:>11}{expired:>9}")
