"""How long answers of each route usually take, and when to hedge."""

from savorypond.balancing.latency import LatencyConfig, LatencyTracker

# Answers of a route before its percentile is trusted.
_LEAST_SAMPLES = 40
# Until then a hedge waits for this share of the route's goal.
_FIRST_SHARE = 0.35
# A hedge must leave the second server time before the goal.
_MOST_SHARE = 0.5
_LEAST_DELAY = 0.008  # seconds


class UsualTimes:
    """Answer times of each route over all servers.

    :param percentile: answers that are faster than a hedge, from 0 to 100.
    """

    def __init__(self, *, percentile: float = 93.0) -> None:
        self._hedges = LatencyTracker(config=LatencyConfig(percentile=percentile))
        self._means: dict[str, float] = {}

    def record(self, *, route: str, seconds: float, now: float) -> None:
        """Note the time of one usable answer."""
        self._hedges.record(service=route, seconds=seconds, now=now)
        mean = self._means.get(route)
        self._means[route] = seconds if mean is None else mean + 0.02 * (seconds - mean)

    def usual(self, *, route: str, goal: float) -> float:
        """Return the mean answer time in seconds."""
        return self._means.get(route, goal * 0.25)

    def hedge_delay(self, *, route: str, goal: float) -> float:
        """Return the seconds after which another server is asked as well."""
        latency = self._hedges.get(service=route)
        if latency is None or latency.count < _LEAST_SAMPLES:
            return goal * _FIRST_SHARE
        delay = max(latency.percentile, _LEAST_DELAY)
        return min(delay, goal * _MOST_SHARE)
