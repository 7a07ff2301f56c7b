"""Template parameters given on the command line."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliahold.errors import UsageError

if TYPE_CHECKING:
    from collections.abc import Sequence


def parse_parameters(arguments: Sequence[str]) -> dict[str, str]:
    """Parses arguments of the format NAME=VALUE."""
    values: dict[str, str] = {}
    for argument in arguments:
        name, separator, value = argument.partition("=")
        if not name or not separator:
            raise UsageError(f"parameter {argument!r} has no value; write NAME=VALUE")
        if name in values:
            raise UsageError(f"parameter {name!r} is given twice; give it once")
        values[name] = value
    return values
