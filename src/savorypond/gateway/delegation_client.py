"""Delegates shards to other instances and decodes their merged answers."""

from base64 import b64decode, b64encode
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import TypeVar

from curio import TaskTimeout
from msgspec import DecodeError, Struct
from msgspec.msgpack import Decoder, encode

from savorypond.clock import Clock
from savorypond.exceptions import BackendServerError, PoolExhausted, RequestRefused
from savorypond.gateway.answer_timing import AnswerTiming
from savorypond.gateway.attempts import ForwardedRequest
from savorypond.gateway.delegation import DelegationPolicy, ShardGroup
from savorypond.gateway.headers import HeaderNames
from savorypond.gateway.leaving_servers import LeavingServer
from savorypond.gateway.peers import DELEGATED_PATH, FOLLOW_UP_PATH, PeerClient
from savorypond.gateway.ranked_merge import PartialAnswer
from savorypond.gateway.routes import Route
from savorypond.http.messages import Header, HttpRequest, HttpResponse
from savorypond.model import Counters, Instance
from savorypond.reasons import RefusalReason
from savorypond.timeouts import timeout_after

# A healthy peer answers in time, if only partially. One that does not is paused or
# disconnected.
OVERDUE_MARGIN = 0.02  # seconds after which a due answer is overdue
# The shards of an overdue group are asked again only later. The answer is late anyway,
# the peer may just be busy, and asking all its shards again would add to the load.
FALLBACK_DELAY = 0.15  # seconds after the answer was due
MAX_FALLBACK_SHARE = 0.5  # of the time until the caller's deadline
# Response header with the indexes of the answered shards in the group.
_SHARDS_HEADER = "peer-shards"
# Response header with the indexes of those that the peer is still waiting for.
_PENDING_HEADER = "peer-pending-shards"
# Response header with the shares of requests that shards have room for, by index.
_ROOM_HEADER = "peer-room"
# Response header that is present if rate limits kept shards from being sent.
_RATE_LIMITED_HEADER = "peer-rate-limited"
# Response header that is present if no backend server may have run the request.
_NOT_RUN_HEADER = "peer-not-run"
# Response header with the leaving servers of the shards, as MessagePack in base64.
_LEAVING_HEADER = "peer-leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupResult:
    """The result of a delegated group of shards.

    :param part: the merged answer, or None if the peer failed.
    :param number: number of the group, by which the peer is asked for the rest.
    :param answered: indexes of the shards that the answer covers.
    :param pending: indexes of the shards that the peer is still waiting for.
    :param shares: shards without room for all requests, with the share of them that
        they have room for.
    :param rate_limited: whether rate limits kept shards from being sent.
    :param may_have_run: whether backend servers may have received the request.
    :param leaving: backend servers of these shards that are leaving.
    """

    peer: str
    number: int
    part: PartialAnswer | None
    answered: tuple[int, ...] = ()
    pending: tuple[int, ...] = ()
    shares: tuple[tuple[int, float], ...] = ()
    rate_limited: bool = False
    may_have_run: bool = True
    problem: str = ""
    leaving: tuple[LeavingServer, ...] = ()


class GroupRequest(Struct, frozen=True, kw_only=True):
    """The message that delegates some shards of a request to another instance.

    It contains everything needed to run the request, so that the two instances may
    have different versions of the configuration.

    :param route: the caller's route, reduced to the delegated shards.
    :param version: version of the configuration that contains the route.
    :param number: number of the group, unique at the instance that sends it; 0 from one
        of an earlier version, which asks for no rest.
    :param left: seconds until the request must have its final answer.
    :param within: seconds until the answer may be partial.
    :param admitted: share of the requests like this one that were not refused before.
    :param sent_at: monotonic seconds by the clock of the instance that sends it, or
        None from one of an earlier version.
    :param leaving: backend servers of these shards that are leaving.
    """

    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    request_id: str
    route: Route
    version: int
    number: int = 0
    left: float
    within: float
    admitted: float = 1.0
    sent_at: float | None = None
    leaving: tuple[LeavingServer, ...] = ()


class GroupFollowUp(Struct, frozen=True, kw_only=True):
    """The message that asks for the shards that were missing in a group's answer."""

    request_id: str
    number: int


_Message = TypeVar("_Message")
_decoder = Decoder(GroupRequest)
_follow_up_decoder = Decoder(GroupFollowUp)
_leaving_decoder = Decoder(tuple[LeavingServer, ...])


