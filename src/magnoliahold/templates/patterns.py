"""Patterns that select the repeatable calls of a plain service."""

from __future__ import annotations

import re
from functools import lru_cache

METHODS = frozenset(("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"))
REST_WILDCARD = "**"
SEGMENT_WILDCARD = "*"
OTHER_SEPARATORS = ("%2f", "%5c", "\\")
PATTERN_CACHE_SIZE = 4096


def find_pattern_problem(pattern: str) -> str | None:
    """Returns what is wrong with a pattern such as `GET /lookup/*`, or None."""
    method, _, path = pattern.partition(" ")
    if method not in METHODS:
        return f"{method[:20]!r} is not a method"
    if not path.startswith("/"):
        return "the path does not begin with '/'"
    if not path.isprintable() or any(character in path for character in " ?#"):
        return "the path contains a space, a '?' or a '#'"
    if REST_WILDCARD in path[:-2] or "***" in path:
        return "'**' occurs before the end of the path"
    return None


def matches_pattern(pattern: str, method: str, path: str) -> bool:
    """Returns whether a call matches a pattern.

    `*` matches any characters except '/', and a final `**` matches any rest of the
    path. The query string is ignored. An ambiguous path matches no pattern, since a
    service may resolve it to a different path.
    """
    pattern_method, _, pattern_path = pattern.partition(" ")
    plain_path = path.partition("?")[0]
    if method.upper() != pattern_method or is_ambiguous(plain_path):
        return False
    return compile_path(pattern_path).fullmatch(plain_path) is not None


def is_ambiguous(path: str) -> bool:
    """Returns whether a path has dot segments or separators other than '/'."""
    plain = path.lower().replace("%2e", ".")
    if any(separator in plain for separator in OTHER_SEPARATORS):
        return True
    segments = plain.split("/")
    return "." in segments or ".." in segments


@lru_cache(maxsize=PATTERN_CACHE_SIZE)
def compile_path(path: str) -> re.Pattern[str]:
    """Compiles the path of a pattern to a regular expression."""
    body = path.removesuffix(REST_WILDCARD)
    parts = [re.escape(part) for part in body.split(SEGMENT_WILDCARD)]
    tail = ".*" if path.endswith(REST_WILDCARD) else ""
    return re.compile("[^/]*".join(parts) + tail, re.DOTALL)
