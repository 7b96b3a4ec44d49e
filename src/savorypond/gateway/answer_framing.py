"""Knows which services state where their answers end.

Guards against servers in trouble, which leave out the length of a few answers. Such an
answer lasts until its connection ends: nothing tells whether it broke off, or whether
other bytes joined it. Services that usually answer so are not concerned.
"""

from collections import OrderedDict

from savorypond.http.messages import HttpResponse

MAX_KEPT = 8192  # services of routes; those used least recently are forgotten
_SMOOTHING = 0.05  # least weight of a new answer in the moving average
# Of the answers without a length; more of them are how the service answers.
MAX_ODD_SHARE = 0.25


class AnswerFraming:
    """The share of answers without a length, by service and route.

    The servers of a service run the same software, so that one whose first answer comes
    without a length is known by the others.
    """

    def __init__(self) -> None:
        self._shares: OrderedDict[tuple[str, str], tuple[float, int]] = OrderedDict()

    @property
    def size(self) -> int:
        """Number of services of routes that are remembered."""
        return len(self._shares)

    def is_odd(self, response: HttpResponse, *, service: str, route: str) -> bool:
        """Record a success; return whether it unusually has no length.

        Other answers and those without a body tell nothing of how a service frames the
        bodies of its successes.
        """
        if not (200 <= response.status < 300 and response.body):
            return False
        key = (service, route)
        odd = 0.0 if response.framed else 1.0
        share, count = self._shares.get(key, (odd, 0))
        weight = max(_SMOOTHING, 1.0 / (count + 1))
        self._shares[key] = share + weight * (odd - share), count + 1
        self._shares.move_to_end(key)
        if len(self._shares) > MAX_KEPT:
            self._shares.popitem(last=False)
        return not response.framed and share < MAX_ODD_SHARE
