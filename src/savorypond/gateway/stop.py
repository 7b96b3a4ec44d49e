"""Decides when an instance that stops as planned may close its connections.

Answers a rolling restart under load: callers are sent here until the platform has
noticed, so requests are taken until then.
"""

# The platform asks once a second and needs two refusals; one more may be lost.
ASKED_ENOUGH = 2
LONGEST_NOTICE = 3.2  # seconds
AFTER_NOTICE = 0.3  # seconds in which connections made before still arrive
END_MARGIN = 0.7  # seconds before the process is killed


class StopPlan:
    """The steps of one planned stop.

    :param began: monotonic seconds.
    :param termination_grace: seconds after which the process is killed.
    """

    def __init__(self, *, began: float, termination_grace: float) -> None:
        self._began = began
        self._end = began + termination_grace - END_MARGIN
        self._asked = 0
        self._noticed: float | None = None

    def note_asked(self, now: float) -> None:
        """Note that the platform was told that this instance is not ready."""
        self._asked += 1
        if self._asked == ASKED_ENOUGH:
            self._noticed = now

    def may_close(self, now: float) -> bool:
        """Return whether no new connections are to be expected."""
        if now >= self._end or now >= self._began + LONGEST_NOTICE:
            return True
        return self._noticed is not None and now >= self._noticed + AFTER_NOTICE

    def left(self, now: float) -> float:
        """Return the seconds that requests in flight still have."""
        return max(0.0, self._end - now)
