"""Factories for the parts of the daemon that depend on its settings."""

from savorypond.balancing.admission import Admission, AdmissionConfig
from savorypond.clock import Clock
from savorypond.filters.admission import AdmissionFilter
from savorypond.filters.chain import Chain
from savorypond.filters.coverage import CoverageFilter
from savorypond.filters.deadline import DeadlineFilter
from savorypond.filters.fanout import FanoutHandler
from savorypond.filters.metrics import MetricsFilter
from savorypond.filters.services import ServiceFilter
from savorypond.filters.snapshot import PinSource, SnapshotFilter
from savorypond.http.server import HttpLimits
from savorypond.metrics import Metrics
from savorypond.placement.forward_run import ForwardDependencies
from savorypond.placement.policies import (
    BoundedPlacement,
    DirectPlacement,
    FleetView,
    OwnerPlacement,
    StaticPlacement,
)
from savorypond.protocols import ConfigView
from savorypond.settings import PlacementMode, Settings

INITIAL_IN_FLIGHT = 16  # queries in flight that an instance admits when it starts
MIN_IN_FLIGHT = 1  # an instance's share of the fleet's capacity may be this small


def make_placement(mode: PlacementMode, view: FleetView) -> BoundedPlacement:
    """Return the placement policy for ``mode``."""
    if mode is PlacementMode.DIRECT:
        return DirectPlacement(view=view)
    if mode is PlacementMode.STATIC:
        return StaticPlacement(view=view)
    return OwnerPlacement(view=view)


def caller_limits(settings: Settings) -> HttpLimits:
    """Return the limits of the HTTP server for callers."""
    requests = settings.requests
    return HttpLimits(
        header_bytes=requests.header_bytes,
        body_bytes=requests.body_bytes,
        receive_time=requests.receive_time,
        connections_per_peer=requests.connections_per_caller,
    )


def _admission_config(max_in_flight: int) -> AdmissionConfig:
    return AdmissionConfig(
        initial=min(INITIAL_IN_FLIGHT, max_in_flight),
        min_limit=MIN_IN_FLIGHT,
        max_limit=max_in_flight,
    )


def make_chain(
    *,
    settings: Settings,
    config: ConfigView,
    pins: PinSource,
    dependencies: ForwardDependencies,
    metrics: Metrics,
    clock: Clock,
) -> Chain:
    """Return the filter chain for queries."""
    admission = Admission(config=_admission_config(settings.requests.in_flight))
    return Chain(
        filters=(
            MetricsFilter(metrics=metrics, clock=clock),
            DeadlineFilter(clock=clock, margin=settings.deadline_margin),
            AdmissionFilter(admission=admission, clock=clock),
            ServiceFilter(config=config),
            SnapshotFilter(pins=pins),
            CoverageFilter(),
        ),
        endpoint=FanoutHandler(
            dependencies=dependencies, pins=pins, clock=clock, counters=metrics.counters
        ),
    )
