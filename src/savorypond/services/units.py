"""Parse the durations, sizes and addresses of service files and settings."""

from ipaddress import ip_address
from re import compile as compile_pattern
from typing import Annotated

from pydantic import BeforeValidator

from savorypond.model import Address

_SECONDS = {"us": 1e-6, "ms": 1e-3, "s": 1.0, "m": 60.0}
_BYTES = {"B": 1, "KiB": 1024, "MiB": 1024 * 1024}
_QUANTITY = compile_pattern(r"(\d{1,9}(?:\.\d{1,6})?) ?([A-Za-z]+)")
_ADDRESS = compile_pattern(r"(?:\[([0-9A-Fa-f:.]+)\]|([0-9.]+)):(\d{1,5})")


def _parse_quantity(text: object, units: dict[str, float] | dict[str, int]) -> float:
    names = ", ".join(units)
    if not isinstance(text, str):
        raise ValueError(f"needs a number with one of the units {names}")
    match = _QUANTITY.fullmatch(text)
    if match is None or match[2] not in units:
        raise ValueError(f"{text!r} is not a number with one of the units {names}")
    return float(match[1]) * units[match[2]]


def parse_duration(text: object) -> float:
    """Return the seconds in a text such as ``6ms``.

    :raises ValueError: if the unit is missing or unknown.
    """
    return round(_parse_quantity(text, _SECONDS), 9)


def parse_size(text: object) -> int:
    """Return the bytes in a text such as ``16KiB``.

    :raises ValueError: if the unit is missing or unknown.
    """
    return round(_parse_quantity(text, _BYTES))


def parse_address(text: object) -> Address:
    """Return the address in a text such as ``127.0.0.1:80`` or ``[::1]:80``.

    :raises ValueError: for a host name, or a port above 65,535.
    """
    match = _ADDRESS.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f"{text!r} is not an IP address with a port")
    host = match[1] or match[2]
    problem = host_problem(host, ipv6=bool(match[1]))
    if problem:
        raise ValueError(problem)
    port = int(match[3])
    if port > 65535:
        raise ValueError(f"port {port} is above 65535")
    return Address(host=host, port=port)


def host_problem(host: str, *, ipv6: bool | None = None) -> str | None:
    """Return why ``host`` is not a valid IP address, or None.

    :param ipv6: whether it must be of version 6 or of version 4; None allows both.
    """
    try:
        address = ip_address(host)
    except ValueError:
        return f"{host!r} is not an IP address"
    if ipv6 is not None and (address.version == 6) != ipv6:
        return f"{host!r} is invalid: brackets are for IPv6 addresses only"
    return None


Duration = Annotated[float, BeforeValidator(parse_duration)]
Size = Annotated[int, BeforeValidator(parse_size)]
IPAddress = Annotated[Address, BeforeValidator(parse_address)]