class DelegationClient:
    """Delegates groups of shards to peers.

    :param peers: returns the live instances other than this one.
    """

    def __init__(
        self,
        *,
        names: HeaderNames,
        timing: AnswerTiming,
        policy: DelegationPolicy,
        client: PeerClient,
        peers: Callable[[], Sequence[Instance]],
        clock: Clock,
        counters: Counters,
    ) -> None:
        self._names = names
        self._timing = timing
        self._policy = policy
        self._client = client
        self._peers = peers
        self._clock = clock
        self._counters = counters

    def choose(self, services: tuple[str, ...]) -> tuple[ShardGroup, ...]:
        """Return the groups of shards to delegate."""
        return self._policy.choose(services, self._peers(), self._clock.now())

    async def gather(
        self,
        group: ShardGroup,
        request: ForwardedRequest,
        *,
        route: Route,
        version: int,
        partial_after: float,
        admitted: float = 1.0,
        leaving: tuple[LeavingServer, ...] = (),
    ) -> GroupResult:
        """Let the peer of ``group`` gather its shards; return the result.

        :param route: the caller's route in the configuration ``version``.
        :param partial_after: monotonic seconds from which the caller's answer may be
            partial.
        :param admitted: share of the requests like this one that are not refused here.
        :param leaving: backend servers of these shards that are leaving.
        """
        peer = group.peer
        now = self._clock.now()
        due = max(now, partial_after) + OVERDUE_MARGIN
        return_by = max(now, partial_after - self._timing.return_delay(peer))
        number = self._policy.group_started(peer, due=due)
        message = self._encode(
            group, request, route, version, return_by, number, admitted, leaving
        )
        answered = False
        try:
            async with timeout_after(max(due, request.caller_deadline) - now):
                response = await self._client.send(peer, message)
            answered = True
        except TaskTimeout:
            return self._failure(peer, number, "no answer in time", sent=True)
        except BackendServerError as error:
            return self._failure(peer, number, error.problem, sent=error.sent)
        except PoolExhausted as error:
            return self._failure(peer, number, str(error), sent=False)
        finally:
            now = self._clock.now()
            self._policy.group_finished(peer, number, answered=answered, now=now)
        result = self._decode(group, number, response)
        if result.part is not None and len(result.answered) < len(group.shards):
            self._timing.record_return(peer, due=return_by, now=now)
        return result

    async def gather_rest(
        self, group: ShardGroup, request: ForwardedRequest, *, number: int
    ) -> GroupResult:
        """Let the peer of ``group`` wait for further shards; return the next ones.

        :param number: number of the group in its first result.
        """
        peer = group.peer
        follow_up = GroupFollowUp(request_id=request.request_id, number=number)
        message = HttpRequest(
            method="POST", path=FOLLOW_UP_PATH, body=encode(follow_up)
        )
        try:
            async with timeout_after(
                max(0.0, request.caller_deadline - self._clock.now())
            ):
                response = await self._client.send(peer, message)
        except TaskTimeout:
            return self._failure(peer, number, "no further answer in time", sent=True)
        except BackendServerError as error:
            return self._failure(peer, number, error.problem, sent=True)
        except PoolExhausted as error:
            return self._failure(peer, number, str(error), sent=True)
        return self._decode(group, number, response)

    def _encode(
        self,
        group: ShardGroup,
        request: ForwardedRequest,
        route: Route,
        version: int,
        return_by: float,
        number: int,
        admitted: float,
        leaving: tuple[LeavingServer, ...],
    ) -> HttpRequest:
        now = self._clock.now()
        shards = tuple(route.shards[shard] for shard in group.shards)
        message = GroupRequest(
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            request_id=request.request_id,
            route=replace(route, shards=shards),
            version=version,
            number=number,
            left=max(0.0, request.caller_deadline - now),
            within=max(0.0, return_by - now),
            admitted=admitted,
            sent_at=now,
            leaving=leaving,
        )
        return HttpRequest(method="POST", path=DELEGATED_PATH, body=encode(message))

    def _decode(
        self, group: ShardGroup, number: int, response: HttpResponse
    ) -> GroupResult:
        peer = group.peer
        if response.status != 200:
            sent = response.status != 503
            return self._failure(peer, number, f"status {response.status}", sent=sent)
        signatures = response.header(self._names.part_signatures) or ""
        names = tuple(signatures.split(", ")) if signatures else ()
        try:
            shards = _decode_shards(group, response.header(_SHARDS_HEADER))
            pending = _decode_shards(group, response.header(_PENDING_HEADER))
            shares = _decode_room(group, response.header(_ROOM_HEADER))
            leaving = _decode_leaving(response.header(_LEAVING_HEADER))
        except (ValueError, IndexError, DecodeError) as error:
            return self._failure(peer, number, f"invalid headers: {error}", sent=True)
        if len(set(shards)) != len(names):
            problem = f"{len(names)} signatures for {len(shards)} shards"
            return self._failure(peer, number, problem, sent=True)
        self._counters.add("gateway_handovers", "answered")
        part = PartialAnswer(signatures=names, body=response.body) if names else None
        return GroupResult(
            peer=peer.name,
            number=number,
            part=part,
            answered=shards,
            pending=pending,
            shares=shares,
            rate_limited=response.header(_RATE_LIMITED_HEADER) is not None,
            may_have_run=response.header(_NOT_RUN_HEADER) is None,
            leaving=leaving,
        )

    def _failure(
        self, peer: Instance, number: int, problem: str, *, sent: bool
    ) -> GroupResult:
        self._counters.add("gateway_handovers", "may-have-run" if sent else "not-run")
        return GroupResult(
            peer=peer.name,
            number=number,
            part=None,
            may_have_run=sent,
            problem=problem,
        )


