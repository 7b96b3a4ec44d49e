from random import Random
from unittest import TestCase
from unittest.mock import patch

from curio import TaskTimeout, run, run_in_thread, sleep, timeout_after
from msgspec.json import decode

from savorypond.clock import SystemClock
from savorypond.config.platform_client import HttpConfigService
from savorypond.config.publication import bundle_values
from savorypond.controllers.config import ConfigController
from savorypond.exceptions import WireError
from savorypond.model import Address, Counters, Instance
from savorypond.reasons import ConfigReason
from savorypond.standins.platform import (
    PlatformFaults,
    StandinConfigService,
    StoredValue,
)
from savorypond.tools.bundle import read_in_force
from tests.config_fakes import FakeView, history
from tests.test_http_client import fake_server

HISTORY = history(4)
ANY_PORT = Address(host="127.0.0.1", port=0)
TEST_TIMEOUT = 10.0  # seconds


class LocalPeers:
    """Passes pulls to the controllers in this process."""

    def __init__(self):
        self.controllers = {}

    async def pull(self, instance, request):
        if instance not in self.controllers:
            raise WireError(sender=instance, problem="unreachable")
        return await self.controllers[instance].answer(request)


async def put(service, in_force, bundle):
    for value in bundle_values(in_force, bundle):
        stored = StoredValue(revision=bundle.revision, value=decode(value.data))
        await service.publish(value.key, stored)


def make_controller(peers, service, number, others=(), counters=None):
    def instance(n):
        return Instance(
            name=f"i{n}", data_centre="dc", peer_address=ANY_PORT, incarnation=1
        )

    view = FakeView(instance(number), [instance(n) for n in others])
    controller = ConfigController(
        view=view,
        service=HttpConfigService(address=service.address, source_host=""),
        peers=peers,
        fleet="f",
        watchers=1,
        clock=SystemClock(),
        random=Random(number),
        counters=counters or Counters(),
    )
    peers.controllers[f"i{number}"] = controller
    return controller


def stored(revision):
    """Return the answer of the configuration service with a value, as bytes."""
    body = b'{"key":"k","revision":%d,"value":{}}' % revision
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


class ServiceClientTests(TestCase):
    def test_a_second_answer_has_no_read_to_be_taken_for(self):
        """Each read has a connection of its own, on which nothing came before."""

        async def main():
            async with (
                timeout_after(TEST_TIMEOUT),
                fake_server([stored(1), stored(0)], [stored(2)], pause=0.02) as address,
            ):
                service = HttpConfigService(address=address, source_host="")
                revisions = []
                for after in (0, 1, 2):
                    value = await service.watch("k", after=after, wait=1.0)
                    revisions.append(value.revision)
                    await sleep(0.05)
                return revisions

        self.assertEqual(run(main), [1, 1, 1])


class ControllerTests(TestCase):
    def test_change_reaches_watcher_and_peer(self):
        async def main():
            peers = LocalPeers()
            async with StandinConfigService(address=ANY_PORT) as service:
                await put(service, None, HISTORY[0])
                first = make_controller(peers, service, 1, others=[2])
                second = make_controller(peers, service, 2, others=[1])
                async with timeout_after(TEST_TIMEOUT), first, second:
                    await first.wait_ready()
                    await second.wait_ready()
                    self.assertEqual([first.watches, second.watches].count(True), 1)
                    await put(service, HISTORY[0], HISTORY[1])
                    for controller in (first, second):
                        bundle = await controller.wait_above(1)
                        self.assertEqual(dict(bundle.services), HISTORY[1].services)

        run(main)

    def test_starts_from_a_peer_while_the_service_is_down(self):
        async def main():
            peers, counters = LocalPeers(), Counters()
            async with StandinConfigService(address=ANY_PORT) as service:
                await put(service, None, HISTORY[0])
                first = make_controller(peers, service, 1)
                async with timeout_after(TEST_TIMEOUT), first:
                    await first.wait_ready()
                    service.set_faults(PlatformFaults(down=True))
                    second = make_controller(
                        peers, service, 2, others=[1, 3], counters=counters
                    )
                    async with second:
                        await second.wait_ready()
                        self.assertEqual(second.stamp, first.stamp)
                        self.assertEqual(second.last_problem, "")

        run(main)

    def test_not_ready_without_any_configuration(self):
        async def main():
            peers, counters = LocalPeers(), Counters()
            async with StandinConfigService(address=ANY_PORT) as service:
                service.set_faults(PlatformFaults(down=True))
                only = make_controller(peers, service, 1, counters=counters)
                with patch("savorypond.controllers.config.CALL_TIMEOUT", 0.05):
                    async with only:
                        with self.assertRaises(TaskTimeout):
                            async with timeout_after(0.5):
                                await only.wait_ready()
                    self.assertIsNone(only.bundle)
            down = counters.value("config_refused", ConfigReason.SERVICE_DOWN)
            self.assertGreater(down, 0)

        run(main)

    def test_publication_reads_the_bundle_in_force(self):
        async def main():
            async with StandinConfigService(address=ANY_PORT) as service:
                url = f"http://{service.address}"
                self.assertIsNone(await run_in_thread(read_in_force, url))
                await put(service, None, HISTORY[0])
                held = await run_in_thread(read_in_force, url)
                self.assertEqual(held, HISTORY[0])

        run(main)
