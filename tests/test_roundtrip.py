from struct import pack_into
from unittest import TestCase

from curio import run, sleep
from curio.socket import AF_INET, SOCK_STREAM, socket

from savorypond.http.httpchannel import HttpLimits
from savorypond.http.httpserver import HttpServer
from savorypond.http.httptypes import text_response
from savorypond.http.roundtrip import round_trip
from savorypond.model import Address

RTT_OFFSET = 68  # bytes, in struct tcp_info of Linux


class FixedSocket:
    """A socket whose kernel knows ``info`` of it."""

    def __init__(self, info):
        self._info = info

    def getsockopt(self, level, option, size):
        return bytes(self._info[:size])


class RoundTripTests(TestCase):
    def test_reads_the_smoothed_time_of_the_kernel(self):
        info = bytearray(232)
        pack_into("=I", info, RTT_OFFSET, 2400)
        self.assertEqual(round_trip(FixedSocket(info)), 0.0024)

    def test_a_kernel_that_tells_less_knows_no_time(self):
        self.assertEqual(round_trip(FixedSocket(bytearray(RTT_OFFSET))), 0.0)

    def test_a_connection_of_this_computer_has_one(self):
        async def main():
            transits = []

            async def note(request):
                transits.append(request.transit)
                return text_response("")

            server = HttpServer(
                address=Address(host="127.0.0.1", port=0),
                handler=note,
                limits=HttpLimits(),
            )
            async with server, socket(AF_INET, SOCK_STREAM) as sock:
                await sock.connect((server.address.host, server.address.port))
                for _ in range(2):
                    await sock.sendall(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
                    while len(transits) < 1:
                        await sleep(0.001)
                    await sock.recv(65536)
            return transits

        transits = run(main)
        self.assertEqual(len(transits), 2)
        self.assertTrue(all(transit > 0.0 for transit in transits))
