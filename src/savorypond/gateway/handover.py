"""Hands shards to other instances, and takes what they gathered."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from curio import TaskTimeout, timeout_after

from savorypond.clock import Clock
from savorypond.exceptions import BackendServerError, PoolExhausted, RequestRefused
from savorypond.gateway.attempts import ForwardedRequest
from savorypond.gateway.delegation import Delegation, Group
from savorypond.gateway.headers import HeaderNames
from savorypond.gateway.peers import DELEGATED_PREFIX, PeerClient
from savorypond.gateway.rankedmerge import Part
from savorypond.http.httptypes import Header, HttpRequest, HttpResponse
from savorypond.model import Counters, Instance
from savorypond.reasons import RefusalReason

_MILLISECONDS = 1000.0  # in a second
# The merged answer crosses between data centres and is merged once more.
RETURN_MARGIN = 0.014  # seconds
# A peer answers in time with what it has; one that does not is paused or cut off.
PATIENCE_MARGIN = 0.02  # seconds after the moment at which its answer was due
CONFLICT = 409  # the peer goes by another version of the configuration
# Milliseconds until an answer need not hold every shard.
_ANSWER_WITHIN = "peer-answer-within-ms"
# Version of the configuration that the sender goes by.
_VERSION = "peer-configuration-version"
# Numbers of the shards asked for, or answered, in the order of the route.
_SHARDS = "peer-shards"
_OWN_HEADERS = (_ANSWER_WITHIN, _VERSION, _SHARDS)


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


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupRequest:
    """A request that a peer handed over.

    :param request: as its caller sent it.
    :param within: seconds until an answer need not hold every shard.
    """

    request: HttpRequest
    version: int
    shards: tuple[int, ...]
    within: float


class Handover:
    """Hands shards to peers that are nearer to them.

    :param peers: returns the live instances other than this one.
    """

    def __init__(
        self,
        *,
        names: HeaderNames,
        delegation: Delegation,
        client: PeerClient,
        peers: Callable[[], Sequence[Instance]],
        clock: Clock,
        counters: Counters,
    ) -> None:
        self._names = names
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
        version: int,
        answer_at: float,
        give_up: bool,
    ) -> GroupResult:
        """Return what the peer of ``group`` has gathered.

        :param answer_at: monotonic seconds from which the caller's answer need
            not hold every shard.
        :param give_up: stop waiting when the answer is overdue.
        """
        peer = group.peer
        message = self._encode(group, request, version, answer_at)
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
        return self._take(peer, response)

    def _encode(
        self,
        group: Group,
        request: ForwardedRequest,
        version: int,
        answer_at: float,
    ) -> HttpRequest:
        now = self._clock.now()
        left = max(1, int((request.ends - now) * _MILLISECONDS))
        within = max(0, int((answer_at - now - RETURN_MARGIN) * _MILLISECONDS))
        own = (
            Header(name=self._names.time_left, value=str(left)),
            Header(name=_ANSWER_WITHIN, value=str(within)),
            Header(name=_VERSION, value=str(version)),
            Header(name=_SHARDS, value=_join(group.shards)),
        )
        return HttpRequest(
            method=request.method,
            path=DELEGATED_PREFIX + request.path,
            headers=request.headers + own,
            body=request.body,
        )

    def _take(self, peer: Instance, response: HttpResponse) -> GroupResult:
        signatures = response.header(self._names.part_signatures)
        answered = response.header(_SHARDS)
        if response.status != 200 or not signatures or not answered:
            sent = response.status not in (CONFLICT, 503)
            return self._failed(peer, f"status {response.status}", sent=sent)
        self._counters.add("gateway_handovers", "answered")
        return GroupResult(
            peer=peer.name,
            part=Part(signatures=tuple(signatures.split(", ")), body=response.body),
            answered=_split(answered),
        )

    def _failed(self, peer: Instance, problem: str, *, sent: bool) -> GroupResult:
        self._counters.add("gateway_handovers", "may-have-run" if sent else "not-run")
        return GroupResult(
            peer=peer.name, part=None, may_have_run=sent, problem=problem
        )


def read_group_request(request: HttpRequest) -> GroupRequest:
    """Return what a peer asks for; raise RequestRefused."""
    try:
        return GroupRequest(
            request=HttpRequest(
                method=request.method,
                path=request.path.removeprefix(DELEGATED_PREFIX),
                headers=tuple(h for h in request.headers if h.name not in _OWN_HEADERS),
                body=request.body,
            ),
            version=int(request.header(_VERSION) or ""),
            shards=_split(request.header(_SHARDS) or ""),
            within=int(request.header(_ANSWER_WITHIN) or "") / _MILLISECONDS,
        )
    except ValueError as error:
        raise RequestRefused(
            reason=RefusalReason.MALFORMED, detail=f"headers of a peer: {error}"
        ) from error


def group_response(response: HttpResponse, answered: Sequence[int]) -> HttpResponse:
    """Return ``response`` with the numbers of the shards that it holds."""
    header = Header(name=_SHARDS, value=_join(answered))
    return HttpResponse(
        status=response.status, headers=(*response.headers, header), body=response.body
    )


def _join(numbers: Sequence[int]) -> str:
    return ",".join(str(number) for number in numbers)


def _split(text: str) -> tuple[int, ...]:
    return tuple(int(number) for number in text.split(","))
