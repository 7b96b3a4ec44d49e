"""Hands shards to other instances, and takes what they gathered."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from curio import TaskTimeout, timeout_after
from msgspec import DecodeError, Struct
from msgspec.msgpack import Decoder, encode

from savorypond.clock import Clock
from savorypond.exceptions import BackendServerError, PoolExhausted, RequestRefused
from savorypond.gateway.attempts import ForwardedRequest
from savorypond.gateway.delegation import Delegation, Group
from savorypond.gateway.headers import HeaderNames
from savorypond.gateway.peers import DELEGATED_PATH, PeerClient
from savorypond.gateway.rankedmerge import Part
from savorypond.gateway.routes import Route
from savorypond.http.messages import Header, HttpRequest, HttpResponse
from savorypond.model import Counters, Instance
from savorypond.reasons import RefusalReason

# The merged answer of another instance is merged once more here.
NEAR_RETURN_MARGIN = 0.012  # seconds
FAR_RETURN_MARGIN = 0.014  # seconds; it crosses between data centres as well
# A peer answers in time with what it has; one that does not is paused or cut off.
PATIENCE_MARGIN = 0.02  # seconds after the moment at which its answer was due
# Numbers of the shards answered, in the order in which they were asked.
_SHARDS = "peer-shards"


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupResult:
    """What became of shards that were handed over.

    :param part: the merged answer, or None where there is none.
    :param answered: numbers of the shards that it holds.
    :param may_have_run: whether backend servers may have got the request.
    """

    peer: str
    part: Part | None
    answered: tuple[int, ...] = ()
    may_have_run: bool = True
    problem: str = ""


class GroupRequest(Struct, frozen=True, kw_only=True):
    """A request for some of its shards, as one instance hands it to another.

    It says all that is needed to run it, so that both instances need not go by the
    same version of the configuration.

    :param route: the caller's route; its shards are those that are handed over.
    :param version: of the configuration that the route is of.
    :param left: seconds until the request must have its final answer.
    :param within: seconds until an answer need not hold every shard.
    """

    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    request_id: str
    route: Route
    version: int
    left: float
    within: float


_decoder = Decoder(GroupRequest)


class Handover:
    """Hands shards to peers that are nearer to them.

    :param peers: returns the live instances other than this one.
    """

    def __init__(
        self,
        *,
        names: HeaderNames,
        data_centre: str,
        delegation: Delegation,
        client: PeerClient,
        peers: Callable[[], Sequence[Instance]],
        clock: Clock,
        counters: Counters,
    ) -> None:
        self._names = names
        self._data_centre = data_centre
        self._delegation = delegation
        self._client = client
        self._peers = peers
        self._clock = clock
        self._counters = counters

    def choose(self, services: tuple[str, ...]) -> tuple[Group, ...]:
        """Return the groups of shards that peers should gather."""
        return self._delegation.choose(services, self._peers(), self._clock.now())

    async def run(
        self,
        group: Group,
        request: ForwardedRequest,
        *,
        route: Route,
        version: int,
        answer_at: float,
        give_up: bool,
    ) -> GroupResult:
        """Return what the peer of ``group`` has gathered.

        :param route: the caller's route, which is of the configuration ``version``.
        :param answer_at: monotonic seconds from which the caller's answer need
            not hold every shard.
        :param give_up: stop waiting when the answer is overdue.
        """
        peer = group.peer
        message = self._encode(group, request, route, version, answer_at)
        now = self._clock.now()
        due = max(now, answer_at) + PATIENCE_MARGIN
        number = self._delegation.began(peer, due=due)
        answered = False
        try:
            until = due if give_up else max(due, request.ends)
            async with timeout_after(until - now):
                response = await self._client.ask(peer, message)
            answered = True
        except TaskTimeout:
            return self._failed(peer, "no answer in time", sent=True)
        except BackendServerError as error:
            return self._failed(peer, error.problem, sent=error.sent)
        except PoolExhausted as error:
            return self._failed(peer, str(error), sent=False)
        finally:
            now = self._clock.now()
            self._delegation.ended(peer, number, answered=answered, now=now)
        return self._take(group, response)

    def _encode(
        self,
        group: Group,
        request: ForwardedRequest,
        route: Route,
        version: int,
        answer_at: float,
    ) -> HttpRequest:
        now = self._clock.now()
        near = group.peer.data_centre == self._data_centre
        margin = NEAR_RETURN_MARGIN if near else FAR_RETURN_MARGIN
        shards = tuple(route.shards[shard] for shard in group.shards)
        message = GroupRequest(
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            request_id=request.request_id,
            route=replace(route, shards=shards),
            version=version,
            left=max(0.0, request.ends - now),
            within=max(0.0, answer_at - now - margin),
        )
        return HttpRequest(method="POST", path=DELEGATED_PATH, body=encode(message))

    def _take(self, group: Group, response: HttpResponse) -> GroupResult:
        peer = group.peer
        signatures = response.header(self._names.part_signatures)
        answered = response.header(_SHARDS)
        if response.status != 200 or not signatures or not answered:
            sent = response.status != 503
            return self._failed(peer, f"status {response.status}", sent=sent)
        self._counters.add("gateway_handovers", "answered")
        return GroupResult(
            peer=peer.name,
            part=Part(signatures=tuple(signatures.split(", ")), body=response.body),
            answered=tuple(group.shards[int(n)] for n in answered.split(",")),
        )

    def _failed(self, peer: Instance, problem: str, *, sent: bool) -> GroupResult:
        self._counters.add("gateway_handovers", "may-have-run" if sent else "not-run")
        return GroupResult(
            peer=peer.name, part=None, may_have_run=sent, problem=problem
        )


def read_group_request(request: HttpRequest) -> GroupRequest:
    """Return what a peer asks for; raise RequestRefused."""
    try:
        return _decoder.decode(request.body)
    except DecodeError as error:
        raise RequestRefused(
            reason=RefusalReason.MALFORMED, detail=f"message of a peer: {error}"
        ) from error


def group_response(response: HttpResponse, answered: Sequence[int]) -> HttpResponse:
    """Return ``response`` with the numbers of the shards that it holds."""
    header = Header(name=_SHARDS, value=",".join(str(number) for number in answered))
    return HttpResponse(
        status=response.status, headers=(*response.headers, header), body=response.body
    )
