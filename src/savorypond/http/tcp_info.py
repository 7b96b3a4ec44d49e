"""Round-trip time of a TCP connection from the kernel's TCP_INFO."""

from socket import IPPROTO_TCP, TCP_INFO
from struct import calcsize, unpack_from
from typing import Any

# Linux struct tcp_info: 8 bytes of flags, then 32-bit integers; the sixteenth is
# tcpi_rtt, the smoothed round-trip time in microseconds.
_RTT_OFFSET = 68
_RTT_FORMAT = "=I"
_INFO_BYTES = _RTT_OFFSET + calcsize(_RTT_FORMAT)
_MICROSECONDS = 1_000_000.0  # per second


def round_trip_time(sock: Any) -> float:
    """Return the smoothed round-trip time of a TCP socket.

    :return: seconds, or 0.0 if the kernel does not report it.
    """
    info = sock.getsockopt(IPPROTO_TCP, TCP_INFO, _INFO_BYTES)
    if len(info) < _INFO_BYTES:
        return 0.0
    return float(unpack_from(_RTT_FORMAT, info, _RTT_OFFSET)[0]) / _MICROSECONDS
