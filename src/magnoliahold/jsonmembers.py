"""Splits JSON documents into their members without decoding them.

A decoder gives up a whole document for one member that it can't read, such as one that
nests deeply. The bounds of the members are found without recursion and for any nesting,
so that each can be decoded by itself.
"""

from __future__ import annotations

import re
from itertools import pairwise
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

# Texts are matched so that what they hold isn't taken for structure, brackets in runs,
# since a document may consist of little else.
_token = re.compile(
    rb'"(?:[^"\\]++|\\.)*+"|(?P<open>[\[{]+)|(?P<close>[\]}]+)|(?P<comma>,)|(?P<quote>")',
    re.DOTALL,
)
_first_bracket = re.compile(rb"\s*[\[{]")


class UnbalancedError(ValueError):
    """A document is neither a list nor an object, or isn't closed."""


def split_members(document: bytes) -> list[bytes]:
    """Returns the items of a JSON list, or the members `"name": value` of an object.

    They are returned as they stand, valid or not. Raises UnbalancedError if the
    document has no end.
    """
    bounds = list(_find_bounds(document))
    members = [document[start + 1 : end].strip() for start, end in pairwise(bounds)]
    return [] if members == [b""] else members


def _find_bounds(document: bytes) -> Iterator[int]:
    """Yields the places of the first bracket, of the commas in it and of its end."""
    first = _first_bracket.match(document)
    if first is None:
        raise UnbalancedError("the document is neither a list nor an object")
    yield first.end() - 1
    depth = 1
    for token in _token.finditer(document, first.end()):
        kind = token.lastgroup
        if kind == "open":
            depth += token.end() - token.start()
        elif kind == "close":
            closed = token.end() - token.start()
            if closed >= depth:
                yield token.start() + depth - 1
                return
            depth -= closed
        elif kind == "comma" and depth == 1:
            yield token.start()
        elif kind == "quote":
            raise UnbalancedError("a text has no end")
    raise UnbalancedError("the document has no end")
