"""Measures the cost of storing and distributing configuration, by services.

Run with ``python -m benchmarks.bench_config``.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from gc import collect as collect_garbage
from time import process_time
from tracemalloc import get_traced_memory, reset_peak, start, stop

from defopt import run
from msgspec.json import encode as encode_json
from msgspec.msgpack import encode as encode_message

from savorypond.config.entries import encode_entry, entries_digest
from savorypond.config.messages import PullRequest
from savorypond.config.publication import (
    PART_BYTES,
    bundle_values,
    change_key,
    decode_part,
)
from savorypond.config.pull import Pull, PullResponder
from savorypond.config.store import Change, ConfigStore, bundle_stamp
from savorypond.model import (
    Address,
    BackendServer,
    Bundle,
    Counters,
    Preference,
    Priority,
    ServerLimits,
    Service,
    ServiceKind,
    ShardLayout,
    ShardRange,
)

SIZES = (50, 1000, 10_000, 43_500)  # services
INDEX_SERVICES = 50  # services of one index
REPEATS = 200  # changes timed


def make_services(count: int) -> dict[str, Service]:
    """Return services with the shape of the listings search."""
    return {s.name: s for s in (make_service(n) for n in range(count))}


def make_service(number: int) -> Service:
    index, place = divmod(number, INDEX_SERVICES)
    name = f"catalogue-{index:04}-{place:02}"
    edges = [n * 65536 // INDEX_SERVICES for n in (place, place + 1)]
    shard = ShardRange(shard=name, low=edges[0], high=edges[1])
    return Service(
        name=name,
        kind=ServiceKind.SEARCH,
        index=f"catalogue-{index:04}",
        layouts=(ShardLayout(number=1, shards=(shard,)),),
        backend_servers=tuple(make_server(name, number, r) for r in range(2)),
        limits=ServerLimits(slots=2, connections=25, connect_time=0.006),
        priority=Priority.INTERACTIVE,
        prefer=Preference.LATENCY,
        time_limit=0.054,
        least_coverage=0.5,
    )


def make_server(name: str, number: int, replica: int) -> BackendServer:
    host = f"10.{replica}.{number // 250}.{number % 250}"
    return BackendServer(
        name=f"{name}-{'ab'[replica]}",
        address=Address(host=host, port=9001),
        data_centre=f"data-centre-{(number + replica) % 22:02}",
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class Costs:
    """The costs at one size; times are processor time."""

    services: int
    store_bytes: float  # per service
    peak_bytes: float  # per service, while a full configuration is accepted
    accept_us: float  # per service, accepting a full configuration
    digest_us: float  # per service, digest of a full configuration
    change_us: float  # per change of one service's limits
    layout_us: float  # per change of one service's shard
    value_bytes: int  # a full configuration as one value
    change_bytes: int  # the value of a change
    part_bytes: int  # the value of the part that holds the change
    pull_bytes: int  # request and reply of a peer that lacks the change
    reply_us: float  # building that reply
    notify_bytes: int  # notifying one peer of a change, and its answer
    cold_start_us: float  # per service, decoding all parts from JSON
    cold_parts: int  # parts read in a cold start


def timed_us(work: Callable[[], object]) -> float:
    started = process_time()
    work()
    return (process_time() - started) * 1e6


def make_store(entries: list[bytes]) -> ConfigStore:
    store = ConfigStore(counters=Counters())
    store.offer_full(bundle_stamp(1, entries), entries)
    assert store.stamp.revision == 1, store.last_problem
    return store


def memory_of(entries: list[bytes]) -> tuple[float, float]:
    """Return the held and the peak bytes per service, with the encoded entries."""
    stamp = bundle_stamp(1, entries)
    collect_garbage()
    start()
    reset_peak()
    store = ConfigStore(counters=Counters())
    store.offer_full(stamp, (bytes(bytearray(data)) for data in entries))
    held, peak = get_traced_memory()
    stop()
    assert store.stamp == stamp
    return held / len(entries), peak / len(entries)


def changed(service: Service, number: int, *, layout: bool) -> Service:
    if not layout:
        limits = replace(service.limits, connections=30 + number)
        return replace(service, limits=limits)
    old = service.layouts[0].shards[0]
    shard = replace(old, shard=f"{service.name}-{number}")
    return replace(service, layouts=(ShardLayout(number=1, shards=(shard,)),))


def change_cost(store: ConfigStore, services: list[Service], *, layout: bool) -> float:
    """Return the microseconds of one change, including its validation."""
    changes, stamp = [], store.stamp
    current = dict(store.entries)
    for number in range(REPEATS):
        service = services[number * 7919 % len(services)]
        entry = encode_entry(changed(service, number, layout=layout))
        digest = stamp.digest - entries_digest([current[service.name]])
        digest = (digest + entries_digest([entry])) % 2**64
        held = type(stamp)(stamp.revision + 1, digest)
        changes.append(Change(base=stamp, held=held, entries=(entry,)))
        current[service.name], stamp = entry, held
    spent = timed_us(lambda: [store.offer_change(change) for change in changes])
    assert store.stamp == stamp, store.last_problem
    return spent / REPEATS


def pull_cost(store: ConfigStore, behind: ConfigStore) -> tuple[int, float]:
    """Return bytes of a pull of the last change, and microseconds of its reply."""
    responder = PullResponder(store=store, fleet="baric", name="entry-0002")
    request = Pull(store=behind, fleet="baric", name="entry-0001").request()
    spent = timed_us(lambda: [responder.reply(request) for _ in range(REPEATS)])
    reply = responder.reply(request)
    size = len(encode_message(request)) + len(encode_message(reply))
    return size, spent / REPEATS


def notify_size(store: ConfigStore) -> int:
    request = PullRequest(fleet="baric", sender="entry-0001", held=store.stamp, limit=0)
    reply = PullResponder(store=store, fleet="baric", name="entry-0002").reply(request)
    return len(encode_message(request)) + len(encode_message(reply))


def measure(count: int) -> Costs:
    services = make_services(count)
    entries = [encode_entry(service) for service in services.values()]
    held, peak = memory_of(entries)
    accept = timed_us(lambda: make_store(entries))
    digest = timed_us(lambda: entries_digest(entries))
    store, old = make_store(entries), make_store(entries)
    listed = list(services.values())
    first = Bundle(revision=1, services=services)
    name = listed[0].name
    changed_services = services | {name: changed(services[name], 1, layout=False)}
    second = Bundle(revision=2, services=changed_services)
    values = {value.key: len(value.data) for value in bundle_values(first, second)}
    parts = [v.data for v in bundle_values(None, first) if v.key.startswith("part/")]
    cold = timed_us(
        lambda: [encode_entry(s) for data in parts for s in decode_part(data).services]
    )
    after = [encode_entry(service) for service in changed_services.values()]
    store.offer_full(bundle_stamp(2, after), after)
    pull_bytes, reply_cost = pull_cost(store, old)
    return Costs(
        services=count,
        store_bytes=held,
        peak_bytes=peak,
        accept_us=accept / count,
        digest_us=digest / count,
        change_us=change_cost(store, list(changed_services.values()), layout=False),
        layout_us=change_cost(old, listed, layout=True),
        value_bytes=len(encode_json(tuple(listed))),
        change_bytes=values[change_key(2)],
        part_bytes=max(n for key, n in values.items() if key.startswith("part/")),
        pull_bytes=pull_bytes,
        reply_us=reply_cost,
        notify_bytes=notify_size(store),
        cold_start_us=cold / count,
        cold_parts=len(parts),
    )


def main() -> None:
    """Print the costs, one column for each size."""
    results = [measure(size) for size in SIZES]
    print(f"target size of parts: {PART_BYTES} bytes; times are processor time")
    for name in Costs.__dataclass_fields__:
        row = [getattr(costs, name) for costs in results]
        cells = "".join(
            f"{value:>14.2f}" if isinstance(value, float) else f"{value:>14}"
            for value in row
        )
        print(f"{name:<14}{cells}")


if __name__ == "__main__":
    run(main)
