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
        self.refreshed = []
        self.completed = Event()

    async def refresh(self, services):
        self.refreshed.append(services)
        await self.completed.wait()


async def config_changed():
    pass


class ConfigPropagatorTests(TestCase):
    def test_prepared_once_the_holdings_are_refreshed(self):
        async def scenario():
            holdings = FakeHoldings()
            membership = SimpleNamespace(
                fleet_size=1, set_config=lambda *, revision, digest: None
            )
            propagator = ConfigPropagator(
                mismatches=ConfigMismatchQueue(),
                membership=SimpleNamespace(membership=membership),
                config=FakeConfig(),
                active=SimpleNamespace(config_changed=config_changed),
                holdings=holdings,
            )
            async with timeout_after(60), propagator:
                while not holdings.refreshed:
                    await sleep(0)
                self.assertEqual(holdings.refreshed, [("service a",)])
                self.assertFalse(propagator.prepared)
                await holdings.completed.set()
                while not propagator.prepared:
                    await sleep(0)

        run(scenario)
