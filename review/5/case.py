"""A searcher spoils a byte in the head of some answers; see claim.txt."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from checks import lost, mixed
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

SPOILING_SHARE = 0.5  # of the searchers
SPOILED_SHARE = 0.02  # of the answers of such a searcher
WINDOWS = 3
WINDOW = 5.0  # seconds of trouble, and between two of these


class SpoilingSearcher(Searcher):
    """Spoils one byte in the receipt of some answers."""

    spoiling = False

    def answer(self, request, request_id, stamp):
        data, kind = super().answer(request, request_id, stamp)
        if not self.spoiling or self.site.random.random() >= SPOILED_SHARE:
            return data, kind
        spoiled = bytearray(data)
        spoiled[data.index(stamp.encode())] |= 0x80
        return bytes(spoiled), "200, a byte of the receipt is spoiled"


async def case(site):
    add_shard_searchers(site, SpoilingSearcher)
    await site.start([browse_route()], dict.fromkeys(SHARDS, 26))
    answers = []

    async def ask(client):
        path = f"{BROWSE_PREFIX}2f"
        answers.extend(await client.ask(path, deadline_ms=BROWSE_DEADLINE_MS))

    chosen = site.random.sample(
        site.searchers, int(SPOILING_SHARE * len(site.searchers))
    )

    async def trouble():
        for _ in range(WINDOWS):
            await asyncio.sleep(WINDOW)
            for searcher in chosen:
                searcher.spoiling = site.trouble
            await asyncio.sleep(WINDOW)
            for searcher in chosen:
                searcher.spoiling = False

    seconds = 2 * WINDOWS * WINDOW + 2.0
    await asyncio.gather(
        trouble(), traffic(site, ask, clients=6, per_s=11.3, seconds=seconds)
    )
    sound = {s.id for s in site.searchers if s not in chosen}
    return lost(site, answers, sound) + mixed(site, answers, 0.89)


if __name__ == "__main__":
    play(case, FOLDER)
