"""The steps of a graceful stop, as a state machine without I/O."""

from dataclasses import dataclass
from enum import Enum, IntEnum

from savorypond.membership.pause import Paused

NOTICE_PERIOD = 2.0  # seconds until balancers see that the instance is not ready
HAND_OVER_TIMEOUT = 1.0  # seconds
DEADLINE_MARGIN = 0.5  # seconds after the deadline within which an answer is sent


class DrainState(IntEnum):
    """The state of a graceful stop."""

    SERVING = 0
    NOTICE_PERIOD = 1
    REFUSING = 2
    HANDING_OVER = 3
    STOPPED = 4


class DrainAction(Enum):
    """A step that the instance has to carry out."""

    SET_NOT_READY = "set-not-ready"
    ANNOUNCE_LEAVE = "announce-leave"
    REFUSE_NEW = "refuse-new"
    HAND_OVER = "hand-over"
    STOP = "stop"


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainLimits:
    """Time limits of a graceful stop.

    :param longest_deadline: seconds that any accepted request may take.
    :param notice_period: seconds for which new requests are still accepted after the
        instance reported that it is not ready, so that none is refused before the
        balancer and the peers have noticed.
    :param hand_over: seconds that the final hand-over to the peers may take.
    """

    longest_deadline: float
    notice_period: float = NOTICE_PERIOD
    hand_over: float = HAND_OVER_TIMEOUT

    @property
    def total(self) -> float:
        """Longest time in seconds from the request to stop until the stop."""
        finishing = self.longest_deadline + DEADLINE_MARGIN
        return self.notice_period + finishing + self.hand_over


class DrainPlan:
    """Takes an instance from serving to stopped.

    When a stop is requested, the instance reports that it is not ready, announces
    to its peers that it is leaving, and asks callers to close their connections. It
    still accepts requests for the notice period, and then refuses new ones as not
    run. Once nothing is in flight, or the longest deadline has passed, it hands
    over to its peers and stops.
    """

    def __init__(self, *, limits: DrainLimits) -> None:
        self._limits = limits
        self._state = DrainState.SERVING
        self._next_at = 0.0
        self._in_flight = 0
        self._requests_cut = 0

    @property
    def state(self) -> DrainState:
        """The current state of the stop."""
        return self._state

    @property
    def ready(self) -> bool:
        """Whether the instance reports itself ready for new requests."""
        return self._state is DrainState.SERVING

    @property
    def accepts_new(self) -> bool:
        """Whether a request that arrives now is accepted."""
        return self._state <= DrainState.NOTICE_PERIOD

    @property
    def in_flight(self) -> int:
        """Requests accepted and not yet answered."""
        return self._in_flight

    @property
    def requests_cut(self) -> int:
        """Requests still in flight when the longest deadline had passed."""
        return self._requests_cut

    def try_begin_request(self) -> bool:
        """Count a new request as in flight; return False if it must be refused."""
        if not self.accepts_new:
            return False
        self._in_flight += 1
        return True

    def end_request(self, *, now: float) -> tuple[DrainAction, ...]:
        """Count a request as answered and return the actions that are due."""
        self._in_flight -= 1
        return self.tick(now=now)

    def stop_requested(self, *, now: float) -> tuple[DrainAction, ...]:
        """Begin the stop and return its first actions; none if it has begun."""
        if self._state is not DrainState.SERVING:
            return ()
        self._enter(DrainState.NOTICE_PERIOD, now + self._limits.notice_period)
        return (DrainAction.SET_NOT_READY, DrainAction.ANNOUNCE_LEAVE)

    def handed_over(self, *, now: float) -> tuple[DrainAction, ...]:
        """Record that the peers have taken over and return the actions that are due."""
        if self._state is not DrainState.HANDING_OVER:
            return ()
        self._enter(DrainState.STOPPED, now)
        return (DrainAction.STOP,)

    def resumed(self, paused: Paused) -> None:
        """Extend the wait, so that answers received during a pause can be sent."""
        if self._state is DrainState.REFUSING:
            self._next_at = max(self._next_at, paused.now + DEADLINE_MARGIN)

    def tick(self, *, now: float) -> tuple[DrainAction, ...]:
        """Return the actions that are due; call no later than at :attr:`next_at`."""
        actions: list[DrainAction] = []
        while (action := self._step(now)) is not None:
            actions.append(action)
        return tuple(actions)

    @property
    def next_at(self) -> float | None:
        """Monotonic seconds at which a tick is due, or None."""
        if self._state in (DrainState.SERVING, DrainState.STOPPED):
            return None
        return self._next_at

    def _step(self, now: float) -> DrainAction | None:
        due = now >= self._next_at
        match self._state:
            case DrainState.NOTICE_PERIOD if due:
                finishing = self._limits.longest_deadline + DEADLINE_MARGIN
                self._enter(DrainState.REFUSING, now + finishing)
                return DrainAction.REFUSE_NEW
            case DrainState.REFUSING if due or self._in_flight == 0:
                self._requests_cut = self._in_flight
                self._enter(DrainState.HANDING_OVER, now + self._limits.hand_over)
                return DrainAction.HAND_OVER
            case DrainState.HANDING_OVER if due:
                self._enter(DrainState.STOPPED, now)
                return DrainAction.STOP
        return None

    def _enter(self, state: DrainState, next_at: float) -> None:
        self._state = state
        self._next_at = next_at
