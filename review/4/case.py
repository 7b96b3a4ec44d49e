"""A searcher of a shard answers some requests with a failure; see claim.txt."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from checks import mixed
from http_wire import response_bytes
from searcher import Searcher
from site_standin import play
from traffic import (
    BROWSE_DEADLINE_MS,
    BROWSE_PREFIX,
    SHARDS,
    add_shard_searchers,
    browse_route,
    traffic,
)

FAILING_SHARE = 0.4  # of the requests of a failing searcher
FAILING_SEARCHERS = 6  # of 40
WINDOW = 6.5  # seconds in which they are in trouble


class FailingSearcher(Searcher):
    """Answers some requests with a failure of its own, which has a receipt."""

    failing = False

    def answer(self, request, request_id, stamp):
        if not self.failing or self.site.random.random() >= FAILING_SHARE:
            return super().answer(request, request_id, stamp)
        body = b'{"error": "this copy of the index has no such segment"}'
        self.site.remember_part(stamp, body, self, request_id, good=False)
        return response_bytes(404, self.headers(request_id, stamp), body), "404"


async def case(site):
    add_shard_searchers(site, FailingSearcher)
    await site.start([browse_route()], dict.fromkeys(SHARDS, 26))
    answers = []

    async def ask(client):
        path = f"{BROWSE_PREFIX}2f"
        answers.extend(await client.ask(path, deadline_ms=BROWSE_DEADLINE_MS))

    async def trouble():
        await asyncio.sleep(3.0)
        for searcher in site.searchers[:FAILING_SEARCHERS]:
            searcher.failing = site.trouble
        await asyncio.sleep(WINDOW)
        for searcher in site.searchers[:FAILING_SEARCHERS]:
            searcher.failing = False

    await asyncio.gather(
        trouble(), traffic(site, ask, clients=6, per_s=11.3, seconds=WINDOW + 6.0)
    )
    return mixed(site, answers, 0.89)


if __name__ == "__main__":
    play(case, FOLDER)
