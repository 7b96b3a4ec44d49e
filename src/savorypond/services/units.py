"""Durations, sizes and addresses as operators write them."""

from ipaddress import ip_address
from re import compile as compile_pattern
from typing import Annotated

from pydantic import BeforeValidator

from savorypond.model import Address

_SECONDS = {"us": 1e-6, "ms": 1e-3, "s": 1.0, "m": 60.0}
_BYTES = {"B": 1, "KiB": 1024, "MiB": 1024 * 1024}
_QUANTITY = compile_pattern(r"(\d{1,9}(?:\.\d{1,6})?) ?([A-Za-z]+)")
_ADDRESS = compile_pattern(r"(?:\[([0-9A-Fa-f:.]+)\]|([0-9.]+)):(\d{1,5})")


def _quantity(text: object, units: dict[str, float] | dict[str, int]) -> float:
    names = ", ".join(units)
    if not isinstance(text, str):
        raise ValueError(f"needs a number with a unit out of {names}")
    match = _QUANTITY.fullmatch(text)
    if match is None or match[2] not in units:
        raise ValueError(f"{text!r} is not a number with a unit out of {names}")
    return float(match[1]) * units[match[2]]


def parse_duration(text: object) -> float:
    """Return the seconds of a text such as ``6ms``.

    :raises ValueError: where the unit is missing or unknown.
    """
    return round(_quantity(text, _SECONDS), 9)


def parse_size(text: object) -> int:
    """Return the bytes of a text such as ``16KiB``.

    :raises ValueError: where the unit is missing or unknown.
    """
    return round(_quantity(text, _BYTES))


def parse_address(text: object) -> Address:
    """Return the address in a text such as ``127.0.0.1:80`` or ``[::1]:80``.

    :raises ValueError: for a host name, or a port above 65,535.
    """
    match = _ADDRESS.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f"{text!r} is not an IP number and a port")
    host = match[1] or match[2]
    problem = host_problem(host, ipv6=bool(match[1]))
    if problem:
        raise ValueError(problem)
    port = int(match[3])
    if port > 65535:
        raise ValueError(f"port {port} is above 65535")
    return Address(host=host, port=port)


def host_problem(host: str, *, ipv6: bool | None = None) -> str | None:
    """Return what is wrong with ``host`` as an IP number, or None."""
    try:
        number = ip_address(host)
    except ValueError:
        return f"{host!r} is not an IP number"
    if ipv6 is not None and (number.version == 6) != ipv6:
        return f"{host!r} is not an IP number of its form"
    return None


Duration = Annotated[float, BeforeValidator(parse_duration)]
Size = Annotated[int, BeforeValidator(parse_size)]
IPAddress = Annotated[Address, BeforeValidator(parse_address)]
