"""Routes, searchers and traffic of Barić's small deployment, for the cases."""

import asyncio

from searcher import Searcher
from site_standin import ZONES, Client, route

DETAIL_SERVICE = "kafi81c"  # boat-page
DETAIL_PREFIX = "/timi402/"
DETAIL_DEADLINE_MS = 5000
BROWSE_PREFIX = "/ziti980/ti38/"
BROWSE_DEADLINE_MS = 1200
SHARDS = tuple(f"huvo{n:02d}a" for n in range(20))  # search-desk
TOP = 20


def detail_route(kind):
    """The route ``listing-detail``; on the site's days of trouble it is unsafe."""
    return route(
        "r-s4qmv29",
        DETAIL_PREFIX,
        type=kind,
        timeout_ms=DETAIL_DEADLINE_MS,
        target_latency_ms=692,
        backend=DETAIL_SERVICE,
    )


def browse_route():
    """The route ``catalogue-browse`` over all shards."""
    return route(
        "r-zqghvik",
        BROWSE_PREFIX,
        timeout_ms=BROWSE_DEADLINE_MS,
        target_latency_ms=174,
        priority=1,
        gather=list(SHARDS),
        top_k=TOP,
        min_version=0.89,
    )


def add_detail_searchers(site, kind=Searcher, **changes):
    """Three searchers, one in each zone."""
    values = {"slots": 6, "queue": 24, "work": 0.12, "records": 188, **changes}
    site.searchers += [kind(site, DETAIL_SERVICE, zone, **values) for zone in ZONES]


def add_shard_searchers(site, kind=Searcher, **changes):
    """Two searchers for each shard, one in each of two zones."""
    values = {"slots": 2, "queue": 12, "work": 0.0225, "records": 25, **changes}
    for shard in SHARDS:
        site.searchers += [kind(site, shard, zone, **values) for zone in ZONES[:2]]


async def traffic(site, ask, *, clients, per_s, seconds):
    """Let ``clients`` of each zone ask ``per_s`` times a second in all."""
    everyone = [
        Client(site, zone, n % site.instances[zone] + 1)
        for zone in ZONES
        for n in range(clients)
    ]
    pause = len(everyone) / per_s
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds

    async def go(client):
        await asyncio.sleep(site.random.uniform(0, pause))
        while loop.time() < until:
            began = loop.time()
            await ask(client)
            left = pause * site.random.uniform(0.8, 1.2) - (loop.time() - began)
            await asyncio.sleep(max(0.0, left))

    await asyncio.gather(*(go(client) for client in everyone))
