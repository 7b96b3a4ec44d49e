"""Times of a TCP connection from the kernel's TCP_INFO."""

from dataclasses import dataclass
from socket import IPPROTO_TCP, TCP_INFO
from struct import Struct
from typing import Any

# Linux struct tcp_info: 8 bytes of flags, then 32-bit integers. The twelfth is
# tcpi_last_data_recv, the milliseconds since data last arrived, and the sixteenth
# tcpi_rtt, the smoothed round-trip time in microseconds.
_INFO = Struct("=52x I 12x I")
_MILLISECONDS = 1000.0  # per second
_MICROSECONDS = 1_000_000.0  # per second


@dataclass(frozen=True, slots=True, kw_only=True)
class TcpTimes:
    """Times of a connection in seconds, 0.0 if the kernel does not report them.

    :param round_trip: smoothed round-trip time.
    :param since_data: time since the last data arrived, read or not.
    """

    round_trip: float = 0.0
    since_data: float = 0.0


def tcp_times(sock: Any) -> TcpTimes:
    """Return the times of a TCP socket."""
    info = sock.getsockopt(IPPROTO_TCP, TCP_INFO, _INFO.size)
    if len(info) < _INFO.size:
        return TcpTimes()
    since_data, round_trip = _INFO.unpack(info)
    return TcpTimes(
        round_trip=round_trip / _MICROSECONDS, since_data=since_data / _MILLISECONDS
    )
