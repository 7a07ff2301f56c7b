"""Network endpoints in the notation IP:PORT."""

from __future__ import annotations

from attrs import frozen

HIGHEST_PORT = 65_535


@frozen
class Endpoint:
    """An IP address and a TCP port."""

    host: str
    port: int


def parse_endpoint(text: str) -> Endpoint:
    """Parses IP:PORT; raises ValueError when the text is malformed."""
    host, separator, port = text.rpartition(":")
    if not host or not separator or not port.isdecimal():
        raise ValueError(f"{text!r} is not IP:PORT")
    number = int(port)
    if not 1 <= number <= HIGHEST_PORT:
        raise ValueError(f"{number} is not a port")
    return Endpoint(host, number)
