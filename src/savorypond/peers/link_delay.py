"""Emulates links between data centres on one loopback interface.

Every data centre of an emulated site has its own second octet in 127.0.0.0/8.
"""

FIRST_DATA_CENTRE_OCTET = 11  # second octet of the first data centre


def link_delay(first_host: str, second_host: str, *, delay: float) -> float:
    """Return ``delay`` if both hosts are in different data centres, else 0."""
    first, second = _octet(first_host), _octet(second_host)
    outside = min(first, second) < FIRST_DATA_CENTRE_OCTET
    return 0.0 if outside or first == second else delay


def _octet(host: str) -> int:
    return int(host.split(".")[1])
