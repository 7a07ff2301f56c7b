"""Validation of settings and template values, declared on the fields."""

from __future__ import annotations

import ipaddress
from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    Check = Callable[[Any], None]

CHECKS = "checks"
MAX_NAME_LENGTH = 100
NAME_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."
)


class FieldError(ValueError):
    """Raised for an invalid value; `path` leads to it from the value being checked."""

    def __init__(self, problem: str, remedy: str, path: str = "") -> None:
        super().__init__(problem)
        self.problem = problem
        self.remedy = remedy
        self.path = path


@attrs.frozen
class Relation:
    """A check across several fields of one class, called with their values by name.

    A class lists its relations in the class attribute `relations`. A relation is
    checked whenever its own fields are valid, even if other fields are not.
    """

    fields: tuple[str, ...]
    check: Callable[..., None]


def checks(*functions: Check) -> dict[str, tuple[Check, ...]]:
    """Returns metadata for an attrs field whose value must pass all `functions`."""
    return {CHECKS: functions}


def raise_faults(faults: list[FieldError]) -> None:
    """Raises all faults of one value as a group, if there are any."""
    if faults:
        raise ExceptionGroup("faults of one value", faults)


def require_range(minimum: float, maximum: float) -> Check:
    """Returns a check that a number is within two inclusive bounds."""

    def check(value: Any) -> None:
        if value is not None and not minimum <= value <= maximum:
            raise FieldError(
                f"{value} is out of range", f"use {minimum:g} to {maximum:g}"
            )

    return check


require_port = require_range(1, 65535)


def require_address(value: str) -> None:
    """Checks that a string is an IP address."""
    try:
        ipaddress.ip_address(value)
    except ValueError:
        raise FieldError(
            f"{value!r} is not an IP address", "write one such as 127.0.0.1"
        ) from None


def require_name(value: str | None) -> None:
    """Checks that a string is usable as a name in keys, paths and logs."""
    if value is None:
        return
    if not 0 < len(value) <= MAX_NAME_LENGTH or not set(value) <= NAME_CHARACTERS:
        raise FieldError(
            f"{value!r} is not a name",
            f"use 1 to {MAX_NAME_LENGTH} letters, digits, '-', '_' or '.'",
        )


def require_names(values: dict[str, Any]) -> None:
    """Checks that every key of a mapping is a valid name."""
    for name in values:
        require_name(name)


def require_http_url(value: str) -> None:
    """Checks that a string is the base URL of an HTTP service."""
    scheme, separator, rest = value.partition("://")
    if scheme not in ("http", "https") or not separator or not rest.strip("/"):
        raise FieldError(
            f"{value!r} is not an HTTP URL", "write one such as http://127.0.0.1:8000"
        )
