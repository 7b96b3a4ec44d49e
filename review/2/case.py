"""A searcher fails after it has run a request; see claim.txt."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from checks import refused, twice
from http_wire import response_bytes
from searcher import Searcher
from site_standin import play
from traffic import (
    DETAIL_DEADLINE_MS,
    DETAIL_PREFIX,
    DETAIL_SERVICE,
    add_detail_searchers,
    detail_route,
    traffic,
)

FAILING_SHARE = 0.4  # of the requests of the failing searcher
WINDOWS = 3
WINDOW = 6.5  # seconds in which the searcher is in trouble, and between two of these


class FailingSearcher(Searcher):
    """Runs every request, and answers some of them with a failure of its own."""

    failing = False

    def answer(self, request, request_id, stamp):
        if not self.failing or self.site.random.random() >= FAILING_SHARE:
            return super().answer(request, request_id, stamp)
        body = b"the enquiry was recorded, but the broker could not be told"
        return response_bytes(503, self.headers(request_id, stamp), body), "503"


async def case(site):
    add_detail_searchers(site, FailingSearcher)
    await site.start([detail_route("unsafe")], {DETAIL_SERVICE: 100})
    answers = []

    async def ask(client):
        answers.extend(
            await client.ask(
                f"{DETAIL_PREFIX}2f",
                method="POST",
                body=b"e" * 300,
                deadline_ms=DETAIL_DEADLINE_MS,
                safe=False,
            )
        )

    async def trouble():
        for _ in range(WINDOWS):
            site.searchers[0].failing = site.trouble
            await asyncio.sleep(WINDOW)
            site.searchers[0].failing = False
            await asyncio.sleep(WINDOW)

    seconds = 2 * WINDOWS * WINDOW
    await asyncio.gather(
        trouble(), traffic(site, ask, clients=4, per_s=11.3, seconds=seconds)
    )
    return refused(site, answers) + twice(site, site.runs)


if __name__ == "__main__":
    play(case, FOLDER)
