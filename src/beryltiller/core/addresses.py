"""Socket addresses of an IP address and a port."""

import ipaddress
from dataclasses import dataclass

_MAX_PORT = 65535


@dataclass(frozen=True, slots=True)
class Address:
    """A socket address of an IP address and a port; port 0 stands for any free port.

    >>> Address.parse("127.0.0.1:7000")
    Address(ip='127.0.0.1', port=7000)
    >>> str(Address.parse("[::1]:7000"))
    '[::1]:7000'
    """

    ip: str
    port: int

    def __str__(self) -> str:
        """Return `ip:port`, with brackets around an IPv6 address."""
        return (
            f"[{self.ip}]:{self.port}" if ":" in self.ip else f"{self.ip}:{self.port}"
        )

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse `ip:port`, or raise ValueError; an IPv6 address needs brackets."""
        host, colon, port = text.rpartition(":")
        if not colon or not port.isascii() or not port.isdigit():
            raise ValueError(f"expected ip:port, got {text!r}")
        if int(port) > _MAX_PORT:
            raise ValueError(f"port {port} is above {_MAX_PORT}")
        return cls(_parse_ip(host), int(port))


def _parse_ip(host: str) -> str:
    is_bracketed = host.startswith("[") and host.endswith("]")
    try:
        ip = ipaddress.ip_address(host[1:-1] if is_bracketed else host)
    except ValueError:
        raise ValueError(f"expected an IP address, got {host!r}") from None
    if is_bracketed != (ip.version == 6):
        raise ValueError(f"an IPv6 address, and no other, needs brackets, got {host!r}")
    if ip.is_unspecified:
        raise ValueError(
            f"{ip} is not the address of one interface, use the host's IP address"
        )
    return str(ip)
