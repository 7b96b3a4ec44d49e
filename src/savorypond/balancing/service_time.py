"""A running estimate of how long requests take."""

GAIN = 0.125  # weight of a new sample (as for the round-trip time in RFC 6298)
LARGEST_JUMP = 4.0  # a sample counts at most this many times the mean


class ServiceTime:
    """The mean of recent times.

    A sample far above the mean is clipped, so that one straggler does not make
    a server look too slow for every request.
    """

    __slots__ = ("_mean",)

    def __init__(self) -> None:
        self._mean = 0.0

    @property
    def mean(self) -> float:
        """Mean seconds; 0.0 before the first sample."""
        return self._mean

    def record(self, seconds: float) -> None:
        """Take one more time into the mean."""
        if self._mean <= 0.0:
            self._mean = seconds
            return
        clipped = min(seconds, self._mean * LARGEST_JUMP)
        self._mean += GAIN * (clipped - self._mean)
