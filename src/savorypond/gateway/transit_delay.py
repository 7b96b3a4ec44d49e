"""Detects messages that were delayed on their way between instances.

Answers lost packets: a message that is sent again after a loss arrives late. If its
sender has given up meanwhile, the end of its connection arrives just behind it. Work
that starts in between is done for nobody, and one delegated message starts the requests
of many shards.

The clocks of two instances differ by an unknown offset. The least difference between
the times of sending and arrival of the latest messages is taken for that of a message
without a delay.
"""

from collections import deque
from dataclasses import dataclass, field

LATE_AFTER = 0.1  # seconds of delay beyond the usual
# Covers the time between the arrival of a message and that of the close behind it.
CLOSE_WAIT = 0.05  # seconds
# A sender's clock stands still while it is suspended; its messages then look late until
# the earlier ones are forgotten.
REMEMBERED_MESSAGES = 16  # of each peer
MAX_PEERS = 8192  # those not heard of for the longest time are forgotten


@dataclass(slots=True, kw_only=True)
class TransitDelays:
    """The delays of the latest messages of each peer."""

    _differences: dict[str, deque[float]] = field(default_factory=dict)

    def record(self, peer: str, *, sent_at: float, received_at: float) -> float:
        """Return the seconds by which a message was delayed beyond the usual.

        :param sent_at: monotonic seconds by the clock of ``peer``.
        :param received_at: monotonic seconds by the clock of this instance.
        """
        differences = self._differences.pop(peer, None)
        if differences is None:
            differences = deque(maxlen=REMEMBERED_MESSAGES)
        differences.append(received_at - sent_at)
        self._differences[peer] = differences
        if len(self._differences) > MAX_PEERS:
            del self._differences[next(iter(self._differences))]
        return differences[-1] - min(differences)
