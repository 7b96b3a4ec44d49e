"""Tests of savorypond.controllers.config_propagation."""

from types import SimpleNamespace
from unittest import TestCase

from curio import Event, run, sleep, timeout_after

from savorypond.controllers.config_propagation import (
    ConfigMismatchQueue,
    ConfigPropagator,
)


class FakeConfig:
    stamp = SimpleNamespace(revision=1, digest=2)

    async def wait_above(self, revision):
        if revision:
            await Event().wait()
        return SimpleNamespace(revision=1, services={"a": "service a"})

    async def on_fleet_size(self, size):
        pass


class FakeHoldings:
    def __init__(self):
        self.asked = []
        self.known = Event()

    async def learn(self, services):
        self.asked.append(services)
        await self.known.wait()


async def config_changed():
    pass


class ConfigFeedTests(TestCase):
    def test_an_instance_is_prepared_once_its_servers_were_asked(self):
        async def play():
            holdings = FakeHoldings()
            membership = SimpleNamespace(
                fleet_size=1, set_config=lambda *, revision, digest: None
            )
            feed = ConfigPropagator(
                mismatches=ConfigMismatchQueue(),
                membership=SimpleNamespace(membership=membership),
                config=FakeConfig(),
                active=SimpleNamespace(config_changed=config_changed),
                holdings=holdings,
            )
            async with timeout_after(60), feed:
                while not holdings.asked:
                    await sleep(0)
                self.assertEqual(holdings.asked, [("service a",)])
                self.assertFalse(feed.prepared)
                await holdings.known.set()
                while not feed.prepared:
                    await sleep(0)

        run(play)
