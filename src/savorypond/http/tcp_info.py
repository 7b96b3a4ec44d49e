"""The round trip of a connection, as the kernel measured it."""

from socket import IPPROTO_TCP, TCP_INFO
from struct import calcsize, unpack_from
from typing import Any

# struct tcp_info of Linux: eight bytes of flags, then numbers of 32 bits, of which
# the sixteenth is the smoothed round-trip time in microseconds.
_RTT_OFFSET = 68
_RTT_FORMAT = "=I"
_INFO_BYTES = _RTT_OFFSET + calcsize(_RTT_FORMAT)
_MICROSECONDS = 1_000_000.0  # in a second


def round_trip_time(sock: Any) -> float:
    """Return the smoothed round-trip time of a TCP socket, 0.0 where unknown.

    :return: seconds.
    """
    info = sock.getsockopt(IPPROTO_TCP, TCP_INFO, _INFO_BYTES)
    if len(info) < _INFO_BYTES:
        return 0.0
    return float(unpack_from(_RTT_FORMAT, info, _RTT_OFFSET)[0]) / _MICROSECONDS
