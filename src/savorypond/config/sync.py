"""How one instance comes by new configuration, and passes it on."""

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
    ReadEnd,
    ReadSteps,
    WatchValue,
)
from savorypond.config.store import ConfigStore, Outcome
from savorypond.model import Instance
from savorypond.protocols import MembershipView

START_PEERS = 8  # peers asked for what they hold before an instance is ready
START_TIME = 3.0  # seconds that their answers are waited for
TOLD_PEERS = 4  # peers of the data centre told of a newly accepted state
LEAST_PERIOD = 1.0  # seconds between reads that bring nothing new
FALLBACK_LEAST = 300.0  # seconds between reads of an instance that hears peers
FALLBACK_MOST = 600.0  # seconds
FAILED_PULLS = 3  # pulls in a row after which the service is read instead
HASTE_WINDOW = 2.0  # seconds over which such reads are spread, at least
HASTE_READS = 400.0  # such reads a second, of a whole fleet
IDLE_TIME = 1.0  # seconds after which a step is due in any case
BACKOFF_FIRST = 0.25  # seconds
BACKOFF_MOST = 30.0  # seconds
PULL_PAUSE = 0.2  # seconds, at most, before another peer is asked
HOLDERS = 16  # peers remembered as holding a higher state


@dataclass(frozen=True, slots=True, kw_only=True)
class PullFrom:
    """Send ``request`` to the instance named."""

    instance: str
    request: PullRequest


SyncAction = GetValue | WatchValue | PullFrom


