"""Plans the stop of this instance without cutting a request."""

from dataclasses import dataclass
from enum import Enum, IntEnum

from savorypond.membership.pause import Paused

NOTICE = 2.0  # seconds in which a balancer sees that an instance is not ready
HAND_OVER_LIMIT = 1.0  # seconds
DEADLINE_MARGIN = 0.5  # seconds that an answer may take to leave


class DrainState(IntEnum):
    """How far a planned stop has come."""

    SERVING = 0
    NOTICE = 1
    REFUSING = 2
    HANDING_OVER = 3
    STOPPED = 4


class DrainAction(Enum):
    """What the instance has to do now."""

    SET_NOT_READY = "set-not-ready"
    ANNOUNCE_LEAVE = "announce-leave"
    REFUSE_NEW = "refuse-new"
    HAND_OVER = "hand-over"
    STOP = "stop"


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainLimits:
    """Bounds on a planned stop.

    :param notice: seconds for which requests are still taken after the instance
        said that it is not ready, so that none is refused while its balancer and
        its peers have yet to notice.
    :param longest_deadline: seconds that any accepted request may take.
    :param hand_over: seconds for which peers are waited for at the end.
    """

    longest_deadline: float
    notice: float = NOTICE
    hand_over: float = HAND_OVER_LIMIT

    @property
    def total(self) -> float:
        """Longest time in seconds from the request to stop until the stop."""
        waiting = self.longest_deadline + DEADLINE_MARGIN
        return self.notice + waiting + self.hand_over


class DrainPlan:
    """Takes an instance from serving to stopped.

    It first says that it is not ready and tells its peers that it leaves, and goes
    on serving for the notice. It then refuses what is new as not run, and asks
    callers to close their connections. When nothing is in flight any more, or the
    longest deadline has passed, it hands over what its peers need, and stops.
    """

    def __init__(self, *, limits: DrainLimits) -> None:
        self._limits = limits
        self._state = DrainState.SERVING
        self._next_at = 0.0
        self._in_flight = 0
        self._cut = 0

    @property
    def state(self) -> DrainState:
        """How far the stop has come."""
        return self._state

    @property
    def ready(self) -> bool:
        """Whether the instance asks for new requests."""
        return self._state is DrainState.SERVING

    @property
    def accepts_new(self) -> bool:
        """Whether a request that comes now is taken."""
        return self._state <= DrainState.NOTICE

    @property
    def closes_connections(self) -> bool:
        """Whether every answer asks its caller to close the connection."""
        return self._state > DrainState.SERVING

    @property
    def in_flight(self) -> int:
        """Requests accepted and not yet answered."""
        return self._in_flight

    @property
    def cut(self) -> int:
        """Requests in flight when their longest deadline had passed."""
        return self._cut

    def try_enter(self) -> bool:
        """Count a new request in flight, unless it has to be refused as not run."""
        if not self.accepts_new:
            return False
        self._in_flight += 1
        return True

    def left(self, *, now: float) -> tuple[DrainAction, ...]:
        """Note that a request in flight has got its whole answer."""
        self._in_flight -= 1
        return self.tick(now=now)

    def stop_requested(self, *, now: float) -> tuple[DrainAction, ...]:
        """Begin the stop; asking again changes nothing."""
        if self._state is not DrainState.SERVING:
            return ()
        self._enter(DrainState.NOTICE, now + self._limits.notice)
        return (DrainAction.SET_NOT_READY, DrainAction.ANNOUNCE_LEAVE)

    def handed_over(self, *, now: float) -> tuple[DrainAction, ...]:
        """Note that the peers have taken over."""
        if self._state is not DrainState.HANDING_OVER:
            return ()
        self._enter(DrainState.STOPPED, now)
        return (DrainAction.STOP,)

    def resumed(self, paused: Paused) -> None:
        """Give requests in flight a moment for answers that came during a pause."""
        if self._state is DrainState.REFUSING:
            self._next_at = max(self._next_at, paused.now + DEADLINE_MARGIN)

    def tick(self, *, now: float) -> tuple[DrainAction, ...]:
        """Return the actions that are due; call at :attr:`next_at` or sooner."""
        actions: list[DrainAction] = []
        while (action := self._step(now)) is not None:
            actions.append(action)
        return tuple(actions)

    @property
    def next_at(self) -> float | None:
        """Monotonic seconds at which a tick is due, or None where none is."""
        if self._state in (DrainState.SERVING, DrainState.STOPPED):
            return None
        return self._next_at

    def _step(self, now: float) -> DrainAction | None:
        due = now >= self._next_at
        match self._state:
            case DrainState.NOTICE if due:
                waiting = self._limits.longest_deadline + DEADLINE_MARGIN
                self._enter(DrainState.REFUSING, now + waiting)
                return DrainAction.REFUSE_NEW
            case DrainState.REFUSING if due or self._in_flight == 0:
                self._cut = self._in_flight
                self._enter(DrainState.HANDING_OVER, now + self._limits.hand_over)
                return DrainAction.HAND_OVER
            case DrainState.HANDING_OVER if due:
                self._enter(DrainState.STOPPED, now)
                return DrainAction.STOP
        return None

    def _enter(self, state: DrainState, next_at: float) -> None:
        self._state = state
        self._next_at = next_at
