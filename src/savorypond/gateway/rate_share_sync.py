"""Exchanges claims and tokens of rate limits with the coordinators of services.

An instance may need a server of which it has no answer yet, as when the other servers
of a service fail. News of a limit therefore spread to all instances: each tells a few
others, which tell others in turn if they did not know.
"""

from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import Any, Self

from curio import Event, TaskGroup, TaskTimeout, sleep, spawn
from msgspec import DecodeError
from msgspec.msgpack import Decoder, encode

from savorypond.clock import Clock
from savorypond.exceptions import BackendServerError, PoolExhausted, RequestRefused
from savorypond.gateway.peers import RATES_PATH, PeerClient
from savorypond.gateway.rate_control import RateControl
from savorypond.gateway.rate_coordinator import RateCoordinator
from savorypond.gateway.rate_messages import (
    RateClaim,
    RateClaims,
    RateShares,
    ServerLimit,
)
from savorypond.gateway.rendezvous import rendezvous_score
from savorypond.gateway.servers import ServerRegistry
from savorypond.http.messages import Header, HttpRequest, HttpResponse
from savorypond.logs import log_event
from savorypond.model import Counters, Instance
from savorypond.reasons import RefusalReason
from savorypond.timeouts import ignore_after, timeout_after

CHECK_INTERVAL = 0.25  # seconds between checks for a limit without a claim
CLAIM_INTERVAL = 0.5  # seconds between claims; tokens outlast two that are lost
CLAIM_TIMEOUT = 0.4  # seconds for the answer of a coordinator
WAIT_TIMEOUT = 0.1  # seconds for which a request waits for a token
WAIT_CLAIMS = 3  # claims until it gives up; others may take the tokens of the first
ASKED_PEERS = 3  # for the limits that they know, by an instance that starts
NEAR_NEWS_PEERS = 2  # of the same data centre that are told of news
ANY_NEWS_PEERS = 2  # of all data centres
_MSGPACK = "application/msgpack"

_claims_decoder = Decoder(RateClaims)
_shares_decoder = Decoder(RateShares)


class CoordinatorChoice:
    """Selects the coordinator of each service, the same at every instance.

    It is in a data centre of the service's servers, where most of its users are, if
    any instance there is live. An instance that is stopping is none.

    :param live: returns the live instances, without this one if it may not own work.
    """

    def __init__(
        self,
        *,
        own_name: str,
        data_centre: str,
        registry: ServerRegistry,
        live: Callable[[], Sequence[Instance]],
    ) -> None:
        self._own_name = own_name
        self._data_centre = data_centre
        self._registry = registry
        self._live = live
        self._known_live: Sequence[Instance] | None = None
        self._chosen: dict[tuple[str, frozenset[str]], Instance | None] = {}

    def coordinator(self, service: str) -> Instance | None:
        """Return the coordinator of ``service``, or None if it is this instance."""
        live = self._live()
        if live is not self._known_live:
            self._known_live = live
            self._chosen.clear()
        data_centres = frozenset(
            server.data_centre for server in self._registry.servers(service)
        )
        key = (service, data_centres)
        if key not in self._chosen:
            self._chosen[key] = self._choose(service, data_centres, live)
        return self._chosen[key]

    def sample(self, count: int, random: Random) -> list[Instance]:
        """Return up to ``count`` live peers, those of this data centre first."""
        peers = self._shuffled_peers(random)
        peers.sort(key=lambda peer: peer.data_centre != self._data_centre)
        return peers[:count]

    def news_peers(self, random: Random) -> list[Instance]:
        """Return the live peers to tell of news, some of them of any data centre."""
        peers = self._shuffled_peers(random)
        anywhere, rest = peers[:ANY_NEWS_PEERS], peers[ANY_NEWS_PEERS:]
        near = [peer for peer in rest if peer.data_centre == self._data_centre]
        return anywhere + near[:NEAR_NEWS_PEERS]

    def _shuffled_peers(self, random: Random) -> list[Instance]:
        peers = [peer for peer in self._live() if peer.name != self._own_name]
        random.shuffle(peers)
        return peers

    def _choose(
        self, service: str, data_centres: frozenset[str], live: Sequence[Instance]
    ) -> Instance | None:
        near = [instance for instance in live if instance.data_centre in data_centres]
        chosen = max(
            near or live,
            key=lambda instance: rendezvous_score(service, instance.name),
            default=None,
        )
        is_own = chosen is not None and chosen.name == self._own_name
        return None if is_own else chosen


