"""Socket addresses of an IP address and a port."""

import ipaddress
from dataclasses import dataclass

from beryltiller.core.decoding import shorten

_MAX_PORT = 65535
_MAX_PORT_DIGITS = 5
_BROADCAST = ipaddress.ip_address("255.255.255.255")

_Ip = ipaddress.IPv4Address | ipaddress.IPv6Address


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
        ip, port = _split(text)
        return cls(str(ip), port)

    @classmethod
    def parse_remote(cls, text: str) -> "Address":
        """Parse the address of one process on another host, or raise ValueError.

        Port 0, a group of hosts, and an IPv6 zone, which names an interface of the host
        that wrote it, are refused.
        """
        ip, port = _split(text)
        if port == 0:
            raise ValueError(f"port 0 cannot be connected to, got {shorten(text)!r}")
        if ip.is_multicast or ip == _BROADCAST or "%" in text:
            raise ValueError(f"{shorten(text)!r} is not the address of one host")
        return cls(str(ip), port)


def _split(text: str) -> tuple[_Ip, int]:
    host, colon, port = text.rpartition(":")
    if not colon or not port.isascii() or not port.isdigit():
        raise ValueError(f"expected ip:port, got {shorten(text)!r}")
    if len(port) > _MAX_PORT_DIGITS or int(port) > _MAX_PORT:
        raise ValueError(f"port {shorten(port)} is above {_MAX_PORT}")
    return _parse_ip(host), int(port)


def _parse_ip(host: str) -> _Ip:
    is_bracketed = host.startswith("[") and host.endswith("]")
    try:
        ip = ipaddress.ip_address(host[1:-1] if is_bracketed else host)
    except ValueError:
        raise ValueError(f"expected an IP address, got {shorten(host)!r}") from None
    if is_bracketed != (ip.version == 6):
        raise ValueError(
            f"an IPv6 address, and no other, needs brackets, got {shorten(host)!r}"
        )
    if ip.is_unspecified:
        raise ValueError(
            f"{shorten(str(ip))} is not the address of one interface, use the host's"
            " IP address"
        )
    return ip
