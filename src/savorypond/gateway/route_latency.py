"""How long answers of each route usually take, and when to hedge."""

from savorypond.balancing.latency import LatencyConfig, LatencyTracker
from savorypond.gateway.gather_plan import HedgeDelays

# Answers of a route before its percentile is trusted.
_LEAST_SAMPLES = 40
# Until then a hedge waits for this share of the route's goal.
_FIRST_SHARE = 0.35
# A hedge must leave the second server time before the goal.
_MOST_SHARE = 0.5
_LEAST_DELAY = 0.008  # seconds
# A new connection to another data centre and the answer's way back: two round trips
# of some 10 ms and a handshake of 6 ms.
FAR_TIME = 0.026  # seconds


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

    def hedge_delays(self, *, route: str, goal: float, left: float) -> HedgeDelays:
        """Return the seconds after which another server is asked as well.

        A near one is asked once most answers have come. One that is far costs bytes
        between data centres, and is asked when its answer would just be in time.

        :param left: seconds until the answer need not hold every shard.
        """
        near = self._near_delay(route, goal)
        return HedgeDelays(local=near, remote=max(near, left - FAR_TIME - near))

    def _near_delay(self, route: str, goal: float) -> float:
        latency = self._hedges.get(service=route)
        known = latency is not None and latency.count >= _LEAST_SAMPLES
        # The percentile is worked out now and then, and is 0 before the first time.
        if latency is None or not known or not latency.percentile:
            return goal * _FIRST_SHARE
        delay = max(latency.percentile, _LEAST_DELAY)
        return min(delay, goal * _MOST_SHARE)
