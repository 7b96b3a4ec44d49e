"""Keep the configuration of an instance in sync with the service and its peers."""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from savorypond.config.messages import PullReply, PullRequest, Stamp
from savorypond.config.pull import Pull, PullResponder
from savorypond.config.read_budget import ReadBudget, WatcherSelection
from savorypond.config.reader import (
    ConfigReader,
    ConfigServiceCall,
    GetValue,
    ReadResult,
    ReadSteps,
    WatchValue,
)
from savorypond.config.store import ConfigStore, Outcome
from savorypond.model import Instance
from savorypond.protocols import MembershipView

START_PEERS = 8  # peers asked for their stamp before an instance becomes ready
START_TIMEOUT = 3.0  # seconds to wait for their answers
NOTIFIED_PEERS = 4  # peers of the same data centre notified of an accepted state
MIN_READ_INTERVAL = 1.0  # seconds between reads that find nothing new
MIN_FALLBACK_INTERVAL = 300.0  # seconds between reads of a non-watcher
MAX_FALLBACK_INTERVAL = 600.0  # seconds
MAX_FAILED_PULLS = 3  # consecutive failures after which the service is read early
MIN_EARLY_READ_WINDOW = 2.0  # seconds; early reads are spread at least this wide
EARLY_READ_RATE = 400.0  # early reads per second of the whole fleet
MAX_STEP_INTERVAL = 1.0  # seconds after which a step is always due
INITIAL_BACKOFF = 0.25  # seconds
MAX_BACKOFF = 30.0  # seconds
MAX_PULL_DELAY = 0.2  # seconds before another peer is asked
MAX_PEERS_AHEAD = 16  # peers remembered to hold a higher state


@dataclass(frozen=True, slots=True, kw_only=True)
class PullFrom:
    """Action that sends ``request`` to a peer."""

    instance: str
    request: PullRequest


SyncAction = GetValue | WatchValue | PullFrom


