"""Emulates links between data centres on one loopback interface.

Every data centre of a planned site has its own second octet in 127.0.0.0/8.
"""

FIRST_OCTET = 11  # second octet of the first data centre


def link_delay(one: str, other: str, *, between: float) -> float:
    """Return ``between`` where two IP numbers lie in different data centres."""
    first, second = _octet(one), _octet(other)
    outside = min(first, second) < FIRST_OCTET
    return 0.0 if outside or first == second else between


def _octet(host: str) -> int:
    return int(host.split(".")[1])
