"""IP addresses with ports, as settings and records write them."""

import ipaddress
from dataclasses import dataclass

from returns.result import Failure, Result, Success

_LARGEST_PORT = 65535


@dataclass(frozen=True, slots=True)
class Address:
    """An IP number and a port.

    :ivar host: IPv4 or IPv6 number; names are refused since nodes dial by number.
    :ivar port: TCP port; 0 asks the kernel for a free one when listening.
    """

    host: str
    port: int

    def __str__(self) -> str:
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Result[Address, str]:
    """Parse ``127.0.0.1:8080`` or ``[::1]:8080``.

    :returns: the address, or what is wrong with the text.
    """
    host, separator, port_text = text.rpartition(":")
    if not separator:
        return Failure(f"expected an IP number and a port like 127.0.0.1:8080, found {text!r}")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return Failure(f"expected an IP number before the port, found {host!r}")
    if not port_text.isdecimal() or int(port_text) > _LARGEST_PORT:
        return Failure(f"expected a port between 0 and {_LARGEST_PORT}, found {port_text!r}")
    return Success(Address(host, int(port_text)))
