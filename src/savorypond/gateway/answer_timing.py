"""Decides how early the parts of an answer have to be complete.

Answers the load of small instances that a burst, a slow processor or many delegated
queries keep busy: what they send leaves some milliseconds after it was due, and an
answer that waits for it misses its target latency by as much. How late each stage ends
is observed, and the next one is due earlier by a high percentile of that.
"""

from savorypond.model import Instance

_PERCENTILE = 0.9  # share of the observations that the estimate covers
_STEP = 0.002  # seconds; the estimate follows a change within about ten observations
_MAX_DELAY = 0.04  # seconds; a pause of a process must not shorten later queries
# Time from the moment at which parts are due until the merged answer is ready.
_MERGE_TIME = 0.002  # seconds, on one full processor
# Time from the moment at which a delegate's answer is due until it has been read here.
_LOCAL_RETURN_TIME = 0.008  # seconds
_REMOTE_RETURN_TIME = 0.012  # seconds; includes the link between data centres

# Time to read a request, merge its answer and send it, on one full processor.
PROCESSING_TIME = 0.005  # seconds
_MAX_PROCESSING_TIME = 0.02  # seconds
READ_AND_SEND_SHARE = 0.6  # of the processing time; the rest is for merging
# A long round trip over a busy link must leave enough time for the query.
_MAX_NETWORK_SHARE = 0.25  # of a route's goal


def partial_answer_delay(
    *, goal: float, network_delay: float, cpu_capacity: float, merge_delay: float = 0.0
) -> float:
    """Return the seconds after which an answer may be partial.

    The latency that the caller observes starts before its request is read and ends
    after the answer was sent.

    :param goal: target latency of the route in seconds.
    :param network_delay: seconds of that latency spent on the network.
    :param cpu_capacity: processor time available to this instance, relative to one
        full processor.
    :param merge_delay: seconds from the end of the wait until the answer is merged.
    """
    processing = min(PROCESSING_TIME / cpu_capacity, _MAX_PROCESSING_TIME)
    reading_and_sending = READ_AND_SEND_SHARE * processing
    processing = max(processing, reading_and_sending + merge_delay)
    return goal - processing - min(network_delay, _MAX_NETWORK_SHARE * goal)


class DelayEstimate:
    """A high percentile of recent delays.

    :param initial: seconds that are assumed at first.
    """

    def __init__(self, *, initial: float) -> None:
        self._delay = initial

    @property
    def delay(self) -> float:
        """The estimate in seconds."""
        return self._delay

    def record(self, seconds: float) -> None:
        """Add one observed delay."""
        if seconds > self._delay:
            change = min(_STEP * _PERCENTILE, seconds - self._delay)
        else:
            change = -min(_STEP * (1.0 - _PERCENTILE), self._delay - seconds)
        self._delay = min(max(0.0, self._delay + change), _MAX_DELAY)


class AnswerTiming:
    """The delays of the stages of an answer, as this instance observes them.

    :param cpu_capacity: processor time available to this instance, relative to one
        full processor.
    """

    def __init__(self, *, data_centre: str, cpu_capacity: float) -> None:
        self._data_centre = data_centre
        self._merge = DelayEstimate(initial=_MERGE_TIME / cpu_capacity)
        self._local_return = DelayEstimate(initial=_LOCAL_RETURN_TIME)
        self._remote_return = DelayEstimate(initial=_REMOTE_RETURN_TIME)

    @property
    def merge_delay(self) -> float:
        """Seconds by which parts must be due before their merged answer is."""
        return self._merge.delay

    def return_delay(self, peer: Instance) -> float:
        """Return the seconds by which an answer of ``peer`` must be due earlier."""
        return self._return(peer).delay

    def record_merge(self, *, due: float, now: float) -> None:
        """Record that an answer, whose parts were due at ``due``, is ready."""
        self._merge.record(max(0.0, now - due))

    def record_return(self, peer: Instance, *, due: float, now: float) -> None:
        """Record that a partial answer of ``peer``, due at ``due``, was read."""
        self._return(peer).record(max(0.0, now - due))

    def _return(self, peer: Instance) -> DelayEstimate:
        is_local = peer.data_centre == self._data_centre
        return self._local_return if is_local else self._remote_return