class RateShareSync:
    """Claims this instance's shares of limits, and answers the claims of others.

    :param live: returns the live instances, without this one if it may not own work.
    :param instance_count: returns the number of instances that share a limit.
    :param reachable_share: returns the part of the instances that are not cut off from
        this one, from 0 to 1.
    """

    def __init__(
        self,
        *,
        own_name: str,
        data_centre: str,
        live: Callable[[], Sequence[Instance]],
        rates: RateControl,
        client: PeerClient,
        registry: ServerRegistry,
        instance_count: Callable[[], int],
        reachable_share: Callable[[], float],
        clock: Clock,
        random: Random,
        counters: Counters,
    ) -> None:
        self._own_name = own_name
        self._choice = CoordinatorChoice(
            own_name=own_name, data_centre=data_centre, registry=registry, live=live
        )
        self._coordinator = RateCoordinator(
            servers=registry.servers,
            instance_count=instance_count,
            reachable_share=reachable_share,
            random=random,
        )
        self._rates = rates
        self._client = client
        self._registry = registry
        self._instance_count = instance_count
        self._clock = clock
        self._counters = counters
        self._random = random
        self._has_asked = False
        self._claimed: frozenset[str] = frozenset()
        self._claimed_at = 0.0
        self._unanswered: dict[str, Event] = {}
        self._task: Any = None

    async def __aenter__(self) -> Self:
        self._task = await spawn(self._run)
        return self

    async def __aexit__(self, *reason: object) -> None:
        await self._task.cancel()

    async def wait_for_tokens(
        self,
        services: Iterable[str],
        *,
        priority: int,
        lacks_token: Callable[[str], bool],
    ) -> None:
        """Claim the tokens that a request lacks, if there may be some.

        Return once it lacks none or the coordinators have none left, after
        ``WAIT_TIMEOUT`` at the latest.

        :param lacks_token: returns whether the request lacks a token of a service.
        """
        lacking = self._rates.lacking(
            services,
            priority=priority,
            lacks_token=lacks_token,
            now=self._clock.now(),
        )
        if not lacking:
            return
        self._counters.add("gateway_rate_claims", "awaited")
        async with ignore_after(WAIT_TIMEOUT):
            with self._rates.waits.waiting(lacking):
                for _ in range(WAIT_CLAIMS):
                    await self._claim_for_waiting(lacking)
                    lacking = self._rates.lacking(
                        lacking,
                        priority=priority,
                        lacks_token=lacks_token,
                        now=self._clock.now(),
                    )
                    if not lacking:
                        return

    async def _claim_for_waiting(self, services: Sequence[str]) -> None:
        """Claim ``services`` unless a claim is unanswered; return after an answer."""
        now = self._clock.now()
        unclaimed = [s for s in services if s not in self._unanswered]
        if unclaimed:
            await self._start_claims(
                [self._rates.claim(service, now) for service in unclaimed], now
            )
        for service in services:
            if (answered := self._unanswered.get(service)) is not None:
                await answered.wait()
                return

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the shares that another instance claims."""
        try:
            message = _claims_decoder.decode(request.body)
        except DecodeError as error:
            raise RequestRefused(
                reason=RefusalReason.MALFORMED,
                detail=f"invalid claims from a peer: {error}",
            ) from error
        now = self._clock.now()
        limits = self._rates.limits
        for service, news in message.news.items():
            limits.learn(service, news, now)
        for claim in message.claims:
            limits.learn(claim.service, claim.limits, now)
        shares = tuple(
            self._coordinator.divide(message.instance, claim, now)
            for claim in message.claims
            if self._choice.coordinator(claim.service) is None
        )
        known = {}
        if not message.claims and not message.news:
            known = {s: limits.known(s, now) for s in limits.services}
        self._counters.add("gateway_rate_claims", "handled")
        return HttpResponse(
            status=200,
            headers=(Header(name="content-type", value=_MSGPACK),),
            body=encode(RateShares(shares=shares, known=known)),
        )

    async def _run(self) -> None:
        while True:
            await sleep(CHECK_INTERVAL)
            if not self._has_asked:
                await self._ask_peers()
            now = self._clock.now()
            if news := self._rates.limits.take_news(now):
                await self._tell(news, now)
            services = frozenset(self._rates.limits.services)
            is_due = now - self._claimed_at >= CLAIM_INTERVAL
            if services - self._claimed or (services and is_due):
                await self._claim_all(now)
            self._claimed = services
            if is_due:
                self._expire(now)

    def _expire(self, now: float) -> None:
        limits = self._rates.limits
        limits.set_instance_count(self._instance_count())
        limits.retain(self._registry.all(), now)
        self._rates.admission.expire(now)
        self._rates.waits.expire(now)
        self._coordinator.expire(now)

    async def _claim_all(self, now: float) -> None:
        self._claimed_at = now
        claims = self._rates.claims(now)
        unanswered = await self._start_claims(
            [claim for claim in claims if claim.service not in self._unanswered], now
        )
        for answered in unanswered:
            await answered.wait()

    async def _start_claims(
        self, claims: Iterable[RateClaim], now: float
    ) -> list[Event]:
        """Answer or send ``claims``; return an event for each message sent."""
        remote: dict[str, tuple[Instance, list[RateClaim]]] = {}
        for claim in claims:
            peer = self._choice.coordinator(claim.service)
            if peer is None:
                share = self._coordinator.divide(self._own_name, claim, now)
                self._rates.apply(share, claimed_at=now, now=now)
                self._rates.end_claim(claim, now)
            else:
                remote.setdefault(peer.name, (peer, []))[1].append(claim)
        events = []
        for peer, of_peer in remote.values():
            answered = Event()
            events.append(answered)
            self._unanswered.update((claim.service, answered) for claim in of_peer)
            await spawn(
                self._claim_from, peer, tuple(of_peer), answered, now, daemon=True
            )
        return events

    async def _claim_from(
        self,
        peer: Instance,
        claims: tuple[RateClaim, ...],
        answered: Event,
        now: float,
    ) -> None:
        try:
            await self._send(peer, self._message(claims), now)
        finally:
            for claim in claims:
                del self._unanswered[claim.service]
                self._rates.end_claim(claim, self._clock.now())
            await answered.set()

    async def _tell(self, news: dict[str, tuple[ServerLimit, ...]], now: float) -> None:
        message = self._message(news=news)
        for peer in self._choice.news_peers(self._random):
            await spawn(self._send, peer, message, now, daemon=True)

    async def _ask_peers(self) -> None:
        """Learn the limits from peers, since a restarted instance knows none."""
        async with TaskGroup() as group:
            for peer in self._choice.sample(ASKED_PEERS, self._random):
                await group.spawn(self._send, peer, self._message(), self._clock.now())
        self._has_asked = any(task.result for task in group.tasks)

    def _message(
        self,
        claims: tuple[RateClaim, ...] = (),
        news: dict[str, tuple[ServerLimit, ...]] | None = None,
    ) -> RateClaims:
        return RateClaims(instance=self._own_name, claims=claims, news=news or {})

    async def _send(
        self, peer: Instance, message: RateClaims, claimed_at: float
    ) -> bool:
        """Send ``message`` and apply the answer; return whether there was one."""
        request = HttpRequest(method="POST", path=RATES_PATH, body=encode(message))
        problem = ""
        try:
            async with timeout_after(CLAIM_TIMEOUT):
                response = await self._client.send(peer, request)
            if response.status == 200:
                answer = _shares_decoder.decode(response.body)
            else:
                problem = f"status {response.status}"
        except TaskTimeout:
            problem = f"no answer within {CLAIM_TIMEOUT} s"
        except (BackendServerError, PoolExhausted, DecodeError) as error:
            problem = str(error)
        if problem:
            # Tokens outlast a lost claim; after that, an even part is used.
            self._counters.add("gateway_rate_claims", "failed")
            log_event(
                "rate-claim-failed",
                coordinator=peer.name,
                services=len(message.claims),
                news=len(message.news),
                problem=problem,
            )
            return False
        self._counters.add("gateway_rate_claims", "answered")
        now = self._clock.now()
        for share in answer.shares:
            self._rates.apply(share, claimed_at=claimed_at, now=now)
        for service, limits in answer.known.items():
            self._rates.limits.learn(service, limits, now)
        return True
