"""Finds the services that a query asks."""

from savorypond.exceptions import RequestRefused
from savorypond.filters.chain import Exchange, Step
from savorypond.model import Answer, Bundle, Service, ServiceKind
from savorypond.protocols import ConfigView
from savorypond.reasons import RefusalReason


class ServiceFilter:
    """Resolves names to the services in force, all of one index."""

    def __init__(self, *, config: ConfigView) -> None:
        self._config = config

    async def __call__(self, exchange: Exchange, proceed: Step) -> Answer:
        """Return the answer of ``proceed``; raise RequestRefused."""
        bundle = self._config.bundle
        if bundle is None:
            raise RequestRefused(
                reason=RefusalReason.NOT_READY,
                detail="no configuration is in force yet",
                retry_after=1.0,
            )
        query = exchange.query
        if query.services:
            exchange.services = _named(bundle, query.services, query.index)
        else:
            exchange.services = _of_index(bundle, query.index)
        return await proceed(exchange)


def _of_index(bundle: Bundle, index: str) -> tuple[Service, ...]:
    services = bundle.index_services(index) if index else ()
    if not services:
        raise RequestRefused(
            reason=RefusalReason.UNKNOWN_INDEX, detail=f"no index {index!r} is in force"
        )
    return services


def _named(bundle: Bundle, names: tuple[str, ...], index: str) -> tuple[Service, ...]:
    services = tuple(_find(bundle, name) for name in sorted(set(names)))
    indexes = {service.index for service in services} | ({index} if index else set())
    if len(indexes) > 1:
        raise RequestRefused(
            reason=RefusalReason.MIXED_INDEXES,
            detail="one answer comes from one snapshot of one index, and this query "
            f"asks {', '.join(sorted(indexes))}",
        )
    return services


def _find(bundle: Bundle, name: str) -> Service:
    service = bundle.services.get(name)
    if service is None or service.kind is not ServiceKind.SEARCH:
        raise RequestRefused(
            reason=RefusalReason.UNKNOWN_SERVICE,
            detail=f"no search service {name!r} is in force",
        )
    return service
