"""Running mean of service times."""

GAIN = 0.125  # weight of a new sample (as for the round-trip time in RFC 6298)
MAX_SAMPLE_RATIO = 4.0  # of the mean; larger samples are clipped


class ServiceTime:
    """Exponentially weighted mean of service times.

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
        """Add a sample to the mean."""
        if self._mean <= 0.0:
            self._mean = seconds
            return
        clipped = min(seconds, self._mean * MAX_SAMPLE_RATIO)
        self._mean += GAIN * (clipped - self._mean)
