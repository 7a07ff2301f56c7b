"""Names of headers: those of one connection, and what the library keeps of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.web import http_headers

if TYPE_CHECKING:
    from twisted.web.http_headers import Headers

# Headers that concern one connection only.
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "trailers",
        "transfer-encoding",
        "upgrade",
    )
)

# Longer names are spelled anew each time.
MAX_KEPT_NAME_BYTES = 64


class ShortNames(dict[bytes | str, bytes]):
    """The spellings of names of headers, without those of long names.

    The library bounds how many it keeps, not how long they are: peers that make names
    up could fill the memory of a process.
    """

    def __setitem__(self, name: bytes | str, spelling: bytes) -> None:
        """Keeps the spelling of a short name."""
        if len(name) <= MAX_KEPT_NAME_BYTES:
            super().__setitem__(name, spelling)


def read_connection_options(headers: Headers) -> set[str]:
    """Reads the options of a connection, most of them names of further headers.

    Values needn't be text. Names of headers are always ASCII, so that an option with
    other bytes matches none.
    """
    values = headers.getRawHeaders(b"Connection", [])
    options = b",".join(values).decode("ascii", errors="replace").split(",")
    return {option.strip().lower() for option in options}


def bound_kept_names() -> None:
    """Lets the library keep no long names, for all connections of the process."""
    http_headers._nameEncoder._canonicalHeaderCache = ShortNames()