class ConfigSync:
    """Decides when to read the service, whom to pull from, and whom to tell.

    Events come in with monotonic seconds; ``step`` returns what to do next. A
    service call is answered by exactly one of ``on_value`` and
    ``on_service_failed``, a pull by one of ``on_reply`` and ``on_pull_failed``.

    :param fleet: name that the peers of one installation share.
    :param watchers: most instances of a data centre that watch the service.
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
        self._choice = WatcherSelection(view=view, watchers=watchers)
        self._budget = ReadBudget(random=random)
        self._reader = ConfigReader(store=store)
        self._cutter = PullResponder(store=store, fleet=fleet, name=self._name)
        self._outbox: list[SyncAction] = []
        self._steps: ReadSteps | None = None
        self._call: ConfigServiceCall | None = None
        self._watched = False
        self._next_read = 0.0
        self._read_at = 0.0
        self._failures = 0
        self._pull: Pull | None = None
        self._pull_peer = ""
        self._pull_after = 0.0
        self._holders: dict[str, Stamp] = {}
        self._told = Stamp()
        self._started: float | None = None
        self._asked: set[str] = set()
        self._unanswered: set[str] = set()
        self._ready = False
        self._failed_pulls = 0

    @property
    def ready(self) -> bool:
        """Whether a state is in force and no peer asked at start holds a higher."""
        return self._ready

    @property
    def watches(self) -> bool:
        """Whether this instance is one of its data centre's watchers."""
        return self._choice.share().watches

    def observe_fleet_size(self, size: int) -> None:
        """Note how many instances the platform's list holds in all."""
        self._choice.observe_fleet_size(size)

    def start(self, now: float) -> None:
        """Begin; called once, when the platform's list was asked for peers."""
        self._started = now
        self._next_read = now

    def step(self, now: float) -> tuple[SyncAction, ...]:
        """Return what to do now; call again at ``next_wake`` or after an event."""
        if self._started is None:
            return ()
        self._ask_at_start(now)
        self._begin_read(now)
        self._begin_pull(now)
        self._tell()
        self._settle_start(now)
        self._send_call(now)
        actions, self._outbox = tuple(self._outbox), []
        return actions

    def next_wake(self, now: float) -> float:
        """Return the monotonic seconds at which ``step`` has something to do."""
        times = [now + IDLE_TIME]
        if self._steps is None:
            times.append(self._next_read)
        elif self._call is not None:
            rate = self._choice.share().rate
            times.append(self._budget.ready_at(now=now, rate=rate))
        if self._holders and self._pull is None:
            times.append(self._pull_after)
        if not self._ready and self._started is not None:
            times.append(max(now + PULL_PAUSE, self._started + START_TIME))
        return max(now, min(times))

    # What peers say

    def on_digest(self, instance: str, stamp: Stamp) -> None:
        """Note what a peer holds, as its pings carry it."""
        if stamp <= self._store.stamp:
            self._holders.pop(instance, None)
        elif instance in self._holders or len(self._holders) < HOLDERS:
            self._holders[instance] = stamp

    def on_request(self, request: PullRequest) -> PullReply:
        """Answer the pull of a peer, and note what that peer holds."""
        self.on_digest(request.sender, request.held)
        return self._cutter.reply(request)

    def on_reply(self, now: float, pull: PullFrom, reply: PullReply) -> None:
        """Take the reply to ``pull``."""
        self._unanswered.discard(pull.instance)
        self.on_digest(pull.instance, reply.held)
        if self._pull is None or not pull.request.limit:
            return
        request = self._pull.on_reply(reply)
        if request is not None:
            self._send(pull.instance, request)
        else:
            self._end_pull(now, self._pull.outcome)

    def on_pull_failed(self, now: float, pull: PullFrom) -> None:
        """Note that a peer did not answer, or not in a readable way."""
        self._unanswered.discard(pull.instance)
        if self._pull is not None and pull.request.limit:
            self._end_pull(now, None)

    def _end_pull(self, now: float, outcome: Outcome | None) -> None:
        peer, self._pull = self._pull_peer, None
        if outcome is Outcome.ACCEPTED:
            self._failed_pulls = 0
            return
        self._holders.pop(peer, None)
        self._pull_after = now + self._random.uniform(0.0, PULL_PAUSE)
        self._failed_pulls += outcome is not Outcome.CURRENT
        if self._failed_pulls >= FAILED_PULLS:
            self._failed_pulls = 0
            self._hasten_read(now)

    def _begin_pull(self, now: float) -> None:
        held = self._store.stamp
        higher = {name: stamp for name, stamp in self._holders.items() if stamp > held}
        self._holders = higher
        if self._pull is not None or not higher or now < self._pull_after:
            return
        best = max(higher.values())
        peers = sorted(name for name, stamp in higher.items() if stamp == best)
        self._pull_peer = self._random.choice(peers)
        self._pull = Pull(store=self._store, fleet=self._fleet, name=self._name)
        self._send(self._pull_peer, self._pull.request())

    def _send(self, instance: str, request: PullRequest) -> None:
        self._outbox.append(PullFrom(instance=instance, request=request))

    # What is told to peers

    def _tell(self) -> None:
        if self._store.stamp == self._told:
            return
        self._told = self._store.stamp
        place = self._view.local_instance.data_centre
        near = [peer for peer in self._peers() if peer.data_centre == place]
        self._exchange_stamps(self._sample(near, TOLD_PEERS))

    def _exchange_stamps(self, peers: Iterable[Instance]) -> None:
        for peer in peers:
            request = PullRequest(
                fleet=self._fleet, sender=self._name, held=self._store.stamp, limit=0
            )
            self._send(peer.name, request)

    def _peers(self) -> list[Instance]:
        return [peer for peer in self._view.live() if peer.name != self._name]

    def _sample(self, peers: list[Instance], most: int) -> list[Instance]:
        return self._random.sample(peers, min(most, len(peers)))

    # Start

    def _ask_at_start(self, now: float) -> None:
        room = START_PEERS - len(self._asked)
        if self._ready or room <= 0:
            return
        fresh = [peer for peer in self._peers() if peer.name not in self._asked]
        chosen = self._sample(fresh, room)
        self._asked.update(peer.name for peer in chosen)
        self._unanswered.update(peer.name for peer in chosen)
        self._exchange_stamps(chosen)

    def _settle_start(self, now: float) -> None:
        if self._ready or self._started is None or not self._store.stamp.revision:
            return
        late = now >= self._started + START_TIME
        behind = self._pull is not None or bool(self._holders)
        if not behind and (late or not self._unanswered):
            self._ready = True

    # The service

    def on_value(self, now: float, data: bytes | None) -> None:
        """Take the value asked for; None where there is none, or none newer."""
        if self._steps is None:
            return
        try:
            self._call = self._steps.send(data)
        except StopIteration as stop:
            self._end_read(now, stop.value)

    def on_service_failed(self, now: float) -> None:
        """Note that the service did not answer."""
        self._store.note_service_down()
        self._end_read(now, ReadEnd.FAILED)

    def _begin_read(self, now: float) -> None:
        watches = self._choice.share().watches
        if watches and not self._watched:
            self._next_read = min(self._next_read, now)
        self._watched = watches
        if self._steps is not None:
            return
        if now < self._next_read:
            return
        self._steps = self._reader.read(now=now, watch=watches)
        self._call = next(self._steps)
        self._read_at = now

    def _hasten_read(self, now: float) -> None:
        window = max(HASTE_WINDOW, self._choice.fleet_size / HASTE_READS)
        at = now + self._random.uniform(0.0, window)
        self._next_read = min(self._next_read, at)

    def _send_call(self, now: float) -> None:
        if self._call is None:
            return
        rate = self._choice.share().rate
        if self._budget.try_take(now=now, rate=rate):
            self._outbox.append(self._call)
            self._call = None

    def _end_read(self, now: float, end: ReadEnd) -> None:
        if self._steps is not None:
            self._steps.close()
        self._steps = self._call = None
        if end is ReadEnd.FAILED:
            self._back_off(now)
            return
        self._failures = 0
        if self._watched and end is ReadEnd.ACCEPTED:
            self._next_read = now
        elif self._watched or not self._store.stamp.revision:
            self._next_read = max(now, self._read_at + LEAST_PERIOD)
        else:
            wait = self._random.uniform(FALLBACK_LEAST, FALLBACK_MOST)
            self._next_read = now + wait

    def _back_off(self, now: float) -> None:
        most = min(BACKOFF_MOST, BACKOFF_FIRST * 2**self._failures)
        self._failures = min(self._failures + 1, 16)
        self._next_read = now + self._random.uniform(most / 2, most)
        self._exchange_stamps(self._sample(self._peers(), 1))
