"""Determines the services of a query."""

from savorypond.exceptions import RequestRefused
from savorypond.filters.chain import Exchange, Handler
from savorypond.model import Answer, Bundle, Service, ServiceKind
from savorypond.protocols import ConfigView
from savorypond.reasons import RefusalReason


class ServiceFilter:
    """Resolves the names in a query to configured services, all of one index."""

    def __init__(self, *, config: ConfigView) -> None:
        self._config = config

    async def __call__(self, exchange: Exchange, call_next: Handler) -> Answer:
        """Return the answer of ``call_next`` or raise RequestRefused."""
        bundle = self._config.bundle
        if bundle is None:
            raise RequestRefused(
                reason=RefusalReason.NOT_READY,
                detail="no configuration is in force yet",
                retry_after=1.0,
            )
        query = exchange.query
        if query.services:
            exchange.services = _find_named(bundle, query.services, query.index)
        else:
            exchange.services = _find_by_index(bundle, query.index)
        return await call_next(exchange)


def _find_by_index(bundle: Bundle, index: str) -> tuple[Service, ...]:
    services = bundle.index_services(index) if index else ()
    if not services:
        raise RequestRefused(
            reason=RefusalReason.UNKNOWN_INDEX, detail=f"no index {index!r} is in force"
        )
    return services


def _find_named(
    bundle: Bundle, names: tuple[str, ...], index: str
) -> tuple[Service, ...]:
    services = tuple(_find_service(bundle, name) for name in sorted(set(names)))
    indexes = {service.index for service in services} | ({index} if index else set())
    if len(indexes) > 1:
        raise RequestRefused(
            reason=RefusalReason.MIXED_INDEXES,
            detail="an answer uses one snapshot of one index, but this query asks "
            f"for {', '.join(sorted(indexes))}",
        )
    return services


def _find_service(bundle: Bundle, name: str) -> Service:
    service = bundle.services.get(name)
    if service is None or service.kind is not ServiceKind.SEARCH:
        raise RequestRefused(
            reason=RefusalReason.UNKNOWN_SERVICE,
            detail=f"no search service {name!r} is in force",
        )
    return service
