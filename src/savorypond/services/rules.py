"""Validation rules for a service, read from a file or a bundle."""

from collections.abc import Iterator, Sequence
from re import compile as compile_pattern

from savorypond.model import (
    KEY_SPACE,
    BackendServer,
    Service,
    ServiceKind,
    ShardLayout,
)
from savorypond.services.units import host_problem
from savorypond.services.yaml_document import Location, Problem

MAX_TIME_LIMIT = 60.0  # seconds
MAX_CONNECT_TIME = 10.0  # seconds
MAX_SLOTS = 10_000  # per backend server
MAX_CONNECTIONS = 100_000  # per backend server

NAME_PATTERN = r"[a-z0-9](?:[a-z0-9.-]{0,61}[a-z0-9])?"
_NAME = compile_pattern(NAME_PATTERN)


def is_valid_name(text: str) -> bool:
    """Return whether ``text`` is a valid name of a service, index, shard or server."""
    return _NAME.fullmatch(text) is not None


def service_problems(service: Service) -> Iterator[Problem]:
    """Yield the violations within one service."""
    if not is_valid_name(service.name):
        yield Problem(
            location=("service",), text=f"{service.name!r} is not a valid name"
        )
    yield from index_problems(service.kind, service.index)
    yield from layout_problems(service.kind, service.layouts)
    yield from server_problems(service.backend_servers)
    yield from _limit_problems(service)


def index_problems(kind: ServiceKind, index: str) -> Iterator[Problem]:
    """Yield the violations in the index of a service of ``kind``."""
    if kind is ServiceKind.SEARCH and not index:
        yield Problem(location=("index",), text="a search service needs an index")
    elif kind is ServiceKind.CALLS and index:
        yield Problem(
            location=("index",), text="a calls service must not have an index"
        )
    elif index and not is_valid_name(index):
        yield Problem(location=("index", "name"), text=f"{index!r} is not a valid name")


def layout_problems(
    kind: ServiceKind, layouts: Sequence[ShardLayout]
) -> Iterator[Problem]:
    """Yield the violations in the layouts of a service of ``kind``."""
    if kind is ServiceKind.CALLS and layouts:
        yield Problem(
            location=("layouts",), text="a calls service must not have layouts"
        )
    if kind is ServiceKind.SEARCH and not layouts:
        yield Problem(location=("layouts",), text="a search service needs a layout")
    seen = set()
    for i, layout in enumerate(layouts):
        location = ("layouts", i)
        if layout.number < 1:
            text = f"layout {layout.number} is below 1"
            yield Problem(location=(*location, "layout"), text=text)
        if layout.number in seen:
            text = f"duplicate layout {layout.number}"
            yield Problem(location=(*location, "layout"), text=text)
        seen.add(layout.number)
        yield from _shard_problems(layout, (*location, "shards"))


def _shard_problems(layout: ShardLayout, location: Location) -> Iterator[Problem]:
    if not layout.shards:
        yield Problem(location=location, text="at least one shard is needed")
    names = set()
    for i, shard in enumerate(layout.shards):
        shard_location = (*location, i)
        if not is_valid_name(shard.shard):
            text = f"{shard.shard!r} is not a valid name"
            yield Problem(location=(*shard_location, "shard"), text=text)
        if shard.shard in names:
            text = f"duplicate shard {shard.shard!r}"
            yield Problem(location=(*shard_location, "shard"), text=text)
        names.add(shard.shard)
        if not 0 <= shard.low < shard.high <= KEY_SPACE:
            text = f"[{shard.low}, {shard.high}) is not a range in [0, {KEY_SPACE})"
            yield Problem(location=(*shard_location, "keys"), text=text)
    yield from _overlap_problems(layout, location)


def _overlap_problems(layout: ShardLayout, location: Location) -> Iterator[Problem]:
    positions = range(len(layout.shards))
    order = sorted(positions, key=lambda i: layout.shards[i].low)
    furthest = None
    for i in order:
        shard = layout.shards[i]
        if furthest is not None and shard.low < furthest.high:
            text = f"shard {shard.shard!r} overlaps shard {furthest.shard!r}"
            yield Problem(location=(*location, i, "keys"), text=text)
        if furthest is None or shard.high > furthest.high:
            furthest = shard


def server_problems(servers: Sequence[BackendServer]) -> Iterator[Problem]:
    """Yield the violations in the backend servers of one service."""
    if not servers:
        text = "at least one backend server is needed"
        yield Problem(location=("backend_servers",), text=text)
    names, addresses = set(), set()
    for i, server in enumerate(servers):
        location = ("backend_servers", i)
        if not is_valid_name(server.name):
            text = f"{server.name!r} is not a valid name"
            yield Problem(location=(*location, "name"), text=text)
        if server.name in names:
            text = f"duplicate backend server {server.name!r}"
            yield Problem(location=(*location, "name"), text=text)
        if server.address in addresses:
            text = f"duplicate address {server.address}"
            yield Problem(location=(*location, "address"), text=text)
        if not is_valid_name(server.data_centre):
            text = f"{server.data_centre!r} is not a valid name"
            yield Problem(location=(*location, "data_centre"), text=text)
        yield from _address_problems(server, (*location, "address"))
        names.add(server.name)
        addresses.add(server.address)


def _address_problems(server: BackendServer, location: Location) -> Iterator[Problem]:
    if text := host_problem(server.address.host):
        yield Problem(location=location, text=text)
    if not 1 <= server.address.port <= 65535:
        text = f"port {server.address.port} is not between 1 and 65535"
        yield Problem(location=location, text=text)


def _limit_problems(service: Service) -> Iterator[Problem]:
    limits = service.limits
    bounds = (
        (("limits", "slots"), limits.slots, 1, MAX_SLOTS),
        (("limits", "connections"), limits.connections, 1, MAX_CONNECTIONS),
        (("limits", "connect_time"), limits.connect_time, 0.0, MAX_CONNECT_TIME),
        (("time_limit",), service.time_limit, 0.001, MAX_TIME_LIMIT),
        (("least_coverage",), service.least_coverage, 0.0, 1.0),
    )
    for location, value, low, high in bounds:
        if not low <= value <= high:
            text = f"{value:g} is not between {low:g} and {high:g}"
            yield Problem(location=location, text=text)
    if limits.connections < limits.slots:
        text = f"{limits.connections} connections cannot fill {limits.slots} slots"
        yield Problem(location=("limits", "connections"), text=text)
