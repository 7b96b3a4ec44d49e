"""The settings of a gateway instance."""

from dataclasses import dataclass

from savorypond.model import Address


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewaySettings:
    """Addresses and limits of one gateway instance.

    :param host: IP address that the instance sends from.
    :param ready_address: serves the platform's readiness probes.
    :param operator_address: serves metrics and status.
    :param peer_address: serves requests of other instances.
    :param seeds: IP addresses of instances to contact first.
    :param store_address: the store that holds configuration and registrations.
    :param first_start: whether the whole system starts for the first time.
    :param termination_grace: seconds from a request to stop until the process is
        killed.
    :param retry_ratio: hedges and retries allowed for each request to a service.
    :param retry_slack: further hedges and retries allowed in each window, shared by
        all instances.
    :param retry_window: seconds over which hedges and retries are counted.
    :param cpu_capacity: processor time available to the instance, relative to one
        full processor.
    :param response_bytes: memory for the bodies of responses from backend servers.
    :param max_descriptors: file descriptors that the process may have open.
    """

    name: str
    data_centre: str
    host: str
    caller_address: Address
    ready_address: Address
    operator_address: Address
    peer_address: Address
    seeds: tuple[str, ...]
    store_address: Address
    first_start: bool
    termination_grace: float
    retry_ratio: float
    retry_slack: float
    retry_window: float
    cpu_capacity: float
    response_bytes: int
    max_descriptors: int
