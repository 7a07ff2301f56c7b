"""Splits JSON documents into their members without decoding them.

A decoder gives up a whole document for one member that it can't read, such as one that
nests deeply. The bounds of the members are found without recursion and for any nesting,
so that each can be decoded by itself.
"""

from __future__ import annotations

import re
from itertools import pairwise
from typing import TYPE_CHECKING, TypeVar

import msgspec

from magnoliahold.decoding import decode_or_none

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

T = TypeVar("T")

# Texts are matched so that what they hold isn't taken for structure, brackets in runs,
# since a document may consist of little else.
_token = re.compile(
    rb'"(?:[^"\\]++|\\.)*+"|(?P<open>[\[{]+)|(?P<close>[\]}]+)|(?P<comma>,)|(?P<quote>")',
    re.DOTALL,
)
_first_bracket = re.compile(rb"\s*[\[{]")


class UnbalancedError(ValueError):
    """A document is neither a list nor an object, or isn't closed."""


def decode_with_items(decode: Callable[[bytes], T], document: bytes, name: str) -> T:
    """Decodes an object with a list `name`, whose items are of type msgspec.Raw.

    An item that makes the whole document unreadable remains one among the others.
    """
    decoded = decode_or_none(decode, document)
    if decoded is not None:
        return decoded
    items: list[bytes] = []
    others = []
    for member in split_members(document):
        value = _find_value(member, name)
        if value.startswith(b"["):
            items = split_members(value)
            member = _encode_name(name) + b":[]"
        others.append(member)
    decoded = decode(_join_members(others))
    setattr(decoded, name, [msgspec.Raw(item) for item in items])
    return decoded


def decode_member(decode: Callable[[bytes], T], document: bytes, name: str) -> T | None:
    """Decodes an object of which the member `name` is needed, alone if it must be.

    Returns None if not even that can be read.
    """
    decoded = decode_or_none(decode, document)
    if decoded is not None:
        return decoded
    return decode_or_none(lambda found: decode(pick_member(found, name)), document)


def pick_member(document: bytes, name: str) -> bytes:
    """Returns an object without its members but one."""
    members = split_members(document)
    return _join_members(member for member in members if _find_value(member, name))


def _find_value(member: bytes, name: str) -> bytes:
    """Returns the value of a member if it has a name, or nothing."""
    found, _, value = member.partition(b":")
    return value.strip() if found.strip() == _encode_name(name) else b""


def _encode_name(name: str) -> bytes:
    return b'"' + name.encode() + b'"'


def _join_members(members: Iterable[bytes]) -> bytes:
    return b"{" + b",".join(members) + b"}"


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
