"""Tracks the latency of each route, from which hedge delays are derived."""

from savorypond.balancing.latency import LatencyConfig, LatencyTracker
from savorypond.gateway.plan_types import HedgeDelays

_MIN_SAMPLES = 40  # answers of a route required to use its percentile
_INITIAL_DELAY_SHARE = 0.35  # hedge delay before that, as a share of the route's goal
# A hedge must leave the second server time to answer before the goal.
_MAX_DELAY_SHARE = 0.5  # of the route's goal
_MIN_DELAY = 0.008  # seconds
# A request over a new connection to another data centre takes two round trips of about
# 10 ms and a handshake of 6 ms.
REMOTE_TIME = 0.026  # seconds


class RouteLatencies:
    """Latency of each route over all servers.

    :param percentile: latency percentile after which to hedge, from 0 to 100.
    """

    def __init__(self, *, percentile: float = 93.0) -> None:
        self._percentiles = LatencyTracker(config=LatencyConfig(percentile=percentile))
        self._means: dict[str, float] = {}

    def record(self, *, route: str, seconds: float, now: float) -> None:
        """Record the latency of one usable answer."""
        self._percentiles.record(service=route, seconds=seconds, now=now)
        mean = self._means.get(route)
        self._means[route] = seconds if mean is None else mean + 0.02 * (seconds - mean)

    def mean(self, *, route: str, goal: float) -> float:
        """Return the mean latency in seconds, estimated until an answer arrived."""
        return self._means.get(route, goal * 0.25)

    def hedge_delays(self, *, route: str, goal: float, time_left: float) -> HedgeDelays:
        """Return the hedge delays of a request.

        A server of the same data centre is asked once most answers have arrived. One
        of another data centre costs traffic between the two, so it is asked as late as
        its answer can still be in time.

        :param time_left: seconds until the answer may be partial.
        """
        local_delay = self._local_delay(route, goal)
        return HedgeDelays(
            local=local_delay,
            remote=max(local_delay, time_left - REMOTE_TIME - local_delay),
        )

    def _local_delay(self, route: str, goal: float) -> float:
        latency = self._percentiles.get(service=route)
        has_samples = latency is not None and latency.count >= _MIN_SAMPLES
        # The percentile is computed at intervals and is 0 before the first one.
        if latency is None or not has_samples or not latency.percentile:
            return goal * _INITIAL_DELAY_SHARE
        delay = max(latency.percentile, _MIN_DELAY)
        return min(delay, goal * _MAX_DELAY_SHARE)
