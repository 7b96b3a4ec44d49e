"""Parameters and results of the run of a request."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from savorypond.clock import Clock
from savorypond.gateway.attempts import AttemptResult, AttemptRunner, ForwardedRequest
from savorypond.gateway.crash_isolation import CrashIsolation
from savorypond.gateway.delegation_client import DelegationClient
from savorypond.gateway.headers import HeaderNames
from savorypond.gateway.plan_types import Verdict
from savorypond.gateway.ranked_merge import PartialAnswer
from savorypond.gateway.rate_control import RateControl
from savorypond.gateway.retry_budget import ServiceRetryBudget
from savorypond.gateway.route_latency import RouteLatencies
from savorypond.gateway.routes import Route
from savorypond.gateway.server_load import ServerLoadTracker
from savorypond.gateway.server_notices import ServerNotices
from savorypond.gateway.servers import ServerRegistry
from savorypond.http.messages import HttpResponse
from savorypond.model import Counters


@dataclass(frozen=True, slots=True, kw_only=True)
class RunResult:
    """The result of a request.

    :param parts: usable answers that no earlier result of the request held.
    :param answered: indexes of the shards that they cover.
    :param pending: indexes of the shards whose attempts go on.
    :param response: the last usable response of a backend server.
    :param missing: services without a usable answer.
    :param last_failure: the latest attempt without a usable answer.
    :param may_run: whether a server may have run the request.
    :param reached: whether anything was sent to a server.
    :param delegated: number of shards that were delegated to other instances.
    :param rate_limited: whether rate limits of servers kept shards from being sent.
    :param wait: seconds after which the servers whose absence ended the request want
        requests again; 0 if something else ended it.
    :param cut_off: whether the answer covered enough shards early and left, without
        the missing ones, when an answer may be partial.
    :param isolated: whether the request was ended since servers crash under it.
    """

    verdict: Verdict
    parts: tuple[PartialAnswer, ...]
    answered: tuple[int, ...]
    pending: tuple[int, ...]
    response: HttpResponse | None
    missing: tuple[str, ...]
    last_failure: AttemptResult | None
    may_run: bool
    reached: bool
    hedges: int
    retries: int
    denied: int
    delegated: int
    problems: tuple[str, ...]
    rate_limited: bool
    cut_off: bool
    wait: float = 0.0
    isolated: bool = False


class TokenSource(Protocol):
    """Obtains tokens of servers with rate limits."""

    async def wait_for_tokens(
        self,
        services: Iterable[str],
        *,
        priority: int,
        lacks_token: Callable[[str], bool],
    ) -> None:
        """Obtain the tokens of ``services`` that a request lacks, if there are some."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RunDependencies:
    """Objects shared by all requests of an instance."""

    names: HeaderNames
    registry: ServerRegistry
    loads: ServerLoadTracker
    runner: AttemptRunner
    delegation_client: DelegationClient
    budget: ServiceRetryBudget
    latencies: RouteLatencies
    rates: RateControl
    notices: ServerNotices
    tokens: TokenSource
    isolation: CrashIsolation
    clock: Clock
    counters: Counters


@dataclass(frozen=True, slots=True, kw_only=True)
class RunSpec:
    """The parameters of one request.

    :param version: version of the configuration that contains the route.
    :param services: the services to query, one for each shard.
    :param partial_after: monotonic seconds from which an answer may be partial.
    :param least_share: share of the services that an answer must cover, from 0 to 1.
    :param may_delegate: whether other instances may gather some of the shards.
    :param admitted: share of the requests like this one that another instance admitted
        before it delegated this one.
    """

    route: Route
    version: int
    services: tuple[str, ...]
    request: ForwardedRequest
    partial_after: float
    least_share: float
    may_delegate: bool
    admitted: float = 1.0
