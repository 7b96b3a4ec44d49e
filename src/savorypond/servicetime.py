"""A running estimate of how long requests take."""

GAIN = 0.125  # weight of a new sample in the mean (RFC 6298)
DEVIATION_GAIN = 0.25  # weight of a new sample in the mean deviation (RFC 6298)
DEVIATIONS = 2.0  # mean deviations above the mean that the typical time allows
LARGEST_JUMP = 4.0  # a sample counts at most this many times the mean


class ServiceTime:
    """Mean and mean deviation of recent times, as RFC 6298 keeps them.

    A sample far above the mean is clipped, so that one straggler does not make
    a server look too slow for every request.
    """

    __slots__ = ("_deviation", "_mean")

    def __init__(self) -> None:
        self._mean = 0.0
        self._deviation = 0.0

    @property
    def mean(self) -> float:
        """Mean seconds; 0.0 before the first sample."""
        return self._mean

    @property
    def typical(self) -> float:
        """Seconds that most requests do not exceed; 0.0 before the first sample."""
        return self._mean + DEVIATIONS * self._deviation

    def record(self, seconds: float) -> None:
        """Take one more time into the estimate."""
        if self._mean <= 0.0:
            self._mean = seconds
            self._deviation = seconds / 4.0
            return
        error = min(seconds, self._mean * LARGEST_JUMP) - self._mean
        self._mean += GAIN * error
        self._deviation += DEVIATION_GAIN * (abs(error) - self._deviation)
