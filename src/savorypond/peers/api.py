"""Serves the requests that peers forward to this instance."""

from dataclasses import replace

from savorypond.calls.api import CallApi
from savorypond.clock import Clock
from savorypond.controllers.backend_servers import BackendServers
from savorypond.controllers.holdings import Holdings, held_snapshots
from savorypond.exceptions import RequestRefused
from savorypond.model import Answer, Pin, Query, Service
from savorypond.peers.link import EarlyReplyCallback
from savorypond.peers.link_messages import (
    ForwardAnswer,
    ForwardCall,
    ForwardQuery,
    ForwardRevoke,
    HoldingsRequest,
    LinkMessage,
    WireMissing,
    WirePartial,
)
from savorypond.placement.forward_run import forwarded_query
from savorypond.protocols import ConfigView
from savorypond.queries.query_run import EarlyAnswer, QueryDependencies, QueryRun
from savorypond.reasons import RefusalReason

EARLY_REPLY_MARGIN = 0.015  # seconds before the deadline to send partial results


class PeerApi:
    """Runs forwarded queries as their owner, and calls as their tickets' issuer."""

    def __init__(
        self,
        *,
        instance: str,
        calls: CallApi,
        config: ConfigView,
        holdings: Holdings,
        servers: BackendServers,
        dependencies: QueryDependencies,
        clock: Clock,
    ) -> None:
        self._instance = instance
        self._calls = calls
        self._config = config
        self._holdings = holdings
        self._servers = servers
        self._dependencies = dependencies
        self._clock = clock

    async def handle(
        self, message: LinkMessage, send_early_reply: EarlyReplyCallback
    ) -> LinkMessage:
        """Return the final reply to ``message``.

        :param send_early_reply: sends a partial reply ahead of the final one.
        :raises RequestRefused: the request cannot be served.
        """
        if isinstance(message, ForwardQuery):
            return await self._run_query(message, send_early_reply)
        if isinstance(message, HoldingsRequest):
            return await self._holdings.answer(self._get_services(message.services))
        if isinstance(message, ForwardCall):
            return await self._calls.run_forwarded(message)
        if isinstance(message, ForwardRevoke):
            return self._calls.revoke_forwarded(message)
        raise RequestRefused(
            reason=RefusalReason.MALFORMED,
            detail=f"{type(message).__name__} is not a request",
        )

    async def _run_query(
        self, message: ForwardQuery, send_early_reply: EarlyReplyCallback
    ) -> ForwardAnswer:
        services = self._get_services(message.services)
        query = self._to_query(message)

        async def send_answer(answer: Answer) -> None:
            answer = replace(answer, request_id=message.request_id)
            await send_early_reply(self._to_reply(answer, services, final=False))

        run = QueryRun(
            dependencies=self._dependencies,
            query=query,
            pin=Pin(snapshot=message.snapshot, layout=message.layout),
            services=services,
            early=EarlyAnswer(at=query.deadline - EARLY_REPLY_MARGIN, send=send_answer),
        )
        answer = replace(await run.run(), request_id=message.request_id)
        return self._to_reply(answer, services, final=True)

    def _get_services(self, names: tuple[str, ...]) -> list[Service]:
        bundle = self._config.bundle
        known = bundle.services if bundle is not None else {}
        unknown = [name for name in names if name not in known]
        if unknown:
            raise RequestRefused(
                reason=RefusalReason.UNKNOWN_SERVICE,
                detail=f"{', '.join(unknown)} not in force at {self._instance}",
            )
        return [known[name] for name in names]

    def _to_query(self, message: ForwardQuery) -> Query:
        query = Query(
            request_id=message.request_id,
            index=message.index,
            services=message.services,
            body=message.body,
            deadline=0.0,
            prefer=message.prefer,
            priority=message.priority,
            least_coverage=0.0,
        )
        return forwarded_query(
            query,
            instance=self._instance,
            deadline=self._clock.now() + message.time_left,
        )

    def _to_reply(
        self, answer: Answer, services: list[Service], *, final: bool
    ) -> ForwardAnswer:
        return ForwardAnswer(
            request_id=answer.request_id,
            snapshot=answer.snapshot,
            layout=answer.layout,
            partials=tuple(WirePartial(p.shard, p.results) for p in answer.partials),
            missing=tuple(
                WireMissing(m.shard, m.reason) for m in answer.coverage.missing
            ),
            held=held_snapshots(self._servers, services),
            final=final,
        )
