from dataclasses import dataclass
from socket import SHUT_RDWR
from unittest import TestCase

from curio import CancelledError, Event, TaskGroup, run, sleep, spawn, timeout_after
from curio.socket import AF_INET, SOCK_STREAM, socket

from savorypond.exceptions import RequestRefused, WireError
from savorypond.http.listener import Listener
from savorypond.model import Address
from savorypond.peers.frame_stream import FrameStream
from savorypond.peers.link import LinkError, PeerLinks, PeerServer
from savorypond.peers.link_messages import (
    LENGTH_BYTES,
    LINK_VERSION,
    MAX_FRAME_BYTES,
    CancelForward,
    ForwardAnswer,
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

TEST_TIMEOUT = 30  # seconds
LOOPBACK = Address(host="127.0.0.1", port=0)


def make_request(name):
    return HoldingsRequest(services=(name,))


def make_reply(message):
    return HoldingsReply(services=(ServiceHoldings(message.services[0], ()),))


def with_link(handler, fleet="f"):
    """Run the decorated coroutine function with links to a server with ``handler``.

    The name of the function is bound to its result.
    """

    def decorate(body):
        async def main():
            server = PeerServer(address=LOOPBACK, fleet="f", handler=handler)
            links = PeerLinks(fleet=fleet, source_host="")
            async with timeout_after(TEST_TIMEOUT), server, links:
                return await body(server, links)

        return run(main)

    return decorate


def forward_answer(request_id, *, final=True):
    return ForwardAnswer(
        request_id=request_id,
        snapshot=7,
        layout=1,
        partials=(),
        missing=(),
        final=final,
    )


class StutteringPeerTests(TestCase):
    """Replies are told apart by numbers that no link uses twice."""

    def replies(self, answer, count=2):
        """Send requests to a peer on which ``answer`` sends; return the replies."""

        async def serve(sock, peer):
            async with sock:
                stream = FrameStream(sock=sock, peer=peer, fleet="f")
                while (frame := await stream.receive()) is not None:
                    await answer(stream, frame.number)

        async def main():
            listener = Listener(address=LOOPBACK, serve=serve)
            links = PeerLinks(fleet="f", source_host="")
            replies, early = [], []

            async def on_early_reply(reply):
                early.append(reply.request_id)

            async with timeout_after(TEST_TIMEOUT), listener, links:
                for number in range(count):
                    try:
                        reply = await links.request(
                            listener.address,
                            make_request(f"r{number}"),
                            timeout=TEST_TIMEOUT,
                            on_early_reply=on_early_reply,
                        )
                        replies.append(reply.request_id)
                    except LinkError:
                        replies.append(None)
            return replies, early

        return run(main)

    def test_a_second_or_late_reply_reaches_no_other_request(self):
        async def answer(stream, number):
            if number == 2:
                await stream.send(1, forward_answer("r1", final=False))
                await stream.send(1, forward_answer("r1"))
                await stream.send(99, forward_answer("r99"))
            await stream.send(number, forward_answer(f"r{number}", final=False))
            await stream.send(number, forward_answer(f"r{number}"))
            await stream.send(number, forward_answer(f"r{number}", final=False))
            await stream.send(number, forward_answer(f"r{number}"))

        self.assertEqual(self.replies(answer), (["r1", "r2"], ["r1", "r2"]))

    def test_a_reply_that_breaks_off_is_not_filled_up_on_the_next_link(self):
        async def answer(stream, number):
            frame = Frame(
                version=LINK_VERSION,
                fleet="f",
                number=number,
                message=forward_answer(f"r{number}"),
            )
            data = encode_frame(frame)
            if number == 1:
                await stream._sock.sendall(data[:-1])
                await stream._sock.shutdown(SHUT_RDWR)
            else:
                await stream._sock.sendall(data)

        self.assertEqual(self.replies(answer), ([None, "r2"], []))


class PeerLinkTests(TestCase):
    def test_a_reply_that_is_too_large_is_replaced_by_a_refusal(self):
        async def answer(message, send):
            return HoldingsReply(
                services=(ServiceHoldings("x" * (MAX_FRAME_BYTES + 1), ()),)
            )

        @with_link(answer)
        async def reply(server, links):
            return await links.request(
                server.address, make_request("a"), timeout=TEST_TIMEOUT
            )

        self.assertIsInstance(reply, ForwardRefusal)
        self.assertIn("too large", reply.detail)

    def test_the_timeout_includes_sending(self):
        """A peer that reads nothing blocks the sender once the buffers are full."""

        async def main():
            async def read_nothing(sock, peer):
                async with sock:
                    await Event().wait()

            listener = Listener(address=LOOPBACK, serve=read_nothing)
            links = PeerLinks(fleet="f", source_host="")
            message = make_request("x" * (MAX_FRAME_BYTES - 1000))
            async with timeout_after(TEST_TIMEOUT), listener, links:
                with self.assertRaises(LinkError):
                    await links.request(listener.address, message, timeout=0.1)

        run(main)

    def test_replies_out_of_order_reach_their_own_request(self):
        async def slow_first(message, send):
            await sleep(0.1 if message.services[0] == "a" else 0.0)
            return make_reply(message)

        @with_link(slow_first)
        async def replies(server, links):
            async with TaskGroup(wait=all) as group:
                tasks = [
                    await group.spawn(
                        lambda n=name: links.request(
                            server.address, make_request(n), timeout=5
                        )
                    )
                    for name in ("a", "b", "c")
                ]
            return [task.result.services[0].service for task in tasks]

        self.assertEqual(replies, ["a", "b", "c"])

    def test_a_refusal_keeps_its_reason(self):
        async def refuse(message, send):
            raise RequestRefused(reason=RefusalReason.NOT_READY, detail="x")

        @with_link(refuse)
        async def reply(server, links):
            return await links.request(server.address, make_request("a"), timeout=5)

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

        @with_link(wait)
        async def result(server, links):
            task = await spawn(
                lambda: links.request(server.address, make_request("a"), timeout=3600)
            )
            while not seen:
                await sleep(0.005)
            await task.cancel()
            while len(seen) < 2:
                await sleep(0.005)

        self.assertEqual(seen, ["started", "cancelled"])

    def test_a_cancelled_reply_does_not_end_within_its_frame(self):
        """The next reply was read as the rest of it, and the link gave no more."""

        async def answer(message, send):
            if message.services[0] == "large":
                return make_reply(make_request("x" * (MAX_FRAME_BYTES - 1000)))
            return make_reply(message)

        async def main():
            server = PeerServer(address=LOOPBACK, fleet="f", handler=answer)
            sock = socket(AF_INET, SOCK_STREAM)
            async with timeout_after(TEST_TIMEOUT), server, sock:
                await sock.connect((server.address.host, server.address.port))
                stream = FrameStream(sock=sock, peer="p", fleet="f")
                await stream.send(1, make_request("large"))
                await sleep(0.2)  # the reply fills the buffers
                await stream.send(2, CancelForward(number=1))
                await stream.send(3, make_request("small"))
                return [(await stream.receive()).number for _ in range(2)]

        self.assertEqual(run(main), [1, 3])

    def test_a_silent_peer_times_out_and_the_next_request_uses_a_new_link(self):
        first_received = Event()

        async def never_answer_first(message, send):
            if not first_received.is_set():
                await first_received.set()
                await sleep(3600)
            return make_reply(message)

        @with_link(never_answer_first)
        async def reply(server, links):
            with self.assertRaises(LinkError) as caught:
                await links.request(server.address, make_request("a"), timeout=0.1)
            self.assertTrue(caught.exception.sent)
            return await links.request(server.address, make_request("b"), timeout=5)

        self.assertEqual(reply.services[0].service, "b")

    def test_a_link_of_another_fleet_is_closed(self):
        async def never(message, send):
            raise AssertionError("another fleet's message was handled")

        @with_link(never, fleet="g")
        async def raised(server, links):
            with self.assertRaises(LinkError):
                await links.request(server.address, make_request("a"), timeout=5)
            return True

        self.assertTrue(raised)

    def test_a_refused_connection_fails_before_sending(self):
        async def main():
            async with PeerLinks(fleet="f", source_host="") as links:
                await links.request(
                    Address(host="127.0.0.1", port=1), make_request("a"), timeout=5
                )

        with self.assertRaises(LinkError) as caught:
            run(main)
        self.assertFalse(caught.exception.sent)


@dataclass(frozen=True)
class Case:
    name: str
    data: bytes


class FrameTests(TestCase):
    def test_invalid_frames_are_rejected(self):
        frame = Frame(
            version=LINK_VERSION, fleet="f", number=1, message=make_request("a")
        )
        encoded = encode_frame(frame)
        self.assertEqual(
            decode_frame(encoded[LENGTH_BYTES:], sender="s", fleet="f"), frame
        )
        other_version = Frame(
            version=LINK_VERSION + 1, fleet="f", number=1, message=make_request("a")
        )
        cases = [
            Case("garbage", b"\xc1garbage"),
            Case("truncated", encoded[LENGTH_BYTES:-1]),
            Case("other version", encode_frame(other_version)[LENGTH_BYTES:]),
        ]
        for case in cases:
            with self.subTest(case.name), self.assertRaises(WireError):
                decode_frame(case.data, sender="s", fleet="f")
        with self.assertRaises(WireError):
            frame_length(b"\xff\xff\xff\xff", sender="s")
