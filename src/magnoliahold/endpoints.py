"""Network endpoints in the notation IP:PORT."""

from __future__ import annotations

from socket import AF_INET, AF_INET6, inet_pton

from attrs import frozen

HIGHEST_PORT = 65_535


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

    An address with a scope isn't one: it is valid on one instance only.
    """
    family = AF_INET6 if ":" in endpoint.host else AF_INET
    try:
        inet_pton(family, endpoint.host)
    except OSError as error:
        raise ValueError(f"{endpoint.host!r} is no IP address") from error
