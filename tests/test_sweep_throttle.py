"""Tests of the sweep throttle, and of the changes that apply without a sweep."""

from dataclasses import replace
from random import Random
from unittest import TestCase

from curio import run, sleep
from hypothesis import given, strategies as st

from savorypond.balancing.drain_detector import DrainDetector
from savorypond.balancing.sweep_throttle import SweepThrottle
from savorypond.clock import SystemClock
from savorypond.controllers.active import ActiveServices
from savorypond.controllers.backend_servers import BackendServers
from savorypond.controllers.pools import ConnectionPools
from savorypond.model import Address, Bundle, Counters, Instance
from savorypond.placement.policies import OwnerPlacement
from tests.fanout_fakes import make_service

MAX_SHARE = 0.0025  # of the time; the target is 1.3 % for all control work
MAX_POLLS = 50


class ThrottleTests(TestCase):
    @given(st.lists(st.floats(0.001, 1.0), min_size=5, max_size=30))
    def test_sweeps_take_a_bounded_share_for_any_rate_of_changes(self, durations):
        throttle, now, spent = SweepThrottle(), 0.0, 0.0
        for duration in durations:
            throttle.changed()
            while not throttle.is_due(now):
                now += 0.1
            throttle.started()
            spent += duration
            now += duration
            throttle.ended(started=now - duration, now=now)
        self.assertLessEqual(spent - durations[-1], MAX_SHARE * now * 1.001)

    def test_a_change_during_a_sweep_causes_another_after_the_pause(self):
        throttle = SweepThrottle()
        self.assertFalse(throttle.is_due(0.0))
        throttle.changed()
        self.assertTrue(throttle.is_due(0.0))
        throttle.started()
        throttle.changed()
        throttle.ended(started=0.0, now=1.0)
        self.assertFalse(throttle.is_due(1.0))
        self.assertTrue(throttle.is_due(1000.0))
        throttle.started()
        throttle.ended(started=1000.0, now=1001.0)
        self.assertFalse(throttle.is_due(5000.0))


class OneInstanceView:
    """A fleet view that the test can change."""

    def __init__(self):
        self.version = 1
        self.local_instance = Instance(
            name="entry-1",
            data_centre="split",
            peer_address=Address(host="127.0.0.1", port=1),
            incarnation=1,
        )
        self.others = ()

    @property
    def fleet_size(self):
        return 1 + len(self.others)

    def live(self):
        return (self.local_instance, *self.others)


class Config:
    bundle = None


class ActiveTests(TestCase):
    def test_active_services_apply_changes_without_a_full_sweep(self):
        run(self._apply_changes)

    async def _apply_changes(self):
        kept, gone, far = (make_service(name) for name in ("kept", "gone", "far"))
        far = replace(
            far,
            backend_servers=tuple(
                replace(server, data_centre="zadar") for server in far.backend_servers
            ),
        )
        config, view = Config(), OneInstanceView()
        config.bundle = bundle_of(1, kept, gone, far)
        clock, counters, rng = SystemClock(), Counters(), Random(1)
        placement = OwnerPlacement(view=view)
        servers = BackendServers(
            data_centre="split",
            clock=clock,
            rng=rng,
            counters=counters,
            link_time=0.0,
            drain_detector=DrainDetector(),
        )
        pools = ConnectionPools(
            source_host="", share=placement, clock=clock, rng=rng, counters=counters
        )
        active = ActiveServices(
            config=config,
            view=view,
            placement=placement,
            servers=servers,
            pools=pools,
            clock=clock,
        )
        async with active:
            await until(lambda: len(servers.known) == 4)
            # A full sweep is due only after a pause, but these apply at once.
            limits = replace(kept.limits, slots=5)
            config.bundle = bundle_of(2, replace(kept, limits=limits), far)
            await active.config_changed()
            await until(lambda: len(servers.known) == 2)
            self.assertEqual(
                {known.service.limits.slots for known in servers.known.values()}, {5}
            )
            # A service that was not swept is activated on use.
            await active.activate([far])
            self.assertEqual(len(servers.known), 4)


def bundle_of(revision, *services):
    return Bundle(revision=revision, services={s.name: s for s in services})


async def until(condition):
    for _ in range(MAX_POLLS):
        if condition():
            return
        await sleep(0.02)
    raise AssertionError("the condition was not met in time")
