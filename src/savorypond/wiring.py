"""Small builders for the parts that the daemon wires."""

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

FIRST_IN_FLIGHT = 16  # queries that an instance takes at once when it starts
LEAST_IN_FLIGHT = 1  # a share of the fleet's capacity may be as small


def make_placement(mode: PlacementMode, view: FleetView) -> BoundedPlacement:
    """Return the placement that ``mode`` names."""
    if mode is PlacementMode.DIRECT:
        return DirectPlacement(view=view)
    if mode is PlacementMode.STATIC:
        return StaticPlacement(view=view)
    return OwnerPlacement(view=view)


def caller_limits(settings: Settings) -> HttpLimits:
    """Return what the callers' port accepts."""
    requests = settings.requests
    return HttpLimits(
        header_bytes=requests.header_bytes,
        body_bytes=requests.body_bytes,
        receive_time=requests.receive_time,
        connections_per_peer=requests.connections_per_caller,
    )


def _admission_config(most: int) -> AdmissionConfig:
    return AdmissionConfig(
        initial=min(FIRST_IN_FLIGHT, most), min_limit=LEAST_IN_FLIGHT, max_limit=most
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
    """Return the filters that a query walks, in order."""
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
