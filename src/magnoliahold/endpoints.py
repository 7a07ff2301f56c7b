"""Network endpoints in the notation IP:PORT."""

from __future__ import annotations

from ipaddress import ip_address

from attrs import frozen

HIGHEST_PORT = 65_535
SCOPE_SEPARATOR = "%"


@frozen
class Endpoint:
    """An address, which is an IP address or a host name, and a port."""

    host: str
    port: int


def parse_endpoint(text: str) -> Endpoint:
    """Parses HOST:PORT; raises ValueError when the text is malformed."""
    host, separator, port = text.rpartition(":")
    if not host or not separator or not (port.isascii() and port.isdecimal()):
        raise ValueError(f"{text!r} is not IP:PORT")
    endpoint = Endpoint(host, int(port))
    check_port(endpoint)
    return endpoint


def check_port(endpoint: Endpoint) -> None:
    """Raises ValueError if the port is out of range."""
    if not 1 <= endpoint.port <= HIGHEST_PORT:
        raise ValueError(f"{endpoint.port} is not a port")


def check_ip_address(endpoint: Endpoint) -> None:
    """Raises ValueError unless the host is an IP address that needs no look-up.

    The scope of an IPv6 address is valid on one instance only.
    """
    if SCOPE_SEPARATOR in endpoint.host:
        raise ValueError(f"{endpoint.host!r} has a scope")
    ip_address(endpoint.host)
