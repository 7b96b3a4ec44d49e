"""Decides when an instance that shuts down gracefully may close its connections.

Prevents lost requests in a rolling restart: the platform sends callers to the instance
until it has noticed the shutdown, so requests are accepted until then.
"""

# The platform probes readiness once a second and needs two negative answers. The
# longest wait allows for one lost probe.
UNREADY_PROBES = 2
MAX_NOTICE = 3.2  # seconds
LATE_CONNECTION_TIME = 0.3  # seconds in which earlier connections may still arrive
KILL_MARGIN = 0.7  # seconds before the process is killed


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

    def time_left(self, now: float) -> float:
        """Return the seconds left for requests in flight."""
        return max(0.0, self._drain_deadline - now)
