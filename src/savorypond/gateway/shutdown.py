"""Decides when an instance that shuts down gracefully may close its connections.

Prevents lost requests in a rolling restart: the platform sends callers to the instance
until it has noticed the shutdown, so requests are accepted until then, and later while
there is enough time to answer them. Those in flight get their final answer before the
process is killed.
"""

# The platform probes readiness once a second and needs two negative answers. The
# longest wait allows for one lost probe.
UNREADY_PROBES = 2
MAX_NOTICE = 3.2  # seconds
LATE_CONNECTION_TIME = 0.3  # seconds in which earlier connections may still arrive
KILL_MARGIN = 0.7  # seconds before the process is killed
ANSWER_MARGIN = 0.1  # seconds to send the last answers
# Time that a request must have left, as a multiple of the mean latency. The caller of
# an unrepeatable request cannot ask again after a time-out.
REPEATABLE_TIME = 3.0
UNREPEATABLE_TIME = 6.0


class ShutdownPlan:
    """The timing of one graceful shutdown.

    :param started_at: start of the shutdown in monotonic seconds.
    :param termination_grace: seconds after which the process is killed.
    """

    def __init__(self, *, started_at: float, termination_grace: float) -> None:
        self._started_at = started_at
        self._drain_deadline = started_at + termination_grace - KILL_MARGIN
        self._probes = 0
        self._noticed_at: float | None = None
        self._refuses_all = False

    def record_probe(self, now: float) -> None:
        """Record that the platform was told that this instance is not ready."""
        self._probes += 1
        if self._probes == UNREADY_PROBES:
            self._noticed_at = now

    def may_close(self, now: float) -> bool:
        """Return whether no new connections are expected."""
        if now >= self._drain_deadline or now >= self._started_at + MAX_NOTICE:
            return True
        return (
            self._noticed_at is not None
            and now >= self._noticed_at + LATE_CONNECTION_TIME
        )

    @property
    def answer_deadline(self) -> float:
        """Monotonic seconds by which every request must have its final answer."""
        return self._drain_deadline - ANSWER_MARGIN

    def refuse_all(self) -> None:
        """Accept no further requests, since none are in flight any more."""
        self._refuses_all = True

    def accepts(
        self, *, now: float, deadline: float, mean_latency: float, repeatable: bool
    ) -> bool:
        """Return whether a request that has arrived can still be answered.

        :param deadline: monotonic seconds until which its caller waits.
        :param mean_latency: mean latency of its route in seconds.
        """
        multiple = REPEATABLE_TIME if repeatable else UNREPEATABLE_TIME
        done_at = min(now + multiple * mean_latency, deadline)
        return not self._refuses_all and done_at <= self.answer_deadline

    def time_left(self, now: float) -> float:
        """Return the seconds left for requests in flight."""
        return max(0.0, self._drain_deadline - now)