def decode_group_request(request: HttpRequest) -> GroupRequest:
    """Return the request of a peer; raise RequestRefused."""
    return _decode_message(_decoder, request)


def decode_follow_up(request: HttpRequest) -> GroupFollowUp:
    """Return the follow-up request of a peer; raise RequestRefused."""
    return _decode_message(_follow_up_decoder, request)


def _decode_message(decoder: Decoder[_Message], request: HttpRequest) -> _Message:
    try:
        return decoder.decode(request.body)
    except DecodeError as error:
        raise RequestRefused(
            reason=RefusalReason.MALFORMED,
            detail=f"invalid message from a peer: {error}",
        ) from error


def group_response(
    response: HttpResponse,
    *,
    answered: Sequence[int],
    pending: Sequence[int],
    shares: Mapping[int, float],
    rate_limited: bool,
    may_have_run: bool,
    leaving: Sequence[LeavingServer] = (),
) -> HttpResponse:
    """Return ``response`` with the indexes of the shards that it covers.

    :param pending: indexes of the shards that this instance is still waiting for.
    :param shares: share of the requests that shards have room for, by index.
    :param rate_limited: whether rate limits kept shards from being sent.
    :param may_have_run: whether a backend server may have run the request.
    :param leaving: backend servers of these shards that are leaving.
    """
    headers = [
        Header(name=_SHARDS_HEADER, value=_encode_shards(answered)),
        Header(name=_PENDING_HEADER, value=_encode_shards(pending)),
    ]
    if shares:
        room = ",".join(f"{shard}={share:.3f}" for shard, share in shares.items())
        headers.append(Header(name=_ROOM_HEADER, value=room))
    if rate_limited:
        headers.append(Header(name=_RATE_LIMITED_HEADER, value="1"))
    if not may_have_run:
        headers.append(Header(name=_NOT_RUN_HEADER, value="1"))
    if leaving:
        value = b64encode(encode(tuple(leaving))).decode()
        headers.append(Header(name=_LEAVING_HEADER, value=value))
    return HttpResponse(
        status=response.status,
        headers=(*response.headers, *headers),
        body=response.body,
    )


def _encode_shards(shards: Sequence[int]) -> str:
    return ",".join(str(shard) for shard in shards)


def _decode_shards(group: ShardGroup, text: str | None) -> tuple[int, ...]:
    """Return the shards of ``group`` at the indexes in ``text``.

    :raises ValueError, IndexError: ``text`` does not list indexes in the group.
    """
    return tuple(group.shards[int(n)] for n in text.split(",")) if text else ()


def _decode_room(group: ShardGroup, text: str | None) -> tuple[tuple[int, float], ...]:
    """Return shards of ``group`` with the share of requests that they have room for.

    :raises ValueError, IndexError: ``text`` does not list indexes with shares.
    """
    if not text:
        return ()
    pairs = (pair.split("=") for pair in text.split(","))
    return tuple((group.shards[int(index)], float(share)) for index, share in pairs)


def _decode_leaving(text: str | None) -> tuple[LeavingServer, ...]:
    """Return the servers in ``text``; raise ValueError or DecodeError."""
    return _leaving_decoder.decode(b64decode(text, validate=True)) if text else ()
