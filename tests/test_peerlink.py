from unittest import TestCase

from curio import Event, TaskGroup, run, sleep, spawn, tcp_server_socket, timeout_after

from savorypond.linkwire import HoldingsAnswer, HoldingsAsk, ServiceHeld
from savorypond.model import Address
from savorypond.peerlink import LinkLost, PeerLink, PeerServer

HANG = 30  # seconds after which a test that hangs is ended
ANY_PORT = Address(host="127.0.0.1", port=0)


def ask(name):
    return HoldingsAsk(services=(name,))


def reply(name):
    return HoldingsAnswer(services=(ServiceHeld(service=name, held=()),))


class Peer:
    """Holds each request back until it is let go, and notes those cut off."""

    def __init__(self):
        self.arrived = {name: Event() for name in "ab"}
        self.let_go = {name: Event() for name in "ab"}
        self.ended = {name: Event() for name in "ab"}

    async def handle(self, message):
        (name,) = message.services
        await self.arrived[name].set()
        try:
            await self.let_go[name].wait()
        finally:
            await self.ended[name].set()
        return reply(name)


def link_to(address, fleet="boats"):
    return PeerLink(peer=address, fleet=fleet, source_host="")


async def with_peer(use):
    peer = Peer()
    server = PeerServer(address=ANY_PORT, fleet="boats", handler=peer.handle)
    async with timeout_after(HANG), server, link_to(server.address) as link:
        return await use(peer, server, link)


class PeerLinkTests(TestCase):
    def test_replies_that_cross_reach_who_asked(self):
        async def use(peer, server, link):
            async with TaskGroup() as group:
                tasks = [
                    await group.spawn(link.ask(ask(name), seconds=HANG))
                    for name in "ab"
                ]
                for name in "ba":
                    await peer.arrived[name].wait()
                    await peer.let_go[name].set()
                    await peer.ended[name].wait()
            return [task.result for task in tasks]

        self.assertEqual(run(with_peer, use), [reply("a"), reply("b")])

    def test_a_request_cut_off_is_cancelled_at_the_peer(self):
        async def use(peer, server, link):
            task = await spawn(link.ask(ask("a"), seconds=HANG))
            await peer.arrived["a"].wait()
            await task.cancel()
            await peer.ended["a"].wait()
            await peer.let_go["b"].set()
            return await link.ask(ask("b"), seconds=HANG)

        self.assertEqual(run(with_peer, use), reply("b"))

    def test_another_fleet_is_refused(self):
        async def use(peer, server, link):
            async with link_to(server.address, fleet="other") as other:
                with self.assertRaises(LinkLost):
                    await other.ask(ask("a"), seconds=HANG)
            return peer.arrived["a"].is_set()

        self.assertFalse(run(with_peer, use))

    def test_requests_on_a_lost_link_fail_and_the_next_opens_another(self):
        async def use(peer, server, link):
            task = await spawn(link.ask(ask("a"), seconds=HANG))
            await peer.arrived["a"].wait()
            await link.reset()
            with self.assertRaises(LinkLost) as caught:
                try:
                    await task.join()
                except Exception as error:
                    raise error.__cause__ from None
            self.assertTrue(caught.exception.sent)
            await peer.let_go["b"].set()
            return await link.ask(ask("b"), seconds=HANG)

        self.assertEqual(run(with_peer, use), reply("b"))

    def test_a_silent_peer_is_connected_to_anew(self):
        async def main():
            async with timeout_after(HANG), tcp_server_socket("127.0.0.1", 0) as sock:
                host, port = sock.getsockname()[:2]
                async with link_to(Address(host=host, port=port)) as link:
                    for _ in range(2):
                        with self.assertRaises(LinkLost) as caught:
                            await link.ask(ask("a"), seconds=0.02)
                        self.assertTrue(caught.exception.sent)
                        accepted, _ = await sock.accept()
                        await accepted.close()
                        await sleep(0)

        run(main)
