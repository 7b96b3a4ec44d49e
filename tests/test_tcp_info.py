from struct import pack_into
from time import sleep as block
from unittest import TestCase

from curio import run, sleep
from curio.socket import AF_INET, SOCK_STREAM, socket

from savorypond.http.channel import HttpLimits
from savorypond.http.messages import text_response
from savorypond.http.server import HttpServer
from savorypond.http.tcp_info import TcpTimes, tcp_times
from savorypond.model import Address

# Offsets in struct tcp_info of Linux, in bytes.
LAST_DATA_OFFSET = 52
RTT_OFFSET = 68


REQUEST = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n"
BUSY_TIME = 0.3  # seconds for which the event loop is blocked


class FakeSocket:
    """Socket whose TCP_INFO is ``info``."""

    def __init__(self, info):
        self._info = info

    def getsockopt(self, level, option, size):
        return bytes(self._info[:size])


class TcpTimesTests(TestCase):
    def test_times_are_read_in_seconds(self):
        info = bytearray(232)
        pack_into("=I", info, LAST_DATA_OFFSET, 850)
        pack_into("=I", info, RTT_OFFSET, 2400)
        times = tcp_times(FakeSocket(info))
        self.assertEqual(times, TcpTimes(round_trip=0.0024, since_data=0.85))

    def test_shorter_tcp_info_gives_zero(self):
        self.assertEqual(tcp_times(FakeSocket(bytearray(RTT_OFFSET))), TcpTimes())

    def test_a_request_that_waited_unread_is_as_old_as_its_last_byte(self):
        async def send(sock, requests):
            await sock.sendall(REQUEST)
            block(BUSY_TIME)
            await sock.recv(65536)

        (request,) = record_requests(send)
        self.assertGreaterEqual(request.unread_time, 0.8 * BUSY_TIME)

    def test_loopback_requests_have_network_delay(self):
        async def send(sock, requests):
            for _ in range(2):
                await sock.sendall(REQUEST)
                while len(requests) < 1:
                    await sleep(0.001)
                await sock.recv(65536)

        requests = record_requests(send)
        self.assertEqual(len(requests), 2)
        self.assertTrue(all(request.network_delay > 0.0 for request in requests))


def record_requests(send):
    """Run ``send`` with a socket to a server; return the requests that it received."""

    async def main():
        requests = []

        async def record(request):
            requests.append(request)
            return text_response("")

        server = HttpServer(
            address=Address(host="127.0.0.1", port=0),
            handler=record,
            limits=HttpLimits(),
        )
        async with server, socket(AF_INET, SOCK_STREAM) as sock:
            await sock.connect((server.address.host, server.address.port))
            await send(sock, requests)
        return requests

    return run(main)
