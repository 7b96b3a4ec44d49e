"""Divides limits that all instances share by the number of instances.

Answers the load of many instances that open connections and send extra attempts to the
same servers, none of which sees what the others do.
"""

from collections.abc import Callable, Sequence

from savorypond.gateway.retry_budget import ServiceRetryBudgetConfig
from savorypond.gateway.settings import GatewaySettings
from savorypond.membership.membership import Membership
from savorypond.model import Instance

# Lower bound, because a fleet that has just started does not know all its members.
MIN_INSTANCES = 6
ASSUMED_INSTANCES = 100  # until peers are known
CONNECTION_SHARE = 0.9  # of a server's connections; restarts overlap slightly
# Only a few delegates connect to the servers of a query that is split into chunks.
MIN_DELEGATE_CONNECTIONS = 2  # to each of these servers


class FleetShares:
    """This instance's share of what the fleet may use.

    :param membership: returns what is known of all instances.
    :param peers: returns the live instances other than this one.
    """

    def __init__(
        self,
        *,
        membership: Callable[[], Membership],
        peers: Callable[[], Sequence[Instance]],
    ) -> None:
        self._membership = membership
        self._peers = peers

    def instance_count(self) -> int:
        """Return the number of instances that share the limits of backend servers."""
        return max(MIN_INSTANCES, self._membership().fleet_size)

    def reachable_share(self) -> float:
        """Return the part of the instances that are not cut off from this one.

        An instance that ended unexpectedly counts as cut off until membership has
        forgotten it: the two cannot be told apart.
        """
        live = len(self._peers()) + 1
        return live / max(live, self._membership().confirmed_size)

    def connections(self, limit: int, *, is_chunked: bool) -> int:
        """Return how many connections this instance may open to a server.

        :param limit: connections that the server accepts from all instances.
        :param is_chunked: whether it belongs to a query that is split into chunks.
        """
        share = int(limit * CONNECTION_SHARE) // self.instance_count()
        return max(MIN_DELEGATE_CONNECTIONS if is_chunked else 1, share)

    def initial_budget(self, settings: GatewaySettings) -> ServiceRetryBudgetConfig:
        """Return the budget of extra attempts until peers are known."""
        return _budget(settings, ASSUMED_INSTANCES)

    def budget(self, settings: GatewaySettings) -> ServiceRetryBudgetConfig:
        """Return the budget of extra attempts of this instance."""
        return _budget(settings, self.instance_count())


def _budget(settings: GatewaySettings, instances: int) -> ServiceRetryBudgetConfig:
    return ServiceRetryBudgetConfig(
        ratio=settings.retry_ratio,
        slack=settings.retry_slack / instances,
        window=settings.retry_window,
    )
