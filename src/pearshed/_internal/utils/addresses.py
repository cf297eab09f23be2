"""Parses IP addresses with ports in settings and records."""

import ipaddress
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from pearshed._internal.utils.foreign_values import describe, parse_count

_MAX_PORT = 65535


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port.

    :ivar host: IPv4 or IPv6 address; host names are refused, since nodes connect by IP address.
    :ivar port: TCP port; when listening, the kernel chooses a free port for 0.
    """

    host: str
    port: int

    def __str__(self) -> str:
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Result[Address, str]:
    """Parse ``127.0.0.1:8080`` or ``[::1]:8080``.

    :returns: the address, or a description of the error.
    """
    host, separator, port_text = text.rpartition(":")
    if not separator:
        return Failure(
            f"expected an IP address and a port like 127.0.0.1:8080, found {describe(text)}"
        )
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return Failure(f"expected an IP address before the port, found {describe(host)}")
    port = parse_count(port_text)
    if port is None or port > _MAX_PORT:
        return Failure(f"expected a port between 0 and {_MAX_PORT}, found {describe(port_text)}")
    return Success(Address(host, port))
