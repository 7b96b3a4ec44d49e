"""The status of a gateway instance on its status page."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewayStatus:
    """The status of a gateway instance.

    :param version: version of the configuration, or None before the first.
    :param read_age: seconds since the published state was last read.
    :param servers: number of registered backend servers.
    :param limited_servers: number of them that have announced a rate limit.
    :param in_flight: number of unanswered requests.
    """

    name: str
    data_centre: str
    ready: bool
    version: int | None
    read_age: float
    servers: int
    limited_servers: int
    in_flight: int
