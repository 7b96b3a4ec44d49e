"""The settings of a gateway instance."""

from dataclasses import dataclass

from savorypond.model import Address


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewaySettings:
    """Where one gateway instance listens, whom it asks, and its bounds.

    :param host: IP number that the instance sends from.
    :param ready_address: where it tells whether it takes callers.
    :param operator_address: metrics and status.
    :param peer_address: where other instances ask for published state.
    :param seeds: IP numbers of instances that may know the others.
    :param published: the store that holds configuration and registrations.
    :param stop_time: seconds from a request to stop until the process is killed.
    :param extra_ratio: extra sends that a service takes for each request for it.
    :param extra_slack: further extra sends a window, for all instances together.
    :param extra_window: seconds over which extra sends are counted.
    :param speed: processor time that the instance gets, in relation to one whole
        processor.
    :param descriptors: file descriptors that the process may have open.
    """

    name: str
    data_centre: str
    host: str
    caller_address: Address
    ready_address: Address
    operator_address: Address
    peer_address: Address
    seeds: tuple[str, ...]
    published: Address
    stop_time: float
    extra_ratio: float
    extra_slack: float
    extra_window: float
    speed: float
    descriptors: int
