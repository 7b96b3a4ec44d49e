from struct import pack_into
from unittest import TestCase

from curio import run, sleep
from curio.socket import AF_INET, SOCK_STREAM, socket

from savorypond.http.channel import HttpLimits
from savorypond.http.messages import text_response
from savorypond.http.server import HttpServer
from savorypond.http.tcp_info import round_trip_time
from savorypond.model import Address

RTT_OFFSET = 68  # bytes, in struct tcp_info of Linux


class FakeSocket:
    """Socket whose TCP_INFO is ``info``."""

    def __init__(self, info):
        self._info = info

    def getsockopt(self, level, option, size):
        return bytes(self._info[:size])


class RoundTripTimeTests(TestCase):
    def test_smoothed_round_trip_time_is_read(self):
        info = bytearray(232)
        pack_into("=I", info, RTT_OFFSET, 2400)
        self.assertEqual(round_trip_time(FakeSocket(info)), 0.0024)

    def test_shorter_tcp_info_gives_zero(self):
        self.assertEqual(round_trip_time(FakeSocket(bytearray(RTT_OFFSET))), 0.0)

    def test_loopback_requests_have_network_delay(self):
        async def main():
            delays = []

            async def record(request):
                delays.append(request.network_delay)
                return text_response("")

            server = HttpServer(
                address=Address(host="127.0.0.1", port=0),
                handler=record,
                limits=HttpLimits(),
            )
            async with server, socket(AF_INET, SOCK_STREAM) as sock:
                await sock.connect((server.address.host, server.address.port))
                for _ in range(2):
                    await sock.sendall(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
                    while len(delays) < 1:
                        await sleep(0.001)
                    await sock.recv(65536)
            return delays

        delays = run(main)
        self.assertEqual(len(delays), 2)
        self.assertTrue(all(delay > 0.0 for delay in delays))