class ConfigSync:
    """Decides when to read the service, which peers to pull from and to notify.

    It does no I/O: the caller passes events with monotonic seconds, and
    ``step`` returns the actions to perform. A service call is answered by
    exactly one of ``on_value`` and ``on_service_failed``, a pull by one of
    ``on_reply`` and ``on_pull_failed``.

    :param fleet: name shared by the instances of one installation.
    :param watchers: maximum number of watchers in one data centre.
    """

    def __init__(
        self,
        *,
        store: ConfigStore,
        view: MembershipView,
        fleet: str,
        random: Random,
        watchers: int,
    ) -> None:
        self._store = store
        self._view = view
        self._fleet = fleet
        self._random = random
        self._name = view.local_instance.name
        self._selection = WatcherSelection(view=view, watchers=watchers)
        self._budget = ReadBudget(random=random)
        self._reader = ConfigReader(store=store)
        self._responder = PullResponder(store=store, fleet=fleet, name=self._name)
        self._actions: list[SyncAction] = []
        self._steps: ReadSteps | None = None
        self._call: ConfigServiceCall | None = None
        self._is_watcher = False
        self._next_read_at = 0.0
        self._read_started_at = 0.0
        self._failures = 0
        self._pull: Pull | None = None
        self._pull_peer = ""
        self._pull_after = 0.0
        self._peers_ahead: dict[str, Stamp] = {}
        self._notified_stamp = Stamp()
        self._started_at: float | None = None
        self._queried: set[str] = set()
        self._pending: set[str] = set()
        self._ready = False
        self._failed_pulls = 0

    @property
    def ready(self) -> bool:
        """Whether a state is in force and no peer asked at start has a higher one."""
        return self._ready

    @property
    def watches(self) -> bool:
        """Whether this instance is one of its data centre's watchers."""
        return self._selection.share().watches

    def observe_fleet_size(self, size: int) -> None:
        """Set the number of instances in the platform's list."""
        self._selection.observe_fleet_size(size)

    def start(self, now: float) -> None:
        """Start; called once, after the platform's list was read for peers."""
        self._started_at = now
        self._next_read_at = now

    def step(self, now: float) -> tuple[SyncAction, ...]:
        """Return the actions due; call again at ``next_wake`` or after an event."""
        if self._started_at is None:
            return ()
        self._query_start_peers(now)
        self._begin_read(now)
        self._begin_pull(now)
        self._notify_peers()
        self._update_ready(now)
        self._send_call(now)
        actions, self._actions = tuple(self._actions), []
        return actions

    def next_wake(self, now: float) -> float:
        """Return the monotonic seconds at which ``step`` is due."""
        times = [now + MAX_STEP_INTERVAL]
        if self._steps is None:
            times.append(self._next_read_at)
        elif self._call is not None:
            rate = self._selection.share().rate
            times.append(self._budget.ready_at(now=now, rate=rate))
        if self._peers_ahead and self._pull is None:
            times.append(self._pull_after)
        if not self._ready and self._started_at is not None:
            times.append(max(now + MAX_PULL_DELAY, self._started_at + START_TIMEOUT))
        return max(now, min(times))

    # Events from peers

    def on_peer_stamp(self, instance: str, stamp: Stamp) -> None:
        """Record the state in force at a peer, as carried in its pings."""
        if stamp <= self._store.stamp:
            self._peers_ahead.pop(instance, None)
        elif instance in self._peers_ahead or len(self._peers_ahead) < MAX_PEERS_AHEAD:
            self._peers_ahead[instance] = stamp

    def on_request(self, request: PullRequest) -> PullReply:
        """Answer the pull of a peer and record its state in force."""
        self.on_peer_stamp(request.sender, request.held)
        return self._responder.reply(request)

    def on_reply(self, now: float, pull: PullFrom, reply: PullReply) -> None:
        """Process the reply to ``pull``."""
        self._pending.discard(pull.instance)
        self.on_peer_stamp(pull.instance, reply.held)
        if self._pull is None or not pull.request.limit:
            return
        request = self._pull.on_reply(reply)
        if request is not None:
            self._send(pull.instance, request)
        else:
            self._end_pull(now, self._pull.outcome)

    def on_pull_failed(self, now: float, pull: PullFrom) -> None:
        """Record that a peer did not answer, or that its reply was malformed."""
        self._pending.discard(pull.instance)
        if self._pull is not None and pull.request.limit:
            self._end_pull(now, None)

    def _end_pull(self, now: float, outcome: Outcome | None) -> None:
        peer, self._pull = self._pull_peer, None
        if outcome is Outcome.ACCEPTED:
            self._failed_pulls = 0
            return
        self._peers_ahead.pop(peer, None)
        self._pull_after = now + self._random.uniform(0.0, MAX_PULL_DELAY)
        self._failed_pulls += outcome is not Outcome.CURRENT
        if self._failed_pulls >= MAX_FAILED_PULLS:
            self._failed_pulls = 0
            self._schedule_early_read(now)

    def _begin_pull(self, now: float) -> None:
        held = self._store.stamp
        ahead = {
            name: stamp for name, stamp in self._peers_ahead.items() if stamp > held
        }
        self._peers_ahead = ahead
        if self._pull is not None or not ahead or now < self._pull_after:
            return
        best = max(ahead.values())
        peers = sorted(name for name, stamp in ahead.items() if stamp == best)
        self._pull_peer = self._random.choice(peers)
        self._pull = Pull(store=self._store, fleet=self._fleet, name=self._name)
        self._send(self._pull_peer, self._pull.request())

    def _send(self, instance: str, request: PullRequest) -> None:
        self._actions.append(PullFrom(instance=instance, request=request))

    # Notifications to peers

    def _notify_peers(self) -> None:
        if self._store.stamp == self._notified_stamp:
            return
        self._notified_stamp = self._store.stamp
        data_centre = self._view.local_instance.data_centre
        local_peers = [
            peer for peer in self._peers() if peer.data_centre == data_centre
        ]
        self._exchange_stamps(self._sample(local_peers, NOTIFIED_PEERS))

    def _exchange_stamps(self, peers: Iterable[Instance]) -> None:
        for peer in peers:
            request = PullRequest(
                fleet=self._fleet, sender=self._name, held=self._store.stamp, limit=0
            )
            self._send(peer.name, request)

    def _peers(self) -> list[Instance]:
        return [peer for peer in self._view.live() if peer.name != self._name]

    def _sample(self, peers: list[Instance], limit: int) -> list[Instance]:
        return self._random.sample(peers, min(limit, len(peers)))

    # Start-up

    def _query_start_peers(self, now: float) -> None:
        remaining = START_PEERS - len(self._queried)
        if self._ready or remaining <= 0:
            return
        candidates = [peer for peer in self._peers() if peer.name not in self._queried]
        chosen = self._sample(candidates, remaining)
        self._queried.update(peer.name for peer in chosen)
        self._pending.update(peer.name for peer in chosen)
        self._exchange_stamps(chosen)

    def _update_ready(self, now: float) -> None:
        if self._ready or self._started_at is None or not self._store.stamp.revision:
            return
        timed_out = now >= self._started_at + START_TIMEOUT
        behind = self._pull is not None or bool(self._peers_ahead)
        if not behind and (timed_out or not self._pending):
            self._ready = True

    # Reads of the configuration service

    def on_value(self, now: float, data: bytes | None) -> None:
        """Process the value of a call; None if there is none, or none newer."""
        if self._steps is None:
            return
        try:
            self._call = self._steps.send(data)
        except StopIteration as stop:
            self._end_read(now, stop.value)

    def on_service_failed(self, now: float) -> None:
        """Record a failed call to the service."""
        self._store.count_service_down()
        self._end_read(now, ReadResult.FAILED)

    def _begin_read(self, now: float) -> None:
        watches = self._selection.share().watches
        if watches and not self._is_watcher:
            self._next_read_at = min(self._next_read_at, now)
        self._is_watcher = watches
        if self._steps is not None:
            return
        if now < self._next_read_at:
            return
        self._steps = self._reader.read(now=now, watch=watches)
        self._call = next(self._steps)
        self._read_started_at = now

    def _schedule_early_read(self, now: float) -> None:
        window = max(
            MIN_EARLY_READ_WINDOW, self._selection.fleet_size / EARLY_READ_RATE
        )
        read_at = now + self._random.uniform(0.0, window)
        self._next_read_at = min(self._next_read_at, read_at)

    def _send_call(self, now: float) -> None:
        if self._call is None:
            return
        rate = self._selection.share().rate
        if self._budget.try_take(now=now, rate=rate):
            self._actions.append(self._call)
            self._call = None

    def _end_read(self, now: float, result: ReadResult) -> None:
        if self._steps is not None:
            self._steps.close()
        self._steps = self._call = None
        if result is ReadResult.FAILED:
            self._back_off(now)
            return
        self._failures = 0
        if self._is_watcher and result is ReadResult.ACCEPTED:
            self._next_read_at = now
        elif self._is_watcher or not self._store.stamp.revision:
            self._next_read_at = max(now, self._read_started_at + MIN_READ_INTERVAL)
        else:
            interval = self._random.uniform(
                MIN_FALLBACK_INTERVAL, MAX_FALLBACK_INTERVAL
            )
            self._next_read_at = now + interval

    def _back_off(self, now: float) -> None:
        max_delay = min(MAX_BACKOFF, INITIAL_BACKOFF * 2**self._failures)
        self._failures = min(self._failures + 1, 16)
        self._next_read_at = now + self._random.uniform(max_delay / 2, max_delay)
        self._exchange_stamps(self._sample(self._peers(), 1))
