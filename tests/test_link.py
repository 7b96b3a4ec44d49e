from dataclasses import dataclass
from unittest import TestCase

from curio import CancelledError, Event, TaskGroup, run, sleep, spawn, timeout_after

from savorypond.exceptions import RequestRefused, WireError
from savorypond.model import Address
from savorypond.peers.link import LinkError, PeerLinks, PeerServer
from savorypond.peers.link_messages import (
    LENGTH_BYTES,
    LINK_VERSION,
    ForwardRefusal,
    Frame,
    HoldingsReply,
    HoldingsRequest,
    ServiceHoldings,
    decode_frame,
    encode_frame,
    frame_length,
)
from savorypond.reasons import RefusalReason

HANG = 30  # seconds after which a test that hangs is ended
LOOPBACK = Address(host="127.0.0.1", port=0)


def ask(name):
    return HoldingsRequest(services=(name,))


def answer(message):
    return HoldingsReply(services=(ServiceHoldings(message.services[0], ()),))


def linked(handler, fleet="f"):
    """Run a coroutine function with a link to a server with ``handler``."""

    def wrap(work):
        async def main():
            server = PeerServer(address=LOOPBACK, fleet="f", handler=handler)
            links = PeerLinks(fleet=fleet, source_host="")
            async with timeout_after(HANG), server, links:
                return await work(server, links)

        return run(main)

    return wrap


class LinkTests(TestCase):
    def test_answers_that_cross_reach_their_own_request(self):
        async def slow_first(message, send):
            await sleep(0.1 if message.services[0] == "a" else 0.0)
            return answer(message)

        @linked(slow_first)
        async def replies(server, links):
            async with TaskGroup(wait=all) as group:
                tasks = [
                    await group.spawn(
                        lambda n=name: links.request(server.address, ask(n), timeout=5)
                    )
                    for name in ("a", "b", "c")
                ]
            return [task.result.services[0].service for task in tasks]

        self.assertEqual(replies, ["a", "b", "c"])

    def test_a_refusal_comes_back_with_its_reason(self):
        async def refuse(message, send):
            raise RequestRefused(reason=RefusalReason.NOT_READY, detail="x")

        @linked(refuse)
        async def reply(server, links):
            return await links.request(server.address, ask("a"), timeout=5)

        self.assertIsInstance(reply, ForwardRefusal)
        self.assertIs(reply.reason, RefusalReason.NOT_READY)

    def test_a_cancelled_request_is_cancelled_at_the_peer(self):
        seen = []

        async def wait(message, send):
            seen.append("started")
            try:
                await sleep(3600)
            except CancelledError:
                seen.append("cancelled")
                raise

        @linked(wait)
        async def result(server, links):
            task = await spawn(
                lambda: links.request(server.address, ask("a"), timeout=3600)
            )
            while not seen:
                await sleep(0.005)
            await task.cancel()
            while len(seen) < 2:
                await sleep(0.005)

        self.assertEqual(seen, ["started", "cancelled"])

    def test_a_silent_peer_is_lost_and_the_next_request_uses_a_new_link(self):
        silent = Event()

        async def first_never(message, send):
            if not silent.is_set():
                await silent.set()
                await sleep(3600)
            return answer(message)

        @linked(first_never)
        async def reply(server, links):
            with self.assertRaises(LinkError) as caught:
                await links.request(server.address, ask("a"), timeout=0.1)
            self.assertTrue(caught.exception.sent)
            return await links.request(server.address, ask("b"), timeout=5)

        self.assertEqual(reply.services[0].service, "b")

    def test_another_fleet_is_refused(self):
        async def never(message, send):
            raise AssertionError("another fleet's message was handled")

        @linked(never, fleet="g")
        async def lost(server, links):
            with self.assertRaises(LinkError):
                await links.request(server.address, ask("a"), timeout=5)
            return True

        self.assertTrue(lost)

    def test_nothing_listens_is_lost_before_sending(self):
        async def main():
            async with PeerLinks(fleet="f", source_host="") as links:
                await links.request(
                    Address(host="127.0.0.1", port=1), ask("a"), timeout=5
                )

        with self.assertRaises(LinkError) as caught:
            run(main)
        self.assertFalse(caught.exception.sent)


@dataclass(frozen=True)
class Case:
    name: str
    data: bytes


class FrameTests(TestCase):
    def test_what_cannot_be_taken_is_refused(self):
        frame = Frame(version=LINK_VERSION, fleet="f", number=1, message=ask("a"))
        whole = encode_frame(frame)
        self.assertEqual(
            decode_frame(whole[LENGTH_BYTES:], sender="s", fleet="f"), frame
        )
        other = Frame(version=LINK_VERSION + 1, fleet="f", number=1, message=ask("a"))
        cases = [
            Case("garbage", b"\xc1garbage"),
            Case("cut", whole[LENGTH_BYTES:-1]),
            Case("other version", encode_frame(other)[LENGTH_BYTES:]),
        ]
        for case in cases:
            with self.subTest(case.name), self.assertRaises(WireError):
                decode_frame(case.data, sender="s", fleet="f")
        with self.assertRaises(WireError):
            frame_length(b"\xff\xff\xff\xff", sender="s")
