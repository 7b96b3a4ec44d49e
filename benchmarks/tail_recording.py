"""Recorded arrivals and service times, the simulated services and the figures."""

from dataclasses import dataclass, field
from random import Random

from hdrh.histogram import HdrHistogram

from savorypond.model import (
    Address,
    BackendServer,
    Preference,
    Priority,
    ServerLimits,
    Service,
    ServiceKind,
    ShardLayout,
    ShardRange,
)

SERVICES = 20
REPLICAS = 2
SLOTS = 2
MEAN_TIME = 0.005  # seconds of work of a warm backend server
SIGMA = 0.5  # of the logarithm of the service time
ATTEMPT_DRAWS = 4  # recorded service times per query and service


@dataclass(frozen=True, slots=True, kw_only=True)
class Faults:
    """The names of the faulty backend servers."""

    straggler: str = ""
    lost: str = ""
    cold: str = ""
    silent: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Recording:
    """Arrivals and service times that every run replays.

    :param arrivals: seconds after the start.
    :param times: seconds of work by query, service and draw.
    """

    arrivals: tuple[float, ...]
    times: tuple[tuple[tuple[float, ...], ...], ...]


@dataclass(slots=True, kw_only=True)
class Figures:
    """The figures of one run."""

    latency: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, 60_000_000, 3)
    )
    coverage_sum: float = 0.0
    least_coverage: float = 1.0
    queries: int = 0
    firsts: dict[str, int] = field(default_factory=dict)
    extras: dict[str, int] = field(default_factory=dict)

    def percentile(self, percent: float) -> float:
        """Return the milliseconds at ``percent``."""
        return self.latency.get_value_at_percentile(percent) / 1000

    @property
    def mean_coverage(self) -> float:
        return self.coverage_sum / self.queries

    @property
    def extra_share(self) -> float:
        return sum(self.extras.values()) / sum(self.firsts.values())

    @property
    def worst_extra_share(self) -> float:
        """Most extra requests of a backend server, as a share of its mean firsts."""
        total = sum(self.firsts.values()) / (SERVICES * REPLICAS)
        return max(self.extras.values(), default=0) / total


def record(*, seconds: float, rate: float, seed: int) -> Recording:
    """Draw Poisson arrivals and lognormal service times."""
    random = Random(seed)
    arrivals = []
    now = random.expovariate(rate)
    while now < seconds:
        arrivals.append(now)
        now += random.expovariate(rate)
    times = tuple(
        tuple(
            tuple(_service_time(random) for _ in range(ATTEMPT_DRAWS))
            for _ in range(SERVICES)
        )
        for _ in arrivals
    )
    return Recording(arrivals=tuple(arrivals), times=times)


def _service_time(random: Random) -> float:
    return MEAN_TIME * random.lognormvariate(-SIGMA * SIGMA / 2, SIGMA)


def make_services() -> tuple[Service, ...]:
    """Return the services, each with one shard and two replicas."""
    return tuple(_make_service(number) for number in range(SERVICES))


def _make_service(number: int) -> Service:
    name = f"s{number:02}"
    shard = ShardRange(shard=name, low=number, high=number + 1)
    return Service(
        name=name,
        kind=ServiceKind.SEARCH,
        index="boats",
        layouts=(ShardLayout(number=1, shards=(shard,)),),
        backend_servers=tuple(
            BackendServer(
                name=f"{name}/{replica}",
                address=Address(host="127.0.0.1", port=1),
                data_centre="here",
            )
            for replica in range(REPLICAS)
        ),
        limits=ServerLimits(slots=SLOTS, connections=25, connect_time=0.006),
        priority=Priority.INTERACTIVE,
        prefer=Preference.LATENCY,
        time_limit=1.0,
        least_coverage=0.0,
    )
